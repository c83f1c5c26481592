package server_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// TestRefusalOfALargeBodyReachesItsCaller guards against a connection that is reset while the caller still sends the body, before it
// has read the refusal.
func TestRefusalOfALargeBodyReachesItsCaller(t *testing.T) {
	const limit = 1 << 20
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	frontend := httptest.NewServer(server.Recover(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(transport.LimitBody(w, r.Body, limit))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), logrus.NewEntry(logger)))
	t.Cleanup(frontend.Close)
	for range 20 {
		response, err := frontend.Client().Post(frontend.URL, "text/plain", bytes.NewReader(make([]byte, 16*limit)))
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
		require.NoError(t, response.Body.Close())
	}
}
