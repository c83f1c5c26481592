package staging_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
