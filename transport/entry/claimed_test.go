package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

// fakeClaims implements Claims on one log in memory.
type fakeClaims struct {
	mu          sync.Mutex
	log         *claims.Log
	sequence    uint64
	unavailable bool
	// settleFailures is the number of Settle calls that still fail.
	settleFailures int
	settled        chan struct{}
}

func newFakeClaims() *fakeClaims { return &fakeClaims{log: claims.NewLog(time.Hour)} }

func (f *fakeClaims) NewClaim(key claims.Key, fingerprint string, deadline time.Time) claims.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	nonce := claims.Nonce(time.Now().Format(time.RFC3339Nano) + string(rune('a'+f.sequence)))
	return claims.Record{Op: claims.OpClaim, Key: key, Nonce: nonce, Fingerprint: fingerprint, At: time.Now().UnixMilli(), Deadline: deadline.UnixMilli()}
}

func (f *fakeClaims) append(r claims.Record) error {
	if f.unavailable {
		return protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	_, previous := f.log.Next()
	f.sequence++
	return f.log.Apply(claims.Segment{Sequence: f.sequence - 1, Nonce: claims.Nonce(string(rune(f.sequence))), Previous: previous, Records: []claims.Record{r}})
}

func (f *fakeClaims) Claim(_ context.Context, claim claims.Record) (claims.Outcome, claims.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.append(claim); err != nil {
		return "", claims.Result{}, err
	}
	outcome, result := f.log.Lookup(claim, time.Now())
	return outcome, result, nil
}

func (f *fakeClaims) Settle(_ context.Context, claim claims.Record, op claims.Op, result *claims.Result) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settleFailures > 0 {
		f.settleFailures--
		return protocol.Errorf(protocol.CodeUnavailable, "store is down")
	}
	if f.settled != nil {
		defer close(f.settled)
	}
	if result != nil {
		bounded := result.Bounded()
		result = &bounded
	}
	return f.append(claims.Record{Op: op, Key: claim.Key, Nonce: claim.Nonce, At: time.Now().UnixMilli(), Result: result})
}

func newClaimHarness(t *testing.T) (*harness, *fakeClaims) {
	h, fake := newHarness(t, nil), newFakeClaims()
	h.handler.claims = fake
	return h, fake
}

func (h *harness) postOrder(key, body string) callerResult {
	return h.post(orderPath, body, api.HeaderIdempotencyKey, key)
}

// TestSameKeyGetsTheRecordedResult guards against a second run of a call with the same idempotency key, and against a
// replay of its result for a request with different content.
func TestSameKeyGetsTheRecordedResult(t *testing.T) {
	h, _ := newClaimHarness(t)
	agent := h.startAgent("agent-1", "pedidos", 4, sendComplete)
	require.Equal(t, completeBody, h.postOrder("k1", "a").body)
	again := h.postOrder("k1", "a")
	require.Equal(t, completeBody, again.body)
	require.Equal(t, "true", again.header.Get(headerReplayed))
	require.Equal(t, jsonType, again.header.Get("Content-Type"))
	other := h.postOrder("k1", "b")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, 1, agent.count())
}

// TestKeyOfAnUnknownOutcomeNeverRunsAgain guards against a second run of a call whose response was truncated or whose
// outcome was unknown.
func TestKeyOfAnUnknownOutcomeNeverRunsAgain(t *testing.T) {
	for name, respond := range map[string]script{
		"cut":     sendTruncated(jsonType, "{"),
		"stream":  sendTruncated(eventStream, event(0)),
		"unknown": sendRefusal(api.CodeUpstreamFailed, wire.Run_RUN_UNKNOWN),
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newClaimHarness(t)
			a := h.startAgent("agent-1", "pedidos", 4, respond)
			b := h.startAgent("agent-2", "pedidos", 4, respond)
			h.postOrder("k1", "a")
			got := h.postOrder("k1", "a")
			require.Equal(t, http.StatusConflict, got.status)
			require.Equal(t, api.CodeOutcomeUnknown, got.refusal.Code)
			require.Equal(t, api.RunUnknown, got.refusal.Run)
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// TestClaimOfACallThatDidNotRunIsReleased guards against a key that can't be used again after a refusal as not run.
func TestClaimOfACallThatDidNotRunIsReleased(t *testing.T) {
	h, _ := newClaimHarness(t)
	leaving := h.startAgent("agent-1", "pedidos", 4, sendRefusal(api.CodeLeaving, wire.Run_RUN_NOT_RUN))
	got := h.postOrder("k1", "a")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	h.startAgent("agent-2", "pedidos", 4, sendComplete)
	require.Equal(t, completeBody, h.postOrder("k1", "a").body)
	require.Equal(t, 1, leaving.count())
}

// TestClaimedCallGoesElsewhereAfterNotRun guards against a claimed call that fails after a refusal as not run, although
// another agent can serve it.
func TestClaimedCallGoesElsewhereAfterNotRun(t *testing.T) {
	h, _ := newClaimHarness(t)
	h.startAgent("agent-1", "pedidos", 4, sendRefusal(api.CodeLeaving, wire.Run_RUN_NOT_RUN))
	h.startAgent("agent-2", "pedidos", 4, sendComplete)
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		require.Equal(t, completeBody, h.postOrder(key, "a").body)
	}
}

// TestStoreDownRefusesBeforeTheCall guards against a call that is sent without a claim while the store is unavailable.
func TestStoreDownRefusesBeforeTheCall(t *testing.T) {
	h, fake := newClaimHarness(t)
	agent := h.startAgent("agent-1", "pedidos", 4, sendComplete)
	fake.unavailable = true
	got := h.postOrder("k1", "a")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.CodeStoreUnavailable, got.refusal.Code)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	requireRetryAfter(t, got)
	require.Zero(t, agent.count())
}

// TestUnrecordedBodyIsNotReplayedAsEmpty guards against a replay with an empty body when the response was too large
// to be recorded.
func TestUnrecordedBodyIsNotReplayedAsEmpty(t *testing.T) {
	h, _ := newClaimHarness(t)
	h.handler.tuning.MaxBufferedBytes = len(completeBody) - 1
	agent := h.startAgent("agent-1", "pedidos", 4, sendComplete)
	require.True(t, strings.HasPrefix(h.postOrder("k1", "a").body, completeBody))
	got := h.postOrder("k1", "a")
	require.Equal(t, http.StatusConflict, got.status)
	require.Equal(t, api.RunDone, got.refusal.Run)
	require.Equal(t, 1, agent.count())
}

// TestResultIsRecordedAfterAStoreOutage guards against a result that is never recorded because the first attempts to
// record it failed, so that the outcome of its key stays unknown although the result is known.
func TestResultIsRecordedAfterAStoreOutage(t *testing.T) {
	h, fake := newClaimHarness(t)
	h.handler.tuning.SettleRetryInterval = time.Millisecond
	fake.settleFailures, fake.settled = 3, make(chan struct{})
	h.startAgent("agent-1", "pedidos", 4, sendComplete)
	require.Equal(t, completeBody, h.postOrder("k1", "a").body)
	<-fake.settled
	fake.mu.Lock()
	fake.settled = nil
	fake.mu.Unlock()
	require.Equal(t, "true", h.postOrder("k1", "a").header.Get(headerReplayed))
}
