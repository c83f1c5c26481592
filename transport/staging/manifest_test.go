package staging

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Guards against a load order for a version of which some pieces were never staged: a peer's manifest lists fewer than the version has.
func TestManifestOfPeerMustListAllPieces(t *testing.T) {
	version := target{model: "m", version: 2}
	mux, held := http.NewServeMux(), newPieceCache()
	(&peerServer{pieces: held}).register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm": {Engine: &fleet.EngineSpec{Chunks: 2, Models: []core.Model{"m"}}},
	}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &Agent{Dependencies: Dependencies{Upstream: "llm", View: table.View, Log: logrus.NewEntry(log)}, pieces: newPieceCache(), peers: newPeerClient()}
	defer a.peers.client.GetClient().CloseIdleConnections()
	ask := func(digests ...worker.Digest) error {
		held.open(version, worker.Manifest{Digests: digests}, func(target) bool { return false })
		_, err := a.manifestFromPeer(t.Context(), core.Host{DataAddr: server.Listener.Addr().String()}, version, false)
		return err
	}
	one, two := worker.Digest(strings.Repeat("1", 64)), worker.Digest(strings.Repeat("2", 64))
	require.Error(t, ask())
	require.Error(t, ask(one))
	require.Error(t, ask(one, two, one))
	require.Error(t, ask(one, ""))
	require.Error(t, ask("", two))
	require.NoError(t, ask(one, two))
	a.View = func() *fleet.View { return nil }
	require.Error(t, ask(one, two), "the number of pieces is not known yet")
}
