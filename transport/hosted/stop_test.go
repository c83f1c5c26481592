package hosted_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/transport/hosted"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

const (
	stopCallers = "127.0.12.2:17761"
	stopReady   = "127.0.12.2:17762"
	stopPort    = 17763
)

// stopHeaders are the header names of the entries in these tests.
var stopHeaders = headers.Names{
	Stamp: "Res-Stamp", Replica: "Res-Replica", RequestID: "Req-Id", Deadline: "Req-Deadline",
}.Canonical()

// startEntry runs an entry in front of a replica that serves requests with serve. It returns the function that tells the entry to
// stop, and the channel of the result of RunEntry.
func startEntry(t *testing.T, shutdownTimeout time.Duration, serve http.HandlerFunc) (stop func(), ended <-chan error) {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, leaks)
	})
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(stopHeaders.Stamp, "s")
		serve(w, r)
	}))
	t.Cleanup(replica.Close)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		result <- hosted.RunEntry(ctx, hosted.EntryDependencies{
			Host:         hosted.Host{Address: "127.0.12.2", PeerPort: stopPort, ShutdownTimeout: shutdownTimeout},
			CallerListen: stopCallers,
			ReadyListen:  stopReady,
			ReadyPath:    "/ready",
			Source:       storeWith(strings.TrimPrefix(replica.URL, "http://")),
			Headers:      stopHeaders,
			RetryAfter:   func(d time.Duration) string { return d.String() },
			Ingress:      ingress.DefaultConfig(),
			Random:       rand.New(rand.NewPCG(1, 1)),
			Log:          logrus.NewEntry(logger),
		})
	}()
	t.Cleanup(cancel)
	require.Eventually(t, func() bool {
		status, _ := get(t, stopReady, "/ready")
		return status == http.StatusOK
	}, 10*time.Second, 5*time.Millisecond)
	return cancel, result
}

// callerConn is a connection of a caller that writes its requests itself.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", stopCallers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

func (c *callerConn) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// response reads one complete response.
func (c *callerConn) response(t *testing.T) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err, "the request was cut off without an answer")
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

// waitForClose waits until the entry closes the idle connection.
func (c *callerConn) waitForClose(t *testing.T) {
	t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

const wholeRequest = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"

// TestStopAnswersRequestsThatCrossTheClose guards against a planned stop that closes the connection of a request of which a part
// has been read: one in the middle of its head on a kept connection, and one in the middle of its head or body on a new one.
func TestStopAnswersRequestsThatCrossTheClose(t *testing.T) {
	const half = len("GET /a HTTP/1.1\r\nHo")
	stop, ended := startEntry(t, 30*time.Second, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	kept, idle := dialCaller(t), dialCaller(t)
	for _, conn := range []*callerConn{kept, idle} {
		conn.send(t, wholeRequest)
		status, _ := conn.response(t)
		require.Equal(t, http.StatusOK, status)
	}
	const post = "POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbo"
	fresh, inBody := dialCaller(t), dialCaller(t)
	kept.send(t, wholeRequest[:half])
	fresh.send(t, wholeRequest[:half])
	inBody.send(t, post)
	stop()
	idle.waitForClose(t)
	kept.send(t, wholeRequest[half:])
	fresh.send(t, wholeRequest[half:])
	inBody.send(t, "dy")
	for name, conn := range map[string]*callerConn{"kept": kept, "fresh": fresh, "in body": inBody} {
		status, body := conn.response(t)
		require.Equal(t, http.StatusOK, status, name)
		require.Equal(t, "whole", body, name)
	}
	require.NoError(t, <-ended)
}

// TestStopAnswersRequestsThatOutlastIt guards against a planned stop that closes the connection of a request which is still at its
// replica when the time to stop is over, so that the caller doesn't know whether it was accepted.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	arrived := make(chan struct{})
	stop, ended := startEntry(t, 3*time.Second, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	conn := dialCaller(t)
	conn.send(t, wholeRequest)
	<-arrived
	stop()
	status, body := conn.response(t)
	require.Equal(t, http.StatusBadGateway, status)
	var refusal api.Refusal
	require.NoError(t, json.Unmarshal([]byte(body), &refusal))
	require.Equal(t, api.RunUnknown, refusal.Run)
	require.NoError(t, <-ended)
}
