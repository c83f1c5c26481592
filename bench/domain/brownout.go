package domain

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// notWarm is the time to warm of engines that did not turn warm.
const notWarm = -1

// brownOut restarts a part of the engines at once, so that they are cold under full load.
func (r *run) brownOut(ctx context.Context, runner *load.Runner) error {
	restarted := r.scene.Workers[:int(math.Round(r.cfg.RestartShare*float64(len(r.scene.Workers))))]
	if len(restarted) == 0 {
		return ctx.Err()
	}
	runner.StartPhase(phaseDuring)
	started := time.Now()
	for _, worker := range restarted {
		r.report.InFlightAtRestart += worker.Engine.Status().InFlight
		worker.Engine.Restart()
	}
	r.report.Restarted = len(restarted)
	r.report.SecondsToWarm = notWarm
	bounded, cancel := context.WithDeadline(ctx, started.Add(r.cfg.During))
	defer cancel()
	if cluster.WaitFor(bounded, func() bool { return allWarm(bounded, restarted) }) == nil {
		r.report.SecondsToWarm = time.Since(started).Seconds()
	}
	load.Pause(ctx, time.Until(started.Add(r.cfg.During)))
	return ctx.Err()
}

func allWarm(ctx context.Context, workers []*cluster.Process) bool {
	for _, worker := range workers {
		// The engine's own state tells a restart that the agent has not seen yet.
		if !worker.Engine.Warm() {
			return false
		}
		if state, err := worker.ReadAgentState(ctx); err != nil || state.State != core.UpstreamWarm {
			return false
		}
	}
	return true
}

// carriedShare returns the successes of a phase over the requests that the engines that stayed warm can carry.
func (r *run) carriedShare(counts load.Counts, lasted time.Duration) float64 {
	left := len(r.scene.Workers) - r.report.Restarted
	if !r.cfg.KeepInService {
		left -= len(r.leaving())
	}
	serviceTime := time.Duration(Engine.Tokens) * Engine.TokenDelay
	completions := float64(left*Engine.WarmLimit) * lasted.Seconds() / serviceTime.Seconds()
	carried := min(float64(counts.Requests), completions*bookingShare/(bookingShare-1))
	return float64(counts.Succeeded) / max(1, carried)
}

// countAttempts reads how often the entries tried the requests that they forwarded.
func (r *run) countAttempts(ctx context.Context) error {
	forwarded, attempts := 0, 0
	for _, entry := range r.scene.Entries {
		vars, err := entry.ReadMetrics(ctx)
		if err != nil {
			return eris.Wrap(err, "read metrics of an entry")
		}
		forwarded += number(vars["entry_requests_forwarded"])
		attempts += number(vars["entry_attempts"])
		r.report.AgentRefusals += number(vars["entry_agent_refusals"])
	}
	r.report.AttemptsPerRequest = float64(attempts) / float64(max(1, forwarded))
	return nil
}

// number decodes a metric; a missing one is 0.
func number(raw json.RawMessage) int {
	var n int
	_ = json.Unmarshal(raw, &n)
	return n
}
