package held_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

// TestResponsesOfTheStoreShareOneLimit guards against several responses of the store, each within its limit, that together exhaust the
// memory, and against callers whose bytes keep a host from reading the store.
func TestResponsesOfTheStoreShareOneLimit(t *testing.T) {
	const responseBytes = 3 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
	}))
	defer server.Close()
	cfg := holding.ConfigFor(40 << 20)
	account := held.New(cfg, time.Now)
	account.Open(holding.Caller{}, nil).Force(holding.KindBody, 10*cfg.Limit)
	client := &http.Client{Transport: held.CountResponses(http.DefaultTransport, account)}
	read := func() (*http.Response, error) {
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		return response, err
	}
	first, err := read()
	require.NoError(t, err)
	second, err := read()
	require.ErrorContains(t, err, "no room")
	require.NoError(t, first.Body.Close())
	require.NoError(t, second.Body.Close())
	require.Zero(t, account.Used(holding.KindRecords))
	third, err := read()
	require.NoError(t, err)
	require.NoError(t, third.Body.Close())
}
