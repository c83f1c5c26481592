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

// Malformations change a sound response, which has a Content-Length, into a malformed one.
var Malformations = map[string]func(string) string{
	"status 000":            func(s string) string { return withStatus(s, "000") },
	"status 099":            func(s string) string { return withStatus(s, "099") },
	"status 000, then this": func(s string) string { return "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n" + s },
	"status 2x0":            func(s string) string { return withStatus(s, "2x0") },
	"blank in name":         func(s string) string { return withField(s, "X Trouble: 1") },
	"blank after name":      func(s string) string { return withField(s, "X-Trouble : 1") },
	"control byte in name":  func(s string) string { return withField(s, "X\x01Trouble: 1") },
	"blank after length":    func(s string) string { return strings.Replace(s, "Content-Length:", "Content-Length :", 1) },
	"two lengths":           func(s string) string { return withField(s, "Content-Length : 2") },
	"chunks and length":     func(s string) string { return withField(s, "Transfer-Encoding : chunked") },
	"informational head":    func(s string) string { return "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\n" + s },
}

func withStatus(response, status string) string {
	const before = len("HTTP/1.1 ")
	return response[:before] + status + response[before+len(status):]
}

func withField(response, field string) string {
	return strings.Replace(response, "\r\n", "\r\n"+field+"\r\n", 1)
}

// Server sends raw responses. It answers the requests on a connection with the responses in turn and then waits until the caller closes the
// connection.
type Server struct {
	Address string
	// Closed gets a value once a connection has ended.
	Closed chan struct{}

	listener net.Listener
	loops    sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// test is the part of *testing.T that Start needs. Programs that play malformed responses don't import the package testing.
type test interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(end func())
}

// Start starts a Server, which ends with the test.
func Start(t test, responses ...string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &Server{Address: listener.Addr().String(), Closed: make(chan struct{}, 1), listener: listener}
	s.loops.Go(func() { s.accept(responses) })
	t.Cleanup(func() {
		_ = listener.Close()
		s.closeConnections()
		s.loops.Wait()
	})
	return s
}

// Connections returns the number of connections that were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept(responses []string) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
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
	select {
	case s.Closed <- struct{}{}:
	default:
	}
}
