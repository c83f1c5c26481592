package ingress

import "time"

// timeLeft returns the times until the request misses its latency objective, 0 if it has missed it or there is none, and until its
// deadline.
func (c *call) timeLeft() (objective, deadline time.Duration) {
	now := c.h.Now()
	if !c.late && c.route.Objective > 0 {
		objective = max(c.route.Objective-now.Sub(c.arrived), 0)
	}
	return objective, max(c.deadline.Sub(now), 0)
}
