package link_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/bench/link"
)

// TestRelayKeepsAndCountsBytes guards against a relay that alters, loses or does not count bytes, and against a
// connection that is not attributed to the process that opened it.
func TestRelayKeepsAndCountsBytes(t *testing.T) {
	body := strings.Repeat("0123456789", 100_000)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	defer web.Close()
	var counted atomic.Int64
	relay, err := link.New(link.Config{
		Target: web.Listener.Addr().String(),
		ConditionsFor: func(client net.Conn) link.Conditions {
			pid, ok := link.ClientPID(client, []int{os.Getpid()})
			assert.True(t, ok)
			assert.Equal(t, os.Getpid(), pid)
			return link.Conditions{
				Limiters:     []*rate.Limiter{link.NewLimiter(1e9)},
				ByteCounters: []*atomic.Int64{&counted},
			}
		},
	})
	require.NoError(t, err)
	defer relay.Close()
	response, err := http.Get("http://" + relay.Addr())
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	require.Equal(t, body, string(got))
	require.GreaterOrEqual(t, counted.Load(), int64(len(body)))
}
