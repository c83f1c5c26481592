package ingress

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/protocol/sse"
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
	require.ErrorContains(t, read(&second), "buffered responses leave no room")
	second.release()
	first.release()
	require.Zero(t, shared.used.Load())
	require.NoError(t, read(&second))

	small := responseBuffer{shared: &bufferLimit{}}
	data, err := small.readAll(io.LimitReader(strings.NewReader("small response"), 5), size)
	require.NoError(t, err)
	require.Equal(t, "small", string(data))
}

// TestEndlessResponsesLeaveRoomForSoundOnes guards against responses and events without end that together exhaust the memory of the
// process, or take all of their shared limit so that a request which has run at a sound replica gets no response.
func TestEndlessResponsesLeaveRoomForSoundOnes(t *testing.T) {
	const soundBytes, endless = 48 << 10, 100
	shared := &bufferLimit{limit: 32 << 20}
	part := []byte(strings.Repeat("x", readBufferBytes))
	var held []*responseBuffer
	for i := range endless {
		counter := &responseBuffer{shared: shared}
		held = append(held, counter)
		if i%2 == 0 {
			_, err := counter.readAll(strings.NewReader(strings.Repeat("x", 1<<20)), 2<<20)
			if err != nil {
				require.ErrorIs(t, err, errBuffersFull)
			}
			continue
		}
		events := eventBuffer{counter: counter}
		for range maxEventBytes / readBufferBytes {
			if err := events.add(part); err != nil {
				require.ErrorIs(t, err, errBuffersFull)
				break
			}
			require.Nil(t, events.next())
		}
	}
	require.LessOrEqual(t, shared.used.Load(), shared.limit+endless*grantedBytes)
	require.Greater(t, shared.used.Load(), shared.limit/2)
	sound := &responseBuffer{shared: shared}
	_, err := sound.readAll(strings.NewReader(strings.Repeat("x", soundBytes)), 1<<20)
	require.NoError(t, err)
	for _, counter := range append(held, sound) {
		counter.release()
	}
	require.Zero(t, shared.used.Load())
}

// TestEventThatEndsInItsLastPartIsFound guards against events that are lost or joined because their ends are searched only in new bytes.
func TestEventThatEndsInItsLastPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := []string{"a", "id: 1", "\n", "\r", "\n\n", "\r\n", "\r\n\r\n"}
		stream := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "stream"), "")
		buffer := eventBuffer{counter: &responseBuffer{shared: &bufferLimit{limit: 1 << 20}}}
		var got string
		for rest := stream; rest != ""; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			require.NoError(t, buffer.add([]byte(rest[:size])))
			rest = rest[size:]
			for event := buffer.next(); event != nil; event = buffer.next() {
				require.Equal(t, len(event), sse.EventLength(event), "%q is one event", event)
				got += string(event)
			}
		}
		require.LessOrEqual(t, cap(buffer.data), max(readBufferBytes, 2*len(stream)), "bytes kept")
		require.True(t, strings.HasPrefix(stream, got))
		require.Zero(t, sse.EventLength([]byte(stream[len(got):])), "the rest holds no complete event")
		require.Equal(t, got == stream, buffer.isEmpty())
	})
}

// TestMemoryOfALargeEventIsGivenBack guards against a long stream that keeps the memory of one large event.
func TestMemoryOfALargeEventIsGivenBack(t *testing.T) {
	counter := &responseBuffer{shared: &bufferLimit{limit: 32 << 20}}
	buffer := eventBuffer{counter: counter}
	require.NoError(t, buffer.add([]byte(strings.Repeat("x", 100<<10)+"\n\ndata")))
	require.NotZero(t, counter.reserved)
	require.NotNil(t, buffer.next())
	require.NoError(t, buffer.add([]byte(": y\n\n")))
	require.Zero(t, counter.reserved)
	require.Equal(t, "data: y\n\n", string(buffer.next()))
}
