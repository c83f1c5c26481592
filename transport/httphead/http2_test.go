package httphead_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

// startHTTP2Server starts a server of HTTP/2 without TLS that answers each request with the header fields, and returns its address.
func startHTTP2Server(t *testing.T, fields ...hpack.HeaderField) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveHTTP2(conn, fields)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// serveHTTP2 answers requests until the connection ends.
func serveHTTP2(conn net.Conn, fields []hpack.HeaderField) {
	defer func() { _ = conn.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(conn, preface); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		headers, ok := frame.(*http2.HeadersFrame)
		if !ok {
			continue
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, field := range fields {
			_ = encoder.WriteField(field)
		}
		_ = framer.WriteHeaders(http2.HeadersFrameParam{
			StreamID: headers.StreamID, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true,
		})
	}
}

func getHTTP2(t *testing.T, fields ...hpack.HeaderField) (*http.Response, error) {
	t.Helper()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: httphead.NewHTTP2Transport(&http.Transport{Protocols: protocols}), Timeout: closeTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + startHTTP2Server(t, fields...))
	if err == nil {
		require.NoError(t, response.Body.Close())
	}
	return response, err
}

// TestMalformedHTTP2ResponsesFail guards against a status or name that HTTP/2 transports accept although it is malformed.
func TestMalformedHTTP2ResponsesFail(t *testing.T) {
	for _, status := range headtest.Statuses() {
		t.Run(fmt.Sprintf("status %q", status), func(t *testing.T) {
			_, err := getHTTP2(t, hpack.HeaderField{Name: ":status", Value: status})
			require.Error(t, err)
		})
	}
	for _, name := range headtest.Names("x-load") {
		t.Run(fmt.Sprintf("name %q", name), func(t *testing.T) {
			_, err := getHTTP2(t, hpack.HeaderField{Name: ":status", Value: "200"}, hpack.HeaderField{Name: name, Value: "1"})
			require.Error(t, err)
		})
	}
}

// TestUnusualHTTP2ResponsesArePassedOn guards against the rejection of well-formed responses in HTTP/2.
func TestUnusualHTTP2ResponsesArePassedOn(t *testing.T) {
	for _, status := range []int{200, 299, 404, 503, 600, 999} {
		response, err := getHTTP2(t, hpack.HeaderField{Name: ":status", Value: fmt.Sprint(status)}, hpack.HeaderField{Name: "!#$%&'*+-.^_`|~0az", Value: "\x80\t\xff"})
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode)
	}
}
