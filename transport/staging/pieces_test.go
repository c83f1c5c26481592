package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestVersionInUseIsNotRemoved guards against removing the pieces of a staged version when two others become wanted: they could not be
// verified or staged again before the load order.
func TestVersionInUseIsNotRemoved(t *testing.T) {
	cache := newPieceCache()
	version := func(v int64) target { return target{model: "m", version: v} }
	inUse := func(t target) bool { return t == version(2) }
	manifest := worker.Manifest{Digests: []worker.Digest{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}}
	for v := int64(1); v <= 4; v++ {
		cache.open(version(v), manifest, inUse)
		require.True(t, cache.put(version(v), 0, []byte("foo")))
	}
	for v, want := range map[int64]bool{1: false, 2: true, 3: false, 4: true} {
		require.Equal(t, want, cache.isComplete(version(v)), "version %d", v)
	}
	cache.open(target{model: "n", version: 1}, manifest, inUse)
	require.True(t, cache.isComplete(version(4)), "another model has room of its own")
}

// TestRejectedManifestKeepsItsPieces guards against fetching all pieces again because one digest of a manifest was corrupt.
func TestRejectedManifestKeepsItsPieces(t *testing.T) {
	cache, v := newPieceCache(), target{model: "m", version: 1}
	sound := worker.Digest("2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae")
	corrupt := worker.Manifest{Model: "m", Version: 1, Digests: []worker.Digest{sound, "0"}}
	cache.open(v, corrupt, func(target) bool { return true })
	require.True(t, cache.put(v, 0, []byte("foo")))
	cache.reject(v)
	require.True(t, cache.isRejected(corrupt))
	_, ok := cache.digests(v)
	require.False(t, ok)
	cache.open(v, worker.Manifest{Model: "m", Version: 1, Digests: []worker.Digest{sound, sound}}, func(target) bool { return true })
	_, held := cache.get(v, 0)
	require.True(t, held)
}

// TestSupersededPiecesAreReleased guards against pieces that stay in memory until the next version, perhaps for days, although no replica may
// serve them, and against their release while a peer may still complete them.
func TestSupersededPiecesAreReleased(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start
	older, newer := target{model: "m", version: 2}, target{model: "m", version: 3}
	wanted := fleet.Wanted{{Version: 2, Since: start.Add(-time.Second)}, {Version: 3, Since: start}}
	a := &Agent{pieces: newPieceCache(), staged: map[core.Model]int64{"m": 3}}
	a.Now = func() time.Time { return now }
	a.Config.Rollout = rollout.Config{ActivationDelay: 7 * time.Second}
	manifest := worker.Manifest{Digests: []worker.Digest{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}}
	for _, version := range []target{older, newer} {
		a.pieces.open(version, manifest, a.inUse)
		require.True(t, a.pieces.put(version, 0, []byte("foo")))
	}
	now = start.Add(6 * time.Second)
	a.releaseSuperseded(wanted, newer)
	require.True(t, a.pieces.isComplete(older), "a replica may serve it for another second")
	now = start.Add(7 * time.Second)
	a.releaseSuperseded(wanted, newer)
	require.False(t, a.pieces.isComplete(older))
	require.True(t, a.pieces.isComplete(newer))
}

// TestLoadedPiecesAreReleasedForTheNextVersion guards against the memory of two versions while a single one is wanted at a time, and against
// the release of one that the worker has not loaded or may be ordered to load again.
func TestLoadedPiecesAreReleasedForTheNextVersion(t *testing.T) {
	older, newer := target{model: "m", version: 2}, target{model: "m", version: 3}
	manifest := worker.Manifest{Digests: []worker.Digest{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}}
	for name, test := range map[string]struct {
		loaded     int64
		unanswered target
		kept       bool
	}{
		"loaded": {loaded: 2}, "not loaded": {loaded: 1, kept: true}, "order not answered": {loaded: 2, unanswered: older, kept: true},
	} {
		a := &Agent{pieces: newPieceCache(), staged: map[core.Model]int64{"m": 2}, unanswered: loadOrder{target: test.unanswered}}
		a.Now = time.Now
		a.report.Models = []fleet.LoadedModel{{Model: "m", Version: test.loaded}}
		a.pieces.open(older, manifest, a.inUse)
		require.True(t, a.pieces.put(older, 0, []byte("foo")))
		a.releaseLoaded(newer)
		require.Equal(t, test.kept, a.pieces.isComplete(older), name)
	}
}
