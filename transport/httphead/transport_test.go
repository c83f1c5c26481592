package httphead_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// closeTimeout bounds the wait for the end of an exchange that must end at once.
const closeTimeout = 10 * time.Second

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: httphead.NewTransport(&http.Transport{DisableCompression: true}), Timeout: closeTimeout}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// get returns the status and the body of the response, or the error of either.
func get(client *http.Client, address string) (int, string, error) {
	response, err := client.Get("http://" + address)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// requireRejected requires that a response fails its request and closes its connection, and that the next request is sent on another one.
func requireRejected(t *testing.T, text string) {
	t.Helper()
	server := headtest.Start(t, text, sound)
	client := newClient(t)
	status, body, err := get(client, server.Address)
	require.Error(t, err, "%q gave status %d and body %q", text, status, body)
	var timeout interface{ Timeout() bool }
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%q was not rejected at once", text)
	select {
	case <-server.Closed:
	case <-time.After(closeTimeout):
		require.Fail(t, "the connection was not closed", "%q", text)
	}
}

// TestMalformedResponsesFail guards against a malformed response that is believed: each status and name by its bytes.
func TestMalformedResponsesFail(t *testing.T) {
	t.Run("status", func(t *testing.T) {
		for _, status := range headtest.Statuses() {
			for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nwrong", "Content-Length: 0\r\n\r\n" + sound} {
				requireRejected(t, "HTTP/1.1 "+status+" Trouble\r\n"+rest)
			}
		}
	})
	for place, c := range map[string]struct{ name, before, after string }{
		"field":             {"X-Load", "HTTP/1.1 200 OK\r\n", ": 1\r\nContent-Length: 5\r\n\r\nwrong"},
		"no body":           {"X-Load", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", ": 1\r\n\r\n"},
		"length":            {"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", ": 7\r\n\r\nwrong"},
		"chunks":            {"Transfer-Encoding", "HTTP/1.1 200 OK\r\n", ": chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		"chunks and length": {"Transfer-Encoding", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n", ": chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		"informational":     {"Link", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n", ": </a>\r\n\r\n" + sound},
		"trailer":           {"X-Sum", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n", ": 1\r\n\r\n"},
	} {
		t.Run(place, func(t *testing.T) {
			for _, name := range headtest.Names(c.name) {
				requireRejected(t, c.before+name+c.after)
			}
		})
	}
	t.Run("version", func(t *testing.T) { requireRejected(t, strings.Replace(sound, "1.1", "2.0", 1)) })
	t.Run("reason", func(t *testing.T) { requireRejected(t, strings.Replace(sound, "OK", "O\x01K", 1)) })
	t.Run("protocol switched", func(t *testing.T) { requireRejected(t, "HTTP/1.1 101 Switching Protocols\r\n\r\n"+sound) })
	t.Run("informational without end", func(t *testing.T) {
		requireRejected(t, strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Filler: "+strings.Repeat("x", 1<<10)+"\r\n\r\n", 80)+sound)
		requireRejected(t, strings.Repeat("HTTP/1.1 103 \r\n\r\n", 8<<10)+sound)
	})
}

// TestUnusualResponsesArePassedOn guards against the rejection of well-formed responses, and of the connection behind them.
func TestUnusualResponsesArePassedOn(t *testing.T) {
	name := headtest.TokenBytes
	for place, c := range map[string]struct {
		text        string
		connections int
	}{
		"name":             {"HTTP/1.1 200 OK\r\n" + name + ": \x80\t\xff\r\nContent-Length: 5\r\n\r\nsound", 1},
		"later version":    {"HTTP/1.7 200 \xe9\r\nContent-Length: 5\r\n\r\nsound", 1},
		"no reason":        {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nsound", 1},
		"informational":    {"HTTP/1.1 102 P\r\n\r\nHTTP/1.1 103 E\r\n" + name + ": </a>\r\n\r\n" + sound, 1},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nso\r\n3\r\nund\r\n0\r\n\r\n", 1},
		"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Odd\r\n\r\n5\r\nsound\r\n0\r\n" + name + ": \xff\r\n\r\n", 1},
		"connection close": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsound", 2},
	} {
		t.Run(place, func(t *testing.T) {
			server := headtest.Start(t, c.text, c.text)
			client := newClient(t)
			for range 2 {
				status, body, err := get(client, server.Address)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "sound", body)
			}
			require.Equal(t, c.connections, server.Connections())
		})
	}
	for status := http.StatusOK; status < 1000; status++ {
		server := headtest.Start(t, fmt.Sprintf("HTTP/1.1 %d Unusual\r\nContent-Length: 0\r\n\r\n", status))
		got, _, err := get(newClient(t), server.Address)
		require.NoError(t, err)
		require.Equal(t, status, got)
	}
}

// TestConnectionOfAMalformedResponseIsNeverUsedAgain guards against a request on a connection that net/http has offered for reuse before
// the response on it was found malformed.
func TestConnectionOfAMalformedResponseIsNeverUsedAgain(t *testing.T) {
	const malformed = "HTTP/1.1 200 OK\r\nX Load: 1\r\nContent-Length: 0\r\n\r\n"
	server := headtest.Start(t, malformed, sound)
	client := newClient(t)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 50 {
				if status, body, err := get(client, server.Address); err == nil {
					t.Errorf("status %d and body %q from the connection of a malformed response", status, body)
				}
			}
		})
	}
	callers.Wait()
}
