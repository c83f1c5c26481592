// Package entrycost measures what the entry adds to a request, against a plain reverse proxy in the same run.
package entrycost

import (
	"context"
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
	// Proxy is the path of the program that runs Serve as "<Proxy> proxy --listen <addr> --target <url>".
	Proxy string
	Seed  uint64
	// Rate is the mean number of requests a second on each path.
	Rate float64
	// Warmup and Measure are the durations on each path.
	Warmup, Measure time.Duration
}

// Path is what was measured on one path from the caller to the engine.
type Path struct {
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
	Direct  Path `json:"direct"`
	Proxies Path `json:"two_proxies"`
	Entry   Path `json:"entry_and_agent"`
	// CostRatio is the requests per core second of the proxy over those of the entry.
	CostRatio float64 `json:"proxy_over_entry"`
}

// Run measures the three paths one after the other.
func Run(ctx context.Context, cfg Config) (Report, error) {
	quick := engine.Config{Tokens: 1, ColdLimit: limit, WarmLimit: limit}
	s, err := scene.New(ctx, scene.Spec{Binary: cfg.Binary, Entries: 1, Workers: 1, Engine: quick, Teams: []scene.Team{team}})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	back := s.Workers[0].Engine.URL()
	second, err := s.Command(ctx, "proxy-2", cfg.Proxy, "proxy", "--target", back, "--listen")
	if err != nil {
		return Report{}, err
	}
	first, err := s.Command(ctx, "proxy-1", cfg.Proxy, "proxy", "--target", second.URL(), "--listen")
	if err != nil {
		return Report{}, err
	}
	r := Report{Seed: cfg.Seed, Rate: cfg.Rate}
	if r.Direct, err = measure(ctx, cfg, back, nil); err != nil {
		return r, err
	}
	if r.Proxies, err = measure(ctx, cfg, first.URL(), first); err != nil {
		return r, err
	}
	if r.Entry, err = measure(ctx, cfg, s.Entries[0].URL(), s.Entries[0]); err != nil {
		return r, err
	}
	r.Proxies.compare(r.Direct)
	r.Entry.compare(r.Direct)
	r.CostRatio = r.Proxies.RequestsPerCoreSecond / r.Entry.RequestsPerCoreSecond
	return r, nil
}

// measure sends plain requests to base, and reads the processor time of hop, if there is one.
func measure(ctx context.Context, cfg Config, base string, hop *cluster.Process) (Path, error) {
	client := caller.New(true)
	defer client.Close()
	send := func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := caller.Plain(base, team.Token(), scene.Model, fmt.Sprintf("quote %d", n))
		request.Due = due
		return client.Do(ctx, request)
	}
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed, Send: send}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	before, err := cpuSeconds(hop)
	runner.Enter(phaseMeasure)
	load.Pause(ctx, cfg.Measure)
	after, afterErr := cpuSeconds(hop)
	runner.Stop()
	if err != nil {
		return Path{}, err
	}
	path := Path{Latency: runner.Latency(phaseMeasure), Counts: runner.Counts(phaseMeasure), CPUSeconds: after - before}
	if path.CPUSeconds > 0 {
		path.RequestsPerCoreSecond = float64(path.Succeeded) / path.CPUSeconds
	}
	return path, afterErr
}

func (p *Path) compare(direct Path) {
	p.AddedP50 = p.P50 - direct.P50
	p.AddedP99 = p.P99 - direct.P99
}

func cpuSeconds(p *cluster.Process) (float64, error) {
	if p == nil {
		return 0, nil
	}
	usage, err := p.Usage()
	return usage.CPUSeconds, err
}
