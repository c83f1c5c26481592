package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// cutReplica answers each connection's requests with text, the last one cut after a number of bytes. It counts on the caller to send
// before requests on the connection before that.
type cutReplica struct {
	text   string
	after  int
	reset  bool
	before int
}

func (c *cutReplica) serve(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range c.before {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok",
			names.Stamp, names.RequestID, r.Header.Get(names.RequestID))
		next, err := http.ReadRequest(bufio.NewReader(buffered))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
	}
	_, _ = io.WriteString(conn, c.text[:c.after])
	if c.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// responseHead returns the head of the response to the request id-1, with more lines.
func responseHead(lines ...string) string {
	head := "HTTP/1.1 200 OK\r\n" + names.RequestID + ": id-1\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + names.Stamp + ": s\r\n\r\n"
}

// cutResponses are whole responses by how they are framed.
var cutResponses = map[string]string{
	"length":   responseHead("Content-Length: 5") + "whole",
	"chunks":   responseHead("Transfer-Encoding: chunked") + "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
	"trailers": responseHead("Transfer-Encoding: chunked", "Trailer: X-End") + "5\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n",
	"interim":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + responseHead("Content-Length: 5") + "whole",
	"unframed": responseHead(),
	"large":    responseHead("X-Filler: "+strings.Repeat("x", 5000), "Content-Length: 5") + "whole",
}

// TestResponseCutOffIsNotPassedOnAsWhole guards against a success with an empty or short body, framed as whole, when a replica stops in
// the middle of the head or body of its response and closes or resets the connection. A response without a length and without a byte of
// body can't be told from one.
func TestResponseCutOffIsNotPassedOnAsWhole(t *testing.T) {
	for name, text := range cutResponses {
		for _, reset := range []bool{false, true} {
			for before := range 2 {
				t.Run(fmt.Sprintf("%s/reset %v/before %d", name, reset, before), func(t *testing.T) {
					last := len(text)
					if name != "unframed" {
						last--
					}
					step := 1 + len(text)/60
					for after := 0; after <= last; after += step {
						requireNotWhole(t, &cutReplica{text: text, after: after, reset: reset, before: before})
					}
					requireNotWhole(t, &cutReplica{text: text, after: last, reset: reset, before: before})
				})
			}
		}
	}
}

func requireNotWhole(t *testing.T, replica *cutReplica) {
	t.Helper()
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", replica.serve)
	for number := range replica.before {
		change := func(header http.Header) { header.Set(names.RequestID, fmt.Sprintf("earlier-%d", number)) }
		require.Equal(t, "ok", h.call(http.MethodPost, "/unsafe/", "x", change).body)
	}
	got := h.call(http.MethodPost, "/unsafe/", "x", nil)
	require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, "cut after %d bytes: %q", replica.after, got.body)
	require.NotEqual(t, http.StatusServiceUnavailable, got.status, "the request may have run")
	h.frontend.Close()
}

// TestResponsesThatMayHaveNoBodyArePassedOn guards against taking a response that can't have a body for one that was cut off.
func TestResponsesThatMayHaveNoBodyArePassedOn(t *testing.T) {
	for name, response := range map[string]struct{ method, text string }{
		"HEAD":        {http.MethodHead, responseHead()},
		"204":         {http.MethodPost, strings.Replace(responseHead(), "200 OK", "204 No Content", 1)},
		"zero length": {http.MethodPost, responseHead("Content-Length: 0")},
		"no chunks":   {http.MethodPost, responseHead("Transfer-Encoding: chunked") + "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute())
			h.startReplica("r1", "orders", (&cutReplica{text: response.text, after: len(response.text)}).serve)
			require.Less(t, h.call(response.method, "/unsafe/", "", nil).status, http.StatusMultipleChoices)
		})
	}
}

// TestResponseCutOffDoesNotShowItsBytesToCallers guards against spoilt bytes and the names of internal headers in errors for callers.
func TestResponseCutOffDoesNotShowItsBytesToCallers(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	text := responseHead("Content-Length: 5")
	h.startReplica("r1", "orders", (&cutReplica{text: text, after: strings.Index(text, names.Stamp) + len(names.Stamp)}).serve)
	got := h.call(http.MethodPost, "/unsafe/", "x", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.NotContains(t, got.body, names.Stamp)
	require.NotContains(t, got.body, "malformed")
	tries := h.logLines("try failed")
	require.Len(t, tries, 1)
	require.Contains(t, tries[0].Data["reason"], names.Stamp, "the log has the cause")
}
