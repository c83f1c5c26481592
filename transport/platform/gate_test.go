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

// api is an object API that fails with a status, at a fixed time.
type api struct {
	client *ObjectClient
	status int
	after  string
	calls  int
	now    time.Time
}

func newAPI(t *testing.T) *api {
	a := &api{status: http.StatusOK, now: time.Unix(1000, 0)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a.calls++
		if a.after != "" {
			w.Header().Set("Retry-After", a.after)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(server.Close)
	a.client = NewObjectClient(server.URL, "ns")
	a.client.gate.now = func() time.Time { return a.now }
	a.client.gate.random = func(n int64) int64 { return n - 1 }
	return a
}

func (a *api) get() error {
	_, err := a.client.Get(context.Background(), platform.KindSetting, "x")
	return err
}

// TestOutageHoldsCallsBack guards against a fleet that keeps calling an object API that is down.
func TestOutageHoldsCallsBack(t *testing.T) {
	a := newAPI(t)
	a.status = http.StatusServiceUnavailable
	const step, steps = 10 * time.Millisecond, 60000
	for range steps {
		require.Equal(t, protocol.CodeUnavailable, protocol.CodeOf(a.get()))
		a.now = a.now.Add(step)
	}
	// Ten minutes of calls every 10 ms; at the cap one call passes in at most 20 s.
	require.Less(t, a.calls, 40)
	require.Greater(t, a.calls, 20)
	a.status = http.StatusOK
	a.now = a.now.Add(gateCap)
	require.NoError(t, a.get())
	require.NoError(t, a.get())
}

// TestRetryAfterIsHonoured guards against calls before the time that the object API gave.
func TestRetryAfterIsHonoured(t *testing.T) {
	a := newAPI(t)
	a.status, a.after = http.StatusTooManyRequests, "60"
	err := a.get()
	require.Equal(t, protocol.CodeRateLimited, protocol.CodeOf(err))
	require.Equal(t, time.Minute, protocol.RetryAfterOf(err))
	a.now = a.now.Add(59 * time.Second)
	require.Greater(t, protocol.RetryAfterOf(a.get()), time.Second)
	require.Equal(t, 1, a.calls)
}

// TestLostWriteIsReadBackAtOnce guards against a gate that keeps a write from being settled.
func TestLostWriteIsReadBackAtOnce(t *testing.T) {
	a := newAPI(t)
	a.status = http.StatusBadGateway
	_, err := a.client.Create(context.Background(), platform.Object{Kind: platform.KindSetting, Name: "x"})
	require.Equal(t, protocol.CodeOutcomeUnknown, protocol.CodeOf(err))
	a.status = http.StatusOK
	require.NoError(t, a.get())
}

// TestCancelledCallHoldsNothingBack guards against a caller that gives up and so blocks the others.
func TestCancelledCallHoldsNothingBack(t *testing.T) {
	a := newAPI(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := a.client.List(ctx, platform.KindSetting, "")
	require.Error(t, err)
	require.NoError(t, a.get())
}
