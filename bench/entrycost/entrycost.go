// Package entrycost measures the latency and processor time that the entry adds to a request, compared with a plain
// reverse proxy in the same run.
package entrycost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/scene"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	phaseWarmup  = "warmup"
	phaseMeasure = "measure"
	// engineRequestLimit is the limit of requests in flight at the engine. It is high enough that no request of this
	// experiment is refused.
	engineRequestLimit = 10000
)

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 100000, Burst: 100000, QueueLength: 10000},
	Weight: 1,
}

// Config configures a run.
type Config struct {
	Binary string
	// ProxyBinary is the path of the program that runs ServeProxy as "<ProxyBinary> proxy --listen <addr> --target <url>".
	ProxyBinary string
	Seed        uint64
	// Rate is the mean number of requests per second on each path.
	Rate float64
	// Warmup and Measure are the durations of the phases before and during the measurement.
	Warmup, Measure time.Duration
}

// PathReport holds the results of one path from the caller to the engine.
type PathReport struct {
	load.Latency
	load.Counts
	// AddedP50 and AddedP99 are the differences of the latency to that of the direct path.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// CPUSeconds is the processor time of the first process on the path, and RequestsPerCoreSecond the number of
	// successful requests per second of it.
	CPUSeconds            float64 `json:"cpu_seconds"`
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`
}

// Report holds the results of a run.
type Report struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate_per_second"`
	// Direct is caller to engine; Proxies is caller, proxy, proxy, engine; Entry is caller, entry, agent, engine.
	Direct  PathReport `json:"direct"`
	Proxies PathReport `json:"two_proxies"`
	Entry   PathReport `json:"entry_and_agent"`
	// CostRatio is RequestsPerCoreSecond of the proxy over that of the entry.
	CostRatio float64 `json:"proxy_over_entry"`
}

// Run measures the three paths at the same time.
func Run(ctx context.Context, cfg Config) (Report, error) {
	engineConfig := engine.Config{Tokens: 1, ColdLimit: engineRequestLimit, WarmLimit: engineRequestLimit}
	s, err := scene.New(ctx, scene.Spec{Binary: cfg.Binary, Entries: 1, Workers: 1, Engine: engineConfig, Teams: []scene.Team{team}})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	engineURL := s.Workers[0].Engine.URL()
	secondProxy, err := s.StartCommand(ctx, "proxy-2", cfg.ProxyBinary, "proxy", "--target", engineURL, "--listen")
	if err != nil {
		return Report{}, err
	}
	firstProxy, err := s.StartCommand(ctx, "proxy-1", cfg.ProxyBinary, "proxy", "--target", secondProxy.URL(), "--listen")
	if err != nil {
		return Report{}, err
	}
	paths := []*pathLoad{
		startPath(ctx, cfg, 0, engineURL, nil),
		startPath(ctx, cfg, 1, firstProxy.URL(), firstProxy),
		startPath(ctx, cfg, 2, s.Entries[0].URL(), s.Entries[0]),
	}
	return measure(ctx, cfg, paths)
}

// pathLoad sends the load on one path. All paths are measured at the same time, so that other load on the machine
// affects them equally.
type pathLoad struct {
	firstHop  *cluster.Process
	client    *caller.Caller
	runner    *load.Runner
	cpuBefore float64
	cpuAfter  float64
}

// startPath starts sending completion requests to base. The processor time of firstHop is measured unless it is nil.
func startPath(ctx context.Context, cfg Config, index uint64, base string, firstHop *cluster.Process) *pathLoad {
	client := caller.New(true)
	send := func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := caller.Completion(base, team.Token(), scene.Model, fmt.Sprintf("quote %d", n))
		request.Due = due
		return client.Do(ctx, request)
	}
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed + index, Send: send}, phaseWarmup)
	return &pathLoad{firstHop: firstHop, client: client, runner: runner}
}

func measure(ctx context.Context, cfg Config, paths []*pathLoad) (Report, error) {
	var errs []error
	load.Pause(ctx, cfg.Warmup)
	for _, p := range paths {
		errs = append(errs, readCPUSeconds(p.firstHop, &p.cpuBefore))
		p.runner.StartPhase(phaseMeasure)
	}
	load.Pause(ctx, cfg.Measure)
	for _, p := range paths {
		errs = append(errs, readCPUSeconds(p.firstHop, &p.cpuAfter))
	}
	for _, p := range paths {
		p.runner.Stop()
		p.client.Close()
	}
	direct, proxies, entry := paths[0].report(), paths[1].report(), paths[2].report()
	proxies.setAddedLatency(direct)
	entry.setAddedLatency(direct)
	r := Report{Seed: cfg.Seed, Rate: cfg.Rate, Direct: direct, Proxies: proxies, Entry: entry}
	r.CostRatio = proxies.RequestsPerCoreSecond / entry.RequestsPerCoreSecond
	return r, errors.Join(errs...)
}

// report returns the results of the measurement phase.
func (p *pathLoad) report() PathReport {
	out := PathReport{Latency: p.runner.Latency(phaseMeasure), Counts: p.runner.Counts(phaseMeasure), CPUSeconds: p.cpuAfter - p.cpuBefore}
	if out.CPUSeconds > 0 {
		out.RequestsPerCoreSecond = float64(out.Succeeded) / out.CPUSeconds
	}
	return out
}

func (p *PathReport) setAddedLatency(direct PathReport) {
	p.AddedP50 = p.P50 - direct.P50
	p.AddedP99 = p.P99 - direct.P99
}

// readCPUSeconds sets out to the processor time that a process has used. It does nothing if p is nil.
func readCPUSeconds(p *cluster.Process, out *float64) error {
	if p == nil {
		return nil
	}
	usage, err := p.ReadUsage()
	*out = usage.CPUSeconds
	return err
}
