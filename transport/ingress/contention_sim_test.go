package ingress

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// simKind is a kind of request of Kinéplan, with the figures of docs/design/hard-load.md.
type simKind struct {
	name      string
	perSecond float64
	objective time.Duration
	priority  int
	prompt    int
	output    int
}

const (
	simUpstream core.Upstream = "llm"
	simDeadline               = 6 * time.Second
	simEntries                = 20
	simReplicas               = 34
	simSlots                  = 12
	simQueue                  = 24
	// simServable is the number of requests per second of the usual mix that the replicas serve.
	simServable = 330
	simNetDelay = time.Millisecond
	simReports  = 200 * time.Millisecond
)

var simKinds = []simKind{
	{"note-summary", 143, 400 * time.Millisecond, 0, 787, 105},
	{"patient-answer", 79, 400 * time.Millisecond, 1, 607, 70},
	{"plan-draft", 112, time.Second, 2, 1290, 105},
}

// simulation replays a load of Kinéplan on the routers of all entries, in virtual time and without a network.
type simulation struct {
	// ranked is false for the baseline, whose routes have the same priority.
	ranked bool
	rate   func(kind simKind, now time.Duration) float64
	length time.Duration
	// configure changes the settings of the entries.
	configure func(*Config)

	random *rand.Rand
	// arrivals draws the callers, which are the same with all decisions.
	arrivals *rand.Rand
	now      time.Time
	began    time.Time
	events   simEvents
	sequence int
	routers  []*Router
	replicas []*simReplica
	routes   []*fleet.Route
	kinds    []simStats
	large    []simStats
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.sequence, run})
}

// run replays the load until all callers are gone.
func (s *simulation) run(seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 7))
	s.arrivals = rand.New(rand.NewPCG(seed, 8))
	s.began = time.Unix(1000, 0)
	s.now = s.began
	s.kinds, s.large = make([]simStats, len(simKinds)), make([]simStats, len(simKinds))
	view := s.view()
	for range simEntries {
		cfg := DefaultConfig()
		s.configure(&cfg)
		router := NewRouter(cfg, rand.New(rand.NewPCG(seed, s.random.Uint64())), func() time.Time { return s.now })
		router.SetView(view)
		s.routers = append(s.routers, router)
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), func() { s.measure(router) })
	}
	for i := range s.replicas {
		s.after(time.Duration(s.random.Int64N(int64(simReports))), func() { s.report(s.replicas[i]) })
	}
	for i := range simKinds {
		s.nextArrival(i)
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		if s.now = event.at; s.now.Sub(s.began) > s.length+2*simDeadline {
			return
		}
		event.run()
	}
}

func (s *simulation) view() *fleet.View {
	table := fleet.NewTable()
	configuration := &fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		simUpstream: {Name: simUpstream, Engine: &fleet.EngineSpec{Slots: simSlots}},
	}}
	for _, kind := range simKinds {
		route := fleet.Route{Name: kind.name, Objective: kind.objective, Kind: fleet.KindStreaming, Targets: []fleet.Target{{Upstream: simUpstream}}}
		if s.ranked {
			route.Priority = kind.priority
		}
		configuration.Routes = append(configuration.Routes, route)
		s.routes = append(s.routes, &route)
	}
	table.SetConfiguration(configuration)
	for i := range simReplicas {
		id := fleet.ReplicaID("r" + strconv.Itoa(i))
		s.replicas = append(s.replicas, &simReplica{s: s, id: id, demand: make(map[*Router][]float64), total: make(map[*Router]float64)})
		table.SetReplica(s.now, 1, &fleet.Replica{ID: id, Upstream: simUpstream, Address: string(id), Slots: simSlots, Born: 1})
	}
	return table.View()
}

// measure tells the agents the demand of an entry, as the requests for reports do.
func (s *simulation) measure(router *Router) {
	demand := router.MeasureDemand(simUpstream)
	levels := router.PriorityDemand(simUpstream)
	for _, replica := range s.replicas {
		replica.demand[router], replica.total[router] = levels, demand
	}
	s.after(time.Second, func() { s.measure(router) })
}

// report sends the load of a replica to all entries, where it arrives simReports later.
func (s *simulation) report(r *simReplica) {
	report := r.load()
	report.Models, report.Senders = []fleet.LoadedModel{}, simEntries
	total := 0.0
	for _, router := range s.routers {
		total += r.total[router]
		for level, perSecond := range r.demand[router] {
			if level == len(report.Demand) {
				report.Demand = append(report.Demand, 0)
			}
			report.Demand[level] += perSecond
		}
	}
	s.after(simReports, func() {
		for _, router := range s.routers {
			own := report
			if total > 0 {
				own.Share = r.total[router] / total
			}
			router.RecordLoad(r.id, own)
		}
	})
	s.after(simReports, func() { s.report(r) })
}

// simCaller is a caller with its present attempt.
type simCaller struct {
	s                  *simulation
	kind               int
	large              bool
	prompt, output     int
	first, deadline    time.Time
	returned, sentLate bool
	router             *Router
}

func (s *simulation) nextArrival(kind int) {
	rate := s.rate(simKinds[kind], s.now.Sub(s.began))
	s.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Sub(s.began) > s.length {
			return
		}
		s.nextArrival(kind)
		s.arrive(kind)
	})
}

func (s *simulation) arrive(kind int) {
	k := simKinds[kind]
	size := math.Exp(0.6 * s.arrivals.NormFloat64())
	c := &simCaller{s: s, kind: kind, first: s.now, deadline: s.now.Add(simDeadline)}
	c.prompt = min(int(float64(k.prompt)*size/math.Exp(0.18)), 3880)
	c.output = int(float64(k.output) * (0.7 + 0.9*s.arrivals.Float64()) / 1.15)
	// The largest tenth of a log-normal size begins at 1.2816 standard deviations.
	c.large = size > math.Exp(0.6*1.2816)
	c.count(func(stats *simStats) { stats.callers++ })
	c.attempt()
}

func (c *simCaller) count(change func(*simStats)) {
	change(&c.s.kinds[c.kind])
	if c.large {
		change(&c.s.large[c.kind])
	}
}

func (c *simCaller) request() dispatch.Request {
	route := c.s.routes[c.kind]
	return dispatch.Request{
		Upstream: simUpstream, Priority: route.Priority, PromptTokens: c.prompt, OutputTokens: c.output,
	}
}

// attempt sends the caller's request to any entry.
func (c *simCaller) attempt() {
	c.router = c.s.routers[c.s.random.IntN(simEntries)]
	route := c.s.routes[c.kind]
	elapsed := c.router.elapsed(route.Name, c.deadline.Sub(c.s.now))
	c.router.countRequest(simUpstream, route.Priority)
	request := c.request()
	if c.s.ranked {
		c.await(request, elapsed)
		return
	}
	request.Late = elapsed > route.Objective
	c.poll(request, c.s.now.Add(time.Duration(float64(route.Objective)*c.router.cfg.CapacityWaitShare)))
}

// await waits for a replica in the order of rank.
func (c *simCaller) await(request dispatch.Request, elapsed time.Duration) {
	s, route, router := c.s, c.s.routes[c.kind], c.router
	ended := false
	w := &waiter{request: request, item: waiting.Item{Request: workload.Request{
		Priority: route.Priority, Arrived: s.now, Elapsed: elapsed, Objective: route.Objective, Deadline: c.deadline,
		FirstEvent: router.usualStart(route), Work: float64(c.output) / float64(simKinds[c.kind].output),
	}}}
	w.deliver = func(result waitResult) {
		ended = true
		s.after(0, func() {
			if result.verdict == dispatch.VerdictChosen {
				const width = workload.Levels / 3
				c.sentLate = result.late
				c.send(result.choice, route.Priority*width+urgency(s.now, w.item.Request, width))
			} else {
				c.refused(result.retryAfter)
			}
		})
	}
	router.await(w, true)
	var check func()
	check = func() {
		if !ended {
			s.after(router.check(w).Sub(s.now), check)
		}
	}
	check()
}

// poll waits for a replica as for an upstream without priorities.
func (c *simCaller) poll(request dispatch.Request, until time.Time) {
	choice, verdict := c.router.pickReplica(request)
	switch {
	case verdict == dispatch.VerdictChosen:
		c.send(choice, simKinds[c.kind].priority)
	case !c.s.now.Before(until):
		left := c.deadline.Sub(c.s.now)
		cfg := &c.router.cfg
		delay := min(cfg.RetryAfterMax, time.Duration(float64(left)*cfg.RetryAfterShare))
		c.refused(c.router.jitter(max(delay, cfg.RetryAfterMin)))
	default:
		c.s.after(c.router.cfg.CapacityPollInterval, func() { c.poll(request, until) })
	}
}

// refused lets the caller come back once, unless it is told to do so after its deadline.
func (c *simCaller) refused(retryAfter time.Duration) {
	if c.returned {
		c.count(func(stats *simStats) { stats.refusedAgain++ })
		return
	}
	if !c.s.now.Add(retryAfter).Before(c.deadline) {
		return
	}
	c.s.after(retryAfter, func() {
		c.returned = true
		c.count(func(stats *simStats) { stats.returned++ })
		c.attempt()
	})
}

// send sends the request with the priority by which the engine orders its queue.
func (c *simCaller) send(choice dispatch.Choice, priority int) {
	for _, replica := range c.s.replicas {
		if replica.id == choice.ID {
			sent := c.s.now
			c.s.after(simNetDelay, func() { replica.receive(&simJob{caller: c, choice: choice, priority: priority, sent: sent}) })
		}
	}
}

// simReplica is an engine with a queue that is ordered by priority.
type simReplica struct {
	s       *simulation
	id      fleet.ReplicaID
	running int
	queue   []*simJob
	demand  map[*Router][]float64
	total   map[*Router]float64
}

type simJob struct {
	caller   *simCaller
	choice   dispatch.Choice
	priority int
	sent     time.Time
}

func (r *simReplica) load() dispatch.Report {
	return dispatch.Report{Running: r.running, Waiting: len(r.queue), Slots: simSlots}
}

func (r *simReplica) receive(job *simJob) {
	switch {
	case r.running < simSlots:
		r.begin(job)
	case len(r.queue) < simQueue:
		at := len(r.queue)
		for at > 0 && r.queue[at-1].priority > job.priority {
			at--
		}
		r.queue = append(r.queue[:at], append([]*simJob{job}, r.queue[at:]...)...)
	default:
		job.caller.router.done(job.choice, dispatch.OutcomeShed, 0)
		job.caller.refused(100 * time.Millisecond)
	}
}

// begin runs a request: the prompt is read together with those of the other slots, and then the tokens are generated.
func (r *simReplica) begin(job *simJob) {
	c, s := job.caller, r.s
	if s.now.After(c.deadline) {
		c.router.done(job.choice, dispatch.OutcomeAbandoned, 0)
		return
	}
	r.running++
	// With the usual mix the mean time in a slot gives simServable requests per second.
	first := 40*time.Millisecond + time.Duration(float64(c.prompt)/20.7*1.5*float64(time.Millisecond))
	rest := time.Duration(c.output) * 10900 * time.Microsecond
	s.after(first, func() {
		latency := s.now.Sub(job.sent)
		c.router.RecordLoad(r.id, r.load())
		if !c.sentLate {
			c.router.recordStart(c.s.routes[c.kind].Name, latency)
		}
		c.count(func(stats *simStats) {
			stats.served++
			if s.now.Sub(c.first) <= simKinds[c.kind].objective {
				stats.inTime++
			}
		})
		s.after(rest, func() {
			r.running--
			c.router.done(job.choice, dispatch.OutcomeServed, latency)
			if len(r.queue) > 0 {
				next := r.queue[0]
				r.queue = r.queue[1:]
				r.begin(next)
			}
		})
	})
}
