// Package spread measures how long accepted settings take to be in force at every process, and what that costs.
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
	// teamCount is the number of teams whose settings are changed in turn.
	teamCount = 10
	// entryCount is the number of entries; the other processes are agents.
	entryCount = 2
	// watchersPerKill is the number of watchers of which one is killed.
	watchersPerKill = 10
	// inForceTimeout is the time after which a change counts as lost.
	inForceTimeout = 10 * time.Second
	// upstream is the upstream of all agents.
	upstream = core.Upstream("pedidos")
)

// The intervals are the product's defaults, so that the control traffic is that of a deployed process.
const (
	hostListInterval = 2 * time.Second
	statusInterval   = time.Second
	// backEndPollInterval is so long that no read of the back end's status counts as control traffic.
	backEndPollInterval = time.Hour
)

// Config configures a run.
type Config struct {
	Binary string
	Seed   uint64
	// Processes is the number of guavatrestled processes, and Domains the number of their failure domains.
	Processes, Domains int
	// InProcess runs all processes in the process of the experiment. Then only their total use of resources is measured,
	// and none of them is killed.
	InProcess bool
	// Changes is the number of changes in each part of the run.
	Changes int
	// Settle is the time between the start and the first measurement. After a simultaneous start, each process
	// can act as a watcher for up to 40 s, and processes exchange missing member records for some seconds.
	Settle time.Duration
	// Quiet is the time over which the cost without changes is measured, and Busy that with changes.
	Quiet, Busy time.Duration
	// Rate is the number of changes per second during Busy.
	Rate float64
	// Outage is the time for which the object API is down in the last part.
	Outage time.Duration
}

// InForce describes the time from the acceptance of a change until the slowest process has it in force.
type InForce struct {
	Changes int     `json:"changes"`
	P50     float64 `json:"in_force_seconds_p50"`
	P99     float64 `json:"in_force_seconds_p99"`
	Max     float64 `json:"in_force_seconds_max"`
	// Lost is the number of changes that were not in force at every process after inForceTimeout.
	Lost int `json:"lost"`
	// Reverted is the number of times that the version of a document in force at a process decreased between two reads.
	Reverted int `json:"reverted"`
}

// Report holds the results of a run.
type Report struct {
	Seed      uint64 `json:"seed"`
	Processes int    `json:"processes"`
	Domains   int    `json:"domains"`
	InProcess bool   `json:"inside"`
	Watchers  int    `json:"watchers"`
	InForce
	// Cost is measured while changes are applied, without reads of the processes' state.
	Cost
	// Quiet is measured without changes.
	Quiet Cost `json:"quiet"`
	// RateLimited is the number of calls that the object API refused with 429.
	RateLimited int `json:"rate_limited"`
	// Killed is the number of watchers killed, a tenth of them. InForceAfterKill is measured after that.
	Killed           int     `json:"killed"`
	InForceAfterKill InForce `json:"watchers_killed"`
	// Outage describes the part with an outage of the object API.
	Outage Outage `json:"outage"`
}

// Check returns an error if a change was lost or reverted.
func (r Report) Check() error {
	lost := r.Lost + r.InForceAfterKill.Lost + r.Outage.Lost
	reverted := r.Reverted + r.InForceAfterKill.Reverted + r.Outage.Reverted
	if lost+reverted == 0 {
		return nil
	}
	return eris.Errorf("%d changes not in force everywhere after %s, %d reverted", lost, inForceTimeout, reverted)
}

// run is the state of one experiment.
type run struct {
	cfg        Config
	cluster    *cluster.Cluster
	processes  []*cluster.Process
	versions   [teamCount]uint64
	nextChange int
	observer   *observer
}

// Run measures the distribution of settings.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Processes <= entryCount || cfg.Domains < 1 {
		return Report{}, eris.Errorf("want more than %d processes and at least one failure domain", entryCount)
	}
	c, err := cluster.New(cfg.Binary)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	c.InProcess = cfg.InProcess
	r := &run{cfg: cfg, cluster: c, processes: make([]*cluster.Process, cfg.Processes)}
	if err := cluster.ForEachParallel(cfg.Processes, func(i int) error { return r.startProcess(ctx, i) }); err != nil {
		return Report{}, err
	}
	r.observer = newObserver()
	return r.measure(ctx)
}

// startProcess starts process number i; the first ones are entries.
func (r *run) startProcess(ctx context.Context, i int) error {
	domain := core.FailureDomain(fmt.Sprintf("domain-%d", i%r.cfg.Domains))
	transfer, activation := config.DefaultTransfer(), config.DefaultActivation()
	configure := func(cfg *config.Config) {
		cfg.Seed = r.cfg.Seed + uint64(i) + 1
		cfg.Platform.HostListInterval = hostListInterval
		cfg.Platform.ObjectAPI += objectapi.CallerPath(string(cfg.Host))
		if cfg.Entry != nil {
			cfg.Entry.StatusInterval = statusInterval
		}
		if cfg.Agent != nil {
			cfg.Agent.PollInterval = backEndPollInterval
			// These are the defaults, which config.Load sets as well.
			cfg.Agent.Transfer, cfg.Agent.Activation = &transfer, &activation
		}
	}
	var err error
	if i < entryCount {
		r.processes[i], err = r.cluster.StartEntry(ctx, core.HostID(fmt.Sprintf("entry-%d", i)), domain, configure)
		return err
	}
	id := core.HostID(fmt.Sprintf("agent-%d", i))
	r.processes[i], err = r.cluster.StartService(ctx, id, domain, upstream, service.Config{}, configure)
	return err
}

func (r *run) measure(ctx context.Context) (Report, error) {
	out := Report{Seed: r.cfg.Seed, Processes: r.cfg.Processes, Domains: r.cfg.Domains, InProcess: r.cfg.InProcess}
	if err := r.createSettings(ctx); err != nil {
		return out, err
	}
	load.Pause(ctx, r.cfg.Settle)
	var err error
	if out.Quiet, err = r.measureCost(func() error { load.Pause(ctx, r.cfg.Quiet); return ctx.Err() }); err != nil {
		return out, err
	}
	if out.Cost, err = r.measureCost(func() error { return r.applyChanges(ctx) }); err != nil {
		return out, err
	}
	out.Watchers = len(r.cluster.ObjectAPI.Watchers())
	if out.InForce, err = r.measureInForce(ctx); err != nil {
		return out, err
	}
	if !r.cfg.InProcess {
		if out.Killed, err = r.killWatchers(ctx); err != nil {
			return out, err
		}
		if out.InForceAfterKill, err = r.measureInForce(ctx); err != nil {
			return out, err
		}
	}
	out.Outage, err = r.measureOutage(ctx)
	out.RateLimited = r.cluster.ObjectAPI.Counts().RateLimited
	return out, err
}

// createSettings creates the upstream that the teams refer to, and the teams.
func (r *run) createSettings(ctx context.Context) error {
	spec := settings.UpstreamSettings{Kind: settings.KindService, ColdLimit: 1, WarmLimit: 1}
	if _, err := cluster.ApplyDocument(ctx, r.processes[0], settings.UpstreamPath(upstream), 0, spec); err != nil {
		return err
	}
	for range teamCount {
		if _, err := r.applyChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// applyChange applies the next change through the first entry and returns the accepted document.
func (r *run) applyChange(ctx context.Context) (settings.Document, error) {
	i := r.nextChange % teamCount
	r.nextChange++
	name := core.Team(fmt.Sprintf("team-%d", i))
	body := settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(name))},
		Limits:      settings.TeamLimits{RequestsPerSecond: float64(r.nextChange), Burst: 100, QueueLength: 100},
		Weight:      1,
		Services:    []settings.ServiceSettings{{Upstream: upstream}},
	}
	doc, err := cluster.ApplyDocument(ctx, r.processes[0], settings.TeamPath(name), r.versions[i], body)
	if err == nil {
		r.versions[i] = doc.Version
	}
	return doc, err
}

// applyChanges applies changes at the configured rate, without reading the state of the processes.
func (r *run) applyChanges(ctx context.Context) error {
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for end := time.Now().Add(r.cfg.Busy); time.Now().Before(end); {
		if _, err := r.applyChange(ctx); err != nil {
			return err
		}
		load.Pause(ctx, interval)
	}
	return ctx.Err()
}

// killWatchers kills a tenth of the watchers, at least one, but never the entry that accepts the changes.
func (r *run) killWatchers(ctx context.Context) (int, error) {
	watchers := r.cluster.ObjectAPI.Watchers()
	killed := make(map[core.HostID]bool)
	for i := 0; i < len(watchers) && len(killed) < max(1, len(watchers)/watchersPerKill); i++ {
		if id := core.HostID(watchers[i]); id != r.processes[0].Host.ID {
			killed[id] = true
		}
	}
	var remaining []*cluster.Process
	for _, p := range r.processes {
		if !killed[p.Host.ID] {
			remaining = append(remaining, p)
			continue
		}
		if err := p.Signal(syscall.SIGKILL); err != nil {
			return 0, eris.Wrapf(err, "kill %s", p.Host.ID)
		}
		_ = p.Wait(ctx)
	}
	r.processes = remaining
	return len(killed), ctx.Err()
}
