// Package fleetsim simulates entries that choose replicas with a dispatch.Balancer, or by simpler rules as baselines, in virtual time and
// without a network.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/fakeengine"
	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Rule is how entries choose the engine of a request.
type Rule string

const (
	// ByStart is the placement by expected start.
	ByStart Rule = "expected start"
	// ByHeader is the placement by load headers.
	ByHeader Rule = "load header"
	// ByCount is Balancer.score for engines without published figures, and for services whose load header is not known.
	ByCount Rule = "score by count"
	// LeastOfTwo is the least in flight from this host of two random replicas.
	LeastOfTwo Rule = "least in flight of two"
)

// StreamKind is a kind of request. Lengths are log-normal with the given means.
type StreamKind struct {
	PerSecond           float64
	Objective, Deadline time.Duration
	Priority            int
	Prompt, Output      float64
	// Spread is the standard deviation of the logarithm of the output length.
	Spread float64
}

// Streams describes a simulated deployment. All engines of a region are in one failure domain.
type Streams struct {
	Regions, Engines, Entries int
	Performance               fleet.EnginePerformance
	Slots, Queue              int
	Kinds                     []StreamKind
	// Delay is the one-way delay between two regions.
	Delay time.Duration
	// Pace returns the pace of an engine at a time; nil means 1. Unstated keeps it out of the reports.
	Pace     func(engine int, at time.Duration) float64
	Unstated bool
	// Surge is the factor of the demand in the first region in the second half of the run, 0 for none.
	Surge float64
	// Lost is the share of reports that are lost.
	Lost float64
	// Duration is the time of the run. Requests arrive until their deadline would be later.
	Duration time.Duration
}

// StreamResult counts the requests of a run.
type StreamResult struct {
	arrived, inObjective, served, refused, distant, sent int
	// arrivedHome and inObjectiveHome count those of the first region.
	arrivedHome, inObjectiveHome int
	// ForecastErrors holds the relative errors of the forecasts that were compared with a response.
	ForecastErrors []float64
	// ByPriority counts the requests of each priority, and those in the objective.
	ByPriority [3][2]int
}

// Share returns the share of requests whose first event was within the objective.
func (r *StreamResult) Share() float64 { return float64(r.inObjective) / float64(r.arrived) }

func (r *StreamResult) String() string {
	var kinds [3]float64
	for i, counts := range r.ByPriority {
		kinds[i] = float64(counts[1]) / float64(max(counts[0], 1))
	}
	return fmt.Sprintf("in objective %.4f %.2f served %.4f distant %.4f refused %.4f first region %.4f", r.Share(), kinds,
		r.ServedShare(), r.DistantShare(), float64(r.refused)/float64(r.arrived), r.FirstRegionShare())
}

// start is the time at which runs start.
var start = time.Unix(1000, 0)

type simEntry struct {
	region   int
	balancer *dispatch.Balancer
	inFlight []int
}

type streamRun struct {
	*Streams
	rule    Rule
	clock   *virtualtime.Queue
	random  *rand.Rand
	hosts   []*simEntry
	servers []*fakeengine.Engine
	result  StreamResult
}

// Run simulates the deployment with a rule.
func (f *Streams) Run(rule Rule, seed uint64) *StreamResult {
	r := &streamRun{
		Streams: f, rule: rule, clock: virtualtime.NewQueue(start), random: rand.New(rand.NewPCG(seed, 99)),
	}
	v, regions := f.View(rule == ByStart)
	for i := range f.Engines {
		engine := &fakeengine.Engine{Performance: f.Performance, Slots: f.Slots, Queue: f.Queue, Clock: r.clock}
		if f.Pace != nil {
			engine.Pace = func() float64 { return f.Pace(i, r.clock.Now().Sub(start)) }
		}
		r.servers = append(r.servers, engine)
		r.clock.After(time.Duration(i)*200*time.Millisecond/time.Duration(f.Engines), func() { r.report(i) })
	}
	for i := range f.Entries {
		cfg := dispatch.DefaultConfig()
		cfg.FailureDomain, cfg.Region, cfg.Regions = Domain(i%f.Regions), Region(i%f.Regions), regions
		b := dispatch.NewBalancer(cfg, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		b.SetView(v)
		r.hosts = append(r.hosts, &simEntry{region: i % f.Regions, balancer: b, inFlight: make([]int, f.Engines)})
	}
	for _, kind := range f.Kinds {
		r.clock.After(0, func() { r.arrive(kind) })
	}
	r.clock.Run(start.Add(f.Duration))
	return &r.result
}

// Domain and Region return the names of a region's failure domain and of the region.
func Domain(i int) core.FailureDomain { return core.FailureDomain(fmt.Sprint("d", i)) }
func Region(i int) core.Region        { return core.Region(fmt.Sprint("r", i)) }

// loaded is the model that all engines have loaded.
var loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}

// View returns the view of the deployment, with or without the figures of its engines, and the regions of the failure domains.
func (f *Streams) View(withFigures bool) (*fleet.View, map[core.FailureDomain]core.Region) {
	spec := &fleet.EngineSpec{Layers: 16, Slots: f.Slots}
	if withFigures {
		spec.Performance = &f.Performance
	}
	v := &fleet.View{Configuration: &fleet.Configuration{Upstreams: map[core.Upstream]fleet.UpstreamSpec{"llm": {Engine: spec}}}}
	regions := map[core.FailureDomain]core.Region{}
	for i := range f.Engines {
		in := i % f.Regions
		v.Members = append(v.Members, fleet.Member{Replica: fleet.Replica{
			ID: fleet.ReplicaID(fmt.Sprint(i)), Upstream: "llm", FailureDomain: Domain(in), Slots: f.Slots, Born: 1, Models: loaded,
		}})
		regions[Domain(in)] = Region(in)
	}
	return v, regions
}

// report sends the load of an engine, which is 100 to 300 ms old by then, to all entries.
func (r *streamRun) report(i int) {
	r.clock.After(200*time.Millisecond, func() { r.report(i) })
	running, waiting, cache := r.servers[i].Load()
	report := dispatch.Report{
		Running: running, Waiting: waiting, Slots: r.Slots, Senders: r.Entries, Pace: 1, Share: 1 / float64(r.Entries),
		CacheUsed: int64(cache), CacheTotal: int64(r.Performance.CacheTokens), Models: loaded,
	}
	if r.Pace != nil && !r.Unstated {
		report.Pace = r.Pace(i, r.clock.Now().Sub(start))
	}
	for _, host := range r.hosts {
		late := 200*time.Millisecond + time.Duration(r.random.IntN(250))*time.Millisecond
		if r.random.Float64() < r.Lost {
			continue
		}
		r.clock.After(late, func() { host.balancer.RecordReport(r.clock.Now(), fleet.ReplicaID(fmt.Sprint(i)), report) })
	}
}

// stream is a request of a caller.
type stream struct {
	StreamKind
	home           int
	arrived        time.Time
	prompt, output int
	hint           int
	tries          int
}

func (r *streamRun) arrive(kind StreamKind) {
	if r.clock.Now().Sub(start) > r.Duration-kind.Deadline {
		// The results count only requests whose deadline is within the run.
		return
	}
	rate := kind.PerSecond
	late := r.clock.Now().Sub(start) > r.Duration/2
	if r.Surge > 0 && late {
		rate *= 1 + (r.Surge-1)/float64(r.Regions)
	}
	r.clock.After(time.Duration(r.random.ExpFloat64()/rate*1e9), func() { r.arrive(kind) })
	home := r.random.IntN(r.Regions)
	if r.Surge > 0 && late {
		// The first region has surge times the demand of each other one.
		home = max(int(r.random.Float64()*(float64(r.Regions)-1+r.Surge)-r.Surge+1), 0)
	}
	s := &stream{StreamKind: kind, home: home, arrived: r.clock.Now(), prompt: min(r.length(kind.Prompt, 0.5), 3880)}
	s.output = r.length(kind.Output, kind.Spread)
	s.hint = max(int(float64(s.output)*math.Exp(0.5*r.random.NormFloat64())), 1)
	r.result.arrived++
	r.result.ByPriority[kind.Priority][0]++
	if home == 0 {
		r.result.arrivedHome++
	}
	r.try(s, r.entryOf(home), 0)
}

// entryOf returns an entry in a region.
func (r *streamRun) entryOf(region int) *simEntry {
	return r.hosts[region+r.Regions*r.random.IntN((r.Entries-region+r.Regions-1)/r.Regions)]
}

func (r *streamRun) length(mean, spread float64) int {
	return max(int(mean*math.Exp(spread*r.random.NormFloat64()-spread*spread/2)), 5)
}

func (r *streamRun) pick(s *stream, host *simEntry) (dispatch.Choice, int, bool) {
	now := r.clock.Now()
	if r.rule == LeastOfTwo {
		a, b := r.random.IntN(r.Engines), r.random.IntN(r.Engines)
		if host.inFlight[b] < host.inFlight[a] {
			a = b
		}
		return dispatch.Choice{}, a, true
	}
	elapsed := now.Sub(s.arrived)
	choice, verdict := host.balancer.Pick(now, dispatch.Request{
		Upstream: "llm", Model: "m", Layers: 16, Priority: s.Priority, PromptTokens: s.prompt, OutputTokens: s.hint,
		ObjectiveLeft: max(s.Objective-elapsed, 0), DeadlineLeft: s.Deadline - elapsed, Late: elapsed > s.Objective,
	})
	engine := 0
	_, _ = fmt.Sscan(string(choice.ID), &engine)
	return choice, engine, verdict == dispatch.VerdictChosen
}

// try sends a request to an engine. While there is none it tries again every 10 ms for 0.12 of the objective; then the caller comes back once.
func (r *streamRun) try(s *stream, host *simEntry, waited time.Duration) {
	if r.clock.Now().Sub(s.arrived) > s.Deadline {
		r.result.refused++
		return
	}
	choice, engine, ok := r.pick(s, host)
	if !ok {
		if waited < s.Objective*12/100 {
			r.clock.After(10*time.Millisecond, func() { r.try(s, host, waited+10*time.Millisecond) })
			return
		}
		r.refuse(s)
		return
	}
	r.send(s, host, choice, engine)
}

// refuse sends the caller away, who comes back once.
func (r *streamRun) refuse(s *stream) {
	if s.tries++; s.tries > 1 {
		r.result.refused++
		return
	}
	wait := min(time.Second, (s.Deadline-r.clock.Now().Sub(s.arrived))/4)
	wait = wait/2 + time.Duration(r.random.Int64N(int64(wait/2)+1))
	r.clock.After(wait, func() { r.try(s, r.entryOf(s.home), 0) })
}

func (r *streamRun) send(s *stream, host *simEntry, choice dispatch.Choice, engine int) {
	r.result.sent++
	delay := time.Millisecond
	if engine%r.Regions != host.region {
		r.result.distant++
		delay = r.Delay
	}
	host.inFlight[engine]++
	sentAt := r.clock.Now()
	latency := time.Duration(0)
	ended := false
	end := func(outcome dispatch.Outcome) {
		if ended {
			return
		}
		ended = true
		host.inFlight[engine]--
		if r.rule != LeastOfTwo {
			host.balancer.Done(r.clock.Now(), choice, outcome, latency)
			if e, ok := host.balancer.TakeForecastError(); ok {
				r.result.ForecastErrors = append(r.result.ForecastErrors, e)
			}
		}
	}
	job := &fakeengine.Job{Prompt: s.prompt, Output: s.output, Priority: s.Priority}
	job.FirstEvent = func() { latency = r.clock.Now().Add(delay).Sub(sentAt) }
	job.End = func() {
		if !ended {
			r.result.served++
			if sentAt.Add(latency).Sub(s.arrived) <= s.Objective {
				r.result.inObjective++
				r.result.ByPriority[s.Priority][1]++
				if s.home == 0 {
					r.result.inObjectiveHome++
				}
			}
		}
		r.clock.After(delay, func() { end(dispatch.OutcomeServed) })
	}
	r.clock.After(delay, func() {
		if !r.servers[engine].Submit(job) {
			r.clock.After(delay, func() { end(dispatch.OutcomeShed); r.refuse(s) })
		}
	})
	r.clock.After(s.arrived.Add(s.Deadline).Sub(sentAt), func() {
		job.Canceled = true
		end(dispatch.OutcomeAbandoned)
	})
}

// Add adds the counts of another run.
func (r *StreamResult) Add(other *StreamResult) {
	r.arrived, r.inObjective, r.served = r.arrived+other.arrived, r.inObjective+other.inObjective, r.served+other.served
	r.refused, r.distant, r.sent = r.refused+other.refused, r.distant+other.distant, r.sent+other.sent
	r.arrivedHome, r.inObjectiveHome = r.arrivedHome+other.arrivedHome, r.inObjectiveHome+other.inObjectiveHome
	r.ForecastErrors = append(r.ForecastErrors, other.ForecastErrors...)
	for i, counts := range other.ByPriority {
		r.ByPriority[i][0] += counts[0]
		r.ByPriority[i][1] += counts[1]
	}
}

// ServedShare returns the share of requests that ended before their deadline.
func (r *StreamResult) ServedShare() float64 { return float64(r.served) / float64(r.arrived) }

// DistantShare returns the share of the attempts that were sent to another region.
func (r *StreamResult) DistantShare() float64 { return float64(r.distant) / float64(max(r.sent, 1)) }

// FirstRegionShare returns Share for the callers of the first region.
func (r *StreamResult) FirstRegionShare() float64 {
	return float64(r.inObjectiveHome) / float64(max(r.arrivedHome, 1))
}
