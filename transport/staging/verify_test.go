package staging_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
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

// suspensionTime is longer than a staged piece may have been corrupt when it is loaded.
const suspensionTime = 4 * time.Second

// suspension suspends an agent once: its clock jumps, and a piece becomes corrupt meanwhile that the agent has read back before.
type suspension struct {
	worker *fakeWorker
	offset atomic.Int64
	once   sync.Once
	mu     sync.Mutex
	read   []int
}

func newSuspension(g *group, w *fakeWorker) *suspension {
	s := &suspension{worker: w}
	g.clock = func() time.Time { return time.Now().Add(time.Duration(s.offset.Load())) }
	w.onRead = s.addRead
	return s
}

// addRead notes that the agent reads back a piece.
func (s *suspension) addRead(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = append(s.read, index)
}

func (s *suspension) piecesRead() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.read...)
}

// begin suspends the agent and corrupts the first piece that it has read back. Only the first call has an effect.
func (s *suspension) begin() {
	s.once.Do(func() {
		s.worker.mu.Lock()
		defer s.worker.mu.Unlock()
		s.worker.staged[s.piecesRead()[0]][0]++
		s.offset.Add(int64(suspensionTime))
	})
}

func (s *suspension) hasEnded() bool { return s.offset.Load() > 0 }

// TestSuspensionBeforeALoadOrderDoesNotLoadCorruptPieces guards against an agent that is suspended anywhere between the first read of a
// staged piece and its load order, and then has a piece loaded that has become corrupt since it was read.
func TestSuspensionBeforeALoadOrderDoesNotLoadCorruptPieces(t *testing.T) {
	tests := []struct {
		name string
		ip   string
		// suspend arranges for the suspension.
		suspend func(g *group, s *suspension, published func() *reports)
		notice  time.Duration
	}{
		{name: "between reads", ip: "127.0.16.1", suspend: func(_ *group, s *suspension, _ func() *reports) {
			s.worker.onRead = func(index int) {
				if len(s.piecesRead()) == pieceCount/2 {
					s.begin()
				}
				s.addRead(index)
			}
		}},
		{name: "while the response of a read is on its way", ip: "127.0.16.2", suspend: func(_ *group, s *suspension, _ func() *reports) {
			s.worker.onRead = func(index int) { s.addRead(index); s.begin() }
		}},
		{name: "while a piece is staged again", ip: "127.0.16.3", suspend: func(_ *group, s *suspension, _ func() *reports) {
			s.worker.corruptions = 1
			s.worker.onStage = func(int) {
				if len(s.piecesRead()) > 0 {
					s.begin()
				}
			}
		}},
		{
			name: "while entry hosts are notified", ip: "127.0.16.4", notice: 200 * time.Millisecond,
			suspend: func(_ *group, s *suspension, published func() *reports) {
				s.worker.onReport = func() {
					if published().last().Loading {
						s.begin()
					}
				}
			},
		},
		{name: "while the report is read", ip: "127.0.16.5", suspend: func(_ *group, s *suspension, published func() *reports) {
			s.worker.onReport = func() {
				if published().last().Loading {
					s.begin()
				}
			}
		}},
		{name: "while the connection for the order is opened", ip: "127.0.16.6", suspend: func(g *group, s *suspension, _ func() *reports) {
			g.onSend = s.begin
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGroup(t)
			w := newWorker()
			s := newSuspension(g, w)
			var mu sync.Mutex
			var published *reports
			test.suspend(g, s, func() *reports {
				mu.Lock()
				defer mu.Unlock()
				return published
			})
			g.setWanted(2)
			mu.Lock()
			published = g.startAgentWith(test.ip, w, func(cfg *staging.Config) {
				cfg.LoadNoticeDelay, cfg.ReportInterval = test.notice, 50*time.Millisecond
			})
			mu.Unlock()
			eventually(t, func() bool { return w.version() == 2 })
			require.True(t, s.hasEnded())
			require.Empty(t, w.wrong())
		})
	}
}

// isSound reports whether a staged piece matches that of the version.
func (w *fakeWorker) isSound(version int64, index int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return string(w.staged[index]) == string(piece(version, index))
}

func (w *fakeWorker) corrupt(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.staged[index][0]++
}

// TestPieceCorruptedWhileAnOrderWaitsForItsAnswerIsStagedAgain guards against a worker that accepts an order late and loads a piece that
// has become corrupt since the order was sent.
func TestPieceCorruptedWhileAnOrderWaitsForItsAnswerIsStagedAgain(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.respond = func(ctx context.Context, _ int, order worker.LoadOrder) error {
		w.corrupt(5)
		for !w.isSound(2, 5) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return w.fakeWorker.Load(ctx, order)
	}
	g.startAgentWith("127.0.16.7", w, func(cfg *staging.Config) { cfg.VerificationInterval = 10 * time.Millisecond })
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// TestPieceCorruptedBeforeAnOrderIsRepeatedIsStagedAgain guards against pieces that nobody looks after in the pause before an unanswered
// order is sent again, while the worker may accept it.
func TestPieceCorruptedBeforeAnOrderIsRepeatedIsStagedAgain(t *testing.T) {
	t.Parallel()
	// The pauses before the repeats are 0.3 s, 0.6 s, 1.2 s and 2.4 s.
	const lastOrder, acceptedAfter = 4, 2 * time.Second
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	var late sync.WaitGroup
	t.Cleanup(late.Wait)
	w.respond = func(ctx context.Context, n int, order worker.LoadOrder) error {
		<-ctx.Done()
		if n == lastOrder {
			w.corrupt(5)
			late.Go(func() {
				accepted := time.NewTimer(acceptedAfter)
				defer accepted.Stop()
				select {
				case <-accepted.C:
				case <-t.Context().Done():
				}
				_ = w.fakeWorker.Load(context.WithoutCancel(ctx), order)
			})
		}
		return protocol.Wrap(protocol.CodeOutcomeUnknown, ctx.Err(), "send load order")
	}
	g.startAgentWith("127.0.16.8", w, func(cfg *staging.Config) {
		cfg.OrderTimeout, cfg.RetryPause = 20*time.Millisecond, 300*time.Millisecond
	})
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// TestPieceOfAnAdoptedOrderIsStagedAgain guards against a restarted agent that doesn't look after pieces while it waits for its turn to
// load a version that its predecessor has ordered.
func TestPieceOfAnAdoptedOrderIsStagedAgain(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := &scriptedWorker{fakeWorker: newWorker()}
	w.respond = func(ctx context.Context, _ int, order worker.LoadOrder) error { return w.hold(ctx, order) }
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	_, stop := g.runAgent("127.0.16.10", w, shortOrders)
	eventually(t, func() bool { return w.ordersSent() == 1 })
	stop()
	var reads atomic.Int32
	w.onRead = func(int) { reads.Add(1) }
	g.setWanted(3)
	g.startAgentWith("127.0.16.10", w, func(cfg *staging.Config) {
		cfg.Rollout.FirstLoadDelay, cfg.Rollout.LastLoadDelay = time.Hour, time.Hour
		cfg.VerificationInterval = 10 * time.Millisecond
	})
	// All pieces are read once to tell their version and once to adopt them.
	eventually(t, func() bool { return reads.Load() >= 2*pieceCount })
	w.corrupt(5)
	eventually(t, func() bool { return w.isSound(2, 5) })
	require.Equal(t, 1, w.ordersSent())
}

// TestSlowReadsOfPiecesDoNotPreventLoads guards against a verification that takes longer than its age may be, so that no order is ever
// sent.
func TestSlowReadsOfPiecesDoNotPreventLoads(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	w.onRead = func(int) { time.Sleep(250 * time.Millisecond) }
	g.startAgentWith("127.0.16.9", w, func(*staging.Config) {})
	require.Eventually(t, func() bool { return w.version() == 2 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong())
}

// setPieceBytes states the size of pieces in the configuration.
func (g *group) setPieceBytes(size int) {
	g.table.SetConfiguration(&fleet.Configuration{Version: 2, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm":    {Engine: &fleet.EngineSpec{Layers: layers, Chunks: pieceCount, ChunkBytes: size, Models: []core.Model{"m"}}},
		"origin": {Origin: &fleet.OriginSpec{Address: "origin", FailureDomain: "a"}},
	}})
}

// TestPiecesThatAreTooLargeAreReplaced guards against an agent that fails at each staged piece that is larger than those of its version,
// of an older version or corrupt, and never loads the new one.
func TestPiecesThatAreTooLargeAreReplaced(t *testing.T) {
	const pieceBytes = 1 << 10
	g := newGroup(t)
	g.setPieceBytes(pieceBytes)
	g.setWanted(2)
	w := newWorker()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		w.staged[index] = make([]byte, 2*pieceBytes)
	}
	var once sync.Once
	// The piece is replaced before the answer to the write that completes the version, and so before the verification.
	w.onStage = func(int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for index := range pieceCount {
			if string(w.staged[index]) != string(piece(2, index)) {
				return
			}
		}
		once.Do(func() { w.staged[5] = make([]byte, 2*pieceBytes) })
	}
	g.startAgentWith("127.0.16.13", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = 200 * time.Millisecond })
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrong())
}

// TestReadsOfPiecesAreBoundedByTheirSize guards against a worker, an origin or a peer that sends bytes without end in place of a piece: an
// agent reads several pieces at a time, and all of them together would exhaust its memory.
func TestReadsOfPiecesAreBoundedByTheirSize(t *testing.T) {
	const pieceBytes = 1 << 10
	g := newGroup(t)
	g.setPieceBytes(pieceBytes)
	g.setWanted(2)
	w := newWorker()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.16.12:%d", peerPort))
	require.NoError(t, err)
	endless := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Gt-Held", base64.StdEncoding.EncodeToString([]byte{1<<pieceCount - 1}))
		for block := make([]byte, pieceBytes); ; {
			if _, err := rw.Write(block); err != nil {
				return
			}
		}
	})}
	go func() { _ = endless.Serve(listener) }()
	t.Cleanup(func() { _ = endless.Close() })
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{ID: "peer", Upstream: "llm", Address: "127.0.16.12:80", FailureDomain: "a", Born: 1})
	g.startAgent("127.0.16.11", w)
	eventually(t, func() bool { return w.version() == 2 })
	w.mu.Lock()
	defer w.mu.Unlock()
	g.origin.mu.Lock()
	defer g.origin.mu.Unlock()
	require.Equal(t, pieceBytes, w.largestRead)
	require.Equal(t, pieceBytes, g.origin.largestRead)
}
