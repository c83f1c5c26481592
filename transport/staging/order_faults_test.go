package staging_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// scriptedWorker passes each order to respond with its number from 1, and carries out held as soon as a piece of another
// version has been staged.
type scriptedWorker struct {
	*fakeWorker
	mu      sync.Mutex
	held    *worker.LoadOrder
	sent    int
	respond func(ctx context.Context, n int, order worker.LoadOrder) error
	// report changes a report before it is returned.
	report func(worker.Report) worker.Report
	// reportError is called before each report and fails it with the error that it returns.
	reportError func(context.Context) error
}

func (w *scriptedWorker) Load(ctx context.Context, order worker.LoadOrder) error {
	w.mu.Lock()
	w.sent++
	n := w.sent
	w.mu.Unlock()
	return w.respond(ctx, n, order)
}

// hold keeps an order and leaves it unanswered.
func (w *scriptedWorker) hold(ctx context.Context, order worker.LoadOrder) error {
	w.mu.Lock()
	w.held = &order
	w.mu.Unlock()
	<-ctx.Done()
	return protocol.Wrap(protocol.CodeOutcomeUnknown, ctx.Err(), "send load order")
}

func (w *scriptedWorker) Report(ctx context.Context) (worker.Report, error) {
	if w.reportError != nil {
		if err := w.reportError(ctx); err != nil {
			return worker.Report{}, err
		}
	}
	report, err := w.fakeWorker.Report(ctx)
	if err == nil && w.report != nil {
		report = w.report(report)
	}
	return report, err
}

func (w *scriptedWorker) Stage(ctx context.Context, model core.Model, index int, data []byte) error {
	if err := w.fakeWorker.Stage(ctx, model, index, data); err != nil {
		return err
	}
	w.mu.Lock()
	order := w.held
	if order != nil && string(data) != string(piece(order.Version, index)) {
		w.held = nil
	} else {
		order = nil
	}
	w.mu.Unlock()
	if order != nil {
		_ = w.fakeWorker.Load(ctx, *order)
	}
	return nil
}

func (w *scriptedWorker) ordersSent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

func shortOrders(cfg *staging.Config) { cfg.OrderTimeout = 50 * time.Millisecond }

// TestRefusedRepeatDoesNotEndTheWaitForTheFirstOrder guards against staging the next version because a repeat was refused,
// although the worker may still carry out the order that it repeats.
func TestRefusedRepeatDoesNotEndTheWaitForTheFirstOrder(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.respond = func(ctx context.Context, n int, order worker.LoadOrder) error {
		switch n {
		case 1:
			return w.hold(ctx, order)
		case 2:
			return protocol.Errorf(protocol.CodeConflict, "status 421")
		default:
			return w.fakeWorker.Load(ctx, order)
		}
	}
	g.startAgentWith("127.0.14.1", w, shortOrders)
	eventually(t, func() bool { return w.ordersSent() == 1 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// TestReportWithAnEarlierCountDoesNotSettleAnOrder guards against taking a report that is older than the one before it for the
// end of an order without an answer.
func TestReportWithAnEarlierCountDoesNotSettleAnOrder(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.orders = 1
	var once sync.Once
	w.respond = func(ctx context.Context, n int, order worker.LoadOrder) error {
		switch {
		case n == 1:
			return w.hold(ctx, order)
		case order.Version == 2 && n < 6:
			return protocol.Errorf(protocol.CodeOutcomeUnknown, "connection reset")
		default:
			return w.fakeWorker.Load(ctx, order)
		}
	}
	w.report = func(report worker.Report) worker.Report {
		if w.ordersSent() > 2 {
			once.Do(func() { report.Orders-- })
		}
		return report
	}
	g.startAgentWith("127.0.14.2", w, shortOrders)
	eventually(t, func() bool { return w.ordersSent() > 0 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// TestOrderThatASuccessorReceivedIsNotForgottenWithTheWorker guards against staging the next version because the worker has
// restarted, although the order reached the worker that runs now.
func TestOrderThatASuccessorReceivedIsNotForgottenWithTheWorker(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	var unreachable atomic.Bool
	w.reportError = func(context.Context) error {
		if unreachable.Load() {
			return protocol.Errorf(protocol.CodeUnavailable, "no answer")
		}
		return nil
	}
	w.respond = func(ctx context.Context, n int, order worker.LoadOrder) error {
		if n > 1 {
			return w.fakeWorker.Load(ctx, order)
		}
		unreachable.Store(true)
		w.fakeWorker.mu.Lock()
		w.born++
		w.fakeWorker.mu.Unlock()
		return w.hold(ctx, order)
	}
	g.startAgentWith("127.0.14.10", w, shortOrders)
	eventually(t, func() bool { return w.ordersSent() == 1 })
	g.setWanted(3)
	time.Sleep(200 * time.Millisecond)
	unreachable.Store(false)
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// TestOrderIsNotSentToASuccessorWithoutPieces guards against an order for which the pieces were verified at a worker that has
// restarted since and lost them.
func TestOrderIsNotSentToASuccessorWithoutPieces(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	published := g.startAgentWith("127.0.14.11", w, func(cfg *staging.Config) {
		// The agent's own reads of the report don't show the restart.
		cfg.LoadNoticeDelay, cfg.ReportInterval = 200*time.Millisecond, 400*time.Millisecond
	})
	eventually(t, func() bool { return published.last().Loading })
	w.mu.Lock()
	w.born, w.staged = w.born+1, map[int][]byte{}
	w.mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// TestOrderThatNoLongerFitsDoesNotStopTheRollout guards against repeating an order for ever that the worker lost and that it
// now rejects for a reason other than its count of orders, although it would load the next version.
func TestOrderThatNoLongerFitsDoesNotStopTheRollout(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.respond = func(ctx context.Context, n int, order worker.LoadOrder) error {
		switch {
		case n == 1:
			<-ctx.Done()
			return protocol.Wrap(protocol.CodeOutcomeUnknown, ctx.Err(), "send load order")
		case order.Version == 2:
			return protocol.Errorf(protocol.CodeConflict, "the order does not fit")
		default:
			return w.fakeWorker.Load(ctx, order)
		}
	}
	g.startAgentWith("127.0.14.3", w, func(cfg *staging.Config) {
		cfg.OrderTimeout, cfg.LateOrderTimeout = 50*time.Millisecond, 200*time.Millisecond
	})
	eventually(t, func() bool { return w.ordersSent() == 1 })
	g.setWanted(3)
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond, "version 3 is never ordered")
}

// TestRestartedAgentStopsWaitingWhenTheStagedVersionIsLoaded guards against waiting for an order that the worker had begun
// before the process started: the version is loaded, and no order for it can be outstanding.
func TestRestartedAgentStopsWaitingWhenTheStagedVersionIsLoaded(t *testing.T) {
	g := newGroup(t)
	w := newWorker()
	w.orders = 1
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = piece(2, index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.4", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 2, Layers: layers}}
	w.mu.Unlock()
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
}

// TestRestartedAgentDoesNotWaitForAVersionThatWasNeverComplete guards against a wait after a restart in the middle of a fetch:
// no order for a version can be outstanding of which pieces are missing.
func TestRestartedAgentDoesNotWaitForAVersionThatWasNeverComplete(t *testing.T) {
	g := newGroup(t)
	w := newWorker()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = piece(1, index)
	}
	w.staged[0] = piece(2, 0)
	g.setWanted(3)
	g.startAgentWith("127.0.14.5", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
}

// TestRestartedAgentGoesOnWithItsFetch guards against a wait after a restart in the middle of a fetch of the wanted version, where
// the origin no longer has the manifests of the versions before it.
func TestRestartedAgentGoesOnWithItsFetch(t *testing.T) {
	g := newGroup(t)
	g.origin.oldest = 4
	w := newWorker()
	for index := range pieceCount / 2 {
		w.staged[index] = piece(4, index)
	}
	g.setWanted(4)
	g.startAgentWith("127.0.14.12", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	require.Eventually(t, func() bool { return w.version() == 4 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong())
}

// TestRestartedWorkerHasNoInheritedOrder guards against a worker that stays without a version: its process was gone after the
// agent had started, so it can't have an order of an earlier agent process.
func TestRestartedWorkerHasNoInheritedOrder(t *testing.T) {
	g := newGroup(t)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.respond = func(ctx context.Context, _ int, order worker.LoadOrder) error { return w.fakeWorker.Load(ctx, order) }
	var reads atomic.Int32
	w.reportError = func(context.Context) error {
		if reads.Add(1) > 1 {
			return nil
		}
		return protocol.Wrap(protocol.CodeUnavailable, syscall.ECONNREFUSED, "read the worker's report")
	}
	for index := range pieceCount {
		w.staged[index] = piece(2, index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.6", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
}

// TestOrdersThatAreNotAnsweredAreRepeatedEverMoreRarely guards against a stream of orders, each with a read of all pieces, to a
// worker that resets every one of them while it goes on serving.
func TestOrdersThatAreNotAnsweredAreRepeatedEverMoreRarely(t *testing.T) {
	const pause = 20 * time.Millisecond
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	times := make(chan time.Time, 6)
	w.respond = func(context.Context, int, worker.LoadOrder) error {
		select {
		case times <- time.Now():
		default:
		}
		return protocol.Errorf(protocol.CodeOutcomeUnknown, "connection reset")
	}
	g.startAgentWith("127.0.14.7", w, func(cfg *staging.Config) { cfg.RetryPause = pause })
	last := <-times
	for repeat := range cap(times) - 1 {
		next := <-times
		require.GreaterOrEqual(t, next.Sub(last), pause<<repeat, "pause before repeat %d", repeat+1)
		last = next
	}
}

// modelsWorker keeps one staging area and one loaded version per model.
type modelsWorker struct {
	mu     sync.Mutex
	staged map[core.Model]map[int][]byte
	loaded map[core.Model]int64
	orders int64
	wrong  []string
}

func (w *modelsWorker) Report(context.Context) (worker.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := worker.Report{Born: 1, Orders: w.orders}
	for _, model := range []core.Model{"m", "n"} {
		if version := w.loaded[model]; version != 0 {
			report.Models = append(report.Models, fleet.LoadedModel{Model: model, Version: version, Layers: layers})
		}
	}
	return report, nil
}

func (w *modelsWorker) Stage(_ context.Context, model core.Model, index int, data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[model][index] = append([]byte(nil), data...)
	return nil
}

func (w *modelsWorker) ReadStaged(_ context.Context, model core.Model, index, _ int) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if data, ok := w.staged[model][index]; ok {
		return data, nil
	}
	return nil, protocol.Errorf(protocol.CodeNotFound, "piece %d is not staged", index)
}

func (w *modelsWorker) Load(_ context.Context, order worker.LoadOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.ExpectedOrders != w.orders {
		return protocol.Errorf(protocol.CodeConflict, "%d orders", w.orders)
	}
	w.orders++
	for index := range pieceCount {
		if string(w.staged[order.Model][index]) != string(piece(order.Version, index)) {
			w.wrong = append(w.wrong, fmt.Sprintf("%s version %d piece %d", order.Model, order.Version, index))
		}
	}
	w.loaded[order.Model] = order.Version
	return nil
}

func (w *modelsWorker) version(model core.Model) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded[model]
}

// TestEngineOfTwoModelsLoadsBoth guards against a rollout that fetches one model in turn with the other and never loads the
// second.
func TestEngineOfTwoModelsLoadsBoth(t *testing.T) {
	g := newGroup(t)
	g.table.SetConfiguration(&fleet.Configuration{Version: 2, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: pieceCount, Models: []core.Model{"m", "n"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
	g.setWanted(2)
	w := &modelsWorker{staged: map[core.Model]map[int][]byte{"m": {}, "n": {}}, loaded: map[core.Model]int64{}}
	g.startAgentWith("127.0.14.8", w, shortOrders)
	require.Eventually(t, func() bool { return w.version("m") == 2 && w.version("n") == 1 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong)
}

// TestModelsThatWaitForTheirLoadAreStagedOnce guards against staging the versions of two models in turn, without a pause and with a log line
// each, while both wait for their turn to load.
func TestModelsThatWaitForTheirLoadAreStagedOnce(t *testing.T) {
	g := newGroup(t)
	g.table.SetConfiguration(&fleet.Configuration{Version: 2, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: pieceCount, Models: []core.Model{"m", "n"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
	logs := &safeBuffer{}
	g.logs = logs
	g.setWanted(2)
	g.table.SetWanted(time.Now(), fleet.WeightTarget{Model: "n", Version: 2})
	w := &modelsWorker{staged: map[core.Model]map[int][]byte{"m": {}, "n": {}}, loaded: map[core.Model]int64{"m": 1, "n": 1}}
	g.startAgentWith("127.0.14.10", w, func(cfg *staging.Config) {
		cfg.Rollout.FirstLoadDelay, cfg.Rollout.LastLoadDelay = time.Second, 1200*time.Millisecond
	})
	require.Eventually(t, func() bool { return w.version("m") == 2 && w.version("n") == 2 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong)
	require.Equal(t, 2, strings.Count(logs.String(), "version staged"))
}

// safeBuffer is a buffer for concurrent writers.
type safeBuffer struct {
	mu     sync.Mutex
	buffer strings.Builder
}

func (b *safeBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestRestartedAgentComparesMoreThanTheFirstPiece guards against taking an ordered version for the loaded one because they
// share their first piece.
func TestRestartedAgentComparesMoreThanTheFirstPiece(t *testing.T) {
	g := newGroup(t)
	g.origin.shared = true
	w := &lateWorker{fakeWorker: newWorker(), plan: func() (time.Duration, bool) { return 400 * time.Millisecond, true }}
	w.expected = func(version int64, index int) []byte { return sharedPiece(version, index) }
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = sharedPiece(1, index)
	}
	t.Cleanup(w.late.Wait)
	g.setWanted(2)
	_, stop := g.runAgent("127.0.14.9", w, func(*staging.Config) {})
	eventually(t, func() bool { return w.ordersSent() == 1 })
	stop()
	g.setWanted(3)
	g.startAgentWith("127.0.14.9", w, func(*staging.Config) {})
	eventually(t, func() bool { return w.version() == 3 })
	require.Empty(t, w.wrong())
}

// sharedPiece is the same for the first piece of every version.
func sharedPiece(version int64, index int) []byte {
	if index == 0 {
		return piece(1, 0)
	}
	return piece(version, index)
}
