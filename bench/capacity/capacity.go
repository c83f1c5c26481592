// Package capacity measures the resource usage of an entry and its agents: without requests, for each request and for
// each relayed event.
package capacity

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
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// engineRequestLimit is the limit of requests in flight at an engine. It is high enough that no request of this
	// experiment is refused.
	engineRequestLimit = 10000
	// tokenDelay keeps the events of one response from being sent together.
	tokenDelay = 2 * time.Millisecond
	// tokensPerSecond and maxRequestsPerSecond bound the load to what the machine sustains.
	tokensPerSecond      = 4000
	maxRequestsPerSecond = 200
	// drainTime is the time allowed for processes to become idle before their idle usage is measured.
	drainTime = time.Second

	phaseWarmup  = "warmup"
	phaseMeasure = "measure"
)

// hostListInterval is the default interval of the product.
const hostListInterval = 2 * time.Second

// eventCounts holds the number of events per response in each measurement of a run.
var eventCounts = []int{1, 32, 256}

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 100000, Burst: 100000, QueueLength: 10000},
	Weight: 1,
}

// Config holds the settings of a run.
type Config struct {
	Binary string
	Seed   uint64
	// Agents is the number of agents behind the entry.
	Agents int
	// Idle is the duration of the measurement without requests. Warmup is the time with requests before each
	// measurement under load, and Measure is the duration of each of those.
	Idle, Warmup, Measure time.Duration
	// PollInterval is the time between two reads of an engine's status by its agent.
	PollInterval time.Duration
	// StatusInterval is the time between two heartbeats of the entry to its agents.
	StatusInterval time.Duration
}

// UsageRate is the resource usage of one process.
type UsageRate struct {
	CPUSecondsPerSecond float64 `json:"cpu_seconds_per_second"`
	BytesPerSecond      float64 `json:"bytes_per_second"`
	ResidentBytes       int64   `json:"resident_bytes"`
}

// Measurement is the cost of requests whose responses have a given number of events.
type Measurement struct {
	Events int     `json:"events"`
	Rate   float64 `json:"rate_per_second"`
	load.Counts
	load.Latency
	// EntryMicrosPerRequest and AgentMicrosPerRequest are the processor time per request in microseconds at the entry
	// and at all agents together, less their idle usage.
	EntryMicrosPerRequest float64 `json:"entry_cpu_us_per_request"`
	AgentMicrosPerRequest float64 `json:"agent_cpu_us_per_request"`
	// EntryResidentBytes is the resident memory of the entry after the measurement.
	EntryResidentBytes int64 `json:"entry_resident_bytes"`
}

// LinearCost is processor time in microseconds as a fixed cost per request and a cost per event, fitted by least
// squares.
type LinearCost struct {
	MicrosPerRequest float64 `json:"us_per_request"`
	MicrosPerEvent   float64 `json:"us_per_event"`
}

// Report holds the results of a run.
type Report struct {
	Seed   uint64 `json:"seed"`
	Agents int    `json:"agents"`
	// EntryIdle is the usage of the entry without requests, AgentIdle that of the average agent.
	EntryIdle    UsageRate     `json:"entry_idle"`
	AgentIdle    UsageRate     `json:"agent_idle"`
	Measurements []Measurement `json:"parts"`
	EntryCost    LinearCost    `json:"entry"`
	AgentCost    LinearCost    `json:"agent"`
}

// Run measures one entry and its agents.
func Run(ctx context.Context, cfg Config) (Report, error) {
	report := Report{Seed: cfg.Seed, Agents: cfg.Agents}
	if err := measureIdle(ctx, cfg, &report); err != nil {
		return report, err
	}
	for _, events := range eventCounts {
		measurement, err := measureLoad(ctx, cfg, report, events)
		if err != nil {
			return report, err
		}
		report.Measurements = append(report.Measurements, measurement)
	}
	report.EntryCost = fitLinearCost(report.Measurements, func(m Measurement) float64 { return m.EntryMicrosPerRequest })
	report.AgentCost = fitLinearCost(report.Measurements, func(m Measurement) float64 { return m.AgentMicrosPerRequest })
	return report, ctx.Err()
}

// startScene starts one entry and its agents, whose engines send the given number of events per response.
func startScene(ctx context.Context, cfg Config, events int) (*scene.Scene, error) {
	return scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: 1, Workers: cfg.Agents, Teams: []scene.Team{team},
		Engine: engine.Config{Tokens: events, TokenDelay: tokenDelay, ColdLimit: engineRequestLimit, WarmLimit: engineRequestLimit, WarmupCompletions: 1},
		Options: []cluster.Option{func(c *config.Config) {
			c.Platform.HostListInterval = hostListInterval
			if c.Entry != nil {
				c.Entry.StatusInterval = cfg.StatusInterval
			}
			if c.Agent != nil {
				c.Agent.PollInterval = cfg.PollInterval
			}
		}},
	})
}

func measureIdle(ctx context.Context, cfg Config, report *Report) error {
	s, err := startScene(ctx, cfg, 1)
	if err != nil {
		return err
	}
	defer s.Close()
	load.Pause(ctx, drainTime)
	report.EntryIdle, report.AgentIdle, err = idleUsageRates(ctx, s, cfg.Idle)
	return err
}

func measureLoad(ctx context.Context, cfg Config, idle Report, events int) (Measurement, error) {
	s, err := startScene(ctx, cfg, events)
	if err != nil {
		return Measurement{}, err
	}
	defer s.Close()
	client := caller.New(true)
	defer client.Close()
	measurement := Measurement{Events: events, Rate: min(maxRequestsPerSecond, tokensPerSecond/float64(events))}
	send := func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := s.StreamedCompletion(s.Entries[0].URL(), team, n)
		request.Due = due
		return client.Do(ctx, request)
	}
	runner := load.Start(ctx, load.Config{Rate: measurement.Rate, Seed: cfg.Seed, Send: send}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	entry, agents, err := measureUsage(s, func() {
		runner.StartPhase(phaseMeasure)
		load.Pause(ctx, cfg.Measure)
		runner.Stop()
	})
	if err != nil {
		return measurement, err
	}
	measurement.Counts, measurement.Latency = runner.Counts(phaseMeasure), runner.Latency(phaseMeasure)
	measurement.EntryResidentBytes = entry.ResidentBytes
	requests := float64(max(1, measurement.Succeeded))
	measurement.EntryMicrosPerRequest = (entry.CPUSeconds - idle.EntryIdle.CPUSecondsPerSecond*entry.Seconds) * microsPerSecond / requests
	measurement.AgentMicrosPerRequest = (agents.CPUSeconds - idle.AgentIdle.CPUSecondsPerSecond*float64(cfg.Agents)*agents.Seconds) * microsPerSecond / requests
	return measurement, nil
}

const microsPerSecond = 1e6

// intervalUsage is the resource usage of processes within a number of seconds.
type intervalUsage struct {
	cluster.Usage
	Seconds float64
}

// measureUsage returns the usage of the entry and of all agents together while workload runs.
func measureUsage(s *scene.Scene, workload func()) (entry, agents intervalUsage, err error) {
	entryBefore, err1 := totalUsage(s.Entries)
	agentsBefore, err2 := totalUsage(s.Workers)
	started := time.Now()
	workload()
	elapsed := time.Since(started).Seconds()
	entryAfter, err3 := totalUsage(s.Entries)
	agentsAfter, err4 := totalUsage(s.Workers)
	entry = intervalUsage{Usage: usageDelta(entryAfter, entryBefore), Seconds: elapsed}
	agents = intervalUsage{Usage: usageDelta(agentsAfter, agentsBefore), Seconds: elapsed}
	return entry, agents, errors.Join(err1, err2, err3, err4)
}

func totalUsage(processes []*cluster.Process) (cluster.Usage, error) {
	var sum cluster.Usage
	for _, p := range processes {
		usage, err := p.ReadUsage()
		if err != nil {
			return sum, fmt.Errorf("read usage of %s: %w", p.Host.ID, err)
		}
		sum.CPUSeconds += usage.CPUSeconds
		sum.IOBytes += usage.IOBytes
		sum.ResidentBytes += usage.ResidentBytes
	}
	return sum, nil
}

func usageDelta(after, before cluster.Usage) cluster.Usage {
	after.CPUSeconds -= before.CPUSeconds
	after.IOBytes -= before.IOBytes
	return after
}

// idleUsageRates returns the usage of the entry and of the average agent over d without requests.
func idleUsageRates(ctx context.Context, s *scene.Scene, d time.Duration) (entry, agent UsageRate, err error) {
	entryUsage, agentsUsage, err := measureUsage(s, func() { load.Pause(ctx, d) })
	n := len(s.Workers)
	return entryUsage.ratePerProcess(1), agentsUsage.ratePerProcess(n), err
}

func (u intervalUsage) ratePerProcess(processes int) UsageRate {
	return UsageRate{
		CPUSecondsPerSecond: u.CPUSeconds / u.Seconds / float64(processes),
		BytesPerSecond:      float64(u.IOBytes) / u.Seconds / float64(processes),
		ResidentBytes:       u.ResidentBytes / int64(processes),
	}
}

// fitLinearCost returns the line through the measurements with the least squared error.
func fitLinearCost(measurements []Measurement, costOf func(Measurement) float64) LinearCost {
	var count, x, y, xx, xy float64
	for _, m := range measurements {
		events, cost := float64(m.Events), costOf(m)
		count++
		x += events
		y += cost
		xx += events * events
		xy += events * cost
	}
	slope := (count*xy - x*y) / (count*xx - x*x)
	return LinearCost{MicrosPerRequest: (y - slope*x) / count, MicrosPerEvent: slope}
}
