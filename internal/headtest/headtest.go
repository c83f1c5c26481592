// Package headtest lists malformed HTTP responses, by their bytes, and serves raw responses to tests.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TokenBytes are the bytes of which the name of a header field consists (RFC 9110, section 5.6.2).
const TokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// Statuses returns values in place of a status that are not three digits from 100 up.
func Statuses() []string {
	statuses := []string{"", "2", "20", "0200", "2000", "+20", "-20", "-00", "+00", "2x0", "0x2", "2.0", "20\x00", "2\t0", "\u0662\u0660\u0660"}
	for status := range 100 {
		statuses = append(statuses, fmt.Sprintf("%03d", status))
	}
	return statuses
}

// Names returns the given name with each byte that a name must not have, in its middle, at its end and, unless that continues the line
// before or ends the head, at its start.
func Names(name string) []string {
	middle := len(name) / 2
	names := []string{""}
	for value := range 256 {
		b := string([]byte{byte(value)})
		if strings.Contains(TokenBytes, b) {
			continue
		}
		if b != ":" {
			names = append(names, name[:middle]+b+name[middle:], name+b)
		}
		if !strings.Contains(" \t\n", b) {
			names = append(names, b+name)
		}
	}
	return names
}

// Server sends raw responses. It answers the requests on a connection with the responses in turn and then waits until the caller closes the
// connection.
type Server struct {
	Address string
	// Closed gets a value whenever a caller has closed a connection.
	Closed chan struct{}

	listener net.Listener
	loops    sync.WaitGroup
	mu       sync.Mutex
	conns    int
}

// Start starts a Server, which ends with the test. Callers must close their connections before.
func Start(t *testing.T, responses ...string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Address: listener.Addr().String(), Closed: make(chan struct{}, 1024), listener: listener}
	s.loops.Go(func() { s.accept(responses) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.loops.Wait()
	})
	return s
}

// Connections returns the number of connections that were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *Server) accept(responses []string) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		s.loops.Go(func() { s.serve(conn, responses) })
	}
}

func (s *Server) serve(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	}
	_, _ = io.Copy(io.Discard, reader)
	s.Closed <- struct{}{}
}
