// Package replay has model engines for tests that replay a load in virtual time and without a network.
package replay

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
)

// Engine is a model engine with slots and a queue that is ordered by priority.
type Engine struct {
	Clock *virtualtime.Queue
	Slots int
	// MaxQueue bounds the queue. Requests beyond it are refused.
	MaxQueue int

	running int
	queue   []*Job
}

// Job is a request at an Engine. The functions are called when it is refused, has expired in the queue, has its first event, and ends.
type Job struct {
	// Priority orders the queue; 0 goes first.
	Priority int
	Deadline time.Time
	// First is the time in a slot until the first event, Rest the time after it.
	First, Rest time.Duration

	Refused, Expired, Responded, Ended func()
}

// Load returns the numbers of running and of queued requests.
func (e *Engine) Load() (running, waiting int) { return e.running, len(e.queue) }

// Receive starts, queues or refuses a request.
func (e *Engine) Receive(job *Job) {
	switch {
	case e.running < e.Slots:
		e.begin(job)
	case len(e.queue) < e.MaxQueue:
		at := len(e.queue)
		for at > 0 && e.queue[at-1].Priority > job.Priority {
			at--
		}
		e.queue = slices.Insert(e.queue, at, job)
	default:
		job.Refused()
	}
}

func (e *Engine) begin(job *Job) {
	e.running++
	e.Clock.After(job.First, func() {
		job.Responded()
		e.Clock.After(job.Rest, func() {
			e.running--
			job.Ended()
			e.beginNext()
		})
	})
}

// beginNext starts the first queued request that has not expired.
func (e *Engine) beginNext() {
	for len(e.queue) > 0 {
		job := e.queue[0]
		e.queue = e.queue[1:]
		if !e.Clock.Now().After(job.Deadline) {
			e.begin(job)
			return
		}
		job.Expired()
	}
}
