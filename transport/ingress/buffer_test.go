package ingress

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBufferedResponsesShareOneLimit guards against many responses that are each within their limit but together exhaust the
// memory of the process.
func TestBufferedResponsesShareOneLimit(t *testing.T) {
	const size = 1 << 20
	shared := &bufferLimit{limit: 5 * size}
	read := func(b *responseBuffer) error {
		_, err := b.readAll(strings.NewReader(strings.Repeat("x", size)), 2*size)
		return err
	}
	first, second := responseBuffer{shared: shared}, responseBuffer{shared: shared}
	require.NoError(t, read(&first))
	require.ErrorContains(t, read(&second), "buffered responses exceed")
	second.release()
	first.release()
	require.Zero(t, shared.used.Load())
	require.NoError(t, read(&second))

	small := responseBuffer{shared: &bufferLimit{}}
	data, err := small.readAll(io.LimitReader(strings.NewReader("small response"), 5), size)
	require.NoError(t, err)
	require.Equal(t, "small", string(data))
}
