package staging

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// readCounter is a worker that counts reads of staged pieces, all of another version.
type readCounter struct {
	worker.Worker
	reads int
}

func (w *readCounter) ReadStaged(context.Context, core.Model, int, int) ([]byte, error) {
	w.reads++
	return []byte("another version"), nil
}

// Guards against reading back all pieces of the earlier version, one after the other, before the first fetch of a version whose first
// piece was fetched ahead.
func TestPiecesOfAnotherVersionAreNotReadBack(t *testing.T) {
	earlier, next := target{model: "m", version: 2}, target{model: "m", version: 3}
	w := &readCounter{}
	a := &Agent{Dependencies: Dependencies{Worker: w, View: func() *fleet.View { return &fleet.View{} }}, pieces: newPieceCache()}
	// SHA-256 of foo.
	const digest = worker.Digest("2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae")
	manifest := worker.Manifest{Digests: []worker.Digest{digest, digest, digest}}
	a.pieces.open(next, manifest, a.inUse)
	require.True(t, a.pieces.put(next, 0, []byte("foo")))
	r := &versionFetch{Agent: a, target: next}
	require.NoError(t, r.adoptStaged(t.Context(), manifest))
	require.Equal(t, 2, w.reads, "after a restart the staging area may have pieces of the version")

	a.noteStaged(earlier, 0, true)
	require.NoError(t, r.adoptStaged(t.Context(), manifest))
	require.Equal(t, 2, w.reads)
}
