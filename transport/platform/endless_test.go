package platform

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// startEndlessServer starts a server that answers with a header line without end and returns its address.
func startEndlessServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		block := []byte(strings.Repeat("x", 16<<10))
		for _, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Filler: ")); err == nil; {
			_, err = conn.Write(block)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String()
}

// TestHeadsWithoutEndAreCutOff guards against clients that keep the head of a response up to the 10 MB that net/http allows.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	address := startEndlessServer(t)
	engine, err := NewEngineClient(address, nil)
	require.NoError(t, err)
	for name, call := range map[string]func() error{
		"status": func() error { _, err := engine.Status(t.Context()); return err },
		"hosts":  func() error { _, err := NewHostListClient(address).Hosts(t.Context()); return err },
		"weights": func() error {
			_, err := NewWeightClient(address).Manifest(t.Context(), "m", "v")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { require.ErrorContains(t, call(), "exceeded 65536 bytes") })
	}
}
