// Package waiting orders the requests of an entry that wait for a replica of an upstream, and forecasts when there is room for them. It
// reads no clock: callers pass in the time.
package waiting

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
)

// Config bounds a queue.
type Config struct {
	// MaxRequests and MaxBytes bound the requests that wait and the bytes that they hold. Beyond them the one of the lowest rank is refused.
	MaxRequests int
	MaxBytes    int64
	// MaxLateWait bounds the time for which a request waits after its objective is lost, and MaxLateShare the part of the time to its
	// deadline. Higher values serve more requests late that would be refused otherwise.
	MaxLateWait  time.Duration
	MaxLateShare float64
	// MaxReturnedWait and MaxReturnedShare are the same for callers that were refused before. They don't come back once more.
	MaxReturnedWait  time.Duration
	MaxReturnedShare float64
	// PromisedShare is the part of the room that is promised to refused callers who come back; requests of their rank that arrive
	// meanwhile take the rest.
	PromisedShare float64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxRequests: 256, MaxBytes: 4 << 20,
		MaxLateWait: 250 * time.Millisecond, MaxLateShare: 0.25, MaxReturnedWait: 2 * time.Second, MaxReturnedShare: 0.5, PromisedShare: 0.25,
	}
}

// ID identifies a request in a queue.
type ID uint64

// Item is a request to be queued.
type Item struct {
	ID      ID
	Request workload.Request
	// Since is the time since which the request waits; zero means since it is queued.
	Since time.Time
	// Bytes is the size of the request's body.
	Bytes int64
}

// Reason is the reason why a request may not wait any longer.
type Reason string

// Reasons for a refusal.
const (
	// ReasonQueueFull means that the queue holds as much as it may, and the request has the lowest rank or exceeds the bound by itself.
	ReasonQueueFull Reason = "queue_full"
	// ReasonForecast means that the request can't start within its time by the forecast.
	ReasonForecast Reason = "forecast"
	// ReasonTimeout means that the time of the request has passed.
	ReasonTimeout Reason = "timeout"
	// ReasonHeldOff means that no replica takes requests of this host within the time of the request. It comes from the user of the queue.
	ReasonHeldOff Reason = "held_off"
)

// Refusal is a request that is removed from the queue because it may not wait any longer.
type Refusal struct {
	ID     ID
	Reason Reason
	Rank   workload.Rank
	// Forecast is the time after which the request could have started.
	Forecast time.Duration
}

// Queue holds the waiting requests of one upstream in the order of their rank. It is not safe for concurrent use.
type Queue struct {
	cfg    Config
	items  []queued
	bytes  int64
	rates  rates
	shares workload.Shares
	// returns holds for each level the time for which the last refused caller was told to come back.
	returns [workload.Levels]time.Time
}

type queued struct {
	Item
	rank workload.Rank
	// until is the time up to which the request may wait.
	until time.Time
	// forecast is the wait that was forecast at the first review.
	forecast time.Duration
	reviewed bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Arrived counts a request that arrives, whether it has to wait or not.
func (q *Queue) Arrived(now time.Time, rank workload.Rank) {
	q.shares.Arrived(now, rank.Level)
	q.rates.arrived(now, rank)
}

// Started counts a request that is started, and removes it from the queue if it waits.
func (q *Queue) Started(now time.Time, id ID, level int) {
	q.shares.Started(now, level)
	q.rates.started(now)
	q.Remove(id)
}

// BelowMinimum reports whether fewer requests of a level are started than its minimum share.
func (q *Queue) BelowMinimum(now time.Time, level int) bool { return q.shares.BelowMinimum(now, level) }

// Add queues a request. It is checked by the next Review.
func (q *Queue) Add(now time.Time, item Item) {
	q.bytes += item.Bytes
	if item.Since.IsZero() {
		item.Since = now
	}
	q.insert(q.ranked(now, item))
}

// ranked returns an item with its rank at now. Without an objective all of its wait counts as late.
func (q *Queue) ranked(now time.Time, item Item) queued {
	rank := workload.RankAt(now, item.Request)
	latest := item.Request.Latest()
	lateFrom := item.Since
	if !rank.Lost && item.Request.Objective > 0 && !item.Request.Resumed {
		lateFrom = rank.StartBy
	}
	wait, share := q.cfg.MaxLateWait, q.cfg.MaxLateShare
	if item.Request.Returned() {
		wait, share = q.cfg.MaxReturnedWait, q.cfg.MaxReturnedShare
	}
	left := float64(item.Request.Deadline.Sub(lateFrom)) * share
	until := lateFrom.Add(max(min(wait, time.Duration(left)), 0))
	if latest.Before(until) {
		until = latest
	}
	return queued{Item: item, rank: rank, until: until}
}

func (q *Queue) insert(item queued) {
	at, _ := slices.BinarySearchFunc(q.items, item, func(a, b queued) int {
		if order := a.rank.Compare(b.rank); order != 0 {
			return order
		}
		// An item goes after those of the same rank.
		return -1
	})
	q.items = slices.Insert(q.items, at, item)
}

// Remove removes a request.
func (q *Queue) Remove(id ID) {
	q.items = slices.DeleteFunc(q.items, func(item queued) bool {
		if item.ID == id {
			q.bytes -= item.Bytes
		}
		return item.ID == id
	})
}

// State is the state of a waiting request.
type State struct {
	Rank workload.Rank
	// Until is the time up to which the request may wait.
	Until time.Time
	// Forecast is the wait that was forecast when the request was queued.
	Forecast time.Duration
}

// State returns the state of a request; false if it does not wait.
func (q *Queue) State(id ID) (State, bool) {
	for _, item := range q.items {
		if item.ID == id {
			return State{Rank: item.rank, Until: item.until, Forecast: item.forecast}, true
		}
	}
	return State{}, false
}

// Waiting is a request in the order in which requests are to be started.
type Waiting struct {
	ID   ID
	Rank workload.Rank
	// Guaranteed is true for the first request of a level below its minimum share.
	Guaranteed bool
}

// Order returns the waiting requests in the order in which they are to be started: by rank, after the first one of each level below its
// minimum share.
func (q *Queue) Order(now time.Time) []Waiting {
	order := make([]Waiting, 0, len(q.items))
	for i, item := range q.items {
		first := i == 0 || q.items[i-1].rank.Level != item.rank.Level
		if first && q.shares.BelowMinimum(now, item.rank.Level) {
			order = append(order, Waiting{ID: item.ID, Rank: item.rank, Guaranteed: true})
		}
	}
	guaranteed := len(order)
	for _, item := range q.items {
		if !slices.ContainsFunc(order[:guaranteed], func(w Waiting) bool { return w.ID == item.ID }) {
			order = append(order, Waiting{ID: item.ID, Rank: item.rank})
		}
	}
	return order
}

// Review ranks the waiting requests again, since some may have lost their objective, and removes and returns those that may not wait any
// longer.
func (q *Queue) Review(now time.Time) []Refusal {
	q.rank(now)
	var refused []Refusal
	kept := q.items[:0]
	for _, item := range q.items {
		forecast := q.rates.wait(now, item.rank, len(kept))
		reason := q.check(now, item, forecast, len(kept))
		if !item.reviewed {
			item.forecast, item.reviewed = forecast, true
		}
		if reason == "" {
			kept = append(kept, item)
			continue
		}
		q.bytes -= item.Bytes
		refused = append(refused, Refusal{ID: item.ID, Reason: reason, Rank: item.rank, Forecast: forecast})
	}
	clear(q.items[len(kept):])
	q.items = kept
	return append(refused, q.evict(now)...)
}

// rank updates the ranks and the order of the waiting requests.
func (q *Queue) rank(now time.Time) {
	sorted := true
	for i, item := range q.items {
		if !item.rank.Lost && item.rank.StartBy.Before(now) {
			q.items[i].rank = workload.RankAt(now, item.Request)
			sorted = false
		}
	}
	if !sorted {
		slices.SortStableFunc(q.items, func(a, b queued) int { return a.rank.Compare(b.rank) })
	}
}

// check returns the reason why a request with a number of others ahead of it may not wait, empty if it may.
func (q *Queue) check(now time.Time, item queued, forecast time.Duration, ahead int) Reason {
	switch {
	case !now.Before(item.until):
		return ReasonTimeout
	case item.Bytes > q.cfg.MaxBytes:
		// It would not fit even if all others were refused.
		return ReasonQueueFull
	}
	if !item.rank.Lost && forecast <= item.rank.StartBy.Sub(now) {
		return ""
	}
	late := item.rank
	late.Lost = true
	if q.rates.wait(now, late, ahead) > item.until.Sub(now) {
		return ReasonForecast
	}
	return ""
}

// evict removes the requests of the lowest rank beyond the bounds.
func (q *Queue) evict(now time.Time) []Refusal {
	var refused []Refusal
	for len(q.items) > q.cfg.MaxRequests || len(q.items) > 0 && q.bytes > q.cfg.MaxBytes {
		last := q.items[len(q.items)-1]
		q.items = q.items[:len(q.items)-1]
		q.bytes -= last.Bytes
		refused = append(refused, Refusal{
			ID: last.ID, Reason: ReasonQueueFull, Rank: last.rank, Forecast: q.rates.wait(now, last.rank, len(q.items)),
		})
	}
	return refused
}
