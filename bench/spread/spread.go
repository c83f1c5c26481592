// Package spread measures how accepted settings come into force at every process, and what that costs.
package spread

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/standin/objectapi"
	"github.com/guavatrestle/guavatrestle/bench/standin/service"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// teams is the number of settings documents that changes go around.
	teams = 10
	// entries is the number of entries; the other processes are agents.
	entries = 2
	// killedShare is the number of watchers of which one is killed.
	killedShare = 10
	// inForceLimit is the time after which a change counts as lost.
	inForceLimit = 10 * time.Second
	// upstream is the upstream of all agents.
	upstream = core.Upstream("pedidos")
)

// The intervals are the product's defaults, so that the control traffic is that of a real process.
const (
	hostListInterval = 2 * time.Second
	statusInterval   = time.Second
	// backEndInterval keeps reads of the back end's status out of the control bytes.
	backEndInterval = time.Hour
)

// Config sets up a run.
type Config struct {
	Binary string
	Seed   uint64
	// Processes is the number of guavatrestled processes, and Domains that of their failure domains.
	Processes, Domains int
	// InProcess runs the processes inside the experiment, of which only their sum is measured. None of them is killed.
	InProcess bool
	// Changes is the number of changes in each part of the run.
	Changes int
	// Settle is the time after the start before anything is measured. Processes that start together take themselves
	// for watchers for up to 40 s, and close differences of member records for some seconds.
	Settle time.Duration
	// Quiet is the time over which the cost without changes is measured, and Busy that with changes.
	Quiet, Busy time.Duration
	// Rate is the number of changes a second in the busy part.
	Rate float64
	// Outage is the time for which the object API is down in the last part.
	Outage time.Duration
}

// InForce is the time from the acceptance of a change until the slowest process holds it.
type InForce struct {
	Changes  int     `json:"changes"`
	P50      float64 `json:"in_force_seconds_p50"`
	P99      float64 `json:"in_force_seconds_p99"`
	Max      float64 `json:"in_force_seconds_max"`
	Lost     int     `json:"lost"`
	Reverted int     `json:"reverted"`
}

// Report is what a run measured.
type Report struct {
	Seed      uint64 `json:"seed"`
	Processes int    `json:"processes"`
	Domains   int    `json:"domains"`
	InProcess bool   `json:"inside"`
	Watchers  int    `json:"watchers"`
	InForce
	// Cost is measured while changes are accepted, without observers.
	Cost
	// Quiet is measured without changes.
	Quiet Cost `json:"quiet"`
	// RateLimited is the number of calls that the object API refused with 429.
	RateLimited int `json:"rate_limited"`
	// Killed and WatchersKilled describe the part after a tenth of the watchers was killed.
	Killed           int     `json:"killed"`
	InForceAfterKill InForce `json:"watchers_killed"`
	// Outage describes the part with an outage of the object API.
	Outage Outage `json:"outage"`
}

// Check returns an error when a change was lost or reverted.
func (r Report) Check() error {
	lost := r.Lost + r.InForceAfterKill.Lost + r.Outage.Lost
	reverted := r.Reverted + r.InForceAfterKill.Reverted + r.Outage.Reverted
	if lost+reverted == 0 {
		return nil
	}
	return eris.Errorf("%d changes not in force everywhere after %s, %d reverted", lost, inForceLimit, reverted)
}

// run is one experiment.
type run struct {
	cfg       Config
	cluster   *cluster.Cluster
	processes []*cluster.Process
	versions  [teams]uint64
	next      int
	observer  *observer
}

// Run measures the spread of settings.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Processes <= entries || cfg.Domains < 1 {
		return Report{}, eris.Errorf("want more than %d processes and at least one failure domain", entries)
	}
	c, err := cluster.New(cfg.Binary)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.InProcess = cfg.InProcess
	r := &run{cfg: cfg, cluster: c, processes: make([]*cluster.Process, cfg.Processes)}
	if err := cluster.ForEachParallel(cfg.Processes, func(i int) error { return r.start(ctx, i) }); err != nil {
		return Report{}, err
	}
	r.observer = newObserver()
	return r.measure(ctx)
}

func (r *run) start(ctx context.Context, i int) error {
	domain := core.FailureDomain(fmt.Sprintf("domain-%d", i%r.cfg.Domains))
	transfer, activation := config.DefaultTransfer(), config.DefaultActivation()
	options := func(cfg *config.Config) {
		cfg.Seed = r.cfg.Seed + uint64(i) + 1
		cfg.Platform.HostListInterval = hostListInterval
		cfg.Platform.ObjectAPI += objectapi.CallerPath(string(cfg.Host))
		if cfg.Entry != nil {
			cfg.Entry.StatusInterval = statusInterval
		}
		if cfg.Agent != nil {
			cfg.Agent.PollInterval = backEndInterval
			// A process that runs inside the experiment reads no file, which would set the defaults.
			cfg.Agent.Transfer, cfg.Agent.Activation = &transfer, &activation
		}
	}
	var err error
	if i < entries {
		r.processes[i], err = r.cluster.StartEntry(ctx, core.HostID(fmt.Sprintf("entry-%d", i)), domain, options)
		return err
	}
	id := core.HostID(fmt.Sprintf("agent-%d", i))
	r.processes[i], err = r.cluster.StartService(ctx, id, domain, upstream, service.Config{}, options)
	return err
}

func (r *run) measure(ctx context.Context) (Report, error) {
	out := Report{Seed: r.cfg.Seed, Processes: r.cfg.Processes, Domains: r.cfg.Domains, InProcess: r.cfg.InProcess}
	if err := r.prepare(ctx); err != nil {
		return out, err
	}
	load.Pause(ctx, r.cfg.Settle)
	var err error
	if out.Quiet, err = r.cost(func() error { load.Pause(ctx, r.cfg.Quiet); return ctx.Err() }); err != nil {
		return out, err
	}
	if out.Cost, err = r.cost(func() error { return r.busy(ctx) }); err != nil {
		return out, err
	}
	out.Watchers = len(r.cluster.ObjectAPI.Watchers())
	if out.InForce, err = r.inForce(ctx); err != nil {
		return out, err
	}
	if !r.cfg.InProcess {
		if out.Killed, err = r.kill(ctx); err != nil {
			return out, err
		}
		if out.InForceAfterKill, err = r.inForce(ctx); err != nil {
			return out, err
		}
	}
	out.Outage, err = r.outage(ctx)
	out.RateLimited = r.cluster.ObjectAPI.Counts().RateLimited
	return out, err
}

// prepare applies the upstream that the teams refer to, and a first version of each team.
func (r *run) prepare(ctx context.Context) error {
	spec := settings.UpstreamSettings{Kind: settings.KindService, ColdLimit: 1, WarmLimit: 1}
	if _, err := cluster.ApplyDocument(ctx, r.processes[0], settings.UpstreamPath(upstream), 0, spec); err != nil {
		return err
	}
	for range teams {
		if _, err := r.change(ctx); err != nil {
			return err
		}
	}
	return nil
}

// change has an entry accept the next change and returns the document.
func (r *run) change(ctx context.Context) (settings.Document, error) {
	i := r.next % teams
	r.next++
	name := core.Team(fmt.Sprintf("team-%d", i))
	body := settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(name))},
		Limits:      settings.TeamLimits{RequestsPerSecond: float64(r.next), Burst: 100, QueueLength: 100},
		Weight:      1,
		Services:    []settings.ServiceSettings{{Upstream: upstream}},
	}
	doc, err := cluster.ApplyDocument(ctx, r.processes[0], settings.TeamPath(name), r.versions[i], body)
	if err == nil {
		r.versions[i] = doc.Version
	}
	return doc, err
}

// busy has changes accepted at the configured rate without looking at the processes.
func (r *run) busy(ctx context.Context) error {
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for end := time.Now().Add(r.cfg.Busy); time.Now().Before(end); {
		if _, err := r.change(ctx); err != nil {
			return err
		}
		load.Pause(ctx, interval)
	}
	return ctx.Err()
}

// kill ends a tenth of the watchers, at least one, but never the entry that accepts the changes.
func (r *run) kill(ctx context.Context) (int, error) {
	watchers := r.cluster.ObjectAPI.Watchers()
	victims := make(map[core.HostID]bool)
	for i := 0; i < len(watchers) && len(victims) < max(1, len(watchers)/killedShare); i++ {
		if id := core.HostID(watchers[i]); id != r.processes[0].Host.ID {
			victims[id] = true
		}
	}
	var kept []*cluster.Process
	for _, p := range r.processes {
		if !victims[p.Host.ID] {
			kept = append(kept, p)
			continue
		}
		if err := p.Signal(syscall.SIGKILL); err != nil {
			return 0, eris.Wrapf(err, "kill %s", p.Host.ID)
		}
		_ = p.Wait(ctx)
	}
	r.processes = kept
	return len(victims), ctx.Err()
}
