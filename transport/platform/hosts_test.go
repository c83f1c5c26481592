package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnchangedHostListIsNotSentAgain guards against a large list that is transferred at every read, and against an empty
// list after a response with status 304.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	etag, sent := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`[{"id":"h` + etag[1:2] + `"}]`))
	}))
	defer server.Close()
	client := NewHostListClient(server.URL)
	for range 3 {
		hosts, err := client.Hosts(context.Background())
		require.NoError(t, err)
		require.Equal(t, "h1", string(hosts[0].ID))
	}
	require.Equal(t, 1, sent)
	etag = `"2"`
	hosts, err := client.Hosts(context.Background())
	require.NoError(t, err)
	require.Equal(t, "h2", string(hosts[0].ID))
}
