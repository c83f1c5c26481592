// Package domain measures service under steady load, optionally while a failure domain is taken out of service and put
// back, or while engines restart.
package domain

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/scene"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	entryCount   = 2
	serviceCount = 3
	// requestsPerBooking is the number of requests of which one is a booking; the others are streamed completions.
	requestsPerBooking = 10
	// drainTimeout bounds the wait until the engines of a failure domain are idle.
	drainTimeout = 10 * time.Second

	phaseWarmup = "warmup"
	phaseBefore = "before"
	phaseDuring = "during"
	phaseAfter  = "after"
)

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 10000, Burst: 10000, QueueLength: 1000},
	Weight: 1,
}

// Engine configures the engine of each worker. A cold engine handles 2 concurrent requests. A warm one gets at most 8,
// because scene sets the same limits for the agents.
var Engine = engine.Config{
	Tokens: 10, TokenDelay: 10 * time.Millisecond,
	ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 16,
	LoadLag: 200 * time.Millisecond, KeepsWeights: true,
}

// Config configures a run.
type Config struct {
	Binary  string
	Seed    uint64
	Workers int
	// Rate is the mean number of requests per second.
	Rate float64
	// Warmup, Before, During and After are the durations of the phases.
	Warmup, Before, During, After time.Duration
	// DomainIndex is the index in scene.Domains of the failure domain that is taken out of service.
	DomainIndex int
	// KeepInService skips taking the failure domain out of service.
	KeepInService bool
	// RestartShare is the share of the workers whose engines restart at once at the start of the phase During. It applies
	// only with KeepInService.
	RestartShare float64
	// Policy is the entries' routing policy; empty means the default.
	Policy string
}

// Report holds the results of a run.
type Report struct {
	load.Counts
	Seed         uint64       `json:"seed"`
	Rate         float64      `json:"rate_per_second"`
	Workers      int          `json:"workers"`
	Duplicated   int          `json:"duplicated"`
	ColdOverload int          `json:"cold_overload"`
	Before       load.Latency `json:"before"`
	// SecondsToLastNewRequest is the time from the accepted change of settings to the last request that reached an engine
	// of the failure domain; 0 means that none did after the change.
	SecondsToLastNewRequest float64       `json:"seconds_to_last_new_request"`
	SecondsToIdle           float64       `json:"seconds_to_idle"`
	During                  *load.Latency `json:"during,omitempty"`
	After                   *load.Latency `json:"after,omitempty"`
	// ReturnedServed is the number of requests that engines of the failure domain completed after its return.
	ReturnedServed int `json:"returned_served"`
	// DuringCounts are the outcomes of the phase During. CarriedShare is the number of its successful requests over the
	// number that the engines that stayed warm have capacity for.
	DuringCounts *load.Counts `json:"during_counts,omitempty"`
	CarriedShare float64      `json:"carried_share"`
	// Restarted is the number of engines that restarted. SecondsToWarm is the time until all of them were warm again, or
	// -1 if they were not at the end of the phase.
	Restarted int `json:"restarted"`
	// InFlightAtRestart is the number of requests in those engines, whose streams the restart cuts.
	InFlightAtRestart int     `json:"in_flight_at_restart"`
	SecondsToWarm     float64 `json:"seconds_to_warm"`
	// AttemptsPerRequest is the mean number of attempts at agents for a request that an entry forwarded.
	AttemptsPerRequest float64  `json:"attempts_per_request"`
	AgentRefusals      int      `json:"agent_refusals"`
	Policy             string   `json:"policy"`
	Errors             []string `json:"errors,omitempty"`
}

// Check returns an error if requests failed, were cut off without a restart, ran twice or overloaded a cold engine.
func (r Report) Check() error {
	// A restart cuts the streams in the engines, so only cuts beyond those are a fault of the system.
	cutOff := max(0, r.CutOff-r.InFlightAtRestart)
	if r.Failed+cutOff+r.Duplicated+r.ColdOverload == 0 {
		return nil
	}
	return eris.Errorf("failed %d, cut off %d, duplicated %d, cold overload %d", r.Failed, r.CutOff, r.Duplicated, r.ColdOverload)
}

// run is the state of one experiment.
type run struct {
	cfg      Config
	scene    *scene.Scene
	balancer *caller.Balancer
	caller   *caller.Caller
	report   Report
}

// Run measures service under steady load. Unless KeepInService is set, it takes a failure domain out of service and
// puts it back.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: entryCount, Workers: cfg.Workers, Services: serviceCount,
		Engine: Engine, Teams: []scene.Team{team}, Policy: cfg.Policy,
	})
	if err != nil {
		return Report{}, err
	}
	defer s.Close()
	r := &run{cfg: cfg, scene: s, balancer: caller.NewBalancer(ctx, s.Entries...), caller: caller.New(true)}
	defer r.balancer.Close()
	defer r.caller.Close()
	runner := load.Start(ctx, load.Config{Rate: cfg.Rate, Seed: cfg.Seed, Send: r.send}, phaseWarmup)
	err = r.runPhases(ctx, runner)
	runner.Stop()
	r.fillReport(runner)
	return r.report, errors.Join(err, r.readAttemptMetrics(ctx))
}

func (r *run) send(ctx context.Context, n int, due time.Time) caller.Outcome {
	return r.balancer.Send(ctx, r.caller, func(base string) caller.Request {
		request := r.scene.StreamedCompletion(base, team, n)
		if n%requestsPerBooking == 0 {
			request = r.scene.Booking(base, team, n)
		}
		request.Due = due
		return request
	})
}

func (r *run) runPhases(ctx context.Context, runner *load.Runner) error {
	load.Pause(ctx, r.cfg.Warmup)
	runner.StartPhase(phaseBefore)
	load.Pause(ctx, r.cfg.Before)
	if r.cfg.KeepInService {
		return r.restartEngines(ctx, runner)
	}
	runner.StartPhase(phaseDuring)
	if err := r.takeDomainOut(ctx); err != nil {
		return err
	}
	runner.StartPhase(phaseAfter)
	servedBefore := r.completedRequests()
	if err := r.setDomainState(ctx, 1, settings.FailureDomainIn); err != nil {
		return err
	}
	load.Pause(ctx, r.cfg.After)
	r.report.ReturnedServed = r.completedRequests() - servedBefore
	return ctx.Err()
}

// takeDomainOut takes the failure domain out of service, waits for the end of the phase and restarts the engines of the
// failure domain, so that they are cold when it returns to service.
func (r *run) takeDomainOut(ctx context.Context) error {
	if err := r.setDomainState(ctx, 0, settings.FailureDomainOut); err != nil {
		return err
	}
	accepted := time.Now()
	if err := r.waitUntilIdle(ctx); err != nil {
		return err
	}
	r.report.SecondsToIdle = time.Since(accepted).Seconds()
	load.Pause(ctx, r.cfg.During-time.Since(accepted))
	for _, worker := range r.domainWorkers() {
		last := worker.Engine.LastRequestTime().Sub(accepted).Seconds()
		r.report.SecondsToLastNewRequest = max(r.report.SecondsToLastNewRequest, last)
		worker.Engine.Restart()
	}
	return ctx.Err()
}

// setDomainState writes the state of the failure domain to its settings document, which must have version base.
func (r *run) setDomainState(ctx context.Context, base uint64, state settings.FailureDomainState) error {
	name := scene.Domains[r.cfg.DomainIndex]
	body := settings.FailureDomainSettings{Region: core.Region(name), State: state}
	_, err := cluster.ApplyDocument(ctx, r.scene.Entries[entryCount-1], settings.FailureDomainPath(name), base, body)
	return err
}

// domainWorkers returns the workers in the failure domain with index DomainIndex.
func (r *run) domainWorkers() []*cluster.Process {
	var out []*cluster.Process
	for _, worker := range r.scene.Workers {
		if worker.Host.FailureDomain == scene.Domains[r.cfg.DomainIndex] {
			out = append(out, worker)
		}
	}
	return out
}

func (r *run) waitUntilIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	err := cluster.WaitFor(ctx, func() bool {
		for _, worker := range r.domainWorkers() {
			if worker.Engine.Status().InFlight > 0 {
				return false
			}
		}
		return true
	})
	return eris.Wrap(err, "engines of the failure domain out of service are not idle")
}

// completedRequests returns the number of requests completed by the engines of the failure domain.
func (r *run) completedRequests() int {
	n := 0
	for _, worker := range r.domainWorkers() {
		n += worker.Engine.Counts().Completed
	}
	return n
}

func (r *run) fillReport(runner *load.Runner) {
	r.report.Counts = runner.Counts()
	r.report.Seed = r.cfg.Seed
	r.report.Rate = r.cfg.Rate
	r.report.Workers = r.cfg.Workers
	r.report.Duplicated = r.scene.DuplicatedBookings()
	r.report.ColdOverload = r.scene.ColdOverload()
	r.report.Errors = runner.ErrorDetails()
	r.report.Before = runner.Latency(phaseBefore)
	r.report.Policy = r.cfg.Policy
	if r.cfg.KeepInService && r.report.Restarted == 0 {
		return
	}
	during, counts := runner.Latency(phaseDuring), runner.Counts(phaseDuring)
	r.report.During, r.report.DuringCounts = &during, &counts
	r.report.CarriedShare = r.carriedShare(counts, runner.Duration(phaseDuring))
	if !r.cfg.KeepInService {
		after := runner.Latency(phaseAfter)
		r.report.After = &after
	}
}
