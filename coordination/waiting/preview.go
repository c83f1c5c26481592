package waiting

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
)

// Preview is the place that a request would have in a queue.
type Preview struct {
	Rank workload.Rank
	// Ahead is the number of waiting requests that would be started before it.
	Ahead int
	// Guaranteed is true if it would be the first one of a level below its minimum share.
	Guaranteed bool
	// Forecast is the time after which it would start.
	Forecast time.Duration
	// Refusal is the reason why it could not wait, empty if it could. The bounds of the queue are not considered.
	Refusal Reason
}

// Preview returns the place that a request would have if it were queued now. It changes nothing.
func (q *Queue) Preview(now time.Time, request workload.Request) Preview {
	c := *q
	c.items = slices.Clone(q.items)
	c.rank(now)
	added := c.ranked(now, Item{Request: request, Since: now})
	p := Preview{Rank: added.rank, Forecast: c.Forecast(now, added.rank)}
	c.insert(added)
	order := c.Order(now)
	// The IDs of waiting requests are not 0.
	p.Ahead = slices.IndexFunc(order, func(w Waiting) bool { return w.ID == 0 })
	p.Guaranteed = order[p.Ahead].Guaranteed
	p.Refusal = c.check(now, added, p.Forecast, p.Ahead)
	return p
}
