package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

func started(t *testing.T, boot string, answer http.HandlerFunc) *backEnd {
	t.Helper()
	b := newBackEnd(boot, answer)
	b.Start()
	t.Cleanup(b.Close)
	return b
}

// TestWholeResponseEndsWithGrant guards against a response without its end frame or grant.
func TestWholeResponseEndsWithGrant(t *testing.T) {
	b := started(t, "a", answerOK)
	a := newAgent(t, b.URL, patient)
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.NoError(t, o.err)
	require.Nil(t, o.refusal)
	require.Equal(t, "done", o.body)
	require.Positive(t, o.end.GetGrant().GetSlots())
}

// TestRefusedConnectionIsNotRun guards against an unknown outcome for a request that never left.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	b := newBackEnd("a", answerOK)
	b.Start()
	a := newAgent(t, b.URL, patient)
	a.monitor.Poll(t.Context())
	b.Close()
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.Equal(t, wire.Run_RUN_NOT_RUN, o.refusal.GetRun())
	require.Zero(t, b.count("r1"))
	require.Equal(t, admission.ReasonUnidentified, a.gate.Snapshot().Closed)
	require.Zero(t, a.gate.Snapshot().InFlight)
}

// TestBrokenResponseIsNeverWhole guards against a cut response that ends with an end frame or as not run.
func TestBrokenResponseIsNeverWhole(t *testing.T) {
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
			b := started(t, "a", hijack(raw))
			a := newAgent(t, b.URL, patient)
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

// TestSilentBackEndEndsAsUnknown guards against a request that hangs on a connection gone silent.
func TestSilentBackEndEndsAsUnknown(t *testing.T) {
	cancelled := make(chan struct{})
	b := started(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	a := newAgent(t, b.URL, upstream.Timing{KeepAliveInterval: 5 * time.Millisecond, SuspectTimeout: 20 * time.Millisecond, ProgressTimeout: 100 * time.Millisecond})
	a.monitor.Poll(t.Context())
	o := a.call(t.Context(), "r1", http.MethodPost, "order")
	require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
	require.Positive(t, o.keepAlives)
	require.Positive(t, a.silenced.Load(), "idle connections stay in use")
	<-cancelled
}

// TestPassedDeadlineEndsTheRequest guards against a back end that works on for a caller that has given up.
func TestPassedDeadlineEndsTheRequest(t *testing.T) {
	b := started(t, "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := newAgent(t, b.URL, patient)
	a.monitor.Poll(t.Context())
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, a.server.URL, http.NoBody)
	require.NoError(t, err)
	request.Header.Set(api.HeaderMethod, http.MethodPost)
	request.Header.Set(api.HeaderPath, "/work")
	for header, run := range map[time.Duration]wire.Run{-time.Hour: wire.Run_RUN_NOT_RUN, 200 * time.Millisecond: wire.Run_RUN_UNKNOWN} {
		request.Header.Set(api.HeaderDeadline, time.Now().Add(header).Format(time.RFC3339Nano))
		response, err := a.client.Do(request)
		require.NoError(t, err)
		o := readFrames(newReader(response.Body))
		require.NoError(t, response.Body.Close())
		require.Equal(t, api.CodeDeadlineExceeded, o.refusal.GetCode())
		require.Equal(t, run, o.refusal.GetRun())
	}
}

// TestSilentUploadEndsAfterItsDeadline guards against a handler that waits for ever for the rest of a request body.
func TestSilentUploadEndsAfterItsDeadline(t *testing.T) {
	b := started(t, "a", answerOK)
	a := newAgent(t, b.URL, patient)
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

// TestGoneEntryCancelsTheBackEnd guards against work that goes on after its entry went away.
func TestGoneEntryCancelsTheBackEnd(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	b := started(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	a := newAgent(t, b.URL, patient)
	a.monitor.Poll(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	require.Error(t, a.call(ctx, "r1", http.MethodPost, "order").err)
	<-cancelled
	<-a.gate.Idle()
	require.True(t, a.gate.Snapshot().Limit > 0, "a cancelled request is no doubt")
}

// TestNothingIsSentTwice guards against net/http repeating a request whose reused connection broke.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "order"} {
			t.Run(method+" "+body, func(t *testing.T) {
				b := started(t, "a", func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(api.HeaderRequestID) == "first" {
						answerOK(w, r)
						return
					}
					hijack("")(w, r)
				})
				a := newAgent(t, b.URL, patient)
				a.monitor.Poll(t.Context())
				require.NotNil(t, a.call(t.Context(), "first", method, body).end)
				o := a.call(t.Context(), "second", method, body)
				require.Equal(t, wire.Run_RUN_UNKNOWN, o.refusal.GetRun())
				require.Equal(t, 1, b.count("second"))
			})
		}
	}
}

// TestRestartedBackEndGetsItsColdLimit guards against full load on a back end that restarted unnoticed.
func TestRestartedBackEndGetsItsColdLimit(t *testing.T) {
	before := newBackEnd("a", answerOK)
	before.Start()
	a := newAgent(t, before.URL, patient)
	a.monitor.Poll(t.Context())
	for i := range 4 {
		require.NotNil(t, a.call(t.Context(), fmt.Sprint("warm-up-", i), http.MethodPost, "order").end)
	}
	require.Equal(t, core.UpstreamWarm, a.gate.Snapshot().State)
	addr := before.Listener.Addr().String()
	before.Close()

	const requests = 12
	outcomes := make([]outcome, requests)
	release, settled := make(chan struct{}), make(chan struct{}, 2*requests)
	after := newBackEnd("b", func(w http.ResponseWriter, r *http.Request) {
		settled <- struct{}{}
		<-release
		answerOK(w, r)
	})
	require.NoError(t, after.Listener.Close())
	after.Listener = listen(t, addr)
	after.Start()
	t.Cleanup(after.Close)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			outcomes[i] = a.call(t.Context(), fmt.Sprint("r", i), http.MethodPost, "order")
			if outcomes[i].refusal != nil {
				settled <- struct{}{}
			}
		})
	}
	for range requests {
		<-settled
	}
	close(release)
	all.Wait()
	require.LessOrEqual(t, after.peak, 2, "requests in flight at a cold back end")
	for i, o := range outcomes {
		if o.refusal.GetRun() == wire.Run_RUN_NOT_RUN {
			require.Zero(t, after.count(fmt.Sprint("r", i)), "a refusal said not_run")
		}
	}
}

// TestStatusComesFromTheProcessThatAcceptsConnections guards against a status read over a kept connection to a process
// whose successor already accepts new connections.
func TestStatusComesFromTheProcessThatAcceptsConnections(t *testing.T) {
	before := started(t, "a", answerOK)
	a := newAgent(t, before.URL, patient)
	a.monitor.Poll(t.Context())
	require.NoError(t, before.Listener.Close())
	after := newBackEnd("b", answerOK)
	require.NoError(t, after.Listener.Close())
	after.Listener = listen(t, before.Listener.Addr().String())
	after.Start()
	t.Cleanup(after.Close)
	a.monitor.Poll(t.Context())
	require.Equal(t, "b", a.gate.Snapshot().BootID)
}

// TestLeavingAgentFinishesWhatItAdmitted guards against a drain that cuts requests off or takes new ones.
func TestLeavingAgentFinishesWhatItAdmitted(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	b := started(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half ")
		close(arrived)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	a := newAgent(t, b.URL, patient)
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
