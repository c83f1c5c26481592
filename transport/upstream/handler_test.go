package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

func startBackEnd(t *testing.T, boot string, respond http.HandlerFunc) *backEnd {
	t.Helper()
	b := newBackEnd(boot, respond)
	b.Start()
	t.Cleanup(b.Close)
	return b
}

// TestCompleteResponseEndsWithGrant guards against a complete response without an End frame or without a grant in it.
func TestCompleteResponseEndsWithGrant(t *testing.T) {
	b := startBackEnd(t, "a", respondOK)
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.NoError(t, o.err)
	require.Nil(t, o.refusal)
	require.Equal(t, "done", o.body)
	require.Positive(t, o.end.GetGrant().GetSlots())
}

// TestRefusedConnectionIsNotRun guards against an unknown outcome for a request that was never sent, since the back end
// refused the connection.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	b := newBackEnd("a", respondOK)
	b.Start()
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	b.Close()
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.Equal(t, wire.Run_RUN_NOT_RUN, o.refusal.GetRun())
	require.Zero(t, b.count("r1"))
	require.Equal(t, admission.ReasonUnidentified, a.gate.Snapshot().Closed)
	require.Zero(t, a.gate.Snapshot().InFlight)
}

// TestBrokenResponseIsNeverComplete guards against a truncated response that is reported as complete or as not run.
func TestBrokenResponseIsNeverComplete(t *testing.T) {
	for name, raw := range map[string]string{
		"reset after the request": "",
		"cut in the head":         "HTTP/1.1 200 OK\r\nContent-Le",
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
		"chunked without its end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
		"cut inside a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nfour",
		"no length at all":        "HTTP/1.1 200 OK\r\n\r\nfour",
		"not HTTP":                "\xff\xfe\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := startBackEnd(t, "a", hijack(raw))
			a := newAgent(t, b.URL, longTiming)
			a.monitor.Poll(t.Context())
			o := a.call(t.Context(), "r1", http.MethodPost, "order")
			require.NoError(t, o.err)
			require.Nil(t, o.end)
			require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
			require.Equal(t, 1, b.count("r1"))
			require.Equal(t, admission.ReasonUnidentified, a.gate.Snapshot().Closed)
		})
	}
}

// TestHeadOfALargeSizeEndsTheRequest guards against a back end that sends a head without end, of which the agent would keep the 10 MB that
// net/http allows for each request.
func TestHeadOfALargeSizeEndsTheRequest(t *testing.T) {
	b := startBackEnd(t, "a", hijack("HTTP/1.1 200 OK\r\nX-Filler: "+strings.Repeat("x", 1<<20)+"\r\nContent-Length: 4\r\n\r\nfour"))
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.NoError(t, o.err)
	require.Nil(t, o.end)
	require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
	require.Equal(t, 1, b.count("r1"))
}

// TestSilentBackEndEndsAsUnknown guards against a request that hangs because no data arrives on its connection.
func TestSilentBackEndEndsAsUnknown(t *testing.T) {
	canceled := make(chan struct{})
	b := startBackEnd(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	a := newAgent(t, b.URL, upstream.Timing{KeepAliveInterval: 5 * time.Millisecond, SuspectTimeout: 20 * time.Millisecond, ProgressTimeout: 100 * time.Millisecond})
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
	require.Positive(t, o.keepAlives)
	require.Positive(t, a.idleDrops.Load(), "idle connections were not dropped")
	<-canceled
}

// TestPassedDeadlineEndsTheRequest guards against a back end that continues to work after the caller's deadline.
func TestPassedDeadlineEndsTheRequest(t *testing.T) {
	b := startBackEnd(t, "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, a.server.URL, http.NoBody)
	require.NoError(t, err)
	request.Header.Set(api.HeaderMethod, http.MethodPost)
	request.Header.Set(api.HeaderPath, "/work")
	for untilDeadline, run := range map[time.Duration]wire.Run{-time.Hour: wire.Run_RUN_NOT_RUN, 200 * time.Millisecond: wire.Run_RUN_UNKNOWN} {
		request.Header.Set(api.HeaderDeadline, time.Now().Add(untilDeadline).Format(time.RFC3339Nano))
		response, err := a.client.Do(request)
		require.NoError(t, err)
		o := readFrames(newReader(response.Body))
		require.NoError(t, response.Body.Close())
		require.Equal(t, api.CodeDeadlineExceeded, o.refusal.GetCode())
		require.Equal(t, run, o.refusal.GetRun())
	}
}

// TestSilentUploadEndsAfterItsDeadline guards against a handler that waits forever for the rest of a request body.
func TestSilentUploadEndsAfterItsDeadline(t *testing.T) {
	b := startBackEnd(t, "a", respondOK)
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	conn, err := net.Dial("tcp", a.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /call HTTP/1.1\r\nHost: agent\r\nContent-Length: 10\r\n%s: %s\r\n\r\nhalf",
		api.HeaderDeadline, time.Now().Format(time.RFC3339Nano))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, wire.Run_RUN_NOT_RUN, readFrames(newReader(response.Body)).refusal.GetRun())
}

// TestEntryDisconnectCancelsTheBackEnd guards against a back end that continues to work after the entry disconnected.
func TestEntryDisconnectCancelsTheBackEnd(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	b := startBackEnd(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	require.Error(t, a.call(ctx, "r1", http.MethodPost, "order").err)
	<-canceled
	<-a.gate.Idle()
	require.True(t, a.gate.Snapshot().Limit > 0, "a canceled request must not close the gate")
}

// TestRequestIsSentAtMostOnce guards against net/http resending a request whose reused connection broke.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "order"} {
			t.Run(method+" "+body, func(t *testing.T) {
				b := startBackEnd(t, "a", func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(api.HeaderRequestID) == "first" {
						respondOK(w, r)
						return
					}
					hijack("")(w, r)
				})
				a := newAgent(t, b.URL, longTiming)
				a.monitor.Poll(t.Context())
				require.NotNil(t, a.call(t.Context(), "first", method, body).end)
				o := a.call(t.Context(), "second", method, body)
				require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
				require.Equal(t, 1, b.count("second"))
			})
		}
	}
}

// TestRestartedBackEndGetsItsColdLimit guards against a restarted back end that gets the warm limit while the agent has
// not read its status since the restart.
func TestRestartedBackEndGetsItsColdLimit(t *testing.T) {
	old := newBackEnd("a", respondOK)
	old.Start()
	a := newAgent(t, old.URL, longTiming)
	a.monitor.Poll(t.Context())
	for i := range 4 {
		require.NotNil(t, a.call(t.Context(), fmt.Sprint("warm-up-", i), http.MethodPost, "order").end)
	}
	require.Equal(t, core.UpstreamWarm, a.gate.Snapshot().State)
	addr := old.Listener.Addr().String()
	old.Close()

	const requests = 12
	outcomes := make([]outcome, requests)
	release, arrivedOrRefused := make(chan struct{}), make(chan struct{}, 2*requests)
	replacement := newBackEnd("b", func(w http.ResponseWriter, r *http.Request) {
		arrivedOrRefused <- struct{}{}
		<-release
		respondOK(w, r)
	})
	require.NoError(t, replacement.Listener.Close())
	replacement.Listener = listen(t, addr)
	replacement.Start()
	t.Cleanup(replacement.Close)
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			outcomes[i] = a.call(t.Context(), fmt.Sprint("r", i), http.MethodPost, "order")
			if outcomes[i].refusal != nil {
				arrivedOrRefused <- struct{}{}
			}
		})
	}
	for range requests {
		<-arrivedOrRefused
	}
	close(release)
	calls.Wait()
	require.LessOrEqual(t, replacement.peak, 2, "requests in flight at a cold back end")
	for i, o := range outcomes {
		if o.refusal.GetRun() == wire.Run_RUN_NOT_RUN {
			require.Zero(t, replacement.count(fmt.Sprint("r", i)), "request was refused as not run, but ran")
		}
	}
}

// TestStatusComesFromTheProcessThatAcceptsConnections guards against a status read over a reused connection to the old
// process when its successor already accepts new connections.
func TestStatusComesFromTheProcessThatAcceptsConnections(t *testing.T) {
	old := startBackEnd(t, "a", respondOK)
	a := newAgent(t, old.URL, longTiming)
	a.monitor.Poll(t.Context())
	require.NoError(t, old.Listener.Close())
	replacement := newBackEnd("b", respondOK)
	require.NoError(t, replacement.Listener.Close())
	replacement.Listener = listen(t, old.Listener.Addr().String())
	replacement.Start()
	t.Cleanup(replacement.Close)
	a.monitor.Poll(t.Context())
	require.Equal(t, "b", a.gate.Snapshot().BootID)
}

// TestLeavingAgentFinishesAdmittedRequests guards against a drain that interrupts admitted requests or admits new ones.
func TestLeavingAgentFinishesAdmittedRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	b := startBackEnd(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half ")
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	a := newAgent(t, b.URL, longTiming)
	a.monitor.Poll(t.Context())
	done := make(chan outcome, 1)
	go func() { done <- a.call(t.Context(), "r1", http.MethodPost, "order") }()
	<-arrived
	a.gate.SetLeaving()
	o := a.call(t.Context(), "r2", http.MethodPost, "order")
	require.Equal(t, api.CodeLeaving, o.refusal.GetCode())
	require.Equal(t, wire.Run_RUN_NOT_RUN, o.refusal.GetRun())
	close(release)
	require.Equal(t, "half whole", (<-done).body)
	<-a.gate.Idle()
	require.Zero(t, b.count("r2"))
}
