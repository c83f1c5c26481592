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

// neverWarm is the value of Report.SecondsToWarm when an engine did not become warm in time.
const neverWarm = -1

// restartEngines restarts a share of the engines at once, so that they are cold under full load, and waits until the
// end of the phase. It does nothing if RestartShare selects no engine.
func (r *run) restartEngines(ctx context.Context, runner *load.Runner) error {
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
	r.report.SecondsToWarm = neverWarm
	phaseCtx, cancel := context.WithDeadline(ctx, started.Add(r.cfg.During))
	defer cancel()
	if cluster.WaitFor(phaseCtx, func() bool { return allWarm(phaseCtx, restarted) }) == nil {
		r.report.SecondsToWarm = time.Since(started).Seconds()
	}
	load.Pause(ctx, time.Until(started.Add(r.cfg.During)))
	return ctx.Err()
}

// allWarm reports whether all workers are warm according to both the engine and its agent.
func allWarm(ctx context.Context, workers []*cluster.Process) bool {
	for _, worker := range workers {
		// The engine's own state also shows a restart that its agent has not observed yet.
		if !worker.Engine.Warm() {
			return false
		}
		if state, err := worker.ReadAgentState(ctx); err != nil || state.State != core.UpstreamWarm {
			return false
		}
	}
	return true
}

// carriedShare returns the successful requests of a phase over those that the engines that stayed warm have capacity
// for.
func (r *run) carriedShare(counts load.Counts, duration time.Duration) float64 {
	warmWorkers := len(r.scene.Workers) - r.report.Restarted
	if !r.cfg.KeepInService {
		warmWorkers -= len(r.domainWorkers())
	}
	serviceTime := time.Duration(Engine.Tokens) * Engine.TokenDelay
	completions := float64(warmWorkers*Engine.WarmLimit) * duration.Seconds() / serviceTime.Seconds()
	capacity := min(float64(counts.Requests), completions*requestsPerBooking/(requestsPerBooking-1))
	return float64(counts.Succeeded) / max(1, capacity)
}

// readAttemptMetrics reads the numbers of forwarded requests, attempts and refusals by agents from the entries'
// metrics.
func (r *run) readAttemptMetrics(ctx context.Context) error {
	forwarded, attempts := 0, 0
	for _, entry := range r.scene.Entries {
		vars, err := entry.ReadMetrics(ctx)
		if err != nil {
			return eris.Wrap(err, "read metrics of an entry")
		}
		forwarded += decodeMetric(vars["entry_requests_forwarded"])
		attempts += decodeMetric(vars["entry_attempts"])
		r.report.AgentRefusals += decodeMetric(vars["entry_agent_refusals"])
	}
	r.report.AttemptsPerRequest = float64(attempts) / float64(max(1, forwarded))
	return nil
}

// decodeMetric decodes a metric. A missing metric counts as 0.
func decodeMetric(value json.RawMessage) int {
	var n int
	_ = json.Unmarshal(value, &n)
	return n
}
