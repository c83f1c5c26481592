package staging_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
