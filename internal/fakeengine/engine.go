// Package fakeengine simulates model engines in virtual time, for tests of placement.
package fakeengine

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Engine processes all requests in passes. In a pass with writers it executes Stride steps, in each of which every writer gets one token
// and up to MaxReadTokens prompt tokens are read.
type Engine struct {
	Performance fleet.EnginePerformance
	Slots       int
	// Queue is the number of requests that wait at most.
	Queue int
	// Pace returns the factor of all times at this moment; nil means 1.
	Pace func() float64
	// Clock is the queue of events of the simulation.
	Clock *virtualtime.Queue

	running, waiting []*Job
	passing          bool
}

// Job is a request at an engine.
type Job struct {
	Prompt, Output, Priority int
	// FirstEvent and End are called at the first event and at the end.
	FirstEvent, End func()
	// Canceled removes the request before the next pass.
	Canceled bool

	read, written int
}

// Submit adds a request. It returns false if the queue is full.
func (e *Engine) Submit(job *Job) bool {
	if len(e.waiting) >= e.Queue && len(e.running) >= e.Slots {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.waiting, job.Priority, func(other *Job, priority int) int {
		if other.Priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, job)
	if !e.passing {
		e.pass()
	}
	return true
}

// Load returns the numbers of running and waiting requests and the tokens in the cache.
func (e *Engine) Load() (running, waiting, cache int) {
	return len(e.running), len(e.waiting), e.reserved()
}

// reserved returns the cache tokens of the running requests.
func (e *Engine) reserved() int {
	tokens := 0
	for _, job := range e.running {
		tokens += job.Prompt + job.written
	}
	return tokens
}

// admit starts waiting requests in their order while there is a slot and room in the cache.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		next := e.waiting[0]
		full := e.Performance.CacheTokens > 0 && e.reserved()+next.Prompt+next.Output > e.Performance.CacheTokens
		if full && len(e.running) > 0 {
			return
		}
		e.running, e.waiting = append(e.running, next), e.waiting[1:]
	}
}

// pass executes a pass and starts the next one at its end.
func (e *Engine) pass() {
	canceled := func(job *Job) bool { return job.Canceled }
	e.running, e.waiting = slices.DeleteFunc(e.running, canceled), slices.DeleteFunc(e.waiting, canceled)
	e.admit()
	if e.passing = len(e.running) > 0; !e.passing {
		return
	}
	p := &e.Performance
	var writers []*Job
	context := 0
	for _, job := range e.running {
		if job.read == job.Prompt {
			writers = append(writers, job)
			context += job.Prompt + job.written
		}
	}
	steps := 1
	if len(writers) > 0 {
		steps = max(p.Stride, 1)
	}
	step := p.Step + time.Duration(len(writers))*p.PerSequence + time.Duration(float64(context)/1e3*float64(p.ContextPerK))
	took := time.Duration(steps)*step + e.readPrompts(steps*p.MaxReadTokens)
	if e.Pace != nil {
		took = time.Duration(float64(took) * e.Pace())
	}
	e.Clock.After(took, func() { e.endPass(writers) })
}

// readPrompts reads up to budget prompt tokens and returns the time that it takes.
func (e *Engine) readPrompts(budget int) time.Duration {
	took := 0.0
	for _, job := range e.running {
		n := min(job.Prompt-job.read, budget)
		pairs := float64(n) * (float64(job.read) + float64(n)/2)
		took += float64(n)/e.Performance.ReadTokensPerSecond + pairs/1e6*e.Performance.PairsPerMillion.Seconds()
		job.read += n
		budget -= n
	}
	return time.Duration(took * float64(time.Second))
}

func (e *Engine) endPass(writers []*Job) {
	for _, job := range writers {
		if job.Canceled {
			continue
		}
		if job.written == 0 {
			job.FirstEvent()
		}
		job.written += max(e.Performance.Stride, 1)
		if job.written >= job.Output {
			e.running = slices.DeleteFunc(e.running, func(other *Job) bool { return other == job })
			job.End()
		}
	}
	e.pass()
}
