package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// headerLag is the assumed age of the load in a response header on arrival; the longest delay between two regions is 4.4 ms.
	headerLag = 10 * time.Millisecond
	// usualTimeGain is the weight of the newest response in the average of the usual service time.
	usualTimeGain = 0.1
	// usualRunningGain is the weight of the newest load header in the average of running requests.
	usualRunningGain = 0.05
	// lateOncePenalty is added to the score of a replica at which a request that may run only once would miss its objective. It exceeds
	// what load and slowness usually add, so that the replica is chosen only if all others are worse.
	lateOncePenalty = 2.0
)

// service is what a host has learned of an upstream whose replicas are no engines.
type service struct {
	// refuses is true once a replica has refused a request with all slots occupied, or stated its pace. queues is true once one has
	// reported waiting requests; a full replica is then not taken to refuse.
	refuses, queues bool
	// usualTime is the moving average of the service time at the usual pace, 0 until measured.
	usualTime time.Duration
	// usualRunning is the moving average of the running requests in load headers.
	usualRunning float64
}

// setServices keeps the state of the services that are still configured and creates that of new ones.
func (b *Balancer) setServices() {
	next := make(map[core.Upstream]*service)
	for name, spec := range b.specs {
		if spec.Engine != nil {
			continue
		}
		if next[name] = b.services[name]; next[name] == nil {
			next[name] = &service{}
		}
	}
	b.services = next
}

// recordHeader learns from a load header whether full replicas queue requests.
func (s *service) recordHeader(report *Report) {
	s.queues = s.queues || report.Waiting > 0
	s.refuses = s.refuses || report.CurrentPace > 0
	s.usualRunning += usualRunningGain * (float64(report.Running) - s.usualRunning)
}

// recordOutcome learns the usual service time, and from a refusal that full replicas refuse.
func (s *service) recordOutcome(cfg *Config, now time.Time, r *replica, outcome Outcome, latency time.Duration) {
	switch {
	case outcome == OutcomeShed && r.hasFreshReport(cfg, now) && r.report.Waiting == 0 && r.report.Running >= r.slots():
		s.refuses = true
	case outcome == OutcomeServed && latency > 0:
		usual := time.Duration(float64(latency) / r.expectedCurrentPace(now))
		if s.usualTime == 0 {
			s.usualTime = usual
			return
		}
		s.usualTime += time.Duration(usualTimeGain * float64(usual-s.usualTime))
	}
}

// refusesWhenFull reports whether the replica refuses requests beyond its slots.
func (r *replica) refusesWhenFull() bool {
	return r.service != nil && r.service.refuses && !r.service.queues
}

// expectedLoad returns the load that counts in the score. Of a replica that refuses when full, it tends from the last load header to
// the usual number of running requests, since the header is old after one service time.
func (r *replica) expectedLoad(cfg *Config, now time.Time) float64 {
	if !r.refusesWhenFull() || !r.hasFreshReport(cfg, now) || r.service.usualTime == 0 {
		return float64(r.load(cfg, now))
	}
	old := min(float64(now.Sub(r.reportedAt))/float64(r.service.usualTime), 1)
	running := float64(r.report.Running) + old*(r.service.usualRunning-float64(r.report.Running))
	return max(float64(r.inFlight), running+float64(r.unreportedSends(cfg, now)))
}

// reportLag returns the assumed age of the last report on arrival.
func (r *replica) reportLag(cfg *Config) time.Duration {
	if r.refusesWhenFull() && r.report.Models == nil {
		return headerLag
	}
	return cfg.ReportLag
}

// knownFull reports whether a replica that refuses when full has no free slot: by the last load header, less the requests that have
// ended since at the usual service time, plus what this host has sent since. Without the decrease a host with few requests
// would avoid a replica long after a slot became free.
func (r *replica) knownFull(cfg *Config, now time.Time) bool {
	if !r.refusesWhenFull() {
		return false
	}
	occupied := float64(r.inFlight)
	if r.hasFreshReport(cfg, now) {
		running := float64(r.report.Running)
		if usual := r.service.usualTime; usual > 0 {
			age := now.Sub(r.reportedAt)
			running -= running * float64(age) / (float64(usual) * r.expectedCurrentPace(now))
		}
		occupied = max(occupied, max(running, 0)+float64(r.unreportedSends(cfg, now)))
	}
	return occupied > float64(r.slots()-1)
}

// serviceTime returns the expected service time of a request, 0 if unknown.
func (r *replica) serviceTime(now time.Time) time.Duration {
	if r.service == nil {
		return 0
	}
	return time.Duration(float64(r.service.usualTime) * r.expectedCurrentPace(now))
}

// endsInTime reports whether a request that may run only once is expected to end before its deadline. Only a pace of the moment can
// prevent that: a usual time beyond the deadline could otherwise never be measured again.
func (r *replica) endsInTime(now time.Time, request *Request) bool {
	left := request.DeadlineLeft
	return !request.Once || left <= 0 || r.service == nil || r.service.usualTime > left || r.serviceTime(now) <= left
}

// latePenalty returns the penalty of a replica at which a request that may run only once would miss its objective.
func (r *replica) latePenalty(now time.Time, request *Request) float64 {
	if !request.Once || request.ObjectiveLeft <= 0 || r.serviceTime(now) <= request.ObjectiveLeft {
		return 0
	}
	return lateOncePenalty
}
