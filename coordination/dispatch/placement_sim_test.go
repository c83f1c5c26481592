package dispatch_test

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

// placementRule is how entries choose the engine of a request.
type placementRule string

const (
	byStart  placementRule = "expected start"
	byScore  placementRule = "score by count" // Balancer.score of engines without published figures
	twoLeast placementRule = "least in flight of two"
)

// streamKind is a kind of request. Lengths are log-normal with the given means.
type streamKind struct {
	perSecond           float64
	objective, deadline time.Duration
	priority            int
	prompt, output      float64
	spread              float64
}

// engineFleet describes a simulated deployment. All engines of a region are in one failure domain.
type engineFleet struct {
	regions, engines, entries int
	performance               fleet.EnginePerformance
	slots, queue              int
	kinds                     []streamKind
	// delay is the one-way delay between two regions.
	delay time.Duration
	// pace returns the pace of an engine at a time; nil means 1.
	pace func(engine int, at time.Duration) float64
	// surge is the factor of the demand in the first region in the second half of the run.
	surge float64
	// lost is the share of reports that are lost.
	lost float64
	// unstated keeps the pace out of the reports.
	unstated bool
	duration time.Duration
}

type placementResult struct {
	arrived, inObjective, served, refused, distant, sent int
	// arrivedHome and inObjectiveHome count those of the first region.
	arrivedHome, inObjectiveHome int
	// forecastErrors holds the relative errors of the forecasts that were compared with a response.
	forecastErrors []float64
	// byPriority counts the requests of each priority, and those in the objective.
	byPriority [3][2]int
}

func (r *placementResult) share() float64 { return float64(r.inObjective) / float64(r.arrived) }

func (r *placementResult) String() string {
	var kinds [3]float64
	for i, counts := range r.byPriority {
		kinds[i] = float64(counts[1]) / float64(max(counts[0], 1))
	}
	return fmt.Sprintf("in objective %.4f %.2f served %.4f distant %.4f refused %.4f first region %.4f", r.share(), kinds,
		r.servedShare(), r.distantShare(), float64(r.refused)/float64(r.arrived), r.homeShare())
}

type simEntry struct {
	region   int
	balancer *dispatch.Balancer
	inFlight []int
}

type placementRun struct {
	*engineFleet
	rule    placementRule
	clock   *virtualtime.Queue
	random  *rand.Rand
	hosts   []*simEntry
	servers []*fakeengine.Engine
	result  placementResult
}

// run simulates the deployment with a rule.
func (f *engineFleet) run(rule placementRule, seed uint64) *placementResult {
	r := &placementRun{
		engineFleet: f, rule: rule, clock: virtualtime.NewQueue(start), random: rand.New(rand.NewPCG(seed, 99)),
	}
	v, regions := r.buildView()
	for i := range f.engines {
		engine := &fakeengine.Engine{Performance: f.performance, Slots: f.slots, Queue: f.queue, Clock: r.clock}
		if f.pace != nil {
			engine.Pace = func() float64 { return f.pace(i, r.clock.Now().Sub(start)) }
		}
		r.servers = append(r.servers, engine)
		r.clock.After(time.Duration(i)*200*time.Millisecond/time.Duration(f.engines), func() { r.report(i) })
	}
	for i := range f.entries {
		cfg := dispatch.DefaultConfig()
		cfg.FailureDomain, cfg.Region, cfg.Regions = domain(i%f.regions), region(i%f.regions), regions
		b := dispatch.NewBalancer(cfg, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		b.SetView(v)
		r.hosts = append(r.hosts, &simEntry{region: i % f.regions, balancer: b, inFlight: make([]int, f.engines)})
	}
	for _, kind := range f.kinds {
		r.clock.After(0, func() { r.arrive(kind) })
	}
	r.clock.Run(start.Add(f.duration))
	return &r.result
}

func domain(i int) core.FailureDomain { return core.FailureDomain(fmt.Sprint("d", i)) }
func region(i int) core.Region        { return core.Region(fmt.Sprint("r", i)) }

func (r *placementRun) buildView() (*fleet.View, map[core.FailureDomain]core.Region) {
	regions := map[core.FailureDomain]core.Region{}
	v := view()
	spec := &fleet.EngineSpec{Layers: 16, Slots: r.slots}
	if r.rule == byStart {
		spec.Performance = &r.performance
	}
	v.Configuration.Upstreams["llm"] = fleet.UpstreamSpec{Engine: spec}
	for i := range r.engines {
		m := member(fleet.ReplicaID(fmt.Sprint(i)), domain(i%r.regions))
		m.Slots = r.slots
		v.Members = append(v.Members, m)
		regions[domain(i%r.regions)] = region(i % r.regions)
	}
	return v, regions
}

// report sends the load of an engine, which is 100 to 300 ms old by then, to all entries.
func (r *placementRun) report(i int) {
	r.clock.After(200*time.Millisecond, func() { r.report(i) })
	running, waiting, cache := r.servers[i].Load()
	report := dispatch.Report{
		Running: running, Waiting: waiting, Slots: r.slots, Senders: r.entries, Pace: 1, Share: 1 / float64(r.entries),
		CacheUsed: int64(cache), CacheTotal: int64(r.performance.CacheTokens), Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}},
	}
	if r.pace != nil && !r.unstated {
		report.Pace = r.pace(i, r.clock.Now().Sub(start))
	}
	for _, host := range r.hosts {
		late := 200*time.Millisecond + time.Duration(r.random.IntN(250))*time.Millisecond
		if r.random.Float64() < r.lost {
			continue
		}
		r.clock.After(late, func() { host.balancer.RecordReport(r.clock.Now(), fleet.ReplicaID(fmt.Sprint(i)), report) })
	}
}

// stream is a request of a caller.
type stream struct {
	streamKind
	home           int
	arrived        time.Time
	prompt, output int
	hint           int
	tries          int
}

func (r *placementRun) arrive(kind streamKind) {
	if r.clock.Now().Sub(start) > r.duration-kind.deadline {
		// The results count only requests whose deadline is within the run.
		return
	}
	rate := kind.perSecond
	late := r.clock.Now().Sub(start) > r.duration/2
	if r.surge > 0 && late {
		rate *= 1 + (r.surge-1)/float64(r.regions)
	}
	r.clock.After(time.Duration(r.random.ExpFloat64()/rate*1e9), func() { r.arrive(kind) })
	home := r.random.IntN(r.regions)
	if r.surge > 0 && late {
		// The first region has surge times the demand of each other one.
		home = max(int(r.random.Float64()*(float64(r.regions)-1+r.surge)-r.surge+1), 0)
	}
	s := &stream{streamKind: kind, home: home, arrived: r.clock.Now(), prompt: min(r.length(kind.prompt, 0.5), 3880)}
	s.output = r.length(kind.output, kind.spread)
	s.hint = max(int(float64(s.output)*math.Exp(0.5*r.random.NormFloat64())), 1)
	r.result.arrived++
	r.result.byPriority[kind.priority][0]++
	if home == 0 {
		r.result.arrivedHome++
	}
	r.try(s, r.entryOf(home), 0)
}

// entryOf returns an entry in a region.
func (r *placementRun) entryOf(region int) *simEntry {
	return r.hosts[region+r.regions*r.random.IntN((r.entries-region+r.regions-1)/r.regions)]
}

func (r *placementRun) length(mean, spread float64) int {
	return max(int(mean*math.Exp(spread*r.random.NormFloat64()-spread*spread/2)), 5)
}

func (r *placementRun) pick(s *stream, host *simEntry) (dispatch.Choice, int, bool) {
	now := r.clock.Now()
	if r.rule == twoLeast {
		a, b := r.random.IntN(r.engines), r.random.IntN(r.engines)
		if host.inFlight[b] < host.inFlight[a] {
			a = b
		}
		return dispatch.Choice{}, a, true
	}
	elapsed := now.Sub(s.arrived)
	choice, verdict := host.balancer.Pick(now, dispatch.Request{
		Upstream: "llm", Model: "m", Layers: 16, Priority: s.priority, PromptTokens: s.prompt, OutputTokens: s.hint,
		ObjectiveLeft: max(s.objective-elapsed, 0), DeadlineLeft: s.deadline - elapsed, Late: elapsed > s.objective,
	})
	engine := 0
	_, _ = fmt.Sscan(string(choice.ID), &engine)
	return choice, engine, verdict == dispatch.VerdictChosen
}

// try sends a request to an engine. While there is none it tries again every 10 ms for 0.12 of the objective; then the caller comes back once.
func (r *placementRun) try(s *stream, host *simEntry, waited time.Duration) {
	if r.clock.Now().Sub(s.arrived) > s.deadline {
		r.result.refused++
		return
	}
	choice, engine, ok := r.pick(s, host)
	if !ok {
		if waited < s.objective*12/100 {
			r.clock.After(10*time.Millisecond, func() { r.try(s, host, waited+10*time.Millisecond) })
			return
		}
		r.refuse(s)
		return
	}
	r.send(s, host, choice, engine)
}

// refuse sends the caller away, who comes back once.
func (r *placementRun) refuse(s *stream) {
	if s.tries++; s.tries > 1 {
		r.result.refused++
		return
	}
	wait := min(time.Second, (s.deadline-r.clock.Now().Sub(s.arrived))/4)
	wait = wait/2 + time.Duration(r.random.Int64N(int64(wait/2)+1))
	r.clock.After(wait, func() { r.try(s, r.entryOf(s.home), 0) })
}

func (r *placementRun) send(s *stream, host *simEntry, choice dispatch.Choice, engine int) {
	r.result.sent++
	delay := time.Millisecond
	if engine%r.regions != host.region {
		r.result.distant++
		delay = r.delay
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
		if r.rule != twoLeast {
			host.balancer.Done(r.clock.Now(), choice, outcome, latency)
			if e, ok := host.balancer.TakeForecastError(); ok {
				r.result.forecastErrors = append(r.result.forecastErrors, e)
			}
		}
	}
	job := &fakeengine.Job{Prompt: s.prompt, Output: s.output, Priority: s.priority}
	job.FirstEvent = func() { latency = r.clock.Now().Add(delay).Sub(sentAt) }
	job.End = func() {
		if !ended {
			r.result.served++
			if sentAt.Add(latency).Sub(s.arrived) <= s.objective {
				r.result.inObjective++
				r.result.byPriority[s.priority][1]++
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
	r.clock.After(s.arrived.Add(s.deadline).Sub(sentAt), func() {
		job.Canceled = true
		end(dispatch.OutcomeAbandoned)
	})
}

func (r *placementResult) add(other *placementResult) {
	r.arrived, r.inObjective, r.served = r.arrived+other.arrived, r.inObjective+other.inObjective, r.served+other.served
	r.refused, r.distant, r.sent = r.refused+other.refused, r.distant+other.distant, r.sent+other.sent
	r.arrivedHome, r.inObjectiveHome = r.arrivedHome+other.arrivedHome, r.inObjectiveHome+other.inObjectiveHome
	r.forecastErrors = append(r.forecastErrors, other.forecastErrors...)
	for i, counts := range other.byPriority {
		r.byPriority[i][0] += counts[0]
		r.byPriority[i][1] += counts[1]
	}
}

func (r *placementResult) servedShare() float64  { return float64(r.served) / float64(r.arrived) }
func (r *placementResult) distantShare() float64 { return float64(r.distant) / float64(max(r.sent, 1)) }

func (r *placementResult) homeShare() float64 {
	return float64(r.inObjectiveHome) / float64(max(r.arrivedHome, 1))
}
