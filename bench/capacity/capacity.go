// Package capacity measures what an entry and an agent use when idle, for each request and for each relayed event.
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
	// limit is the number of requests in flight that an engine bears; it refuses none in this experiment.
	limit = 10000
	// tokenDelay keeps events of one response from being sent together.
	tokenDelay = 2 * time.Millisecond
	// tokensPerSecond and maxRate bound the load, so that the machine keeps up.
	tokensPerSecond = 4000
	maxRate         = 200
	// drainTime is the time in which requests under way end, and their cost with them.
	drainTime = time.Second

	phaseWarmup  = "warmup"
	phaseMeasure = "measure"
)

// hostListInterval is the product's default.
const hostListInterval = 2 * time.Second

// eventCounts are the events of a response in the parts of a run.
var eventCounts = []int{1, 32, 256}

var team = scene.Team{
	Name:   "litoral",
	Limits: settings.TeamLimits{RequestsPerSecond: 100000, Burst: 100000, QueueLength: 10000},
	Weight: 1,
}

// Config sets up a run.
type Config struct {
	Binary string
	Seed   uint64
	// Agents is the number of agents behind the entry.
	Agents int
	// Idle is the time without requests, Warmup that with requests before each part, and Measure that of each part.
	Idle, Warmup, Measure time.Duration
	// PollInterval is the time between two reads of an engine's status by its agent.
	PollInterval time.Duration
	// StatusInterval is the time between two heartbeats of the entry.
	StatusInterval time.Duration
}

// UsageRate is what one process uses.
type UsageRate struct {
	CPUSecondsPerSecond float64 `json:"cpu_seconds_per_second"`
	BytesPerSecond      float64 `json:"bytes_per_second"`
	ResidentBytes       int64   `json:"resident_bytes"`
}

// Measurement is what requests with one number of events cost.
type Measurement struct {
	Events int     `json:"events"`
	Rate   float64 `json:"rate_per_second"`
	load.Counts
	load.Latency
	// EntryMicrosPerRequest and AgentMicros are the processor time for a request at the entry and at the agents, above idle.
	EntryMicrosPerRequest float64 `json:"entry_cpu_us_per_request"`
	AgentMicrosPerRequest float64 `json:"agent_cpu_us_per_request"`
	// EntryResidentBytes is the resident memory of the entry after the part.
	EntryResidentBytes int64 `json:"entry_resident_bytes"`
}

// LinearCost splits processor time into a part for each request and one for each event, by least squares.
type LinearCost struct {
	MicrosPerRequest float64 `json:"us_per_request"`
	MicrosPerEvent   float64 `json:"us_per_event"`
}

// Report is what a run measured.
type Report struct {
	Seed   uint64 `json:"seed"`
	Agents int    `json:"agents"`
	// EntryIdle is the entry without requests, and AgentIdle the average agent.
	EntryIdle    UsageRate     `json:"entry_idle"`
	AgentIdle    UsageRate     `json:"agent_idle"`
	Measurements []Measurement `json:"parts"`
	EntryCost    LinearCost    `json:"entry"`
	AgentCost    LinearCost    `json:"agent"`
}

// Run measures one entry with its agents.
func Run(ctx context.Context, cfg Config) (Report, error) {
	out := Report{Seed: cfg.Seed, Agents: cfg.Agents}
	if err := runIdle(ctx, cfg, &out); err != nil {
		return out, err
	}
	for _, events := range eventCounts {
		part, err := runPart(ctx, cfg, out, events)
		if err != nil {
			return out, err
		}
		out.Measurements = append(out.Measurements, part)
	}
	out.EntryCost = fit(out.Measurements, func(p Measurement) float64 { return p.EntryMicrosPerRequest })
	out.AgentCost = fit(out.Measurements, func(p Measurement) float64 { return p.AgentMicrosPerRequest })
	return out, ctx.Err()
}

// start starts one entry and its agents, whose engines send events.
func start(ctx context.Context, cfg Config, events int) (*scene.Scene, error) {
	return scene.New(ctx, scene.Spec{
		Binary: cfg.Binary, Entries: 1, Workers: cfg.Agents, Teams: []scene.Team{team},
		Engine: engine.Config{Tokens: events, TokenDelay: tokenDelay, ColdLimit: limit, WarmLimit: limit, WarmupCompletions: 1},
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

func runIdle(ctx context.Context, cfg Config, out *Report) error {
	s, err := start(ctx, cfg, 1)
	if err != nil {
		return err
	}
	defer s.Close()
	load.Pause(ctx, drainTime)
	out.EntryIdle, out.AgentIdle, err = use(ctx, s, cfg.Idle)
	return err
}

func runPart(ctx context.Context, cfg Config, idle Report, events int) (Measurement, error) {
	s, err := start(ctx, cfg, events)
	if err != nil {
		return Measurement{}, err
	}
	defer s.Close()
	client := caller.New(true)
	defer client.Close()
	out := Measurement{Events: events, Rate: min(maxRate, tokensPerSecond/float64(events))}
	send := func(ctx context.Context, n int, due time.Time) caller.Outcome {
		request := s.StreamedCompletion(s.Entries[0].URL(), team, n)
		request.Due = due
		return client.Do(ctx, request)
	}
	runner := load.Start(ctx, load.Config{Rate: out.Rate, Seed: cfg.Seed, Send: send}, phaseWarmup)
	load.Pause(ctx, cfg.Warmup)
	entry, agent, err := useWhile(s, func() {
		runner.StartPhase(phaseMeasure)
		load.Pause(ctx, cfg.Measure)
		runner.Stop()
	})
	if err != nil {
		return out, err
	}
	out.Counts, out.Latency = runner.Counts(phaseMeasure), runner.Latency(phaseMeasure)
	out.EntryResidentBytes = entry.ResidentBytes
	requests := float64(max(1, out.Succeeded))
	out.EntryMicrosPerRequest = (entry.CPUSeconds - idle.EntryIdle.CPUSecondsPerSecond*entry.Seconds) * micros / requests
	out.AgentMicrosPerRequest = (agent.CPUSeconds - idle.AgentIdle.CPUSecondsPerSecond*float64(cfg.Agents)*agent.Seconds) * micros / requests
	return out, nil
}

const micros = 1e6

// spent is what processes used over a time.
type spent struct {
	cluster.Usage
	Seconds float64
}

// useWhile returns what the entry and all agents together used while part ran.
func useWhile(s *scene.Scene, part func()) (entry, agents spent, err error) {
	entryBefore, err1 := total(s.Entries)
	agentsBefore, err2 := total(s.Workers)
	began := time.Now()
	part()
	elapsed := time.Since(began).Seconds()
	entryAfter, err3 := total(s.Entries)
	agentsAfter, err4 := total(s.Workers)
	entry = spent{Usage: minus(entryAfter, entryBefore), Seconds: elapsed}
	agents = spent{Usage: minus(agentsAfter, agentsBefore), Seconds: elapsed}
	return entry, agents, errors.Join(err1, err2, err3, err4)
}

func total(processes []*cluster.Process) (cluster.Usage, error) {
	var sum cluster.Usage
	for _, p := range processes {
		usage, err := p.ReadUsage()
		if err != nil {
			return sum, fmt.Errorf("use of %s: %w", p.Host.ID, err)
		}
		sum.CPUSeconds += usage.CPUSeconds
		sum.IOBytes += usage.IOBytes
		sum.ResidentBytes += usage.ResidentBytes
	}
	return sum, nil
}

func minus(after, before cluster.Usage) cluster.Usage {
	after.CPUSeconds -= before.CPUSeconds
	after.IOBytes -= before.IOBytes
	return after
}

// use returns what the entry and the average agent use over d without requests.
func use(ctx context.Context, s *scene.Scene, d time.Duration) (entry, agent UsageRate, err error) {
	e, a, err := useWhile(s, func() { load.Pause(ctx, d) })
	n := len(s.Workers)
	return e.perSecond(1), a.perSecond(n), err
}

func (s spent) perSecond(n int) UsageRate {
	return UsageRate{
		CPUSecondsPerSecond: s.CPUSeconds / s.Seconds / float64(n),
		BytesPerSecond:      float64(s.IOBytes) / s.Seconds / float64(n),
		ResidentBytes:       s.ResidentBytes / int64(n),
	}
}

// fit returns the line through the parts with the least squared error.
func fit(parts []Measurement, of func(Measurement) float64) LinearCost {
	var n, x, y, xx, xy float64
	for _, p := range parts {
		events, cost := float64(p.Events), of(p)
		n++
		x += events
		y += cost
		xx += events * events
		xy += events * cost
	}
	slope := (n*xy - x*y) / (n*xx - x*x)
	return LinearCost{MicrosPerRequest: (y - slope*x) / n, MicrosPerEvent: slope}
}
