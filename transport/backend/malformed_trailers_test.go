package backend_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
)

// TestMalformedTrailerNameIsNoAnswer guards against a body that is taken for complete although the name of a field behind it is malformed.
func TestMalformedTrailerNameIsNoAnswer(t *testing.T) {
	for _, name := range headtest.Names("X-Sum") {
		for _, declared := range []string{"", "Trailer: X-Sum\r\n"} {
			server := headtest.Start(t, "HTTP/1.1 200 OK\r\nReq-Id: 1\r\n"+declared+
				"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n"+name+": 1\r\n\r\n")
			response, err := newPool(t).Do(t.Context(), request(server.Address, "1"))
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.Error(t, err, "name %q, body %q", name, body)
			requireClosed(t, server.Closed)
		}
	}
}

// TestLateAnswerWithMalformedTrailersIsNoAnswer guards against an answer that is believed behind a late one with malformed trailers.
func TestLateAnswerWithMalformedTrailersIsNoAnswer(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nReq-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n"
	requireRejected(t, late+"X Sum: 1\r\n\r\n"+soundAnswer)
	requireRejected(t, late+"X-Sum : 1\r\n\r\n"+soundAnswer)
}
