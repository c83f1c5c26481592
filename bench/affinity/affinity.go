// Package affinity measures the engines' prompt cache under requests that share prefixes.
package affinity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/scene"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	entries      = 2
	workers      = 9
	phaseWarmup  = "warmup"
	phaseMeasure = "measure"
	// prefixSeedStream separates the choice of prefixes from the arrivals.
	prefixSeedStream = 2
	// popularity is the exponent of the Zipf distribution of prefixes, and must be above 1.
	popularity = 1.1
)

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 10000, Burst: 10000, QueueLength: 1000},
	Weight: 1,
}

// Engine is the engine of each worker: it holds 8 prefixes, and one that it does not hold costs 30 ms.
var Engine = engine.Config{
	Tokens: 5, TokenDelay: 10 * time.Millisecond,
	ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 16, KeepsWeights: true,
	CachedPrefixes: 8, PrefillDelay: 30 * time.Millisecond,
}

// Config sets up a run.
type Config struct {
	Binary string
	Seed   uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Prefixes is the number of different prompt prefixes, PrefixBytes their length. The entry routes by prefixes of
	// 256 bytes and more, so that a shorter one measures the cache without affinity.
	Prefixes, PrefixBytes int
	// Warmup and Measure are the durations before and of the measurement.
	Warmup, Measure time.Duration
}

// Report is what a run measured.
type Report struct {
	load.Counts
	load.Latency
	Seed        uint64  `json:"seed"`
	Rate        float64 `json:"rate_per_second"`
	Prefixes    int     `json:"prefixes"`
	PrefixBytes int     `json:"prefix_bytes"`
	// HitRate is the part of the requests whose prefix the engine held.
	HitRate float64 `json:"hit_rate"`
	// BusiestOverMean is the load of the busiest engine over the mean of its failure domain, by completed requests.
	BusiestOverMean float64 `json:"busiest_over_mean"`
	ColdOverload    int     `json:"cold_overload"`
}

// Run measures the engines' caches.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: entries, Workers: workers, Engine: Engine, Teams: []scene.Team{team},
	})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	client := caller.New(true)
	defer client.Close()
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed, Send: sender(cfg, s, client)}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	before := counts(s)
	runner.StartPhase(phaseMeasure)
	load.Pause(ctx, cfg.Measure)
	runner.Stop()
	report := Report{
		Counts: runner.Counts(phaseMeasure), Latency: runner.Latency(phaseMeasure),
		Seed: cfg.Seed, Rate: cfg.Rate, Prefixes: cfg.Prefixes, PrefixBytes: cfg.PrefixBytes,
		ColdOverload: s.ColdOverload(),
	}
	report.evaluate(s, before, counts(s))
	return report, ctx.Err()
}

func sender(cfg Config, s *scene.Scene, client *caller.Caller) load.Send {
	return func(ctx context.Context, n int, due time.Time) caller.Outcome {
		// The choice depends on the number alone, so that runs with one seed send the same prompts.
		random := rand.New(rand.NewPCG(cfg.Seed+uint64(n), prefixSeedStream))
		prefix := rand.NewZipf(random, popularity, 1, uint64(cfg.Prefixes-1)).Uint64()
		prompt := fmt.Sprintf("%06d %s quote %d", prefix, strings.Repeat("x", max(0, cfg.PrefixBytes-7)), n)
		request := caller.StreamedCompletion(s.Entries[n%entries].URL(), team.Token(), scene.Model, prompt, Engine.Tokens)
		request.Due = due
		return client.Do(ctx, request)
	}
}

func counts(s *scene.Scene) []engine.Counts {
	out := make([]engine.Counts, len(s.Workers))
	for i, worker := range s.Workers {
		out[i] = worker.Engine.Counts()
	}
	return out
}

func (r *Report) evaluate(s *scene.Scene, before, after []engine.Counts) {
	hits, misses := 0, 0
	total, number := make(map[core.FailureDomain]int), make(map[core.FailureDomain]int)
	for i, worker := range s.Workers {
		hits += after[i].PrefixHits - before[i].PrefixHits
		misses += after[i].PrefixMisses - before[i].PrefixMisses
		total[worker.Host.FailureDomain] += after[i].Completed - before[i].Completed
		number[worker.Host.FailureDomain]++
	}
	r.HitRate = float64(hits) / float64(max(1, hits+misses))
	for i, worker := range s.Workers {
		domain := worker.Host.FailureDomain
		mean := float64(max(1, total[domain])) / float64(number[domain])
		r.BusiestOverMean = max(r.BusiestOverMean, float64(after[i].Completed-before[i].Completed)/mean)
	}
}
