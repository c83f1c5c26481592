package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnchangedHostListIsNotSentAgain guards against a large list on the wire at every read, and against a
// list that is lost when the server answers that nothing changed.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	tag, sent := `"1"`, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`[{"id":"h` + tag[1:2] + `"}]`))
	}))
	defer server.Close()
	client := NewHostListClient(server.URL)
	for range 3 {
		hosts, err := client.Hosts(context.Background())
		require.NoError(t, err)
		require.Equal(t, "h1", string(hosts[0].ID))
	}
	require.Equal(t, 1, sent)
	tag = `"2"`
	hosts, err := client.Hosts(context.Background())
	require.NoError(t, err)
	require.Equal(t, "h2", string(hosts[0].ID))
}
