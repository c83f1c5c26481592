package upstream

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// Monitor reads the back end's status at an interval and tells the gate.
type Monitor struct {
	engine   platform.Engine
	gate     *Gate
	interval time.Duration
	log      *logrus.Entry
}

// NewMonitor returns a Monitor.
func NewMonitor(engine platform.Engine, gate *Gate, interval time.Duration, log *logrus.Entry) *Monitor {
	return &Monitor{engine: engine, gate: gate, interval: interval, log: log}
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
	started := m.gate.now()
	status, err := m.engine.Status(ctx)
	if err != nil {
		if ctx.Err() == nil {
			m.log.WithError(err).Warn("read back end status")
			m.gate.Doubt()
		}
		return
	}
	m.gate.Observe(admission.Report{BootID: status.BootID, Digest: status.Digest, Complete: status.Complete, ReadAt: started})
}
