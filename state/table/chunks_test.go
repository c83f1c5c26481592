package table

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestChunkMemoryKeepsTheNewestVersions guards against memory that grows with each version and against the eviction of the
// version that is being fetched.
func TestChunkMemoryKeepsTheNewestVersions(t *testing.T) {
	chunks := NewChunks()
	chunks.SetLimit(25)
	manifest := core.Manifest{Size: 10, ChunkSize: 10, Chunks: []core.Digest{"c"}}
	for _, digest := range []core.Digest{"v1", "v2", "v1", "v3"} {
		require.NoError(t, chunks.AddManifest(digest, manifest, nil, ""))
	}
	for digest, want := range map[core.Digest]bool{"v1": true, "v2": false, "v3": true} {
		_, _, held := chunks.Manifest(digest)
		require.Equal(t, want, held, digest)
	}
	manifest.Size = 26
	require.ErrorContains(t, chunks.AddManifest("v4", manifest, nil, ""), "more than the 25 bytes")
	_, _, held := chunks.Manifest("v3")
	require.True(t, held)
}
