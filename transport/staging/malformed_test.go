package staging

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// TestMalformedAnswerOfAPeerIsNoAnswer guards against a piece, a list of pieces or a pause that is believed although the head of the peer's
// response is malformed. Each response is tried without the malformed part too.
func TestMalformedAnswerOfAPeerIsNoAnswer(t *testing.T) {
	version, fetch := target{model: "m", version: 2}, transfer.Fetch{Index: 0}
	for status, code := range map[int]protocol.Code{200: "", 404: protocol.CodeNotFound, 429: protocol.CodeRateLimited} {
		sound := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: AQ==\r\n%s: 500\r\nContent-Length: 5\r\n\r\npiece", status, headerHeld, headerRetryMS)
		fetchFrom := func(t *testing.T, text string) (transfer.Bitmap, error) {
			_, held, err := newPeerClient().fetchPiece(t.Context(), headtest.Start(t, text).Address, version, fetch, nil, 1<<20)
			return held, err
		}
		poll := func(t *testing.T, text string) (transfer.Bitmap, error) {
			return newPeerClient().heldPieces(t.Context(), headtest.Start(t, text).Address, version, nil)
		}
		_, err := fetchFrom(t, sound)
		require.Equal(t, code, protocol.CodeOf(err))
		for name, malformed := range headtest.Malformations {
			for operation, call := range map[string]func(*testing.T, string) (transfer.Bitmap, error){"fetch": fetchFrom, "poll": poll} {
				t.Run(fmt.Sprintf("%s/%d/%s", operation, status, name), func(t *testing.T) {
					held, err := call(t, malformed(sound))
					require.Equal(t, protocol.CodeUnavailable, protocol.CodeOf(err))
					require.ErrorContains(t, err, "malformed")
					require.Empty(t, held)
				})
			}
		}
	}
}
