// Package virtualtime runs events in the order of their times, for tests that simulate many hosts without waiting.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds the events that have not run yet.
type Queue struct {
	start time.Time
	// now is the time since start.
	now    time.Duration
	events events
	number int
}

// NewQueue returns a Queue whose time is start.
func NewQueue(start time.Time) *Queue { return &Queue{start: start} }

// Now returns the time of the event that runs.
func (q *Queue) Now() time.Time { return q.start.Add(q.now) }

// After runs do after a time. Events of the same time run in the order of their creation.
func (q *Queue) After(d time.Duration, do func()) {
	q.number++
	heap.Push(&q.events, &event{at: q.now + max(d, 0), number: q.number, do: do})
}

// Run runs the events before end.
func (q *Queue) Run(end time.Time) {
	last := end.Sub(q.start)
	for len(q.events) > 0 && q.events[0].at < last {
		next := heap.Pop(&q.events).(*event)
		q.now = next.at
		next.do()
	}
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []*event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
