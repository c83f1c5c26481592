package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// suspensionRounds is how often an agent is suspended during a verification, verificationWait the time to wait for one.
	suspensionRounds = 3
	verificationWait = 8 * time.Second
	// agentSuspension is longer than a staged piece may be corrupt when it is loaded.
	agentSuspension = 4 * time.Second
)

// suspension suspends an agent once, when its worker has sent a number of staged pieces of a version, or the report after the last of
// them. A piece that was sent becomes corrupt right after.
type suspension struct {
	agent   *process
	version int64
	// afterReads is the number of pieces read before the agent is suspended. If atReport is set, it is suspended at the next report
	// after as many.
	afterReads int
	atReport   bool
	// ended is closed when the agent runs again.
	ended chan struct{}

	mu   sync.Mutex
	read []int
	once sync.Once
}

// observeRead notes that the worker has sent a staged piece. It does nothing if s is nil.
func (s *suspension) observeRead(w *platformtest.Worker, index int) {
	if s == nil || !w.HasStaged(s.version) {
		return
	}
	s.mu.Lock()
	s.read = append(s.read, index)
	due, first := len(s.read) >= s.afterReads && !s.atReport, s.read[0]
	s.mu.Unlock()
	if due {
		s.begin(w, first)
	}
}

// observeReport notes that the worker has sent a report. It does nothing if s is nil.
func (s *suspension) observeReport(w *platformtest.Worker) {
	if s == nil {
		return
	}
	s.mu.Lock()
	due := len(s.read) >= s.afterReads && s.atReport
	first := 0
	if due {
		first = s.read[0]
	}
	s.mu.Unlock()
	if due {
		s.begin(w, first)
	}
}

// begin suspends the agent, unless it was suspended before, and corrupts a piece.
func (s *suspension) begin(w *platformtest.Worker, index int) {
	s.once.Do(func() {
		s.agent.signal(syscall.SIGSTOP)
		w.CorruptStaged(index)
		time.AfterFunc(agentSuspension, func() {
			s.agent.signal(syscall.SIGCONT)
			close(s.ended)
		})
	})
}

// suspendVerifications sets new target versions and suspends an agent while it verifies the staged pieces of each, at another moment
// each time.
func (f *fleet) suspendVerifications(ctx context.Context, random *rand.Rand) {
	for range suspensionRounds {
		number := random.IntN(len(f.agents))
		begin := time.Now()
		f.setTargetVersion(random).inject(ctx)
		s := &suspension{
			agent: f.agents[number], version: f.version.Load(), afterReads: 1 + random.IntN(chunks), atReport: random.IntN(3) == 0,
			ended: make(chan struct{}),
		}
		if s.atReport {
			s.afterReads = chunks
		}
		h := f.engineOf(f.agents[number])
		h.suspension.Store(s)
		select {
		case <-s.ended:
			f.suspensions.Add(1)
		case <-time.After(verificationWait):
		case <-ctx.Done():
		}
		h.suspension.Store(nil)
		f.checker.recordFault(interval{from: begin, to: time.Now().Add(faultRecoveryTime)}, false)
	}
}

// engineOf returns the host of the worker beside an agent.
func (f *fleet) engineOf(agent *process) *workerHost {
	for _, h := range f.workers {
		if h.name == agent.name {
			return h
		}
	}
	return nil
}
