// Package affinity measures the engines' prompt caches under requests that share prefixes.
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
	entryCount   = 2
	workerCount  = 9
	phaseWarmup  = "warmup"
	phaseMeasure = "measure"
	// prefixStream is the random stream of prefixes, distinct from that of arrival times.
	prefixStream = 2
	// zipfExponent is the exponent of the Zipf distribution of prefixes. It must be above 1.
	zipfExponent = 1.1
)

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 10000, Burst: 10000, QueueLength: 1000},
	Weight: 1,
}

// Engine configures the engine of each worker. It caches 8 prefixes, and a prefix that is not cached adds 30 ms.
var Engine = engine.Config{
	Tokens: 5, TokenDelay: 10 * time.Millisecond,
	ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 16, KeepsWeights: true,
	CachedPrefixes: 8, PrefillDelay: 30 * time.Millisecond,
}

// Config configures a run.
type Config struct {
	Binary string
	Seed   uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Prefixes is the number of different prompt prefixes, and PrefixBytes their length. The entry routes by prefix only
	// from 256 bytes on, so a shorter length measures the caches without affinity.
	Prefixes, PrefixBytes int
	// Warmup and Measure are the durations of the phases before and during the measurement.
	Warmup, Measure time.Duration
}

// Report holds the results of a run.
type Report struct {
	load.Counts
	load.Latency
	Seed        uint64  `json:"seed"`
	Rate        float64 `json:"rate_per_second"`
	Prefixes    int     `json:"prefixes"`
	PrefixBytes int     `json:"prefix_bytes"`
	// HitRate is the share of the requests whose prefix was in the engine's cache.
	HitRate float64 `json:"hit_rate"`
	// BusiestOverMean is the largest ratio of an engine's completed requests to the mean of its failure domain.
	BusiestOverMean float64 `json:"busiest_over_mean"`
	ColdOverload    int     `json:"cold_overload"`
}

// Run measures the hit rate of the engines' caches and the distribution of requests over the engines.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: entryCount, Workers: workerCount, Engine: Engine, Teams: []scene.Team{team},
	})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	client := caller.New(true)
	defer client.Close()
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed, Send: sender(cfg, s, client)}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	before := engineCounts(s)
	runner.StartPhase(phaseMeasure)
	load.Pause(ctx, cfg.Measure)
	runner.Stop()
	report := Report{
		Counts: runner.Counts(phaseMeasure), Latency: runner.Latency(phaseMeasure),
		Seed: cfg.Seed, Rate: cfg.Rate, Prefixes: cfg.Prefixes, PrefixBytes: cfg.PrefixBytes,
		ColdOverload: s.ColdOverload(),
	}
	report.setCacheResults(s, before, engineCounts(s))
	return report, ctx.Err()
}

func sender(cfg Config, s *scene.Scene, client *caller.Caller) load.Send {
	return func(ctx context.Context, n int, due time.Time) caller.Outcome {
		// The prefix depends only on the seed and the request number, so that runs with one seed send the same prompts.
		random := rand.New(rand.NewPCG(cfg.Seed+uint64(n), prefixStream))
		prefix := rand.NewZipf(random, zipfExponent, 1, uint64(cfg.Prefixes-1)).Uint64()
		prompt := fmt.Sprintf("%06d %s quote %d", prefix, strings.Repeat("x", max(0, cfg.PrefixBytes-7)), n)
		request := caller.StreamedCompletion(s.Entries[n%entryCount].URL(), team.Token(), scene.Model, prompt, Engine.Tokens)
		request.Due = due
		return client.Do(ctx, request)
	}
}

// engineCounts returns the counts of each worker's engine.
func engineCounts(s *scene.Scene) []engine.Counts {
	out := make([]engine.Counts, len(s.Workers))
	for i, worker := range s.Workers {
		out[i] = worker.Engine.Counts()
	}
	return out
}

// setCacheResults sets HitRate and BusiestOverMean from the engines' counts before and after the measurement.
func (r *Report) setCacheResults(s *scene.Scene, before, after []engine.Counts) {
	hits, misses := 0, 0
	completed, engines := make(map[core.FailureDomain]int), make(map[core.FailureDomain]int)
	for i, worker := range s.Workers {
		hits += after[i].PrefixHits - before[i].PrefixHits
		misses += after[i].PrefixMisses - before[i].PrefixMisses
		completed[worker.Host.FailureDomain] += after[i].Completed - before[i].Completed
		engines[worker.Host.FailureDomain]++
	}
	r.HitRate = float64(hits) / float64(max(1, hits+misses))
	for i, worker := range s.Workers {
		domain := worker.Host.FailureDomain
		mean := float64(max(1, completed[domain])) / float64(engines[domain])
		r.BusiestOverMean = max(r.BusiestOverMean, float64(after[i].Completed-before[i].Completed)/mean)
	}
}
