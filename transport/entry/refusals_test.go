package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestRefusalsBeforeTheCallSayNotRun guards against refusals with a wrong status, code or run state, or without a request
// ID.
func TestRefusalsBeforeTheCallSayNotRun(t *testing.T) {
	h := newHarness(t, nil)
	for name, c := range map[string]struct {
		path, body string
		header     []string
		status     int
		code       string
	}{
		"unknown token":   {modelPath, modelBody, []string{"Authorization", "Bearer other"}, http.StatusUnauthorized, api.CodeUnauthorized},
		"unknown model":   {modelPath, `{"model":"other"}`, nil, http.StatusNotFound, api.CodeUnknownModel},
		"unknown service": {"/services/other/x", "", nil, http.StatusNotFound, api.CodeUnknownUpstream},
		"oversize body":   {modelPath, strings.Repeat("x", maxBody+1), nil, http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge},
		"bad JSON":        {modelPath, `{"model":`, nil, http.StatusBadRequest, api.CodeBadRequest},
		"bad timeout":     {modelPath, modelBody, []string{headerTimeout, "soon"}, http.StatusBadRequest, api.CodeBadRequest},
		"NaN timeout":     {modelPath, modelBody, []string{headerTimeout, "NaN"}, http.StatusBadRequest, api.CodeBadRequest},
		"long key":        {orderPath, "", []string{api.HeaderIdempotencyKey, strings.Repeat("k", maxKeyBytes+1)}, http.StatusBadRequest, api.CodeBadRequest},
		"no agent":        {modelPath, modelBody, nil, http.StatusServiceUnavailable, api.CodeNoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			got := h.post(c.path, c.body, c.header...)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.code, got.refusal.Code)
			require.Equal(t, api.RunNotRun, got.refusal.Run)
			require.NotEmpty(t, got.refusal.RequestID)
			require.Equal(t, got.refusal.RequestID, got.header.Get(headerRequestID))
			if c.status == http.StatusServiceUnavailable {
				requireRetryAfter(t, got)
			}
		})
	}
}

// TestUnknownPathHasARequestID guards against responses to unknown paths that have no request ID, without which they
// cannot be found in the logs.
func TestUnknownPathHasARequestID(t *testing.T) {
	h := newHarness(t, nil)
	got := h.post("/v2/unknown", "")
	require.Equal(t, http.StatusNotFound, got.status)
	require.NotEmpty(t, got.header.Get(headerRequestID))
}

// BenchmarkCompletion measures a small completion through the entry over loopback.
func BenchmarkCompletion(b *testing.B) {
	h := newHarness(b, nil)
	h.setTeam(settings.TeamLimits{RequestsPerSecond: 1e9, Burst: 1e9, QueueLength: 100})
	for _, id := range []string{"agent-1", "agent-2", "agent-3"} {
		h.startAgent(id, "guava-llm", 1000, sendComplete)
	}
	for b.Loop() {
		if got := h.post(modelPath, modelBody); got.status != http.StatusOK {
			b.Fatal(got.body)
		}
	}
}

func requireRetryAfter(t *testing.T, got callerResult) {
	t.Helper()
	seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
	require.NoError(t, err, "refusal has no valid Retry-After header")
	require.Positive(t, seconds)
}

// TestTeamOverItsRateGets429 guards against a team that exceeds its request rate.
func TestTeamOverItsRateGets429(t *testing.T) {
	h := newHarness(t, nil)
	h.startAgent("agent-1", "guava-llm", 4, sendComplete)
	h.setTeam(settings.TeamLimits{RequestsPerSecond: 0.001, Burst: 1, QueueLength: 1})
	require.Equal(t, http.StatusOK, h.post(modelPath, modelBody).status)
	got := h.post(modelPath, modelBody)
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, api.CodeTeamLimit, got.refusal.Code)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	requireRetryAfter(t, got)
}

// blockUntil returns a script that responds once release is closed, and a channel that receives a value for each call.
func blockUntil(release <-chan struct{}) (script, <-chan struct{}) {
	arrived := make(chan struct{}, 16)
	return func(out *frame.Writer, w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		select {
		case <-release:
			sendComplete(out, w, r)
		case <-r.Context().Done():
		}
	}, arrived
}

// TestFullUpstreamRefusesWithNotRun guards against a request that stays queued beyond the queue wait, and against a team
// with more queued requests than its limit.
func TestFullUpstreamRefusesWithNotRun(t *testing.T) {
	h := newHarness(t, func(c *Tuning) { c.MaxQueueWait = 100 * time.Millisecond })
	release := make(chan struct{})
	respond, arrived := blockUntil(release)
	h.startAgent("agent-1", "guava-llm", 1, respond)
	first := make(chan int, 1)
	go func() { first <- h.post(modelPath, modelBody).status }()
	<-arrived
	got := h.post(modelPath, modelBody)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	requireRetryAfter(t, got)
	h.setTeam(settings.TeamLimits{RequestsPerSecond: 100, Burst: 100, QueueLength: 0})
	got = h.post(modelPath, modelBody)
	require.Equal(t, http.StatusTooManyRequests, got.status)
	requireRetryAfter(t, got)
	close(release)
	require.Equal(t, http.StatusOK, <-first)
}

// TestQueuedRequestRunsWhenASlotReturns guards against a queued request that is not woken when a slot becomes free.
func TestQueuedRequestRunsWhenASlotReturns(t *testing.T) {
	h := newHarness(t, func(c *Tuning) { c.MaxQueueWait = 10 * time.Second })
	release := make(chan struct{})
	respond, arrived := blockUntil(release)
	h.startAgent("agent-1", "guava-llm", 1, respond)
	results := make(chan int, 2)
	for range 2 {
		go func() { results <- h.post(modelPath, modelBody).status }()
	}
	<-arrived
	require.Eventually(t, func() bool { return h.queued("guava-llm") == 1 }, 5*time.Second, time.Millisecond)
	close(release)
	require.Equal(t, http.StatusOK, <-results)
	require.Equal(t, http.StatusOK, <-results)
}

func (h *harness) queued(upstream string) int {
	d := h.handler.dispatch
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, queue := range d.queues {
		if string(name) == upstream {
			return queue.fair.Len()
		}
	}
	return 0
}

// TestDeadlineGives504 guards against a call that continues past the caller's time limit.
func TestDeadlineGives504(t *testing.T) {
	h := newHarness(t, nil)
	respond, _ := blockUntil(nil)
	h.startAgent("agent-1", "guava-llm", 1, respond)
	got := h.post(modelPath, modelBody, headerTimeout, "0.2")
	require.Equal(t, http.StatusGatewayTimeout, got.status, got.body)
	require.Equal(t, api.CodeDeadlineExceeded, got.refusal.Code)
	require.Equal(t, api.RunUnknown, got.refusal.Run)
}

// TestCallerDisconnectCancelsTheCall guards against a call that continues or is sent again after the caller disconnected.
func TestCallerDisconnectCancelsTheCall(t *testing.T) {
	h := newHarness(t, nil)
	arrived, canceled := make(chan struct{}), make(chan struct{})
	agent := h.startAgent("agent-1", "guava-llm", 1, func(_ *frame.Writer, _ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan callerResult, 1)
	go func() { done <- h.postContext(ctx, modelPath, modelBody) }()
	<-arrived
	cancel()
	<-canceled
	require.Error(t, (<-done).err)
	require.Equal(t, 1, agent.count(), "canceled call was sent again")
}

// TestCallCarriesEntryHostID guards against a call without the entry's host ID: the agent then adds no grant to the last
// frame, and a cold agent stays idle until the next heartbeat.
func TestCallCarriesEntryHostID(t *testing.T) {
	h := newHarness(t, nil)
	agent := h.startAgent("agent-1", "guava-llm", 1, sendComplete)
	require.Equal(t, http.StatusOK, h.post(modelPath, modelBody).status)
	require.Equal(t, "entry-1", agent.calls[0].Header.Get(api.HeaderEntry))
}
