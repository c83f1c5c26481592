package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/transport/backend"
)

// closeTimeout bounds the wait for the end of an exchange that must end at once.
const closeTimeout = 10 * time.Second

// newPool returns a pool that is closed before the back ends that were started earlier, which wait for their callers.
func newPool(t *testing.T) *backend.Pool {
	pool := backend.NewPool()
	t.Cleanup(pool.Close)
	return pool
}

func requireClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		require.Fail(t, "the connection of the malformed response was not closed")
	}
}

// requireRejected sends a request that gets text, which is a malformed response, and requires an error that leaves open whether the
// request has run, and a closed connection.
func requireRejected(t *testing.T, text string) {
	t.Helper()
	server := headtest.Start(t, text)
	ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
	defer cancel()
	response, err := newPool(t).Do(ctx, request(server.Address, "1"))
	require.NoError(t, ctx.Err(), "the malformed response %q was not rejected at once", text)
	if err == nil {
		_ = response.Body.Close()
		require.Fail(t, "a malformed response was taken for an answer", "%q gave status %d and header %q", text, response.Status, response.Header)
	}
	var sendErr *backend.Error
	require.ErrorAs(t, err, &sendErr, "%q", text)
	require.True(t, sendErr.Sent, "%q", text)
	requireClosed(t, server.Closed)
}

// soundAnswer is a complete response that a caller would accept.
const soundAnswer = "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nContent-Length: 5\r\n\r\nsound"

// TestStatusBelow100IsNoAnswer guards against a status that is not three digits from 100 up, which was skipped like an informational
// response, so that bytes behind it were taken for the answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"no body":       "Req-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"body":          "Req-Id: 1\r\nContent-Length: 5\r\n\r\nwrong",
		"second head":   "Req-Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"second answer": "Req-Id: 1\r\nContent-Length: 0\r\n\r\n" + soundAnswer,
		"no header":     "\r\n" + soundAnswer,
	} {
		for _, status := range headtest.Statuses() {
			t.Run(fmt.Sprintf("%s/%q", name, status), func(t *testing.T) {
				requireRejected(t, "HTTP/1.1 "+status+" Trouble\r\n"+rest)
			})
		}
	}
}

// TestStatusOfThreeDigitsIsPassedOn guards against the rejection of final statuses that are unusual but well formed.
func TestStatusOfThreeDigitsIsPassedOn(t *testing.T) {
	for status := http.StatusOK; status < 1000; status++ {
		server := headtest.Start(t, fmt.Sprintf("HTTP/1.1 %d Unusual\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n", status))
		response, err := newPool(t).Do(t.Context(), request(server.Address, "1"))
		require.NoError(t, err, "status %d", status)
		require.Equal(t, status, response.Status)
		require.Empty(t, read(t, response))
	}
}

// TestMalformedFieldValueIsNoAnswer guards against control bytes in values and reasons, which could be passed on.
func TestMalformedFieldValueIsNoAnswer(t *testing.T) {
	for value := range 256 {
		b := byte(value)
		if b >= ' ' && b != 0x7f || b == '\t' || b == '\n' {
			continue
		}
		requireRejected(t, "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nX-Load: 1"+string([]byte{b})+"0\r\nContent-Length: 5\r\n\r\nwrong")
		requireRejected(t, "HTTP/1.1 200 O"+string([]byte{b})+"K\r\nReq-Id: 1\r\nContent-Length: 5\r\n\r\nwrong")
	}
}

// TestMalformedVersionIsNoAnswer guards against bytes that are no HTTP/1 message.
func TestMalformedVersionIsNoAnswer(t *testing.T) {
	for _, version := range []string{"", "HTTP", "HTTP/1", "HTTP/1.", "HTTP/11.1", "HTTP/1.10", "HTTP/a.1", "http/1.1", "ICY", "HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "RTSP/1.0"} {
		requireRejected(t, version+" 200 OK\r\nReq-Id: 1\r\nContent-Length: 5\r\n\r\nwrong")
	}
}

// TestTransferEncodingBeforeHTTP11IsNoAnswer guards against chunks that are passed on as the body, since net/http ignores Transfer-Encoding in
// a response of HTTP/1.0.
func TestTransferEncodingBeforeHTTP11IsNoAnswer(t *testing.T) {
	const chunks = "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
	for _, head := range []string{
		"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: identity", "Content-Length: 15\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked\r\nX-Filler: " + strings.Repeat("x", 8<<10), "X-Filler: " + strings.Repeat("x", 8<<10) + "\r\nTransfer-Encoding: chunked",
	} {
		requireRejected(t, "HTTP/1.0 200 OK\r\nReq-Id: 1\r\n"+head+chunks)
		requireRejected(t, "HTTP/1.1 200 OK\r\nReq-Id: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.0 200 OK\r\nReq-Id: 1\r\n"+head+chunks)
	}
}

// TestUnusualHeadsArePassedOn guards against the rejection of heads that are unusual but well formed.
func TestUnusualHeadsArePassedOn(t *testing.T) {
	const ended = "Req-Id: 1\r\nContent-Length: 5\r\n\r\nsound"
	for name, text := range map[string]string{
		"each byte of a token":     "HTTP/1.1 200 OK\r\n" + headtest.TokenBytes + ": v\r\n" + ended,
		"name of one byte":         "HTTP/1.1 200 OK\r\n~: v\r\n" + ended,
		"empty value":              "HTTP/1.1 200 OK\r\nX-Empty:\r\n" + ended,
		"bytes above 127 in value": "HTTP/1.1 200 OK\r\nX-Value: \x80\xff\xe9\r\n" + ended,
		"tab in value":             "HTTP/1.1 200 OK\r\nX-Value:\ta\tb\t\r\n" + ended,
		"colon in value":           "HTTP/1.1 200 OK\r\nX-Value:: b:c\r\n" + ended,
		"continued line":           "HTTP/1.1 200 OK\r\nX-Value: a\r\n b\r\n" + ended,
		"no reason":                "HTTP/1.1 200 \r\n" + ended,
		"no blank before reason":   "HTTP/1.1 200\r\n" + ended,
		"reason above 127":         "HTTP/1.1 200 \xc3\xa9\t \xff\r\n" + ended,
		"lines without CR":         strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+ended, "\r", ""),
		"later minor version":      "HTTP/1.9 200 OK\r\n" + ended,
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\n" + ended,
		"HTTP/1.0, large head":     "HTTP/1.0 200 OK\r\nX-Filler: " + strings.Repeat("x", 8<<10) + "\r\n" + ended + "Transfer-Encoding: chunked",
		"equal lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + ended,
		"informational heads": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-A: \xff\r\n\r\nHTTP/1.1 103 Early Hints\r\n" +
			headtest.TokenBytes + ": </a>\r\n\r\nHTTP/1.1 199 Unusual\r\n\r\nHTTP/1.1 200 OK\r\n" + ended,
		"chunks":            "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nso\r\n3\r\nund\r\n0\r\n\r\n",
		"trailers":          "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n" + headtest.TokenBytes + ": \xff\r\nX-B: \r\n\r\n",
		"declared trailers": "HTTP/1.1 200 OK\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X Odd\r\n\r\n5\r\nsound\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := headtest.Start(t, text)
			response, err := newPool(t).Do(t.Context(), request(server.Address, "1"))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.Status)
			require.Equal(t, "1", response.Header.Get("Req-Id"))
			require.Equal(t, "sound", read(t, response))
		})
	}
}
