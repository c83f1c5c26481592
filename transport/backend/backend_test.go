package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/transport/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen starts a server that passes each connection and its number to serve, and returns its address.
func listen(t *testing.T, serve func(conn net.Conn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn, number)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func readRequest(t *testing.T, reader *bufio.Reader) *http.Request {
	t.Helper()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request
}

func request(address, id string) *backend.Request {
	return &backend.Request{
		Address: address, Method: http.MethodPost, Target: "/x?y=%2F", Host: "a.example", Body: []byte("body"), HasBody: true,
		Header: http.Header{"Req-Id": {id}}, EchoHeader: "Req-Id", MaxIdle: time.Hour,
	}
}

func read(t *testing.T, response *backend.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// TestLateResponseToEarlierRequestIsSkipped guards against returning the late response to an earlier request.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	address := listen(t, func(conn net.Conn, _ int) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		readRequest(t, reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nReq-Id: old\r\nContent-Length: 3\r\n\r\nold")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nReq-Id: new\r\nContent-Length: 3\r\n\r\nnew")
		readRequest(t, reader)
	})
	pool := backend.NewPool()
	defer pool.Close()
	response, err := pool.Do(context.Background(), request(address, "new"))
	require.NoError(t, err)
	require.Equal(t, "new", read(t, response))
}

// TestConnectionWithSecondResponseIsNotReused guards against taking an unsolicited second response for the response to
// the next request.
func TestConnectionWithSecondResponseIsNotReused(t *testing.T) {
	sent := make(chan struct{})
	address := listen(t, func(conn net.Conn, number int) {
		defer conn.Close()
		readRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+string(rune('0'+number)))
		if number == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX")
			close(sent)
		}
	})
	pool := backend.NewPool()
	defer pool.Close()
	response, err := pool.Do(context.Background(), request(address, "1"))
	require.NoError(t, err)
	require.Equal(t, "0", read(t, response))
	<-sent
	response, err = pool.Do(context.Background(), request(address, "2"))
	require.NoError(t, err)
	require.Equal(t, "1", read(t, response))
}

// TestResetResponseWithoutLengthIsNotComplete guards against taking a response without a length for complete although its
// connection was reset.
func TestResetResponseWithoutLengthIsNotComplete(t *testing.T) {
	address := listen(t, func(conn net.Conn, number int) {
		readRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		if number == 1 {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	})
	pool := backend.NewPool()
	defer pool.Close()
	complete, err := pool.Do(context.Background(), request(address, "1"))
	require.NoError(t, err)
	require.False(t, complete.Framed)
	require.Equal(t, "part", read(t, complete))

	truncated, err := pool.Do(context.Background(), request(address, "2"))
	if err == nil {
		_, err = io.ReadAll(truncated.Body)
	}
	require.Error(t, err)
}

// TestRefusedConnectionIsNotSent guards against a request that counts as possibly run although no byte of it was sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = backend.NewPool().Do(context.Background(), request(address, "1"))
	var backendErr *backend.Error
	require.True(t, errors.As(err, &backendErr))
	require.False(t, backendErr.Sent)
}

// TestRequestWithoutResponseCountsAsSentAndIsNotRepeated guards against retrying a request that may have run.
func TestRequestWithoutResponseCountsAsSentAndIsNotRepeated(t *testing.T) {
	requests := make(chan struct{}, 8)
	address := listen(t, func(conn net.Conn, _ int) {
		readRequest(t, bufio.NewReader(conn))
		requests <- struct{}{}
		_ = conn.Close()
	})
	_, err := backend.NewPool().Do(context.Background(), request(address, "1"))
	var backendErr *backend.Error
	require.True(t, errors.As(err, &backendErr))
	require.True(t, backendErr.Sent)
	require.Len(t, requests, 1)
}

// TestEndOfContextClosesConnection guards against a back end that keeps working on a request whose caller disconnected.
func TestEndOfContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		readRequest(t, reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
		_, _ = reader.ReadByte()
		_ = conn.Close()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := backend.NewPool().Do(ctx, request(address, "1"))
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
	<-closed
}

// TestAnnouncedIdleTimeoutEndsReuse guards against sending a request on a connection that the back end is about to close.
func TestAnnouncedIdleTimeoutEndsReuse(t *testing.T) {
	address := listen(t, func(conn net.Conn, number int) {
		defer conn.Close()
		readRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\n"+string(rune('0'+number)))
	})
	pool := backend.NewPool()
	defer pool.Close()
	for _, want := range []string{"0", "1"} {
		response, err := pool.Do(context.Background(), request(address, "1"))
		require.NoError(t, err)
		require.Equal(t, want, read(t, response))
	}
}

// TestNothingIsSentWhenTheRequestMayNotBeSent guards against a request that is sent although its permission ran out while the
// connection was opened.
func TestNothingIsSentWhenTheRequestMayNotBeSent(t *testing.T) {
	received := make(chan int, 1)
	address := listen(t, func(conn net.Conn, _ int) {
		content, _ := io.ReadAll(conn)
		received <- len(content)
		_ = conn.Close()
	})
	pool := backend.NewPool()
	defer pool.Close()
	refused := errors.New("not allowed any more")
	r := request(address, "1")
	r.MaySend = func() error { return refused }
	_, err := pool.Do(context.Background(), r)
	require.ErrorIs(t, err, refused)
	var sendErr *backend.Error
	require.ErrorAs(t, err, &sendErr)
	require.False(t, sendErr.Sent)
	require.Zero(t, <-received)
}

// TestManySmallHeaderLinesAreRefused guards against heads that are small on the wire but take 1 MB of memory each, for as many requests
// as the back ends have in flight.
func TestManySmallHeaderLinesAreRefused(t *testing.T) {
	var head strings.Builder
	for i := 0; head.Len() < 32<<10; i++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", i)
	}
	address := listen(t, func(conn net.Conn, _ int) {
		readRequest(t, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"Content-Length: 0\r\n\r\n")
		_ = conn.Close()
	})
	pool := backend.NewPool()
	defer pool.Close()
	_, err := pool.Do(t.Context(), request(address, "1"))
	require.ErrorContains(t, err, "head exceeds the limit")
}

// TestHeadWithoutEndIsRefused guards against memory that grows with a head, or with informational responses, without end.
func TestHeadWithoutEndIsRefused(t *testing.T) {
	for name, sent := range map[string][2]string{
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n"},
		"one line":                {"HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef"},
		"status line":             {"HTTP/1.1 200 ", "0123456789abcdef"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(conn net.Conn, _ int) { sendWithoutEnd(t, conn, sent[0], sent[1]) })
			pool := backend.NewPool()
			defer pool.Close()
			_, err := pool.Do(t.Context(), request(address, "1"))
			require.ErrorContains(t, err, "head exceeds the limit")
		})
	}
}

// TestLateResponseWithoutEndIsRefused guards against a request that waits for its own response behind a late one without end.
func TestLateResponseWithoutEndIsRefused(t *testing.T) {
	address := listen(t, func(conn net.Conn, _ int) {
		sendWithoutEnd(t, conn, "HTTP/1.1 200 OK\r\nReq-Id: old\r\n\r\n", "0123456789abcdef")
	})
	pool := backend.NewPool()
	defer pool.Close()
	_, err := pool.Do(t.Context(), request(address, "new"))
	require.ErrorContains(t, err, "late response to another request exceeds")
}

// sendWithoutEnd reads a request and sends begin and then filler until the peer closes the connection.
func sendWithoutEnd(t *testing.T, conn net.Conn, begin, filler string) {
	defer conn.Close()
	readRequest(t, bufio.NewReader(conn))
	_, err := io.WriteString(conn, begin)
	block := strings.Repeat(filler, 256)
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// TestSecondCopyOfARefusalDoesNotAnswerTheNextTry guards against a second copy of a refusal on a kept connection that is taken for the
// response to another try of the same request, which the back end runs.
func TestSecondCopyOfARefusalDoesNotAnswerTheNextTry(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nReq-Id: same\r\nContent-Length: 0\r\n\r\n"
	address := listen(t, func(conn net.Conn, number int) {
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for readRequest(t, reader) != nil {
				if number == 0 {
					_, _ = io.WriteString(conn, refusal)
				} else {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nReq-Id: same\r\nContent-Length: 3\r\n\r\nran")
				}
			}
		}()
	})
	pool := backend.NewPool()
	defer pool.Close()
	response, err := pool.Do(t.Context(), request(address, "same"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.Empty(t, read(t, response))
	response, err = pool.Do(t.Context(), request(address, "same"))
	require.NoError(t, err)
	require.Equal(t, "ran", read(t, response))
}

// TestResponseWithoutIDOnAKeptConnectionIsNotBelieved guards against a late response without an ID that is taken for the response to
// the request that was sent on the connection since.
func TestResponseWithoutIDOnAKeptConnectionIsNotBelieved(t *testing.T) {
	address := listen(t, func(conn net.Conn, _ int) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		readRequest(t, reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n")
		readRequest(t, reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	})
	pool := backend.NewPool()
	defer pool.Close()
	response, err := pool.Do(t.Context(), request(address, "1"))
	require.NoError(t, err)
	require.Empty(t, read(t, response))
	_, err = pool.Do(t.Context(), request(address, "2"))
	var sendErr *backend.Error
	require.ErrorAs(t, err, &sendErr)
	require.True(t, sendErr.Sent)
	require.True(t, sendErr.Reused)
}

// TestRequestWithoutIDHasAConnectionOfItsOwn guards against a request without an ID that gets the late response to another one, which
// nothing tells from its own.
func TestRequestWithoutIDHasAConnectionOfItsOwn(t *testing.T) {
	address := listen(t, func(conn net.Conn, number int) {
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for sent := readRequest(t, reader); sent != nil; sent = readRequest(t, reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nReq-Id: "+sent.Header.Get("Req-Id")+"\r\nContent-Length: 1\r\n\r\n"+string(rune('0'+number)))
			}
		}()
	})
	pool := backend.NewPool()
	defer pool.Close()
	for i, id := range []string{"1", "", "", "2"} {
		response, err := pool.Do(t.Context(), request(address, id))
		require.NoError(t, err)
		require.Equal(t, []string{"0", "1", "2", "0"}[i], read(t, response))
	}
}
