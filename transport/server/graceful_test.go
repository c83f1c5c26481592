package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	// halfRequest is the length of a part of the head.
	halfRequest = 12
)

func newTestServer(t *testing.T, handler http.HandlerFunc) (*Graceful, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return NewGraceful(&http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, listener.(*net.TCPListener)), listener.Addr().String()
}

func dialAndSend(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

func readStatus(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestStopAnswersConnectionsThatWaitToBeAccepted guards against a planned stop that resets the connections in the backlog of the
// listener, whose callers have connected and sent a request already.
func TestStopAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	const callers = 20
	g, address := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = dialAndSend(t, address, wholeRequest)
	}
	g.listener.stop()
	serveResult := make(chan error, 1)
	go func() { serveResult <- g.Serve() }()
	require.ErrorIs(t, <-serveResult, http.ErrServerClosed)
	require.NoError(t, g.Shutdown(t.Context()))
	for _, conn := range conns {
		status, err := readStatus(bufio.NewReader(conn))
		require.NoError(t, err, "the connection was cut off without an answer")
		require.Equal(t, http.StatusOK, status)
	}
}

// TestKeptConnectionThatSendsDuringTheCloseIsAnsweredOrNotServed guards against a request that is served but whose response is cut
// off, because it arrived while its idle connection was being closed. A request in the middle of its head is answered, too.
func TestKeptConnectionThatSendsDuringTheCloseIsAnsweredOrNotServed(t *testing.T) {
	for range 4 {
		var served atomic.Int64
		g, address := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			_, _ = io.WriteString(w, "whole")
		})
		serveResult := make(chan error, 1)
		go func() { serveResult <- g.Serve() }()
		crossing, partial := dialAndSend(t, address, wholeRequest), dialAndSend(t, address, wholeRequest)
		readers := map[net.Conn]*bufio.Reader{crossing: bufio.NewReader(crossing), partial: bufio.NewReader(partial)}
		for _, reader := range readers {
			_, err := readStatus(reader)
			require.NoError(t, err)
		}
		_, err := io.WriteString(partial, wholeRequest[:halfRequest])
		require.NoError(t, err)
		before := served.Load()
		done := make(chan error, 1)
		go func() { done <- g.Shutdown(context.Background()) }()
		_, _ = io.WriteString(crossing, wholeRequest)
		_, crossingErr := readStatus(readers[crossing])
		if crossingErr != nil {
			require.Equal(t, before, served.Load(), "a request was served and its response cut off")
		} else {
			// The other connection has been idle for longer, so it would be ended before this one.
			_, err = readers[crossing].ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
		_, err = io.WriteString(partial, wholeRequest[halfRequest:])
		require.NoError(t, err)
		_, err = readStatus(readers[partial])
		require.NoError(t, err, "a request was cut off in the middle of its head")
		require.NoError(t, <-done)
		require.ErrorIs(t, <-serveResult, http.ErrServerClosed)
	}
}

// TestEndingConnectionServesTheRequestThatHasArrived guards against a connection that is ended although a request has arrived, if the
// reader learns of both at the same time.
func TestEndingConnectionServesTheRequestThatHasArrived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialAndSend(t, listener.Addr().String(), wholeRequest)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	conn := &drainConn{TCPConn: accepted.(*net.TCPConn), used: true}
	require.Eventually(t, func() bool { return arrived(t, conn) }, waitTime, pollInterval)
	require.True(t, conn.endIfUnused(pastGrace()))
	buffer := make([]byte, len(wholeRequest))
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, wholeRequest, string(buffer[:n]))
	require.False(t, conn.isEnding())

	conn.setState(http.StateIdle, false)
	require.True(t, conn.endIfUnused(pastGrace()))
	_, err = conn.Read(buffer)
	require.ErrorIs(t, err, io.EOF)
}

const (
	waitTime     = 5 * time.Second
	pollInterval = time.Millisecond
)

// pastGrace returns a time at which an idle connection may be ended.
func pastGrace() time.Time { return time.Now().Add(2 * unusedGrace) }

// arrived reports whether bytes wait to be read.
func arrived(t *testing.T, conn *drainConn) bool {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}))
	return n > 0
}
