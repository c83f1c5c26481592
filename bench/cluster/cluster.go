// Package cluster starts guavatrestled processes and stand-ins on loopback for experiments.
package cluster

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/bench/standin/hostlist"
	"github.com/guavatrestle/guavatrestle/bench/standin/objectapi"
	"github.com/guavatrestle/guavatrestle/bench/standin/origin"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// startTimeout bounds the time until a process is ready.
	startTimeout = 15 * time.Second
	// readyPoll is the time between two readiness checks.
	readyPoll = 20 * time.Millisecond
)

// AdminToken is the operators' bearer token of a cluster.
const AdminToken = "operator-token"

// Cluster is a set of processes with the stand-ins that they use.
type Cluster struct {
	Objects *objectapi.Server
	Hosts   *hostlist.Server
	Origin  *origin.Server

	binary    string
	dir       string
	servers   []*httptest.Server
	platform  config.Platform
	processes []*Process
	listed    []core.Host
}

// New starts the platform stand-ins; binary is the path of guavatrestled.
func New(binary string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "gtbench-")
	if err != nil {
		return nil, eris.Wrap(err, "create directory for configurations")
	}
	c := &Cluster{Objects: objectapi.New(), Hosts: hostlist.New(), Origin: origin.New(), binary: binary, dir: dir}
	c.platform = config.Platform{
		ObjectAPI:        c.serve(c.Objects.Handler()),
		HostList:         c.serve(c.Hosts.Handler()),
		WeightSource:     c.serve(c.Origin.Handler()),
		Namespace:        "guavatrestle",
		HostListInterval: 200 * time.Millisecond,
	}
	return c, nil
}

func (c *Cluster) serve(handler http.Handler) string {
	s := httptest.NewServer(handler)
	c.servers = append(c.servers, s)
	return s.URL
}

// Process is one running guavatrestled process.
type Process struct {
	Host   core.Host
	Engine *engine.Server

	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// Agent starts an engine stand-in and the agent beside it.
func (c *Cluster) Agent(id core.HostID, domain core.FailureDomain, upstream core.Upstream, cfg engine.Config) (*Process, error) {
	back := engine.New(cfg)
	file := c.config(id, core.RoleAgent, domain)
	file.Agent = &config.Agent{
		Upstream:         upstream,
		Engine:           c.serve(back.Handler()),
		ChunkMemoryBytes: 1 << 28,
		PollInterval:     100 * time.Millisecond,
		Strategy:         "swarm",
		OriginRegion:     core.Region(domain),
	}
	p, err := c.start(file)
	if err != nil {
		return nil, err
	}
	p.Engine = back
	return p, nil
}

// Entry starts an entry.
func (c *Cluster) Entry(id core.HostID, domain core.FailureDomain) (*Process, error) {
	file := c.config(id, core.RoleEntry, domain)
	file.Entry = &config.Entry{
		AdminTokenHashes: []core.Digest{core.DigestOf([]byte(AdminToken))},
		MaxBodyBytes:     1 << 20,
		RequestTimeout:   30 * time.Second,
		StatusInterval:   100 * time.Millisecond,
	}
	return c.start(file)
}

func (c *Cluster) config(id core.HostID, role core.Role, domain core.FailureDomain) config.Config {
	cfg := config.Default()
	cfg.Role = role
	cfg.Host = id
	cfg.Region = core.Region(domain)
	cfg.FailureDomain = domain
	cfg.Listen = config.Listen{Control: freeAddr(), Data: freeAddr()}
	cfg.Platform = c.platform
	return cfg
}

func (c *Cluster) start(cfg config.Config) (*Process, error) {
	body, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	path := filepath.Join(c.dir, string(cfg.Host)+".yaml")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return nil, eris.Wrap(err, "write configuration")
	}
	log, err := os.Create(filepath.Join(c.dir, string(cfg.Host)+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log file")
	}
	cmd := exec.Command(c.binary, "--config", path)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "start guavatrestled")
	}
	p := &Process{Host: hostOf(cfg), cmd: cmd, log: log, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	c.processes = append(c.processes, p)
	c.listed = append(c.listed, p.Host)
	c.Hosts.Set(append([]core.Host(nil), c.listed...))
	return p, p.waitReady()
}

func hostOf(cfg config.Config) core.Host {
	host := core.Host{
		ID:            cfg.Host,
		Role:          cfg.Role,
		Region:        cfg.Region,
		FailureDomain: cfg.FailureDomain,
		ControlAddr:   cfg.Listen.Control,
		DataAddr:      cfg.Listen.Data,
		State:         core.HostLive,
	}
	if cfg.Agent != nil {
		host.Upstream = cfg.Agent.Upstream
	}
	return host
}

func (p *Process) waitReady() error {
	client := resty.New().SetTimeout(time.Second)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		response, err := client.R().Get("http://" + p.Host.ControlAddr + "/readyz")
		if err == nil && response.IsSuccess() {
			return nil
		}
	}
	return eris.Errorf("process %s is not ready; its log is %s", p.Host.ID, p.log.Name())
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Wait waits for the process to exit.
func (p *Process) Wait() error {
	err := <-p.done
	p.done <- err
	return err
}

// Close stops all processes and stand-ins.
func (c *Cluster) Close() {
	for _, p := range c.processes {
		_ = p.Signal(syscall.SIGTERM)
	}
	for _, p := range c.processes {
		_ = p.Wait()
		_ = p.log.Close()
	}
	c.Objects.Close()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// URL returns the base URL of a process's data listener.
func (p *Process) URL() string { return "http://" + p.Host.DataAddr }

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("no free port: %v", err))
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
