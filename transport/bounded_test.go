package transport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/transport"
)

// TestResponseToACallIsBounded guards against a process that sends a response without end, which the generated clients would keep whole.
func TestResponseToACallIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := make([]byte, 1<<20); ; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	response, err := transport.BoundResponses(server.Client()).Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	read, err := io.Copy(io.Discard, response.Body)
	var tooLarge *http.MaxBytesError
	require.ErrorAs(t, err, &tooLarge)
	require.Equal(t, tooLarge.Limit, read)
}
