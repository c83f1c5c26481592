package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/enginemodel"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// defaultObjective scales the expected start of a request without a latency objective.
	defaultObjective = time.Second
	// lateStart is the expected start, as a share of the time left until the objective, from which a request may miss it;
	// surelyLateStart is the one from which it most likely does. The median error of the forecast is a fifth.
	lateStart, surelyLateStart = 0.8, 1.2
	// missWeight is added to the score if a request would miss its objective, and deadlineWeight if it would miss its deadline. With a
	// weight of 1 all hosts leave the same replicas at the same time; without one more requests leave their region.
	missWeight     = 0.4
	deadlineWeight = 1.0
	// noRoomPenalty is added to the score of a replica whose cache has no room for the request. It exceeds all other parts.
	noRoomPenalty = 10.0
	// unseenFactor is the number of requests that act on the same reports as a multiple of those sent since they were made: about as many
	// follow until reports show the first ones. With 1 all hosts still favored the same replicas; 3 is no better.
	unseenFactor = 2.0
	// maxRatedPace bounds the pace in the score, so that a wrong one doesn't keep all requests away for good.
	maxRatedPace = 10.0
	// reportTransit is the mean time from the reading of an engine's figures to the arrival of the report that has them. Reports arrive
	// 0 to 250 ms after the time that engines publish.
	reportTransit = 125 * time.Millisecond
	// regionMargin is the difference of the probability to miss the objective from which a request leaves its region.
	regionMargin = 0.5
)

// candidate is a replica that can take a request.
type candidate struct {
	replica *replica
	// score is lower for a better replica.
	score float64
	// modelled and forecast are the expected times to the first event before and after the correction, 0 without a model.
	modelled, forecast time.Duration
	// miss is the probability to miss the objective.
	miss float64
	// arrivals is the number of requests of other hosts that act on the same report of the replica, and pace its pace.
	arrivals, pace float64
	// noRoom is true if the cache of the replica has no room for the request.
	noRoom bool
	// queues is true if the request would exceed Overcommit and is not expected to start in time.
	queues bool
}

// setModels creates the models of the engines that publish their figures.
func (b *Balancer) setModels() {
	b.models = make(map[core.Upstream]*enginemodel.Model)
	for name, spec := range b.specs {
		if spec.Engine == nil {
			continue
		}
		if model := enginemodel.New(spec.Engine.Performance, spec.Engine.Slots); model != nil {
			b.models[name] = model
		}
	}
}

// figuresAge returns the assumed age of the figures in a report on arrival, 0 for engines that publish no figures.
func (b *Balancer) figuresAge(spec *fleet.EngineSpec) time.Duration {
	switch {
	case spec == nil || spec.Performance == nil:
		return 0
	case spec.Performance.ReportLag <= 0:
		return b.cfg.ReportLag
	}
	return min(spec.Performance.ReportLag+reportTransit, b.cfg.MaxReportAge)
}

// modelledCandidate returns an engine with a score from its expected load, start and end. The load keeps its part in the score, so that
// requests spread over the replicas that would all start them in time.
func (b *Balancer) modelledCandidate(now time.Time, request *Request, r *replica) candidate {
	load := r.engineLoad(&b.cfg, now)
	work := enginemodel.Work{Prompt: request.PromptTokens, Output: request.OutputTokens}
	expected := r.model.Forecast(&load, work)
	factor := r.errors.Factor()
	c := candidate{
		replica: r, modelled: expected.FirstEvent, forecast: time.Duration(float64(expected.FirstEvent) * factor),
		pace: min(max(load.Pace, 1)*max(factor, 1), maxRatedPace),
	}
	objective := request.ObjectiveLeft
	if objective <= 0 {
		objective = defaultObjective
	}
	start := float64(c.forecast) / float64(objective)
	c.miss = min(max((start-lateStart)/(surelyLateStart-lateStart), 0), 1)
	c.queues = !request.Moved && start > 1 && r.load(&b.cfg, now) >= r.slots()+b.cfg.Overcommit
	replaced := min(float64(load.Age)/float64(expected.Service), 1)
	reported := float64(load.Running + load.Waiting)
	c.arrivals = unseenFactor*reported*replaced - float64(load.Sent.Count)
	present := max(float64(r.inFlight), reported*(1-replaced)+float64(load.Sent.Count))
	c.score = c.pace*(present+1)/float64(r.slots()) + missWeight*c.miss
	if end := time.Duration(float64(expected.End) * factor); request.DeadlineLeft > 0 && end > request.DeadlineLeft {
		c.score += deadlineWeight
	}
	if !r.model.Fits(expected, work) {
		c.score += noRoomPenalty
		c.miss, c.noRoom = 1, true
	}
	if r.member.FailureDomain != b.cfg.FailureDomain && b.cfg.Regions[r.member.FailureDomain] == b.cfg.Region {
		c.score += b.cfg.DomainPenalty
	}
	c.score += b.cfg.FailureWeight * r.failureRate
	return c
}

// SoonestStart returns the least expected time to the first event of a request, and until a slot is free for it, over the engines that
// may serve it, whether or not they take requests now. It returns false if none of them publishes its figures.
func (b *Balancer) SoonestStart(now time.Time, request Request) (firstEvent, slotFree time.Duration, ok bool) {
	work := enginemodel.Work{Prompt: request.PromptTokens, Output: request.OutputTokens}
	for _, r := range b.groups[request.Upstream] {
		if r.model == nil || !b.eligible(now, &request, r) {
			continue
		}
		load := r.engineLoad(&b.cfg, now)
		expected := r.model.Forecast(&load, work)
		first := time.Duration(float64(expected.FirstEvent) * r.errors.Factor())
		if !ok || first < firstEvent {
			firstEvent, slotFree, ok = first, expected.SlotFree, true
		}
	}
	return firstEvent, slotFree, ok
}

// engineLoad returns what this host knows of an engine. Without a fresh report only its own requests count.
func (r *replica) engineLoad(cfg *Config, now time.Time) enginemodel.Load {
	if !r.hasFreshReport(cfg, now) {
		return enginemodel.Load{Running: r.inFlight, Share: 1}
	}
	madeAt := r.reportedAt.Add(-r.figuresAge)
	load := enginemodel.Load{
		Running: r.report.Running, Waiting: r.report.Waiting, CacheUsed: r.report.CacheUsed, CacheTotal: r.report.CacheTotal,
		Pace: r.expectedPace(now), Age: now.Sub(madeAt), Share: r.report.share(),
	}
	for i := range r.recentSends {
		s := &r.recentSends[i]
		if !s.at.After(madeAt) {
			continue
		}
		load.Sent.Count++
		load.Sent.Prompt += s.prompt
		load.Sent.Output += s.output
		load.Sent.Since = max(load.Sent.Since, now.Sub(s.at))
	}
	return load
}

// expectedPace returns the pace of an engine, 0 if unknown. One that a response has stated is newer than that of a report.
func (r *replica) expectedPace(now time.Time) float64 {
	if current := r.expectedCurrentPace(now); current != 1 {
		return current
	}
	return r.report.Pace
}

// recordForecast records the error of the forecast for a request that was served.
func (b *Balancer) recordForecast(r *replica, choice Choice, latency time.Duration) {
	b.forecastError, b.hasForecastError = r.errors.Record(choice.modelled, choice.forecast, latency), true
}

// TakeForecastError returns the relative error of the forecast for the request whose end was recorded last. It returns false if there
// was no forecast, or the error was taken already.
func (b *Balancer) TakeForecastError() (float64, bool) {
	has := b.hasForecastError
	b.hasForecastError = false
	return b.forecastError, has
}

// overcommit returns the number of requests that a replica may have beyond its slots.
func (r *replica) overcommit(cfg *Config) int {
	if r.model != nil {
		return cfg.Overcommit + cfg.StartOvercommit
	}
	return cfg.Overcommit
}
