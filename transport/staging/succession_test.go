package staging_test

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/bits"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// TestManifestsComeFromPeers guards against every host reading the manifest from the origin, which took 0.4 s of its link with 58
// hosts.
func TestManifestsComeFromPeers(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	workers := []*fakeWorker{}
	for i := range 8 {
		workers = append(workers, newWorker())
		g.register(fmt.Sprintf("127.0.20.%d", i+1))
	}
	for i, w := range workers {
		g.startAgentWith(fmt.Sprintf("127.0.20.%d", i+1), w, func(cfg *staging.Config) { cfg.Transfer.TakeOver = 2 * time.Second })
	}
	manifestsSent := func() int {
		g.origin.mu.Lock()
		defer g.origin.mu.Unlock()
		return g.origin.manifests
	}
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 2 })
	}
	before := manifestsSent()
	g.setWanted(3)
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 3 })
	}
	require.Less(t, manifestsSent()-before, len(workers), "each host reads one with the earlier decision")
}

// TestCorruptManifestIsReplacedOnAllHosts guards against a corrupt manifest that hosts pass on to each other, and that none of them
// gives up: the origin sends the same corrupt one to the first two readers.
func TestCorruptManifestIsReplacedOnAllHosts(t *testing.T) {
	g := newGroup(t)
	g.origin.corruptManifests = 4
	g.setWanted(2)
	workers := []*fakeWorker{newWorker(), newWorker(), newWorker()}
	for i, w := range workers {
		g.startAgent(fmt.Sprintf("127.0.21.%d", i+1), w)
	}
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 2 })
		require.Empty(t, w.wrong())
	}
}

// TestPeersServeTheEarlierVersion guards against pieces that are lost when the version changes: hosts that still complete the earlier
// one could get them from nowhere else while the origin is unavailable.
func TestPeersServeTheEarlierVersion(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	g.startAgent("127.0.22.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	defer http.DefaultClient.CloseIdleConnections()
	for _, path := range []string{"2/pieces/0", "2/manifest", "3/pieces/0", "3/manifest"} {
		response, err := http.Get(fmt.Sprintf("http://127.0.22.1:%d/weights/m/%s", peerPort, path))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode, path)
	}
}

// TestNextVersionIsFetchedWhileAnEarlierOneIsStaged guards against a link that is idle while a staged version waits for its load, and
// against pieces of the next version in the worker's staging area before that version is held completely: a failure of the origin would
// leave the worker with neither.
func TestNextVersionIsFetchedWhileAnEarlierOneIsStaged(t *testing.T) {
	g := newGroup(t)
	var released atomic.Bool
	g.origin.corrupt = func(_, index int, data []byte) []byte {
		if index == pieceCount-1 && strings.Contains(string(data), "version 3") && !released.Load() {
			return data[:1]
		}
		return data
	}
	g.setWanted(2)
	w := newWorker()
	w.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	g.startAgentWith("127.0.23.1", w, func(cfg *staging.Config) {
		cfg.Rollout.ActivationDelay, cfg.LateOrderTimeout = 5*time.Second, 10*time.Millisecond
		cfg.Rollout.FirstLoadDelay, cfg.Rollout.LastLoadDelay = time.Minute, time.Minute
		cfg.Rollout.FetchTime, cfg.Rollout.LoadTime = 100*time.Millisecond, 50*time.Millisecond
	})
	stagedOf := func(version int64) int {
		w.mu.Lock()
		defer w.mu.Unlock()
		count := 0
		for index, data := range w.staged {
			if string(data) == string(piece(version, index)) {
				count++
			}
		}
		return count
	}
	defer http.DefaultClient.CloseIdleConnections()
	held := func(version int64) int {
		response, err := http.Get(fmt.Sprintf("http://127.0.23.1:%d/weights/m/%d/held", peerPort, version))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		bitmap, err := base64.StdEncoding.DecodeString(response.Header.Get("Gt-Held"))
		require.NoError(t, err)
		return bits.OnesCount64(binary.LittleEndian.Uint64(append(bitmap, make([]byte, 8)...)))
	}
	eventually(t, func() bool { return stagedOf(2) == pieceCount })
	// The agent notes shortly after the last write that the version is staged.
	time.Sleep(100 * time.Millisecond)
	g.setWanted(3)
	eventually(t, func() bool { return held(3) == pieceCount-1 })
	require.Equal(t, pieceCount, stagedOf(2), "version 3 stays in memory")
	require.Equal(t, pieceCount, held(2))
	released.Store(true)
	eventually(t, func() bool { return stagedOf(3) == pieceCount })
	require.Empty(t, w.wrong())
}
