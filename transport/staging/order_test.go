package staging_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// delayedWorker leaves its first order unanswered and carries it out as soon as a piece of another version has been
// staged, if it still matches the count of orders.
type delayedWorker struct {
	*fakeWorker
	mu      sync.Mutex
	delayed *worker.LoadOrder
	sent    int
}

func (w *delayedWorker) Load(ctx context.Context, order worker.LoadOrder) error {
	w.mu.Lock()
	w.sent++
	first := w.sent == 1
	if first {
		w.delayed = &order
	}
	w.mu.Unlock()
	if !first {
		return w.fakeWorker.Load(ctx, order)
	}
	<-ctx.Done()
	return protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "send load order")
}

func (w *delayedWorker) Stage(ctx context.Context, model core.Model, index int, data []byte) error {
	if err := w.fakeWorker.Stage(ctx, model, index, data); err != nil {
		return err
	}
	w.mu.Lock()
	order := w.delayed
	if order != nil && string(data) != string(piece(order.Version, index)) {
		w.delayed = nil
	} else {
		order = nil
	}
	w.mu.Unlock()
	if order != nil {
		_ = w.fakeWorker.Load(ctx, *order)
	}
	return nil
}

func (w *delayedWorker) ordersSent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// TestLateOrderDoesNotLoadPiecesOfTheNextVersion guards against staging the next version while an order without an answer
// may still be carried out: it would load a mixture of both.
func TestLateOrderDoesNotLoadPiecesOfTheNextVersion(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &delayedWorker{fakeWorker: newWorker()}
	g.startAgentWith("127.0.12.1", w, func(cfg *staging.Config) { cfg.OrderTimeout = 100 * time.Millisecond })
	eventually(t, func() bool { return w.ordersSent() == 1 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong(), fmt.Sprintf("%d orders sent", w.ordersSent()))
}

// TestPieceCorruptedWhileAnOrderIsUnansweredIsStagedAgain guards against an order that is carried out seconds after the pieces
// were verified and loads one that has become corrupt meanwhile.
func TestPieceCorruptedWhileAnOrderIsUnansweredIsStagedAgain(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &delayedWorker{fakeWorker: newWorker()}
	g.startAgentWith("127.0.12.2", w, func(cfg *staging.Config) { cfg.OrderTimeout = 100 * time.Millisecond })
	eventually(t, func() bool { return w.ordersSent() == 1 })
	w.fakeWorker.mu.Lock()
	w.staged[5][0]++
	w.fakeWorker.mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// lateWorker carries out orders after random delays and loses some of the answers.
type lateWorker struct {
	*fakeWorker
	plan func() (delay time.Duration, answers bool)
	late sync.WaitGroup
	mu   sync.Mutex
	sent int
}

func (w *lateWorker) Load(ctx context.Context, order worker.LoadOrder) error {
	delay, answers := w.plan()
	w.mu.Lock()
	w.sent++
	w.mu.Unlock()
	done := make(chan error, 1)
	w.late.Go(func() {
		time.Sleep(delay)
		done <- w.fakeWorker.Load(context.WithoutCancel(ctx), order)
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

func (w *lateWorker) ordersSent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// TestOrderWhoseAnswerIsLostDoesNotStopTheRollout guards against waiting forever for the answer of an order that the worker's
// report shows to have begun.
func TestOrderWhoseAnswerIsLostDoesNotStopTheRollout(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &lateWorker{fakeWorker: newWorker(), plan: func() (time.Duration, bool) { return 0, false }}
	t.Cleanup(w.late.Wait)
	g.startAgentWith("127.0.12.3", w, func(cfg *staging.Config) { cfg.OrderTimeout = 50 * time.Millisecond })
	eventually(t, func() bool { return w.version() == 2 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
	require.Equal(t, 2, w.ordersSent(), "the report settles an order without another one")
}

// TestRestartedAgentKeepsPiecesThatMayBeOrdered guards against an agent that doesn't know of its predecessor's order and stages
// the next version before the worker has carried the order out.
func TestRestartedAgentKeepsPiecesThatMayBeOrdered(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &lateWorker{fakeWorker: newWorker(), plan: func() (time.Duration, bool) { return 400 * time.Millisecond, true }}
	t.Cleanup(w.late.Wait)
	_, stop := g.runAgent("127.0.12.4", w, func(*staging.Config) {})
	eventually(t, func() bool { return w.ordersSent() == 1 })
	stop()
	g.setWanted(3)
	g.startAgentWith("127.0.12.4", w, func(*staging.Config) {})
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// TestRestartedAgentReplacesLoadedPiecesAtOnce guards against a rollout that waits after every restart of the agent, although
// the staged pieces are those of the loaded version, for which no order can be outstanding.
func TestRestartedAgentReplacesLoadedPiecesAtOnce(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = piece(1, index)
	}
	g.startAgentWith("127.0.12.5", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// TestSuspendedAgentVerifiesPiecesAgainBeforeItsOrder guards against an agent that is suspended after it has verified the staged
// pieces, and then orders a load although one of them has become corrupt meanwhile.
func TestSuspendedAgentVerifiesPiecesAgainBeforeItsOrder(t *testing.T) {
	g := newGroup(t)
	var suspended atomic.Int64
	g.clock = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
	g.setWanted(2)
	w := newWorker()
	published := g.startAgentWith("127.0.12.7", w, func(cfg *staging.Config) { cfg.LoadNoticeDelay = 200 * time.Millisecond })
	eventually(t, func() bool { return published.last().Loading })
	w.mu.Lock()
	require.Zero(t, w.orders)
	w.staged[5][0]++
	suspended.Store(int64(time.Minute))
	w.mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// stagingDelay is longer than an agent takes to notice that a fetch is superseded.
const stagingDelay = 120 * time.Millisecond

// slowStagingWorker carries out writes after a delay, and those that were canceled once isLoadNoticed returns true.
type slowStagingWorker struct {
	*fakeWorker
	isLoadNoticed func() bool
	late          sync.WaitGroup
}

func (w *slowStagingWorker) Stage(ctx context.Context, model core.Model, index int, data []byte) error {
	select {
	case <-ctx.Done():
		w.late.Go(func() {
			for !w.isLoadNoticed() {
				time.Sleep(time.Millisecond)
			}
			_ = w.fakeWorker.Stage(context.WithoutCancel(ctx), model, index, data)
		})
		return protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "stage a piece")
	case <-time.After(stagingDelay):
		return w.fakeWorker.Stage(ctx, model, index, data)
	}
}

// TestPieceOfASupersededFetchIsNotStagedLater guards against canceled writes of the older version that take effect after the
// pieces of the newer one were verified.
func TestPieceOfASupersededFetchIsNotStagedLater(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	var mu sync.Mutex
	var published *reports
	w := &slowStagingWorker{fakeWorker: newWorker(), isLoadNoticed: func() bool {
		mu.Lock()
		defer mu.Unlock()
		return published.last().Loading
	}}
	t.Cleanup(w.late.Wait)
	mu.Lock()
	published = g.startAgentWith("127.0.12.6", w, func(cfg *staging.Config) { cfg.LoadNoticeDelay = 50 * time.Millisecond })
	mu.Unlock()
	eventually(t, func() bool { return g.origin.piecesSent() > 0 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// TestRandomOrderDelaysNeverMixVersions guards against late orders and lost answers that, among new versions and restarts of the
// agent, have a worker load pieces of two versions.
func TestRandomOrderDelaysNeverMixVersions(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t)
			random := rand.New(rand.NewPCG(seed, seed))
			var mu sync.Mutex
			between := func(low, high time.Duration) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return low + time.Duration(random.Int64N(int64(high-low)))
			}
			w := &lateWorker{fakeWorker: newWorker(), plan: func() (time.Duration, bool) {
				return between(0, 150*time.Millisecond), between(0, 2) == 0
			}}
			t.Cleanup(w.late.Wait)
			ip := fmt.Sprintf("127.0.13.%d", seed+1)
			change := func(cfg *staging.Config) {
				cfg.OrderTimeout, cfg.LateOrderTimeout = 30*time.Millisecond, time.Second
			}
			_, stop := g.runAgent(ip, w, change)
			for version := int64(2); version <= 7; version++ {
				g.setWanted(version)
				time.Sleep(between(0, 200*time.Millisecond))
				if between(0, 3) == 0 {
					stop()
					_, stop = g.runAgent(ip, w, change)
				}
			}
			eventually(t, func() bool { return w.version() == 7 })
			stop()
			require.Empty(t, w.wrong())
		})
	}
}
