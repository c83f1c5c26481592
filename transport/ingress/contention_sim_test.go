package ingress

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/internal/replay"
	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
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
	clock    *virtualtime.Queue
	began    time.Time
	routers  []*Router
	replicas map[fleet.ReplicaID]*simReplica
	routes   []*fleet.Route
	kinds    []simStats
	large    []simStats
}

// run replays the load until all callers are gone.
func (s *simulation) run(seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 7))
	s.arrivals = rand.New(rand.NewPCG(seed, 8))
	s.began = time.Unix(1000, 0)
	s.clock = virtualtime.NewQueue(s.began)
	s.kinds, s.large = make([]simStats, len(simKinds)), make([]simStats, len(simKinds))
	view := s.view()
	for range simEntries {
		cfg := DefaultConfig()
		s.configure(&cfg)
		router := NewRouter(cfg, rand.New(rand.NewPCG(seed, s.random.Uint64())), s.clock.Now)
		router.SetView(view)
		s.routers = append(s.routers, router)
		s.clock.After(time.Duration(s.random.Int64N(int64(time.Second))), func() { s.measure(router) })
	}
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		s.clock.After(time.Duration(s.random.Int64N(int64(simReports))), func() { s.report(s.replicas[id]) })
	}
	for i := range simKinds {
		s.nextArrival(i)
	}
	s.clock.Run(s.began.Add(s.length + 2*simDeadline))
}

func (s *simulation) view() *fleet.View {
	table := fleet.NewTable()
	s.replicas = make(map[fleet.ReplicaID]*simReplica)
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
		s.replicas[id] = &simReplica{
			id: id, engine: &replay.Engine{Clock: s.clock, Slots: simSlots, MaxQueue: simQueue},
			demand: make(map[*Router][]float64), total: make(map[*Router]float64),
		}
		table.SetReplica(s.began, 1, &fleet.Replica{ID: id, Upstream: simUpstream, Address: string(id), Slots: simSlots, Born: 1})
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
	s.clock.After(time.Second, func() { s.measure(router) })
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
	s.clock.After(simReports, func() {
		for _, router := range s.routers {
			own := report
			if total > 0 {
				own.Share = r.total[router] / total
			}
			router.RecordLoad(r.id, own)
		}
	})
	s.clock.After(simReports, func() { s.report(r) })
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
	rate := s.rate(simKinds[kind], s.clock.Now().Sub(s.began))
	s.clock.After(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.clock.Now().Sub(s.began) > s.length {
			return
		}
		s.nextArrival(kind)
		s.arrive(kind)
	})
}

func (s *simulation) arrive(kind int) {
	k := simKinds[kind]
	size := math.Exp(0.6 * s.arrivals.NormFloat64())
	c := &simCaller{s: s, kind: kind, first: s.clock.Now(), deadline: s.clock.Now().Add(simDeadline)}
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

// attempt sends the caller's request to any entry.
func (c *simCaller) attempt() {
	c.router = c.s.routers[c.s.random.IntN(simEntries)]
	route := c.s.routes[c.kind]
	elapsed := c.router.elapsed(route.Name, c.deadline.Sub(c.s.clock.Now()))
	c.router.countRequest(simUpstream, route.Priority)
	request := dispatch.Request{Upstream: simUpstream, Priority: route.Priority}
	if c.s.ranked {
		c.await(request, elapsed)
		return
	}
	request.Late = elapsed > route.Objective
	c.poll(request, c.s.clock.Now().Add(time.Duration(float64(route.Objective)*c.router.cfg.CapacityWaitShare)))
}

// await waits for a replica in the order of rank.
func (c *simCaller) await(request dispatch.Request, elapsed time.Duration) {
	s, route, router := c.s, c.s.routes[c.kind], c.router
	ended := false
	w := &waiter{request: request, item: waiting.Item{Request: workload.Request{
		Priority: route.Priority, Arrived: s.clock.Now(), Elapsed: elapsed, Objective: route.Objective, Deadline: c.deadline,
		FirstEvent: router.usualStart(route), Work: float64(c.output) / float64(simKinds[c.kind].output),
	}}}
	w.deliver = func(result waitResult) {
		ended = true
		s.clock.After(0, func() {
			if result.verdict == dispatch.VerdictChosen {
				const width = workload.Levels / 3
				c.sentLate = result.late
				c.send(result.choice, route.Priority*width+urgency(s.clock.Now(), w.item.Request, width))
			} else {
				c.refused(result.retryAfter)
			}
		})
	}
	router.await(w, true)
	var check func()
	check = func() {
		if !ended {
			s.clock.After(router.check(w, 0, 0).Sub(s.clock.Now()), check)
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
	case !c.s.clock.Now().Before(until):
		left := c.deadline.Sub(c.s.clock.Now())
		cfg := &c.router.cfg
		delay := min(cfg.RetryAfterMax, time.Duration(float64(left)*cfg.RetryAfterShare))
		c.refused(c.router.jitter(max(delay, cfg.RetryAfterMin)))
	default:
		c.s.clock.After(c.router.cfg.CapacityPollInterval, func() { c.poll(request, until) })
	}
}

// refused lets the caller come back once, unless it is told to do so after its deadline.
func (c *simCaller) refused(retryAfter time.Duration) {
	if c.returned {
		c.count(func(stats *simStats) { stats.refusedAgain++ })
		return
	}
	if !c.s.clock.Now().Add(retryAfter).Before(c.deadline) {
		return
	}
	c.s.clock.After(retryAfter, func() {
		c.returned = true
		c.count(func(stats *simStats) { stats.returned++ })
		c.attempt()
	})
}

// send sends the request with the priority by which the engine orders its queue. With the usual mix the mean time in a slot gives
// simServable requests per second.
func (c *simCaller) send(choice dispatch.Choice, priority int) {
	s, router, replica := c.s, c.router, c.s.replicas[choice.ID]
	sent, latency := s.clock.Now(), time.Duration(0)
	job := &replay.Job{
		Priority: priority, Deadline: c.deadline,
		First: 40*time.Millisecond + time.Duration(float64(c.prompt)/20.7*1.5*float64(time.Millisecond)),
		Rest:  time.Duration(c.output) * 10900 * time.Microsecond,
		Refused: func() {
			router.done(choice, dispatch.OutcomeShed, 0)
			c.refused(100 * time.Millisecond)
		},
		Expired: func() { router.done(choice, dispatch.OutcomeAbandoned, 0) },
		Responded: func() {
			latency = s.clock.Now().Sub(sent)
			router.RecordLoad(replica.id, replica.load())
			if !c.sentLate {
				router.recordStart(s.routes[c.kind].Name, latency)
			}
			c.count(func(stats *simStats) {
				stats.served++
				if s.clock.Now().Sub(c.first) <= simKinds[c.kind].objective {
					stats.inTime++
				}
			})
		},
		Ended: func() { router.done(choice, dispatch.OutcomeServed, latency) },
	}
	s.clock.After(simNetDelay, func() { replica.engine.Receive(job) })
}

// simReplica is an engine with what its agent knows of the entries.
type simReplica struct {
	id     fleet.ReplicaID
	engine *replay.Engine
	demand map[*Router][]float64
	total  map[*Router]float64
}

func (r *simReplica) load() dispatch.Report {
	running, waiting := r.engine.Load()
	return dispatch.Report{Running: running, Waiting: waiting, Slots: simSlots}
}
