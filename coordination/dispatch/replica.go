package dispatch

import (
	"math"
	"time"

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
	member   fleet.Member
	inFlight int
	// report is the last load report. reportedAt is the time of its arrival; zero means that there is none.
	report     Report
	reportedAt time.Time
	// headroom is the number of requests that this host may send between two reports.
	headroom int
	// recentSends holds the send times of requests that the last report may not include yet.
	recentSends []time.Time

	consecutiveBroken int
	// failureRate and avgLatency are exponential moving averages; avgLatency is in seconds, 0 until measured.
	failureRate float64
	avgLatency  float64
	// excludedUntil is the end of the current ejection or shed backoff.
	excludedUntil time.Time
	addressMoved  bool
	// permits holds the permits to send to the replica while it is cold or has a request limit, nil otherwise.
	permits *permits
}

// hasFreshReport reports whether the last report is recent enough to use.
func (r *replica) hasFreshReport(cfg *Config, now time.Time) bool {
	return !r.reportedAt.IsZero() && now.Sub(r.reportedAt) <= cfg.MaxReportAge
}

// load estimates the number of requests at the replica, from all hosts if there is a fresh report.
func (r *replica) load(cfg *Config, now time.Time) int {
	if !r.hasFreshReport(cfg, now) {
		return r.inFlight
	}
	return max(r.inFlight, r.report.Running+r.report.Waiting+r.unreportedSends(cfg))
}

// drawHeadroom sets the number of requests that this host may send until the next report: its share of the free slots in the last
// one. All hosts see the same report; if each rounded its share up, all would send to a replica with one free slot. So a share is
// rounded up only while there are few hosts for each free slot, and otherwise up or down at random, in proportion to the remainder.
func (r *replica) drawHeadroom(cfg *Config, random float64) {
	freeSlots := float64(max(r.slots()+cfg.Overcommit-r.report.Running-r.report.Waiting, 0))
	share := freeSlots * r.report.reportedShare()
	if float64(r.report.Senders) <= cfg.MaxSendersPerSlot*freeSlots {
		r.headroom = int(math.Ceil(cfg.HeadroomFactor * share))
		return
	}
	r.headroom = int(math.Floor(cfg.CrowdedHeadroomFactor*share + random))
}

// headroomUsed reports whether this host has sent all requests that it may send until the next report.
func (r *replica) headroomUsed(cfg *Config, now time.Time) bool {
	if !r.hasFreshReport(cfg, now) || r.report.requesters() < 2 {
		return false
	}
	return r.unreportedSends(cfg) >= r.headroom
}

// unreportedSends returns the number of requests sent after the time at which the last report was made.
func (r *replica) unreportedSends(cfg *Config) int {
	reportMadeAt := r.reportedAt.Add(-cfg.ReportLag)
	count := 0
	for _, at := range r.recentSends {
		if at.After(reportMadeAt) {
			count++
		}
	}
	return count
}

// recordSend counts a request sent to the replica at now.
func (r *replica) recordSend(now time.Time) {
	r.inFlight++
	if len(r.recentSends) == maxRecentSends {
		r.recentSends = append(r.recentSends[:0], r.recentSends[1:]...)
	}
	r.recentSends = append(r.recentSends, now)
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
	switch outcome {
	case OutcomeServed:
		r.consecutiveBroken = 0
		r.failureRate *= 1 - failureGain
		if latency > 0 {
			r.avgLatency = movingAverage(r.avgLatency, latency.Seconds())
		}
	case OutcomeFailed:
		r.consecutiveBroken = 0
		r.failureRate += failureGain * (1 - r.failureRate)
	case OutcomeBroken:
		r.failureRate += failureGain * (1 - r.failureRate)
		r.recordBroken(cfg, now)
	case OutcomeShed:
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
