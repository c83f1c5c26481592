package ingress

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/protocol/sse"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

// newAccount returns an account that limits only buffered responses.
func newAccount(buffered int64) *held.Account {
	return held.New(holding.Config{Buffered: buffered}, time.Now)
}

func newBuffer(account *held.Account) *responseBuffer {
	return &responseBuffer{held: account.Open(holding.Caller{}, nil), kind: holding.KindResponse}
}

// TestBufferedResponsesShareOneLimit guards against many responses that are each within their limit but together exhaust the
// memory of the process.
func TestBufferedResponsesShareOneLimit(t *testing.T) {
	const size = 1 << 20
	shared := newAccount(5 * size)
	read := func(b *responseBuffer) error {
		_, err := b.readAll(strings.NewReader(strings.Repeat("x", size)), 2*size)
		return err
	}
	first, second := newBuffer(shared), newBuffer(shared)
	require.NoError(t, read(first))
	require.ErrorContains(t, read(second), "buffered responses leave no room")
	second.release()
	first.release()
	require.Zero(t, shared.Used(holding.KindResponse))
	require.NoError(t, read(second))

	small := newBuffer(newAccount(0))
	data, err := small.readAll(io.LimitReader(strings.NewReader("small response"), 5), size)
	require.NoError(t, err)
	require.Equal(t, "small", string(data))
}

// TestEndlessResponsesLeaveRoomForSoundOnes guards against responses and events without end that together exhaust the memory of the
// process, or take all of their shared limit so that a request which has run at a sound replica gets no response.
func TestEndlessResponsesLeaveRoomForSoundOnes(t *testing.T) {
	const soundBytes, endless, limit = 48 << 10, 100, 32 << 20
	shared := newAccount(limit)
	part := []byte(strings.Repeat("x", readBufferBytes))
	var held []*responseBuffer
	for i := range endless {
		counter := newBuffer(shared)
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
	require.LessOrEqual(t, shared.Used(holding.KindResponse), int64(limit+endless*grantedBytes))
	require.Greater(t, shared.Used(holding.KindResponse), int64(limit/2))
	sound := newBuffer(shared)
	_, err := sound.readAll(strings.NewReader(strings.Repeat("x", soundBytes)), 1<<20)
	require.NoError(t, err)
	for _, counter := range append(held, sound) {
		counter.release()
	}
	require.Zero(t, shared.Used(holding.KindResponse))
}

// TestEventThatEndsInItsLastPartIsFound guards against events that are lost or joined because their ends are searched only in new bytes.
func TestEventThatEndsInItsLastPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := []string{"a", "id: 1", "\n", "\r", "\n\n", "\r\n", "\r\n\r\n"}
		stream := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "stream"), "")
		buffer := eventBuffer{counter: newBuffer(newAccount(1 << 20))}
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
	counter := newBuffer(newAccount(32 << 20))
	buffer := eventBuffer{counter: counter}
	require.NoError(t, buffer.add([]byte(strings.Repeat("x", 100<<10)+"\n\ndata")))
	require.NotZero(t, counter.reserved)
	require.NotNil(t, buffer.next())
	require.NoError(t, buffer.add([]byte(": y\n\n")))
	require.Zero(t, counter.reserved)
	require.Equal(t, "data: y\n\n", string(buffer.next()))
}
