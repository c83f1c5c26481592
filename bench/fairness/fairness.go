// Package fairness measures the effect of a large team's burst on a small team's requests.
package fairness

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/scene"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	workerCount = 4
	phaseWarmup = "warmup"
	phaseAlone  = "alone"
	phaseBurst  = "burst"
	// burstSeedOffset gives the large team arrivals that differ from the small team's.
	burstSeedOffset = 1000
)

// The limits of both teams exceed the capacity of the workers, so that only fair sharing protects the small team.
var (
	smallTeam = scene.Team{
		Name:   "franquicia",
		Limits: settings.TeamLimits{RequestsPerSecond: 2000, Burst: 2000, QueueLength: 200},
		Weight: 1,
	}
	largeTeam = scene.Team{
		Name:   "mayorista",
		Limits: settings.TeamLimits{RequestsPerSecond: 2000, Burst: 2000, QueueLength: 200},
		Weight: 1,
	}
)

// Engine configures the engine of each worker. A warm engine gets at most 8 concurrent requests, because scene sets the
// same limits for the agents, and serves each within about 50 ms.
var Engine = engine.Config{
	Tokens: 5, TokenDelay: 10 * time.Millisecond,
	ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 16,
	KeepsWeights: true,
}

// Config configures a run.
type Config struct {
	Binary string
	Seed   uint64
	// SmallRate and LargeRate are the mean numbers of requests per second of the teams.
	SmallRate, LargeRate float64
	// Warmup, Alone and Burst are the durations of the phases.
	Warmup, Alone, Burst time.Duration
}

// Report holds the results of a run.
type Report struct {
	Seed      uint64  `json:"seed"`
	SmallRate float64 `json:"small_rate_per_second"`
	LargeRate float64 `json:"large_rate_per_second"`
	// Alone and UnderBurst are the small team's latencies.
	Alone            load.Latency `json:"small_alone"`
	UnderBurst       load.Latency `json:"small_under_burst"`
	AloneCounts      load.Counts  `json:"small_alone_counts"`
	UnderBurstCounts load.Counts  `json:"small_under_burst_counts"`
	Large            load.Latency `json:"large"`
	LargeCounts      load.Counts  `json:"large_counts"`
	// P99Ratio is the small team's p99 under the burst over its p99 alone.
	P99Ratio float64 `json:"p99_ratio"`
	// RefusedShare is the share of the small team's requests that were refused under the burst.
	RefusedShare float64 `json:"small_refused_share"`
	ColdOverload int     `json:"cold_overload"`
}

// Run measures the small team alone, then under the large team's burst.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: 1, Workers: workerCount, Engine: Engine, Teams: []scene.Team{smallTeam, largeTeam},
	})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	client := caller.New(true)
	defer client.Close()
	smallLoad := load.Start(ctx, load.Config{Rate: cfg.SmallRate, Seed: cfg.Seed, Send: sender(s, client, smallTeam)}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	smallLoad.StartPhase(phaseAlone)
	load.Pause(ctx, cfg.Alone)
	smallLoad.StartPhase(phaseBurst)
	burst := load.Config{Rate: cfg.LargeRate, Seed: cfg.Seed + burstSeedOffset, Send: sender(s, client, largeTeam)}
	largeLoad := load.Start(ctx, burst, phaseBurst)
	load.Pause(ctx, cfg.Burst)
	smallLoad.Stop()
	largeLoad.Stop()
	return report(cfg, s, smallLoad, largeLoad), ctx.Err()
}

// sender returns a function that sends a team's streamed completions to the entry.
func sender(s *scene.Scene, client *caller.Caller, team scene.Team) load.Send {
	return func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := s.StreamedCompletion(s.Entries[0].URL(), team, n)
		request.Due = due
		return client.Do(ctx, request)
	}
}

func report(cfg Config, s *scene.Scene, smallLoad, largeLoad *load.Runner) Report {
	out := Report{
		Seed:             cfg.Seed,
		SmallRate:        cfg.SmallRate,
		LargeRate:        cfg.LargeRate,
		Alone:            smallLoad.Latency(phaseAlone),
		UnderBurst:       smallLoad.Latency(phaseBurst),
		AloneCounts:      smallLoad.Counts(phaseAlone),
		UnderBurstCounts: smallLoad.Counts(phaseBurst),
		Large:            largeLoad.Latency(phaseBurst),
		LargeCounts:      largeLoad.Counts(phaseBurst),
		ColdOverload:     s.ColdOverload(),
	}
	out.P99Ratio = out.UnderBurst.P99 / out.Alone.P99
	out.RefusedShare = float64(out.UnderBurstCounts.Refused) / float64(max(1, out.UnderBurstCounts.Requests))
	return out
}
