package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// fakeAPI is an object API that responds with a given status, on a simulated clock.
type fakeAPI struct {
	client     *ObjectClient
	status     int
	retryAfter string
	calls      int
	now        time.Time
}

func newFakeAPI(t *testing.T) *fakeAPI {
	a := &fakeAPI{status: http.StatusOK, now: time.Unix(1000, 0)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.calls++
		if a.retryAfter != "" {
			w.Header().Set("Retry-After", a.retryAfter)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(server.Close)
	a.client = NewObjectClient(server.URL, "ns")
	a.client.breaker.now = func() time.Time { return a.now }
	a.client.breaker.randInt64N = func(n int64) int64 { return n - 1 }
	return a
}

func (a *fakeAPI) get() error {
	_, err := a.client.Get(context.Background(), platform.KindSetting, "x")
	return err
}

// TestOutageHoldsCallsBack guards against processes that keep calling an object API that is down.
func TestOutageHoldsCallsBack(t *testing.T) {
	a := newFakeAPI(t)
	a.status = http.StatusServiceUnavailable
	const step, steps = 10 * time.Millisecond, 60000
	for range steps {
		require.Equal(t, protocol.CodeUnavailable, protocol.CodeOf(a.get()))
		a.now = a.now.Add(step)
	}
	// Calls every 10 ms for ten minutes. Once the delay has reached its maximum, one call is admitted at least every 20 s.
	require.Less(t, a.calls, 40)
	require.Greater(t, a.calls, 20)
	a.status = http.StatusOK
	a.now = a.now.Add(breakerMaxDelay)
	require.NoError(t, a.get())
	require.NoError(t, a.get())
}

// TestRetryAfterIsHonoured guards against calls before the time in the object API's Retry-After header has passed.
func TestRetryAfterIsHonoured(t *testing.T) {
	a := newFakeAPI(t)
	a.status, a.retryAfter = http.StatusTooManyRequests, "60"
	err := a.get()
	require.Equal(t, protocol.CodeRateLimited, protocol.CodeOf(err))
	require.Equal(t, time.Minute, protocol.RetryAfterOf(err))
	a.now = a.now.Add(59 * time.Second)
	require.Greater(t, protocol.RetryAfterOf(a.get()), time.Second)
	require.Equal(t, 1, a.calls)
}

// TestLostWriteIsReadBackAtOnce guards against a circuit breaker that opens after a write with an unknown outcome, which
// blocks the read that determines the outcome.
func TestLostWriteIsReadBackAtOnce(t *testing.T) {
	a := newFakeAPI(t)
	a.status = http.StatusBadGateway
	_, err := a.client.Create(context.Background(), platform.Object{Kind: platform.KindSetting, Name: "x"})
	require.Equal(t, protocol.CodeOutcomeUnknown, protocol.CodeOf(err))
	a.status = http.StatusOK
	require.NoError(t, a.get())
}

// TestCancelledCallHoldsNothingBack guards against a canceled call that opens the circuit breaker for other callers.
func TestCancelledCallHoldsNothingBack(t *testing.T) {
	a := newFakeAPI(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := a.client.List(ctx, platform.KindSetting, "")
	require.Error(t, err)
	require.NoError(t, a.get())
}
