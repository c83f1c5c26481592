package upstream

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Monitor reads the back end's status at an interval and tells the gate.
type Monitor struct {
	engine   platform.Engine
	gate     *Gate
	interval time.Duration
	log      *logrus.Entry
	// reading holds one element while a status read runs, so that reports reach the gate in the order of their reads.
	reading chan struct{}
}

// NewMonitor returns a Monitor.
func NewMonitor(engine platform.Engine, gate *Gate, interval time.Duration, log *logrus.Entry) *Monitor {
	return &Monitor{engine: engine, gate: gate, interval: interval, log: log, reading: make(chan struct{}, 1)}
}

// Run polls until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	for {
		m.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the status once; a failed read puts the back end in doubt.
func (m *Monitor) Poll(ctx context.Context) {
	if !m.lock(ctx) {
		return
	}
	defer m.unlock()
	m.read(ctx)
}

// Verify returns once a successful status read started after the given point of the identity sequence.
//
// Requests that wait on new connections at the same time share one read.
func (m *Monitor) Verify(ctx context.Context, opened uint64) error {
	if m.gate.identity.covers(opened) {
		return nil
	}
	if !m.lock(ctx) {
		return protocol.Wrap(protocol.CodeUnavailable, context.Cause(ctx), "wait for the back end's status")
	}
	defer m.unlock()
	if !m.gate.identity.covers(opened) {
		m.read(ctx)
	}
	if !m.gate.identity.covers(opened) {
		return protocol.Errorf(protocol.CodeUnavailable, "the back end is not identified since the connection was opened")
	}
	return nil
}

func (m *Monitor) lock(ctx context.Context) bool {
	select {
	case m.reading <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Monitor) unlock() { <-m.reading }

func (m *Monitor) read(ctx context.Context) {
	started := m.gate.now()
	point := m.gate.identity.mark()
	status, err := m.engine.Status(ctx)
	if err == nil && status.BootID == "" {
		err = protocol.Errorf(protocol.CodeMalformed, "status has no boot ID")
	}
	if err != nil {
		if ctx.Err() == nil {
			m.log.WithError(err).Warn("read back end status")
			m.gate.Doubt()
		}
		return
	}
	m.gate.Observe(admission.Report{
		BootID:   status.BootID,
		Digest:   status.Digest,
		Complete: status.Complete,
		ReadAt:   started,
	})
	m.gate.identity.identified(point)
}
