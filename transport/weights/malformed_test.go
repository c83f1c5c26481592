package weights

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// TestMalformedAnswerOfAPeerIsNoAnswer guards against a chunk that is believed although the head of the response is malformed.
func TestMalformedAnswerOfAPeerIsNoAnswer(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nchunk"
	fetch := func(t *testing.T, text string) ([]byte, error) {
		client := NewPeerClient(core.Host{ID: "h1"}, table.NewChunks())
		t.Cleanup(client.Close)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		chunk, _, err := client.FetchChunk(ctx, core.Host{ID: "h2", DataAddr: headtest.Start(t, text).Address}, "digest", 0, 5)
		require.NoError(t, ctx.Err())
		return chunk, err
	}
	chunk, err := fetch(t, sound)
	require.NoError(t, err)
	require.Equal(t, "chunk", string(chunk))
	for name, malformed := range headtest.Malformations {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, malformed(sound))
			require.ErrorContains(t, err, "malformed")
		})
	}
}
