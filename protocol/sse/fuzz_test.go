package sse_test

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/sse"
)

// FuzzEvents guards against a stream that makes the splitter panic, stand still or lose bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: comment\r\r"))
	f.Add([]byte("id: 99999999999999999999\ndata\n\nid:-9223372036854775808\n\nid: 1\nid: 2\n\n"))
	f.Add([]byte("\n\n\n\n\r\n\r\n"))
	f.Add([]byte{})
	f.Add([]byte("id:\x00\xff\n\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rest := data
		var seen []byte
		for {
			length := sse.EventLength(rest)
			require.LessOrEqual(t, length, len(rest))
			if length == 0 {
				break
			}
			event := rest[:length]
			seen, rest = append(seen, event...), rest[length:]
			_ = sse.HasData(event)
			text, number, ok := sse.EventID(event)
			if ok {
				want, err := strconv.ParseInt(text, 10, 64)
				require.NoError(t, err)
				require.Equal(t, want, number)
			}
		}
		require.Equal(t, string(data), string(seen)+string(rest))
		require.False(t, bytes.Contains(rest, []byte("\n\n")))
	})
}
