package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSecondCopyOfARefusalIsNotPassedOn guards against callers that are told that their request has not run because the replica wrote
// an earlier refusal once more on a kept connection, with or without the ID of the earlier request.
func TestSecondCopyOfARefusalIsNotPassedOn(t *testing.T) {
	for name, echoes := range map[string]bool{"with ID": true, "without ID": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute())
			var runs atomic.Int32
			h.startReplica("r1", "orders", func(w http.ResponseWriter, r *http.Request) {
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n", names.NotRun)
				withID := refusal + names.RequestID + ": " + r.Header.Get(names.RequestID) + "\r\n\r\n"
				_, _ = io.WriteString(conn, withID)
				next, err := http.ReadRequest(bufio.NewReader(buffered))
				if err != nil {
					return
				}
				if echoes {
					_, _ = io.WriteString(conn, withID)
				} else {
					_, _ = io.WriteString(conn, refusal+"\r\n")
				}
				runs.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran",
					names.Stamp, names.RequestID, next.Header.Get(names.RequestID))
			})
			refused := h.call(http.MethodPost, "/unsafe/x", "a", func(header http.Header) { header.Set(names.RequestID, "1") })
			require.Equal(t, http.StatusServiceUnavailable, refused.status)
			require.Zero(t, runs.Load())
			// The entry sends nothing to a replica that has just refused a request.
			var ran callerResponse
			require.Eventually(t, func() bool {
				ran = h.call(http.MethodPost, "/unsafe/x", "b", func(header http.Header) { header.Set(names.RequestID, "2") })
				return runs.Load() > 0
			}, 10*time.Second, 10*time.Millisecond)
			if echoes {
				require.Equal(t, http.StatusOK, ran.status)
				require.Equal(t, "ran", ran.body)
			} else {
				require.Equal(t, http.StatusBadGateway, ran.status, "the request may have run")
			}
		})
	}
}
