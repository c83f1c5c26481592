package waiting

import (
	"math"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
)

const (
	// ratesWindow is the time constant with which earlier arrivals and starts are forgotten. At an entry with 17 requests per second, as
	// at Kinéplan, it covers some 30.
	ratesWindow = 2 * time.Second
	// leastRateShare is the least part of the starts that a class is assumed to get when more urgent requests take all of them.
	leastRateShare = 0.05
	// leastPromisedShare is the least part of the starts that is promised to refused callers who come back. Without it, callers are turned
	// away for good in a short moment in which all replicas are full.
	leastPromisedShare = 0.03
	// minStarts is the number of starts within the window below which nothing is forecast.
	minStarts = 2
	// minReturn and maxReturn bound the time after which a refused caller is told to come back.
	minReturn = 50 * time.Millisecond
	maxReturn = 10 * time.Second
	// returnSpread is the part of the time to come back that is drawn at random.
	returnSpread = 0.25
)

// classes is the number of classes of requests: of each level those that can meet their objective and those that can't.
const classes = 2 * workload.Levels

// class returns the class of a rank, from 0 for the most urgent.
func class(rank workload.Rank) int {
	if rank.Lost {
		return 2*rank.Level + 1
	}
	return 2 * rank.Level
}

// rates counts the arrivals of each class and all starts, with exponential decay.
type rates struct {
	arrivals  [classes]float64
	starts    float64
	decayedAt time.Time
}

func (r *rates) arrived(now time.Time, rank workload.Rank) {
	r.decay(now)
	r.arrivals[class(rank)]++
}

func (r *rates) started(now time.Time) {
	r.decay(now)
	r.starts++
}

func (r *rates) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / ratesWindow.Seconds())
	for i := range r.arrivals {
		r.arrivals[i] *= factor
	}
	r.starts *= factor
	r.decayedAt = now
}

// spare returns the starts per second that are left to a class by the arrivals of more urgent ones.
func (r *rates) spare(now time.Time, rank workload.Rank) float64 {
	r.decay(now)
	urgent := 0.0
	for _, arrivals := range r.arrivals[:class(rank)] {
		urgent += arrivals
	}
	return max(r.starts-urgent, leastRateShare*r.starts) / ratesWindow.Seconds()
}

// wait returns the time after which a request starts that has a number of others ahead of it: at the present rate of starts, less the
// arrivals of more urgent requests. Nothing is forecast for the first one, or while hardly any request was started.
func (r *rates) wait(now time.Time, rank workload.Rank, ahead int) time.Duration {
	if r.decay(now); ahead == 0 || r.starts < minStarts {
		return 0
	}
	seconds := float64(ahead) / r.spare(now, rank)
	return min(time.Duration(seconds*float64(time.Second)), time.Minute)
}

// Forecast returns the time after which a request of a rank would start if it came now.
func (q *Queue) Forecast(now time.Time, rank workload.Rank) time.Duration {
	ahead := 0
	for _, item := range q.items {
		if item.rank.Compare(rank) <= 0 {
			ahead++
		}
	}
	return q.rates.wait(now, rank, ahead)
}

// RetryAfter returns the time after which the caller of a refused request is to come back. Callers that can come back before their
// deadline are told successive times, as far apart as there is room for them, so that they find some; random is a number in [0, 1).
// The time may be after the deadline: then there is no room for the caller before.
func (q *Queue) RetryAfter(now time.Time, request workload.Request, random float64) time.Duration {
	rank := workload.RankAt(now, request)
	rank.Lost = true
	gap := time.Duration(0)
	if spare := q.rates.spare(now, rank); q.rates.starts >= minStarts {
		promised := max(spare*q.cfg.PromisedShare, leastPromisedShare*q.rates.starts/ratesWindow.Seconds())
		gap = time.Duration(float64(time.Second) / promised)
	}
	next := q.returns[rank.Level].Add(gap)
	if soonest := now.Add(max(q.Forecast(now, rank), minReturn)); next.Before(soonest) {
		next = soonest
	}
	if next.Before(request.Deadline) {
		q.returns[rank.Level] = next
	}
	wait := min(next.Sub(now), maxReturn)
	return wait + time.Duration(random*returnSpread*float64(wait))
}
