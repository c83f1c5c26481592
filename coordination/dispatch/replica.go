package dispatch

import (
	"math"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/enginemodel"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// failureGain and latencyGain are the weights of the newest request in the exponential moving averages.
	failureGain = 0.15
	latencyGain = 0.25
	// maxEjectShift bounds how often the ejection time is doubled.
	maxEjectShift = 4
	// maxRecentSends bounds the length of replica.recentSends.
	maxRecentSends = 64
)

// replica is the state that a Balancer keeps for one replica.
type replica struct {
	member fleet.Member
	// service is the state of the upstream if it is a plain service, nil if it is an engine.
	service *service
	// figuresAge is the assumed age of the figures in a modelled engine's report on arrival.
	figuresAge time.Duration
	// engine is true for a replica of a model engine, coldRate the rate of requests that a cold replica takes from all hosts together.
	engine   bool
	coldRate float64
	// model forecasts the replica's responses if it is an engine that publishes its figures, nil otherwise. errors is its error.
	model    *enginemodel.Model
	errors   enginemodel.Errors
	inFlight int
	// report is the last load report. reportedAt is the time of its arrival; zero means that there is none.
	report     Report
	reportedAt time.Time
	// headroomDraw is the random number, in [0, 1), by which this host's share of the free slots in the last report is rounded.
	headroomDraw float64
	// recentSends holds the send times of requests that the last report may not include yet.
	recentSends []send
	derived     derived

	consecutiveBroken int
	// failureRate and avgLatency are exponential moving averages; avgLatency is in seconds, 0 until measured.
	failureRate float64
	avgLatency  float64
	// excludedUntil is the end of the current ejection or shed backoff.
	excludedUntil time.Time
	addressMoved  bool
	// currentPace is the last stated CurrentPace, which arrived at currentPaceAt.
	currentPace   float64
	currentPaceAt time.Time
	// permits holds the permits to send to the replica while it is cold or has a request limit, nil otherwise.
	permits *permits
}

// send is a request sent to a replica, with its size in tokens, 0 if unknown.
type send struct {
	at             time.Time
	prompt, output int
}

// derived holds what follows from the last report and the sends since at a time. One choice uses it several times for each replica.
type derived struct {
	at         time.Time
	fresh      bool
	unreported int
}

// derive returns what follows from the last report and the sends since. The caller resets r.derived when one of them changes.
func (r *replica) derive(cfg *Config, now time.Time) *derived {
	if r.derived.at == now && !now.IsZero() {
		return &r.derived
	}
	r.derived = derived{at: now, fresh: !r.reportedAt.IsZero() && now.Sub(r.reportedAt) <= cfg.MaxReportAge}
	if len(r.recentSends) > 0 {
		reportMadeAt := r.reportedAt.Add(-r.reportLag(cfg))
		for i := range r.recentSends {
			if r.recentSends[i].at.After(reportMadeAt) {
				r.derived.unreported++
			}
		}
	}
	return &r.derived
}

// hasFreshReport reports whether the last report is recent enough to use.
func (r *replica) hasFreshReport(cfg *Config, now time.Time) bool { return r.derive(cfg, now).fresh }

// load estimates the number of requests at the replica, from all hosts if there is a fresh report.
func (r *replica) load(cfg *Config, now time.Time) int {
	if !r.hasFreshReport(cfg, now) {
		return r.inFlight
	}
	return max(r.inFlight, r.report.Running+r.report.Waiting+r.unreportedSends(cfg, now))
}

// headroom returns the number of requests that this host may send until the next report: its share of the free slots in the last one,
// less those that are reserved for more urgent requests. All hosts see the same report; if each rounded its share up, all would send to
// a replica with one free slot. So a share is rounded up only while there are few hosts for each free slot, and otherwise up or down at
// random, in proportion to the remainder.
func (r *replica) headroom(cfg *Config, reserved int, ranked bool) int {
	overcommit := r.overcommit(cfg)
	if ranked {
		overcommit = max(overcommit, cfg.RankedOvercommit)
	}
	freeSlots := float64(max(r.slots()+overcommit-reserved-r.report.Running-r.report.Waiting, 0))
	share := freeSlots * r.report.reportedShare()
	if ranked && freeSlots <= cfg.RankedHeadroomShare*float64(r.slots()) {
		return int(math.Floor(cfg.RankedHeadroomFactor*share + r.headroomDraw))
	}
	if float64(r.report.Senders) <= cfg.MaxSendersPerSlot*freeSlots {
		return int(math.Ceil(cfg.HeadroomFactor * share))
	}
	return int(math.Floor(cfg.CrowdedHeadroomFactor*share + r.headroomDraw))
}

// headroomUsed reports whether this host has sent all requests that it may send until the next report.
func (r *replica) headroomUsed(cfg *Config, now time.Time, reserved int, ranked bool) bool {
	if !r.hasFreshReport(cfg, now) || r.report.requesters() < 2 {
		return false
	}
	return r.unreportedSends(cfg, now) >= r.headroom(cfg, reserved, ranked)
}

// unreportedSends returns the number of requests sent after the time at which the last report was made.
func (r *replica) unreportedSends(cfg *Config, now time.Time) int {
	return r.derive(cfg, now).unreported
}

// recordSend counts a request sent to the replica at now.
func (r *replica) recordSend(now time.Time, request *Request) {
	r.inFlight++
	r.derived = derived{}
	if len(r.recentSends) == maxRecentSends {
		r.recentSends = append(r.recentSends[:0], r.recentSends[1:]...)
	}
	r.recentSends = append(r.recentSends, send{at: now, prompt: request.PromptTokens, output: request.OutputTokens})
}

// slots returns the number of requests that the replica processes concurrently.
func (r *replica) slots() int {
	if r.member.Slots > 0 {
		return r.member.Slots
	}
	return max(r.report.Slots, 1)
}

// loadedVersion returns the version of the request's model that the replica has loaded completely.
func (r *replica) loadedVersion(cfg *Config, now time.Time, request *Request) (int64, bool) {
	if r.report.Models != nil && r.hasFreshReport(cfg, now) {
		return fleet.LoadedVersion(r.report.Models, request.Model, request.Layers)
	}
	return r.member.Loaded(request.Model, request.Layers)
}

// recordOutcome updates the failure and latency statistics with the outcome of a request.
func (r *replica) recordOutcome(cfg *Config, now time.Time, outcome Outcome, latency time.Duration) {
	r.inFlight = max(r.inFlight-1, 0)
	if r.service != nil {
		r.service.recordOutcome(cfg, now, r, outcome, latency)
	}
	switch outcome {
	case OutcomeServed:
		r.consecutiveBroken = 0
		r.failureRate *= 1 - failureGain
		if latency > 0 {
			// What a stated pace explains counts in the score while it lasts.
			r.avgLatency = movingAverage(r.avgLatency, latency.Seconds()/r.expectedCurrentPace(now))
		}
	case OutcomeFailed:
		r.consecutiveBroken = 0
		r.failureRate += failureGain * (1 - r.failureRate)
	case OutcomeBroken:
		r.failureRate += failureGain * (1 - r.failureRate)
		r.recordBroken(cfg, now)
	case OutcomeShed:
		if r.knownFull(cfg, now) {
			// The header of the refusal says until when the replica is full.
			return
		}
		r.excludedUntil = later(r.excludedUntil, now.Add(cfg.ShedBackoff))
	case OutcomeMoved:
		r.addressMoved = true
	}
}

// recordBroken counts a broken request and ejects the replica once cfg.EjectAfter consecutive ones have been counted.
func (r *replica) recordBroken(cfg *Config, now time.Time) {
	r.consecutiveBroken++
	if r.consecutiveBroken < cfg.EjectAfter {
		return
	}
	shift := min(r.consecutiveBroken-cfg.EjectAfter, maxEjectShift)
	r.excludedUntil = later(r.excludedUntil, now.Add(min(cfg.EjectBase<<shift, cfg.EjectCap)))
}

// probing reports whether the replica is on probation after its ejection and already has a request in flight.
func (r *replica) probing(cfg *Config) bool {
	return r.consecutiveBroken >= cfg.EjectAfter && r.inFlight > 0
}

func movingAverage(old, newest float64) float64 {
	if old == 0 {
		return newest
	}
	return old + latencyGain*(newest-old)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
