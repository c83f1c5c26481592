// Package lateness estimates how long a caller has been trying already, from the deadline that it sends. Callers that were refused come
// back with what is left of their time, mostly to another host, and nothing else tells them from new ones.
package lateness

import "time"

// window is the time over which the usual deadline of a route is taken.
const window = 30 * time.Second

// Estimator holds the usual deadlines of routes: the longest ones that callers have sent within one to two windows. It is not safe for
// concurrent use.
type Estimator struct {
	routes map[string]*usual
}

// usual holds the longest deadlines of the present and of the previous window.
type usual struct {
	since             time.Time
	longest, previous time.Duration
}

// NewEstimator returns an Estimator that knows no deadlines.
func NewEstimator() *Estimator { return &Estimator{routes: make(map[string]*usual)} }

// Elapsed records the deadline of a request, as the time that its caller still waits, and returns the time by which it is shorter than
// the usual one of its route.
func (e *Estimator) Elapsed(now time.Time, route string, left time.Duration) time.Duration {
	u := e.routes[route]
	switch {
	case u == nil:
		u = &usual{since: now}
		e.routes[route] = u
	case now.Sub(u.since) >= 2*window:
		*u = usual{since: now}
	case now.Sub(u.since) >= window:
		*u = usual{since: now, previous: u.longest}
	}
	u.longest = max(u.longest, left)
	return max(u.longest, u.previous) - left
}
