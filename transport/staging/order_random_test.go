package staging_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// faultyWorker answers orders late, not at all or with a transient rejection, reports an older state and restarts. An order dies
// with the start of the worker that received it.
type faultyWorker struct {
	*fakeWorker
	late    sync.WaitGroup
	between func(low, high time.Duration) time.Duration
	lag     time.Duration
	mu      sync.Mutex
	history []worker.Report
	times   []time.Time
}

func (w *faultyWorker) Load(ctx context.Context, order worker.LoadOrder) error {
	if w.between(0, 5) == 0 {
		return protocol.Errorf(protocol.CodeConflict, "not now")
	}
	delay, answers := w.between(0, 150*time.Millisecond), w.between(0, 2) == 0
	w.fakeWorker.mu.Lock()
	born := w.born
	w.fakeWorker.mu.Unlock()
	done := make(chan error, 1)
	w.late.Go(func() {
		time.Sleep(delay)
		w.fakeWorker.mu.Lock()
		same := w.born == born
		w.fakeWorker.mu.Unlock()
		if same {
			done <- w.fakeWorker.Load(context.WithoutCancel(ctx), order)
		}
	})
	if answers {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		}
	} else {
		<-ctx.Done()
	}
	return protocol.Wrap(protocol.CodeOutcomeUnknown, ctx.Err(), "send load order")
}

// Report returns the state of some time ago, but never that of an earlier start.
func (w *faultyWorker) Report(ctx context.Context) (worker.Report, error) {
	now, err := w.fakeWorker.Report(ctx)
	if err != nil {
		return now, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history, w.times = append(w.history, now), append(w.times, time.Now())
	old := now
	for i := len(w.history) - 1; i >= 0 && w.history[i].Born == now.Born; i-- {
		old = w.history[i]
		if time.Since(w.times[i]) >= w.lag {
			break
		}
	}
	return old, nil
}

func (w *faultyWorker) restart(losesStaged bool) {
	w.fakeWorker.mu.Lock()
	defer w.fakeWorker.mu.Unlock()
	w.born, w.orders, w.loaded = w.born+1, 0, nil
	if losesStaged {
		w.staged = map[int][]byte{}
	}
}

// TestRandomFaultsNeverMixVersions guards against any sequence of late and rejected orders, lost answers, outdated reports, new
// versions and restarts of agent and worker after which a worker loads pieces of two versions or none any more.
func TestRandomFaultsNeverMixVersions(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t)
			random := rand.New(rand.NewPCG(seed, 77))
			var mu sync.Mutex
			between := func(low, high time.Duration) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return low + time.Duration(random.Int64N(int64(high-low)))
			}
			w := &faultyWorker{fakeWorker: newWorker(), between: between, lag: 25 * time.Millisecond}
			t.Cleanup(w.late.Wait)
			w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
			for index := range pieceCount {
				w.staged[index] = piece(1, index)
			}
			ip := fmt.Sprintf("127.0.15.%d", seed+1)
			change := func(cfg *staging.Config) {
				cfg.OrderTimeout, cfg.LateOrderTimeout = 30*time.Millisecond, time.Second
				cfg.OrderReportDelay = 60 * time.Millisecond
			}
			_, stop := g.runAgent(ip, w, change)
			for version := int64(2); version <= 9; version++ {
				g.setWanted(version)
				time.Sleep(between(0, 200*time.Millisecond))
				switch between(0, 6) {
				case 0:
					stop()
					_, stop = g.runAgent(ip, w, change)
				case 1:
					w.restart(between(0, 2) == 0)
				}
			}
			eventually(t, func() bool { return w.version() == 9 })
			stop()
			require.Empty(t, w.wrong())
		})
	}
}
