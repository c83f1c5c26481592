package ingress_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
)

const (
	// trickleInterval is the time between two bytes of a trickling body or stream.
	trickleInterval = 5 * time.Millisecond
	// answerLimit is the time after which a test fails that waits for an answer.
	answerLimit = 20 * time.Second
)

// trickle sends a request whose chunked body never ends, a byte at a time, and returns the status and body of the response.
func (h *harness) trickle(path string, header http.Header) (int, api.Refusal) {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.frontend.Listener.Addr().String())
	require.NoError(h.t, err)
	var sender sync.WaitGroup
	defer sender.Wait()
	defer conn.Close()
	require.NoError(h.t, conn.SetReadDeadline(time.Now().Add(answerLimit)))
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n", path)
	_ = header.Write(&head)
	_, err = io.WriteString(conn, head.String()+"\r\n")
	require.NoError(h.t, err)
	sender.Go(func() {
		for err := error(nil); err == nil; time.Sleep(trickleInterval) {
			_, err = io.WriteString(conn, "1\r\nx\r\n")
		}
	})
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(h.t, err)
	defer response.Body.Close()
	var refusal api.Refusal
	require.NoError(h.t, json.NewDecoder(response.Body).Decode(&refusal))
	return response.StatusCode, refusal
}

// TestTricklingBodyEndsAtTheDeadline guards against a request that occupies the entry for ever because its body arrives a byte at a
// time, whatever its deadline.
func TestTricklingBodyEndsAtTheDeadline(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("x"))
	status, refusal := h.trickle("/unsafe/", http.Header{"Authorization": {"Bearer key-1"}, names.Deadline: {"200"}})
	require.Equal(t, http.StatusRequestTimeout, status)
	require.Equal(t, api.RunNotRun, refusal.Run)
	require.Empty(t, h.received())
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that the HTTP server holds back until the rest of the body has arrived.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	status, _ := h.trickle("/unsafe/", http.Header{"Authorization": {"Bearer unknown"}})
	require.Equal(t, http.StatusUnauthorized, status)
}

// TestSlowButSteadyBodyIsServed guards against cutting off a body that arrives slowly but within the deadline.
func TestSlowButSteadyBodyIsServed(t *testing.T) {
	const parts = 40
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("whole"))
	reader, writer := io.Pipe()
	var sender sync.WaitGroup
	defer sender.Wait()
	sender.Go(func() {
		for range parts {
			time.Sleep(trickleInterval)
			_, _ = io.WriteString(writer, "part")
		}
		_ = writer.Close()
	})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.frontend.URL+"/unsafe/", reader)
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Bearer key-1")
	response, err := h.frontend.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, strings.Repeat("part", parts), h.received()[0].body)
}

// TestStalledStreamWithoutReplacementEndsAtTheDeadline guards against a stalled stream that can't be resumed and lasts for ever because
// comments or parts of an event still arrive.
func TestStalledStreamWithoutReplacementEndsAtTheDeadline(t *testing.T) {
	for name, bytes := range map[string]string{"comments": ": still here\n\n", "part of an event": "x"} {
		t.Run(name, func(t *testing.T) {
			route := streamRoute()
			route.Resumable, route.Attempts = false, 1
			h := newHarness(t, route)
			h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", headers.EventStream)
				w.Header().Set(names.Stamp, "s")
				_, _ = io.WriteString(w, "data: 0\n\n")
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, bytes)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(trickleInterval)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), answerLimit)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.frontend.URL+"/stream/", strings.NewReader("x"))
			require.NoError(t, err)
			request.Host = "a.example"
			request.Header = http.Header{"Authorization": {"Bearer key-1"}, names.Deadline: {"500"}, names.Model: {"m"}}
			response, err := h.frontend.Client().Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the caller must see that the stream is incomplete")
		})
	}
}
