package cluster

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/bench/standin/service"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// startTimeout bounds the time that a process takes to become ready.
	startTimeout = 15 * time.Second
	// conditionPoll is the interval between two checks of a condition.
	conditionPoll = 20 * time.Millisecond
)

// Process is a guavatrestled process, or another program of an experiment.
type Process struct {
	Host core.Host
	// Engine is the engine stand-in beside an agent, if any.
	Engine *engine.Server
	// Service is the service stand-in beside an agent, if any.
	Service *service.Server

	// client calls the process; with TLS it presents the process's own certificate.
	client  *http.Client
	scheme  string
	cfg     config.Config
	runner  runner
	log     *os.File
	exited  chan struct{}
	exitErr error
}

// runner controls a started process.
type runner interface {
	signal(signal syscall.Signal) error
	pid() int
	wait() error
}

// start starts a process with cfg modified by options, adds it to the host list and waits until it is ready.
func (c *Cluster) start(ctx context.Context, cfg config.Config, options []Option) (*Process, error) {
	for _, option := range options {
		option(&cfg)
	}
	p, err := c.launch(cfg)
	if err != nil {
		return nil, err
	}
	c.HostList.Add(p.Host)
	return p, p.WaitReady(ctx)
}

// launch writes the configuration of a process to a file and starts the process, without waiting until it is ready.
func (c *Cluster) launch(cfg config.Config) (*Process, error) {
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
	client, scheme, err := c.clientOf(cfg)
	if err != nil {
		return nil, err
	}
	started, err := c.startRunner(path, log)
	if err != nil {
		return nil, err
	}
	return c.track(&Process{Host: hostOf(cfg), cfg: cfg, runner: started, log: log, client: client, scheme: scheme}), nil
}

// StartReplacement starts a new process with the configuration, addresses and back end of p, which must have ended.
func (c *Cluster) StartReplacement(ctx context.Context, p *Process) (*Process, error) {
	replacement, err := c.launch(p.cfg)
	if err != nil {
		return nil, err
	}
	replacement.Engine, replacement.Service = p.Engine, p.Service
	return replacement, replacement.WaitReady(ctx)
}

// track adds a started process to the cluster, which stops the process on Close.
func (c *Cluster) track(p *Process) *Process {
	p.exited = make(chan struct{})
	go func() {
		p.exitErr = p.runner.wait()
		close(p.exited)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p
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

// WaitReady waits until the process is ready; it fails after startTimeout.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := WaitFor(ctx, func() bool { return p.Ready(ctx) })
	return eris.Wrapf(err, "process %s did not become ready; its log ends with: %s", p.Host.ID, p.LogTail())
}

// Ready reports whether the readiness check of the process succeeds.
func (p *Process) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ControlURL()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// URL returns the base URL of the process's data listener.
func (p *Process) URL() string { return p.scheme + "://" + p.Host.DataAddr }

// ControlURL returns the base URL of the process's control listener.
func (p *Process) ControlURL() string { return p.scheme + "://" + p.Host.ControlAddr }

// PID returns the process ID; it is 0 for guavatrestled inside the current process.
func (p *Process) PID() int { return p.runner.pid() }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.runner.signal(signal) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Wait waits for the process to exit and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "process %s has not exited", p.Host.ID)
	}
}

// LogTail returns the end of the process's log.
func (p *Process) LogTail() string {
	const tailBytes = 2 << 10
	body, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(body[max(0, len(body)-tailBytes):])
}

// stop sends SIGTERM, and SIGKILL if the process has not exited after stopTimeout.
func (p *Process) stop() {
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		_ = p.Signal(syscall.SIGKILL)
		<-p.exited
	}
	_ = p.log.Close()
}

// WaitFor polls a condition until it holds or ctx ends.
func WaitFor(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(conditionPoll)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
