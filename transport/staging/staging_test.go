package staging_test

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin guards against hosts that all fetch the whole version
// from the origin instead of from each other.
func TestVersionReachesEveryWorkerWithAboutOneCopyFromTheOrigin(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	workers := []*fakeWorker{newWorker(), newWorker(), newWorker()}
	for i, w := range workers {
		g.startAgent(fmt.Sprintf("127.0.3.%d", i+1), w)
	}
	for _, w := range workers {
		eventually(t, func() bool { return w.version() == 2 })
		require.Empty(t, w.wrongLoads)
	}
	require.LessOrEqual(t, g.origin.piecesSent(), 2*pieceCount)
}

// TestDamagedPiecesAreNotLoaded guards against loading pieces that the origin corrupted or truncated.
func TestDamagedPiecesAreNotLoaded(t *testing.T) {
	g := newGroup(t)
	g.origin.corrupt = func(n, _ int, data []byte) []byte {
		switch n % 3 {
		case 0:
			return data[:len(data)/2]
		case 1:
			data[0]++
		}
		return data
	}
	g.setWanted(2)
	w := newWorker()
	g.startAgent("127.0.4.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestDamagedManifestIsReadAgain guards against a fetch that never ends because the manifest has a wrong digest.
func TestDamagedManifestIsReadAgain(t *testing.T) {
	g := newGroup(t)
	g.origin.corruptManifests = 1
	g.setWanted(2)
	w := newWorker()
	g.startAgent("127.0.5.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestCorruptedStagedPieceIsStagedAgainBeforeTheLoad guards against loading pieces that were corrupted in the staging
// area after they were checked.
func TestCorruptedStagedPieceIsStagedAgainBeforeTheLoad(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	w.corruptions = 1
	g.startAgent("127.0.6.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	require.Empty(t, w.wrongLoads)
}

// TestRestartedWorkerLoadsAgain guards against a worker that stays without a version after a restart, whether or not
// it kept its staged pieces.
func TestRestartedWorkerLoadsAgain(t *testing.T) {
	for _, keepsStaged := range []bool{true, false} {
		t.Run(fmt.Sprint("staged data kept: ", keepsStaged), func(t *testing.T) {
			g := newGroup(t)
			g.setWanted(2)
			w := newWorker()
			g.startAgent("127.0.7.1", w)
			eventually(t, func() bool { return w.version() == 2 })
			before := g.origin.piecesSent()

			w.mu.Lock()
			w.born, w.loaded, w.orders = 2, nil, 0
			if !keepsStaged {
				w.staged = map[int][]byte{}
			}
			w.mu.Unlock()
			eventually(t, func() bool { return w.version() == 2 })
			require.Empty(t, w.wrongLoads)
			require.Equal(t, before, g.origin.piecesSent(), "the agent still holds the pieces")
		})
	}
}

// TestLoadNoticeEndsWithTheLoad guards against a worker that gets no requests after a load: the load notice must end with
// the load, even if another version is already wanted.
func TestLoadNoticeEndsWithTheLoad(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	published := g.startAgent("127.0.8.1", w)
	eventually(t, func() bool { return w.version() == 2 })
	g.origin.mu.Lock()
	g.origin.corrupt = func(_, _ int, data []byte) []byte { return data[:1] }
	g.origin.mu.Unlock()
	g.setWanted(3)
	eventually(t, func() bool {
		last := published.last()
		version, _ := fleet.LoadedVersion(last.Models, "m", layers)
		return version == 2 && !last.Loading
	})
}

// TestLoadNoticeHoldsUntilTheOrder guards against sending requests to a worker that is about to load: they would
// wait for the load and start seconds later. A report that still shows the previous load must not end the notice of
// the next one.
func TestLoadNoticeHoldsUntilTheOrder(t *testing.T) {
	g := newGroup(t)
	g.setWanted(2)
	w := newWorker()
	var published *reports
	var mu sync.Mutex
	var unannounced int
	w.beforeLoad = func() {
		mu.Lock()
		defer mu.Unlock()
		// The agent reads the worker's report every 5 ms, so several times between the notice and the order.
		if published != nil && !published.last().Loading {
			unannounced++
		}
	}
	mu.Lock()
	published = g.startAgentWith("127.0.11.1", w, func(cfg *staging.Config) { cfg.LoadNoticeDelay = 50 * time.Millisecond })
	mu.Unlock()
	eventually(t, func() bool { return w.version() == 2 })
	g.setWanted(3)
	eventually(t, func() bool { return w.version() == 3 })
	mu.Lock()
	defer mu.Unlock()
	require.Zero(t, unannounced)
}

// TestNewHostsGetPiecesFromHostsThatHaveLoaded guards against one copy from the origin for every host that is added.
func TestNewHostsGetPiecesFromHostsThatHaveLoaded(t *testing.T) {
	g := newGroup(t)
	first := newWorker()
	for index := range pieceCount {
		first.staged[index] = piece(1, index)
	}
	first.loaded = []fleet.LoadedModel{{Model: "m", Version: 1, Layers: layers}}
	g.startAgent("127.0.9.1", first)
	eventually(t, func() bool {
		response, err := http.Get(fmt.Sprintf("http://127.0.9.1:%d/weights/m/1/pieces/%d", peerPort, pieceCount-1))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	http.DefaultClient.CloseIdleConnections()
	added := newWorker()
	g.startAgent("127.0.9.2", added)
	eventually(t, func() bool { return added.version() == 1 })
	require.Empty(t, added.wrongLoads)
	require.Zero(t, g.origin.piecesSent())
}

// TestRequestsAcrossRegionsAreMarked guards against unmarked requests to another region: the peer could not give them
// the cross-region slots, and they would wait behind requests of hosts in its own region.
func TestRequestsAcrossRegionsAreMarked(t *testing.T) {
	g := newGroup(t)
	g.origin.corrupt = func(_, _ int, data []byte) []byte {
		time.Sleep(20 * time.Millisecond)
		return data
	}
	marked := make(chan bool, 1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.9.40:%d", peerPort))
	require.NoError(t, err)
	remote := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Gt-Held", base64.StdEncoding.EncodeToString([]byte{0xff}))
		if strings.HasSuffix(r.URL.Path, "/held") {
			return
		}
		select {
		case marked <- r.Header.Get("Gt-Cross-Region") != "":
		default:
		}
		w.WriteHeader(http.StatusTooManyRequests)
	})}
	go func() { _ = remote.Serve(listener) }()
	t.Cleanup(func() { _ = remote.Close() })
	g.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: "far", Upstream: "llm", Address: "127.0.9.40:80", FailureDomain: "elsewhere", Born: 1,
	})
	g.startAgent("127.0.9.41", newWorker())
	select {
	case mark := <-marked:
		require.True(t, mark)
	case <-time.After(20 * time.Second):
		require.Fail(t, "no piece was requested from the host in the other region")
	}
}
