// Package replay has what tests need to replay a load in virtual time and without a network: a clock with events, and model engines.
package replay

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their virtual time.
type Clock struct {
	now      time.Time
	events   events
	sequence int
}

// NewClock returns a Clock without events.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the time of the present event.
func (c *Clock) Now() time.Time { return c.now }

// After runs an event once d has passed. Events of the same time run in the order of the calls.
func (c *Clock) After(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now.Add(d), c.sequence, run})
}

// RunUntil runs the events up to a time.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
