package staging_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// limitingWorker states a request limit in its reports.
type limitingWorker struct {
	*fakeWorker
	limit atomic.Pointer[fleet.RequestLimit]
}

func (w *limitingWorker) Report(ctx context.Context) (worker.Report, error) {
	report, err := w.fakeWorker.Report(ctx)
	report.RequestLimit = *w.limit.Load()
	return report, err
}

func (r *reports) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list)
}

// TestRequestLimitOfAWorkerIsReported guards against a request limit that entry hosts don't hear of, or that a malformed one ends or
// hides.
func TestRequestLimitOfAWorkerIsReported(t *testing.T) {
	g := newGroup(t)
	w := &limitingWorker{fakeWorker: newWorker()}
	stated := fleet.RequestLimit{Stated: true, PerSecond: 1.7}
	w.limit.Store(&stated)
	published := g.startAgent("127.0.9.62", w)
	eventually(t, func() bool { return published.last().RequestLimit == stated })

	w.limit.Store(&fleet.RequestLimit{Malformed: true})
	seen := published.count()
	eventually(t, func() bool { return published.count() >= seen+3 })
	eventually(t, func() bool { return published.last().RequestLimit == stated })

	w.limit.Store(&fleet.RequestLimit{})
	eventually(t, func() bool { return published.last().RequestLimit == fleet.RequestLimit{} })
}
