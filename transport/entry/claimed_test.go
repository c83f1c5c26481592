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

// fakeClaims keeps one log in memory.
type fakeClaims struct {
	mu       sync.Mutex
	log      *claims.Log
	sequence uint64
	down     bool
	// failSettles is the number of settles that fail.
	failSettles int
	settled     chan struct{}
}

func newFakeClaims() *fakeClaims { return &fakeClaims{log: claims.NewLog(time.Hour)} }

func (f *fakeClaims) NewClaim(key claims.Key, fingerprint string, deadline time.Time) claims.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	nonce := claims.Nonce(time.Now().Format(time.RFC3339Nano) + string(rune('a'+f.sequence)))
	return claims.Record{Op: claims.OpClaim, Key: key, Nonce: nonce, Fingerprint: fingerprint, At: time.Now().UnixMilli(), Deadline: deadline.UnixMilli()}
}

func (f *fakeClaims) append(r claims.Record) error {
	if f.down {
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
	if f.failSettles > 0 {
		f.failSettles--
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

func (h *harness) order(key, body string) answer {
	return h.post(orderPath, body, api.HeaderIdempotencyKey, key)
}

// TestSameKeyGetsTheRecordedResult guards against a second run of an order and against a response to another request.
func TestSameKeyGetsTheRecordedResult(t *testing.T) {
	h, _ := newClaimHarness(t)
	agent := h.agent("agent-1", "pedidos", 4, whole)
	require.Equal(t, wholeAnswer, h.order("k1", "a").body)
	again := h.order("k1", "a")
	require.Equal(t, wholeAnswer, again.body)
	require.Equal(t, "true", again.header.Get(headerReplayed))
	require.Equal(t, jsonType, again.header.Get("Content-Type"))
	other := h.order("k1", "b")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, 1, agent.count())
}

// TestKeyOfAnUnknownOutcomeNeverRunsAgain guards against a second run after a response that was cut or unknown.
func TestKeyOfAnUnknownOutcomeNeverRunsAgain(t *testing.T) {
	for name, broken := range map[string]script{
		"cut":     cut(jsonType, "{"),
		"stream":  cut(eventStream, event(0)),
		"unknown": refuse(api.CodeUpstreamFailed, wire.Run_RUN_UNKNOWN),
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newClaimHarness(t)
			a := h.agent("agent-1", "pedidos", 4, broken)
			b := h.agent("agent-2", "pedidos", 4, broken)
			h.order("k1", "a")
			got := h.order("k1", "a")
			require.Equal(t, http.StatusConflict, got.status)
			require.Equal(t, api.CodeOutcomeUnknown, got.refusal.Code)
			require.Equal(t, api.RunUnknown, got.refusal.Run)
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// TestClaimOfACallThatDidNotRunIsReleased guards against a key that is lost by a refusal.
func TestClaimOfACallThatDidNotRunIsReleased(t *testing.T) {
	h, _ := newClaimHarness(t)
	leaving := h.agent("agent-1", "pedidos", 4, refuse(api.CodeLeaving, wire.Run_RUN_NOT_RUN))
	got := h.order("k1", "a")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	h.agent("agent-2", "pedidos", 4, whole)
	require.Equal(t, wholeAnswer, h.order("k1", "a").body)
	require.Equal(t, 1, leaving.count())
}

// TestClaimedCallGoesElsewhereAfterNotRun guards against an order that fails although another agent can take it.
func TestClaimedCallGoesElsewhereAfterNotRun(t *testing.T) {
	h, _ := newClaimHarness(t)
	h.agent("agent-1", "pedidos", 4, refuse(api.CodeLeaving, wire.Run_RUN_NOT_RUN))
	h.agent("agent-2", "pedidos", 4, whole)
	for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
		require.Equal(t, wholeAnswer, h.order(key, "a").body)
	}
}

// TestStoreDownRefusesBeforeTheCall guards against an order that is sent without a claim.
func TestStoreDownRefusesBeforeTheCall(t *testing.T) {
	h, fake := newClaimHarness(t)
	agent := h.agent("agent-1", "pedidos", 4, whole)
	fake.down = true
	got := h.order("k1", "a")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, api.CodeStoreUnavailable, got.refusal.Code)
	require.Equal(t, api.RunNotRun, got.refusal.Run)
	requireRetryAfter(t, got)
	require.Zero(t, agent.count())
}

// TestResultThatWasNotKeptIsNotReplayedEmpty guards against an empty body in place of a recorded result.
func TestResultThatWasNotKeptIsNotReplayedEmpty(t *testing.T) {
	h, _ := newClaimHarness(t)
	h.handler.tuning.MaxBufferedBytes = len(wholeAnswer) - 1
	agent := h.agent("agent-1", "pedidos", 4, whole)
	require.True(t, strings.HasPrefix(h.order("k1", "a").body, wholeAnswer))
	got := h.order("k1", "a")
	require.Equal(t, http.StatusConflict, got.status)
	require.Equal(t, api.RunDone, got.refusal.Run)
	require.Equal(t, 1, agent.count())
}

// TestResultIsRecordedAfterAStoreOutage guards against a key that stays unknown although the result is known.
func TestResultIsRecordedAfterAStoreOutage(t *testing.T) {
	h, fake := newClaimHarness(t)
	h.handler.tuning.SettleRetryInterval = time.Millisecond
	fake.failSettles, fake.settled = 3, make(chan struct{})
	h.agent("agent-1", "pedidos", 4, whole)
	require.Equal(t, wholeAnswer, h.order("k1", "a").body)
	<-fake.settled
	fake.mu.Lock()
	fake.settled = nil
	fake.mu.Unlock()
	require.Equal(t, "true", h.order("k1", "a").header.Get(headerReplayed))
}
