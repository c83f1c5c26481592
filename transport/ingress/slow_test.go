package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// streamEvents responds with the events from first up to but not including end, and waits for interval before each.
func streamEvents(w http.ResponseWriter, first, end int, interval time.Duration) {
	w.Header().Set("Content-Type", headers.EventStream)
	w.Header().Set(names.Stamp, "s")
	for number := first; number < end; number++ {
		time.Sleep(interval)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", number, number)
		_ = http.NewResponseController(w).Flush()
	}
}

const threeEvents = "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"

// TestStalledStreamIsResumedElsewhere guards against a stream that waits at a suspended replica until its caller gives up, after
// which the replica would run it to its end in vain.
func TestStalledStreamIsResumedElsewhere(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
		streamEvents(w, 0, 1, 0)
		<-r.Context().Done()
	})
	go func() {
		for len(h.received()) == 0 {
			time.Sleep(time.Millisecond)
		}
		h.startReplica("r2", "llm", func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 1, 3, 0) })
	}()
	got := h.call(http.MethodPost, "/stream/", "x", nil)
	require.NoError(t, got.err)
	require.Equal(t, threeEvents, got.body)
	received := h.received()
	require.Len(t, received, 2)
	require.Equal(t, "0", received[1].header.Get(headers.LastEventID))
}

// TestCommentsAreNoProgress guards against a stalled stream that is kept for ever because comments still arrive.
func TestCommentsAreNoProgress(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
		streamEvents(w, 0, 1, 0)
		for r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(w, ": still here\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
	go func() {
		for len(h.received()) == 0 {
			time.Sleep(time.Millisecond)
		}
		h.startReplica("r2", "llm", func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 1, 3, 0) })
	}()
	got := h.call(http.MethodPost, "/stream/", "x", nil)
	require.NoError(t, got.err)
	require.Contains(t, got.body, "data: 2\n\n")
	require.Len(t, h.received(), 2)
}

// TestSlowButSoundStreamIsNotMoved guards against cutting off a stream whose events come slowly but steadily.
func TestSlowButSoundStreamIsNotMoved(t *testing.T) {
	const interval, limit = 60 * time.Millisecond, time.Second
	events := int(3 * limit / interval / 2)
	h := newHarnessWith(t, func(cfg *ingress.Config) {
		cfg.FirstEventMinTimeout, cfg.SilentTimeout, cfg.StallMinTimeout = limit, limit, limit
	}, streamRoute())
	h.startReplica("r1", "llm", func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 0, events, interval) })
	h.startReplica("r2", "llm", func(w http.ResponseWriter, _ *http.Request) { streamEvents(w, 0, events, interval) })
	got := h.call(http.MethodPost, "/stream/", "x", func(header http.Header) { header.Set(names.Deadline, "5000") })
	require.NoError(t, got.err)
	require.Contains(t, got.body, fmt.Sprintf("data: %d\n\n", events-1))
	require.Len(t, h.received(), 1)
}
