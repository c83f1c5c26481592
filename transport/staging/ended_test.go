package staging_test

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/worker"
)

// endingWorker refuses connections while refuses is set, and fails otherwise while hangs is set.
type endingWorker struct {
	*fakeWorker
	refuses, hangs atomic.Bool
	reads          atomic.Int64
}

func (w *endingWorker) Report(ctx context.Context) (worker.Report, error) {
	w.reads.Add(1)
	switch {
	case w.refuses.Load():
		return worker.Report{}, eris.Wrap(syscall.ECONNREFUSED, "read the report")
	case w.hangs.Load():
		return worker.Report{}, eris.New("timeout")
	}
	return w.fakeWorker.Report(ctx)
}

func (w *endingWorker) restart(born int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born = born
}

func (w *endingWorker) awaitReads(t *testing.T) {
	t.Helper()
	seen := w.reads.Load()
	eventually(t, func() bool { return w.reads.Load() >= seen+3 })
}

// TestEndOfAWorkerIsToldOnce guards against a crash of the worker that entry hosts don't hear of, or hear of for a worker that is only
// slow.
func TestEndOfAWorkerIsToldOnce(t *testing.T) {
	g := newGroup(t)
	w := &endingWorker{fakeWorker: newWorker()}
	published := g.startAgent("127.0.9.60", w)
	w.awaitReads(t)
	w.hangs.Store(true)
	w.awaitReads(t)
	w.hangs.Store(false)
	w.awaitReads(t)
	require.Empty(t, published.ends())
	w.refuses.Store(true)
	w.awaitReads(t)
	require.Equal(t, []int64{1}, published.ends())
	w.restart(2)
	w.refuses.Store(false)
	w.awaitReads(t)
	require.Equal(t, []int64{1}, published.ends())
	// A restart between two reads.
	w.restart(3)
	w.awaitReads(t)
	require.Equal(t, []int64{1, 2}, published.ends())
}
