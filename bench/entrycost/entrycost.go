// Package entrycost measures what the entry adds to a request, against a plain reverse proxy in the same run.
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
	// limit is the number of requests in flight that the engine bears; it never refuses one in this experiment.
	limit = 10000
)

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 100000, Burst: 100000, QueueLength: 10000},
	Weight: 1,
}

// Config sets up a run.
type Config struct {
	Binary string
	// ProxyBinary is the path of the program that runs Serve as "<ProxyBinary> proxy --listen <addr> --target <url>".
	ProxyBinary string
	Seed        uint64
	// Rate is the mean number of requests a second on each path.
	Rate float64
	// Warmup and Measure are the durations before and of the measurement.
	Warmup, Measure time.Duration
}

// PathReport is what was measured on one path from the caller to the engine.
type PathReport struct {
	load.Latency
	load.Counts
	// AddedP50 and AddedP99 are the differences to the direct path.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// CPUSeconds is the processor time of the first hop, and RequestsPerCoreSecond the requests for each second of it.
	CPUSeconds            float64 `json:"cpu_seconds"`
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`
}

// Report is what a run measured.
type Report struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate_per_second"`
	// Direct is caller to engine; Proxies is caller, proxy, proxy, engine; Entry is caller, entry, agent, engine.
	Direct  PathReport `json:"direct"`
	Proxies PathReport `json:"two_proxies"`
	Entry   PathReport `json:"entry_and_agent"`
	// CostRatio is the requests per core second of the proxy over those of the entry.
	CostRatio float64 `json:"proxy_over_entry"`
}

// Run measures the three paths at the same time.
func Run(ctx context.Context, cfg Config) (Report, error) {
	quick := engine.Config{Tokens: 1, ColdLimit: limit, WarmLimit: limit}
	s, err := scene.New(ctx, scene.Spec{Binary: cfg.Binary, Entries: 1, Workers: 1, Engine: quick, Teams: []scene.Team{team}})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	back := s.Workers[0].Engine.URL()
	second, err := s.StartCommand(ctx, "proxy-2", cfg.ProxyBinary, "proxy", "--target", back, "--listen")
	if err != nil {
		return Report{}, err
	}
	first, err := s.StartCommand(ctx, "proxy-1", cfg.ProxyBinary, "proxy", "--target", second.URL(), "--listen")
	if err != nil {
		return Report{}, err
	}
	paths := []*path{
		startPath(ctx, cfg, 0, back, nil),
		startPath(ctx, cfg, 1, first.URL(), first),
		startPath(ctx, cfg, 2, s.Entries[0].URL(), s.Entries[0]),
	}
	return measure(ctx, cfg, paths)
}

// path is the load on one path; all paths run at the same time, so that other load on the machine hits them alike.
type path struct {
	hop    *cluster.Process
	client *caller.Caller
	runner *load.Runner
	before float64
	after  float64
}

// startPath starts sending plain requests to base; hop is the process whose time is measured, if any.
func startPath(ctx context.Context, cfg Config, index uint64, base string, hop *cluster.Process) *path {
	client := caller.New(true)
	send := func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := caller.Completion(base, team.Token(), scene.Model, fmt.Sprintf("quote %d", n))
		request.Due = due
		return client.Do(ctx, request)
	}
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed + index, Send: send}, phaseWarmup)
	return &path{hop: hop, client: client, runner: runner}
}

func measure(ctx context.Context, cfg Config, paths []*path) (Report, error) {
	var errs []error
	load.Pause(ctx, cfg.Warmup)
	for _, p := range paths {
		errs = append(errs, cpuSeconds(p.hop, &p.before))
		p.runner.StartPhase(phaseMeasure)
	}
	load.Pause(ctx, cfg.Measure)
	for _, p := range paths {
		errs = append(errs, cpuSeconds(p.hop, &p.after))
	}
	for _, p := range paths {
		p.runner.Stop()
		p.client.Close()
	}
	direct, proxies, entry := paths[0].result(), paths[1].result(), paths[2].result()
	proxies.compare(direct)
	entry.compare(direct)
	r := Report{Seed: cfg.Seed, Rate: cfg.Rate, Direct: direct, Proxies: proxies, Entry: entry}
	r.CostRatio = proxies.RequestsPerCoreSecond / entry.RequestsPerCoreSecond
	return r, errors.Join(errs...)
}

func (p *path) result() PathReport {
	out := PathReport{Latency: p.runner.Latency(phaseMeasure), Counts: p.runner.Counts(phaseMeasure), CPUSeconds: p.after - p.before}
	if out.CPUSeconds > 0 {
		out.RequestsPerCoreSecond = float64(out.Succeeded) / out.CPUSeconds
	}
	return out
}

func (p *PathReport) compare(direct PathReport) {
	p.AddedP50 = p.P50 - direct.P50
	p.AddedP99 = p.P99 - direct.P99
}

// cpuSeconds reads the processor time that a process has used into out.
func cpuSeconds(p *cluster.Process, out *float64) error {
	if p == nil {
		return nil
	}
	usage, err := p.ReadUsage()
	*out = usage.CPUSeconds
	return err
}
