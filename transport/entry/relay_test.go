package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

// TestAgentKilledMidStreamEndsTheStreamVisibly guards against a truncated stream that looks complete to the caller.
func TestAgentKilledMidStreamEndsTheStreamVisibly(t *testing.T) {
	h := newHarness(t, nil)
	agent := h.startAgent("agent-1", "guava-llm", 2, sendTruncated(eventStream, event(0)+event(1)+"data: {\"ind"))
	got := h.post(modelPath, modelBody)
	require.Error(t, got.err, "connection ended as if the response were complete")
	require.True(t, strings.HasPrefix(got.body, event(0)+event(1)+"event: error\ndata: {"), got.body)
	require.Contains(t, got.body, `"run":"unknown"`)
	require.NotContains(t, got.body, "[DONE]")
	require.Equal(t, 1, agent.count(), "call was sent again after bytes were sent to the caller")
}

// TestDoneIsHeldUntilTheEndIsChecked guards against [DONE] on a stream whose End frame is missing.
func TestDoneIsHeldUntilTheEndIsChecked(t *testing.T) {
	h := newHarness(t, nil)
	h.startAgent("agent-1", "guava-llm", 2, func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Head(&wire.Head{Status: 200, ContentType: eventStream})
		_ = out.Data([]byte(event(0) + "data: [DO"))
		_ = out.Data([]byte("NE]\n\n"))
		panic(http.ErrAbortHandler)
	})
	got := h.post(modelPath, modelBody)
	require.Error(t, got.err)
	require.NotContains(t, got.body, "[DONE]")
}

// TestStreamArrivesUnchanged guards against bytes that the event buffer loses or reorders.
func TestStreamArrivesUnchanged(t *testing.T) {
	h := newHarness(t, nil)
	want := event(0) + ": comment\r\n\r\n" + event(1) + "data: [DONE]\n\n" + "trailing"
	h.startAgent("agent-1", "guava-llm", 2, func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Head(&wire.Head{Status: 200, ContentType: eventStream + "; charset=utf-8"})
		for i := range len(want) {
			_ = out.Data([]byte(want[i : i+1]))
		}
		_ = out.End(nil)
	})
	got := h.post(modelPath, modelBody)
	require.NoError(t, got.err)
	require.Equal(t, want, got.body)
}

// sendWrongRequestID sends a complete response whose frames carry the ID of another request.
func sendWrongRequestID(_ *frame.Writer, w http.ResponseWriter, r *http.Request) {
	sendComplete(frame.NewWriter(flushWriter{w}, "another-request"), w, r)
}

// TestBrokenResponseNeverReachesTheCaller guards against truncated, empty or mixed-up responses that look complete to the
// caller, and against a repeatable call that is not retried at another agent after one.
func TestBrokenResponseNeverReachesTheCaller(t *testing.T) {
	for name, respond := range map[string]script{
		"cut":     sendTruncated(jsonType, `{"ok":`),
		"crossed": sendWrongRequestID,
		"empty":   func(*frame.Writer, http.ResponseWriter, *http.Request) {},
		"unknown": sendRefusal(api.CodeUpstreamFailed, wire.Run_RUN_UNKNOWN),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			first := h.startAgent("agent-1", "franquicias", 2, respond)
			got := h.post(lookupPath, "")
			require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
			require.Equal(t, api.RunUnknown, got.refusal.Run, got.body)
			require.NoError(t, got.err)
			second := h.startAgent("agent-2", "franquicias", 2, sendComplete)
			for range 6 {
				got = h.post(lookupPath, "")
				require.Equal(t, completeBody, got.body)
			}
			require.Equal(t, 6, second.count())
			require.LessOrEqual(t, first.count(), 7)
		})
	}
}

// TestNonRepeatableCallIsSentOnce guards against a second sending of a call that is not repeatable, since the first agent
// may have run it.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	for name, respond := range map[string]script{
		"cut":     sendTruncated(jsonType, `{"ok":`),
		"crossed": sendWrongRequestID,
		"unknown": sendRefusal(api.CodeUpstreamFailed, wire.Run_RUN_UNKNOWN),
		"not run": sendRefusal(api.CodeLeaving, wire.Run_RUN_NOT_RUN),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			a := h.startAgent("agent-1", "pedidos", 2, respond)
			b := h.startAgent("agent-2", "pedidos", 2, respond)
			got := h.post(orderPath, "")
			require.GreaterOrEqual(t, got.status, http.StatusInternalServerError)
			require.Equal(t, 1, a.count()+b.count())
			if name == "not run" {
				require.Equal(t, api.RunNotRun, got.refusal.Run)
				return
			}
			require.Equal(t, api.RunUnknown, got.refusal.Run)
		})
	}
}

// TestLeavingAgentGetsNoFurtherRequest guards against requests to an agent after it has refused one as leaving.
func TestLeavingAgentGetsNoFurtherRequest(t *testing.T) {
	h := newHarness(t, nil)
	leaving := h.startAgent("agent-1", "guava-llm", 8, sendRefusal(api.CodeLeaving, wire.Run_RUN_NOT_RUN))
	h.startAgent("agent-2", "guava-llm", 8, sendComplete)
	for range 20 {
		require.Equal(t, http.StatusOK, h.post(modelPath, modelBody).status)
	}
	require.LessOrEqual(t, leaving.count(), 1)
}

// TestOutFailureDomainGetsNoRequest guards against requests to a failure domain that is out of service.
func TestOutFailureDomainGetsNoRequest(t *testing.T) {
	h := newHarness(t, nil)
	agent := h.startAgent("agent-1", "guava-llm", 8, sendComplete)
	require.Equal(t, http.StatusOK, h.post(modelPath, modelBody).status)
	h.setDocument("/failure-domains/centro-a", []byte(`{"region":"centro","state":"out"}`))
	got := h.post(modelPath, modelBody)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	require.Equal(t, 1, agent.count())
}

// TestSilentConnectionIsReplaced guards against a request that hangs on a connection that no longer responds, and against
// later requests on that connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	h := newHarness(t, func(c *Tuning) { c.ProgressTimeout = 100 * time.Millisecond })
	var silent atomic.Bool
	silent.Store(true)
	agent := h.startAgent("agent-1", "pedidos", 8, func(out *frame.Writer, w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		sendComplete(out, w, r)
	})
	got := h.post(orderPath, "")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Equal(t, api.RunUnknown, got.refusal.Run)
	silent.Store(false)
	require.Equal(t, http.StatusOK, h.post(orderPath, "").status)
	require.Len(t, agent.conns, 2, "silent connection was used again")
}

// TestKeepAliveExtendsTheProgressDeadline guards against a slow response that is ended although keep-alive frames arrive.
func TestKeepAliveExtendsTheProgressDeadline(t *testing.T) {
	h := newHarness(t, func(c *Tuning) { c.ProgressTimeout = 400 * time.Millisecond })
	h.startAgent("agent-1", "pedidos", 8, func(out *frame.Writer, w http.ResponseWriter, r *http.Request) {
		ticker := time.NewTicker(40 * time.Millisecond)
		defer ticker.Stop()
		for range 15 {
			<-ticker.C
			_ = out.KeepAlive()
		}
		sendComplete(out, w, r)
	})
	require.Equal(t, completeBody, h.post(orderPath, "").body)
}

// TestLargeResponseIsStreamed guards against a response larger than the buffer that is refused or held in memory.
func TestLargeResponseIsStreamed(t *testing.T) {
	h := newHarness(t, func(c *Tuning) { c.MaxBufferedBytes = 10 })
	var fail atomic.Bool
	h.startAgent("agent-1", "pedidos", 8, func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Head(&wire.Head{Status: 200, ContentType: jsonType})
		_ = out.Data([]byte(strings.Repeat("x", 100)))
		if fail.Load() {
			panic(http.ErrAbortHandler)
		}
		_ = out.Data([]byte("y"))
		_ = out.End(nil)
	})
	require.Equal(t, strings.Repeat("x", 100)+"y", h.post(orderPath, "").body)
	fail.Store(true)
	require.Error(t, h.post(orderPath, "").err)
}
