package staging_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// TestFetchInterruptedByALossOfAllHostsGoesOnAtOnce guards against a fleet that serves nothing for 15 s after all processes have ended in
// the middle of a fetch: each agent waited for an order for the version before, which has no manifest any more.
func TestFetchInterruptedByALossOfAllHostsGoesOnAtOnce(t *testing.T) {
	g := newGroup(t)
	g.origin.oldest = 2
	w := newWorker()
	for index := range pieceCount {
		w.staged[index] = piece(2, index)
	}
	for index := range pieceCount / 2 {
		w.staged[index] = piece(3, index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.14", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong())
}

// TestNumberThatWasLeftOutDelaysNoFetch guards against an agent that fetches nothing for 15 s after its start because the number of a version
// between the loaded and the wanted one was never used.
func TestNumberThatWasLeftOutDelaysNoFetch(t *testing.T) {
	g := newGroup(t)
	g.origin.unnamed = 2
	w := newWorker()
	for index := range pieceCount {
		w.staged[index] = piece(1+2*int64(index%2), index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.26", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong())
}

// TestOrderThatMayBeInheritedIsSentAgain guards against a fleet that serves nothing for 15 s after all processes have ended while the
// version before the wanted one was staged completely. An order for it may be outstanding, so it is loaded before its pieces are
// replaced.
func TestOrderThatMayBeInheritedIsSentAgain(t *testing.T) {
	for name, damaged := range map[string]int{"all pieces": 0, "damaged pieces": 2} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.origin.oldest = 2
			w := newWorker()
			for index := range pieceCount {
				w.staged[index] = piece(2, index)
			}
			for index := range damaged {
				w.staged[index][0]++
			}
			g.setWanted(3)
			g.startAgentWith("127.0.14.15", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
			require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
			require.Empty(t, w.wrong())
		})
	}
}

// TestPiecesOfAVersionWithoutManifestAreKept guards against overwriting pieces of which an order may be outstanding although they can't
// be told from those of a version that the origin no longer has.
func TestPiecesOfAVersionWithoutManifestAreKept(t *testing.T) {
	g := newGroup(t)
	g.origin.oldest = 2
	w := newWorker()
	for index := range pieceCount {
		w.staged[index] = piece(1, index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.16", w, func(cfg *staging.Config) { cfg.LateOrderTimeout = time.Hour })
	time.Sleep(500 * time.Millisecond)
	w.mu.Lock()
	orders, last := w.orders, w.staged[pieceCount-1]
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	w.mu.Unlock()
	require.Zero(t, orders)
	require.Equal(t, piece(1, pieceCount-1), last)
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
}

// TestWorkerThatHasJustStartedHasNoInheritedOrder guards against a fleet that serves nothing for 15 s after all processes and workers have
// ended, because two versions were named at once and what is staged has no manifest any more.
func TestWorkerThatHasJustStartedHasNoInheritedOrder(t *testing.T) {
	g := newGroup(t)
	g.origin.oldest = 2
	w := newWorker()
	w.born = time.Now().UnixMilli()
	for index := range pieceCount {
		w.staged[index] = piece(1, index)
	}
	g.setWanted(3)
	g.startAgentWith("127.0.14.17", w, func(cfg *staging.Config) {
		cfg.LateOrderTimeout, cfg.MinWorkerAge = time.Hour, 500*time.Millisecond
	})
	require.Eventually(t, func() bool { return w.version() == 3 }, 8*time.Second, time.Millisecond)
	require.Empty(t, w.wrong())
}

// TestOrderIsNotSentToAWorkerThatHasJustStarted guards against an order to a worker that an agent which starts then takes for one without
// orders.
func TestOrderIsNotSentToAWorkerThatHasJustStarted(t *testing.T) {
	const minAge = 300 * time.Millisecond
	g := newGroup(t)
	g.setWanted(1)
	w := newWorker()
	var sentAt time.Time
	w.beforeLoad = func() { sentAt = time.Now() }
	startedAt := time.Now()
	g.startAgentWith("127.0.14.18", w, func(cfg *staging.Config) { cfg.MinWorkerAge = minAge })
	require.Eventually(t, func() bool { return w.version() == 1 }, 8*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, sentAt.Sub(startedAt), minAge)
}

// TestRestartedAgentNeedsNoOrigin guards against an agent that waits for the origin until no order of its predecessor is expected, 15 s,
// while a peer holds the manifest and all pieces.
func TestRestartedAgentNeedsNoOrigin(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	holder, restarted := newWorker(), newWorker()
	g.startAgent("127.0.22.1", holder)
	eventually(t, func() bool { return holder.version() == 2 })
	g.origin.mu.Lock()
	g.origin.down = true
	g.origin.mu.Unlock()
	restarted.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	for index := range pieceCount {
		restarted.staged[index] = piece(1, index)
	}
	g.startAgent("127.0.22.2", restarted)
	require.Eventually(t, func() bool { return restarted.version() == 2 }, 5*time.Second, time.Millisecond)
	require.Empty(t, restarted.wrong())
}
