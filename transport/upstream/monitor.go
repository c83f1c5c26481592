package upstream

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Monitor reads the back end's status at an interval and reports it to the gate.
type Monitor struct {
	engine   platform.Engine
	gate     *Gate
	interval time.Duration
	log      *logrus.Entry
	// readSlot holds one element while a status read runs, so that reports reach the gate in the
	// order in which the reads started.
	readSlot chan struct{}
}

// NewMonitor returns a Monitor.
func NewMonitor(engine platform.Engine, gate *Gate, interval time.Duration, log *logrus.Entry) *Monitor {
	return &Monitor{engine: engine, gate: gate, interval: interval, log: log, readSlot: make(chan struct{}, 1)}
}

// Run reads the status at the configured interval until ctx ends.
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

// Poll reads the status once; a failed read invalidates the gate's last report.
func (m *Monitor) Poll(ctx context.Context) {
	if !m.lock(ctx) {
		return
	}
	defer m.unlock()
	m.readStatus(ctx)
}

// Verify returns nil once a successful status read has started after the given identity sequence number.
//
// Requests that wait on new connections at the same time share one read.
func (m *Monitor) Verify(ctx context.Context, openedAt uint64) error {
	if m.gate.identity.readSince(openedAt) {
		return nil
	}
	if !m.lock(ctx) {
		return protocol.Wrap(protocol.CodeUnavailable, context.Cause(ctx), "wait for the back end's status")
	}
	defer m.unlock()
	if !m.gate.identity.readSince(openedAt) {
		m.readStatus(ctx)
	}
	if !m.gate.identity.readSince(openedAt) {
		return protocol.Errorf(protocol.CodeUnavailable, "no successful status read of the back end since the connection was opened")
	}
	return nil
}

func (m *Monitor) lock(ctx context.Context) bool {
	select {
	case m.readSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Monitor) unlock() { <-m.readSlot }

func (m *Monitor) readStatus(ctx context.Context) {
	startedAt := m.gate.now()
	sequence := m.gate.identity.next()
	status, err := m.engine.Status(ctx)
	if err == nil && status.BootID == "" {
		err = protocol.Errorf(protocol.CodeMalformed, "status has no boot ID")
	}
	if err != nil {
		if ctx.Err() == nil {
			m.log.WithError(err).Warn("failed to read the back end's status")
			m.gate.InvalidateReport()
		}
		return
	}
	m.gate.Observe(admission.Report{
		BootID:   status.BootID,
		Digest:   status.Digest,
		Complete: status.Complete,
		ReadAt:   startedAt,
	})
	m.gate.identity.recordRead(sequence)
}
