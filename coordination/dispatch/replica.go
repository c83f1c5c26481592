package dispatch

import (
	"math"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// failureGain and latencyGain are the weights of the newest request in the moving averages.
	failureGain = 0.15
	latencyGain = 0.25
	// maxEjectShift caps the doubling of the time for which a replica is left out.
	maxEjectShift = 4
	// recentSends bounds the sends remembered since the last report.
	recentSends = 64
)

// replica is what a Balancer knows about one replica.
type replica struct {
	member   fleet.Member
	inFlight int
	// report is the last load report, received at the time reported; zero means none.
	report   Report
	reported time.Time
	// sends are the times of the requests sent that the report may not include yet.
	sends []time.Time

	failures int
	failing  float64
	latency  float64
	outUntil time.Time
	moved    bool
	cold     *limits.Bucket
	coldRate float64
}

// fresh reports whether the last report is recent enough to use.
func (r *replica) fresh(cfg *Config, now time.Time) bool {
	return !r.reported.IsZero() && now.Sub(r.reported) <= cfg.MaxReportAge
}

// load returns the number of requests that the replica is taken to have.
func (r *replica) load(cfg *Config, now time.Time) int {
	if !r.fresh(cfg, now) {
		return r.inFlight
	}
	return max(r.inFlight, r.report.Running+r.report.Waiting+r.unseen(cfg))
}

// rushed reports whether this host has sent its share of the room that the last report showed. All hosts see the same report,
// and after a scarcity all would send to the first replica with room.
func (r *replica) rushed(cfg *Config, now time.Time) bool {
	if !r.fresh(cfg, now) || r.report.Senders < 2 {
		return false
	}
	room := r.slots() + cfg.Overcommit - r.report.Running - r.report.Waiting
	share := math.Ceil(cfg.HeadroomFactor * float64(room) / float64(r.report.Senders))
	return float64(r.unseen(cfg)) >= max(share, 1)
}

// unseen returns the number of requests sent after the moment that the report shows.
func (r *replica) unseen(cfg *Config) int {
	from := r.reported.Add(-cfg.ReportLag)
	count := 0
	for _, at := range r.sends {
		if at.After(from) {
			count++
		}
	}
	return count
}

// sent records a request that goes to the replica now.
func (r *replica) sent(now time.Time) {
	r.inFlight++
	if len(r.sends) == recentSends {
		r.sends = append(r.sends[:0], r.sends[1:]...)
	}
	r.sends = append(r.sends, now)
}

// slots returns the number of requests that the replica works on at once.
func (r *replica) slots() int {
	if r.member.Slots > 0 {
		return r.member.Slots
	}
	return max(r.report.Slots, 1)
}

// version returns the version of the request's model that the replica has loaded whole.
func (r *replica) version(cfg *Config, now time.Time, request *Request) (int64, bool) {
	if r.report.Models != nil && r.fresh(cfg, now) {
		return fleet.LoadedVersion(r.report.Models, request.Model, request.Layers)
	}
	return r.member.Loaded(request.Model, request.Layers)
}

// done learns from the end of a request.
func (r *replica) done(cfg *Config, now time.Time, outcome Outcome, latency time.Duration) {
	r.inFlight = max(r.inFlight-1, 0)
	switch outcome {
	case OutcomeServed:
		r.failures = 0
		r.failing *= 1 - failureGain
		if latency > 0 {
			r.latency = average(r.latency, latency.Seconds())
		}
	case OutcomeFailed:
		r.failures = 0
		r.failing += failureGain * (1 - r.failing)
	case OutcomeBroken:
		r.failing += failureGain * (1 - r.failing)
		r.broke(cfg, now)
	case OutcomeShed:
		r.outUntil = latest(r.outUntil, now.Add(cfg.ShedBackoff))
	case OutcomeMoved:
		r.moved = true
	}
}

// broke counts a failure in a row and leaves the replica out once there are enough.
func (r *replica) broke(cfg *Config, now time.Time) {
	r.failures++
	if r.failures < cfg.EjectAfter {
		return
	}
	shift := min(r.failures-cfg.EjectAfter, maxEjectShift)
	r.outUntil = latest(r.outUntil, now.Add(min(cfg.EjectBase<<shift, cfg.EjectCap)))
}

// probing reports whether the replica is back after failures and has a request that has not ended yet.
func (r *replica) probing(cfg *Config) bool {
	return r.failures >= cfg.EjectAfter && r.inFlight > 0
}

func average(old, latest float64) float64 {
	if old == 0 {
		return latest
	}
	return old + latencyGain*(latest-old)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
