// Package cluster runs guavatrestled processes and stand-ins on loopback addresses for experiments.
package cluster

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/bench/standin/hostlist"
	"github.com/guavatrestle/guavatrestle/bench/standin/objectapi"
	"github.com/guavatrestle/guavatrestle/bench/standin/origin"
	"github.com/guavatrestle/guavatrestle/bench/standin/service"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// AdminToken is the bearer token of the admin API.
const AdminToken = "operator-token"

const (
	// hostListInterval is the time between two reads of the host list by a process.
	hostListInterval = 200 * time.Millisecond
	// pollInterval is the time between two reads of a status by an agent or an entry.
	pollInterval = 100 * time.Millisecond
	// chunkMemoryBytes bounds the memory for the chunks that an agent keeps.
	chunkMemoryBytes = 256 << 20
	// maxBodyBytes bounds a caller's request body.
	maxBodyBytes = 1 << 20
	// requestTimeout bounds the time of a caller's request.
	requestTimeout = 30 * time.Second
	// progressTimeout is the time for which an engine may send nothing.
	progressTimeout = 30 * time.Second
	// drainGrace is the time for which a leaving entry still accepts new requests. It covers several readiness checks of
	// the load balancer.
	drainGrace = 500 * time.Millisecond
	// readsPerSecond and writesPerSecond are the rate limits of the object API.
	readsPerSecond  = 2000
	writesPerSecond = 300
	// stopTimeout is the time after SIGTERM after which a process that is still running is killed.
	stopTimeout = 10 * time.Second
)

// Cluster is a set of processes with the stand-ins that they use.
type Cluster struct {
	ObjectAPI *objectapi.Server
	HostList  *hostlist.Server
	Origin    *origin.Server
	// InProcess runs guavatrestled inside the current process instead of as separate processes.
	InProcess bool
	// OriginRegion is the region nearest to the origin; empty means the region of the first agent's failure domain.
	OriginRegion core.Region

	binary   string
	dir      string
	servers  []*httptest.Server
	platform config.Platform

	mu        sync.Mutex
	processes []*Process
	closers   []func()
}

// New starts the platform stand-ins; binary is the path of the guavatrestled program.
func New(binary string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "gtbench-")
	if err != nil {
		return nil, eris.Wrap(err, "create directory for configurations")
	}
	c := &Cluster{ObjectAPI: objectapi.New(), HostList: hostlist.New(), Origin: origin.New(), binary: binary, dir: dir}
	c.ObjectAPI.SetRates(readsPerSecond, writesPerSecond)
	c.platform = config.Platform{
		ObjectAPI:        c.Serve(c.ObjectAPI.Handler()),
		HostList:         c.Serve(c.HostList.Handler()),
		WeightSource:     c.Serve(c.Origin.Handler()),
		Namespace:        "guavatrestle",
		HostListInterval: hostListInterval,
	}
	return c, nil
}

// Serve serves handler on a loopback address until the cluster closes, and returns its base URL.
func (c *Cluster) Serve(handler http.Handler) string {
	s := httptest.NewServer(handler)
	c.servers = append(c.servers, s)
	return s.URL
}

// Platform returns the platform configuration, with the addresses of the stand-ins.
func (c *Cluster) Platform() config.Platform { return c.platform }

// OnClose registers a function that runs when the cluster closes, after all processes have ended.
func (c *Cluster) OnClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

// Option modifies the configuration of a process before it starts.
type Option func(*config.Config)

// StartAgent starts an engine stand-in and the agent beside it.
func (c *Cluster) StartAgent(ctx context.Context, id core.HostID, domain core.FailureDomain, upstream core.Upstream, cfg engine.Config, options ...Option) (*Process, error) {
	standIn := engine.New(cfg)
	c.OnClose(standIn.Close)
	p, err := c.start(ctx, c.agentConfig(id, domain, upstream, standIn.URL()), options)
	if p != nil {
		p.Engine = standIn
	}
	return p, err
}

// StartService starts a service stand-in and the agent beside it.
func (c *Cluster) StartService(ctx context.Context, id core.HostID, domain core.FailureDomain, upstream core.Upstream, cfg service.Config, options ...Option) (*Process, error) {
	standIn := service.New(cfg)
	c.OnClose(standIn.Close)
	p, err := c.start(ctx, c.agentConfig(id, domain, upstream, standIn.URL()), options)
	if p != nil {
		p.Service = standIn
	}
	return p, err
}

// StartEntry starts an entry.
func (c *Cluster) StartEntry(ctx context.Context, id core.HostID, domain core.FailureDomain, options ...Option) (*Process, error) {
	cfg := c.config(id, core.RoleEntry, domain)
	cfg.Entry = &config.Entry{
		AdminTokenHashes: []core.Digest{core.DigestOf([]byte(AdminToken))},
		MaxBodyBytes:     maxBodyBytes,
		RequestTimeout:   requestTimeout,
		StatusInterval:   pollInterval,
		DrainGrace:       drainGrace,
	}
	return c.start(ctx, cfg, options)
}

// ForEachParallel calls start for 0 to n-1, several at a time, and returns all errors joined.
func ForEachParallel(n int, start func(i int) error) error {
	const maxConcurrent = 8
	slots := make(chan struct{}, maxConcurrent)
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			errs[i] = start(i)
			<-slots
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Processes returns all processes started, ended ones included.
func (c *Cluster) Processes() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Process(nil), c.processes...)
}

// Close stops all processes and stand-ins.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	for _, p := range c.Processes() {
		wg.Go(p.stop)
	}
	wg.Wait()
	for _, f := range c.closers {
		f()
	}
	c.ObjectAPI.Close()
	for _, s := range c.servers {
		s.CloseClientConnections()
		s.Close()
	}
	_ = os.RemoveAll(c.dir)
}

func (c *Cluster) agentConfig(id core.HostID, domain core.FailureDomain, upstream core.Upstream, backEnd string) config.Config {
	cfg := c.config(id, core.RoleAgent, domain)
	cfg.Agent = &config.Agent{
		Upstream:         upstream,
		Engine:           backEnd,
		ChunkMemoryBytes: chunkMemoryBytes,
		PollInterval:     pollInterval,
		ProgressTimeout:  progressTimeout,
		Strategy:         "swarm",
		OriginRegion:     c.originRegion(domain),
	}
	return cfg
}

// originRegion returns the one region that all agents treat as nearest to the origin. Agents configured with different
// regions would each fetch from the origin.
func (c *Cluster) originRegion(domain core.FailureDomain) core.Region {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.OriginRegion == "" {
		c.OriginRegion = core.Region(domain)
	}
	return c.OriginRegion
}

// config returns the configuration that both roles share. Each failure domain is its own region; an option can change
// that.
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
