package objectapi_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/standin/objectapi"
	"github.com/guavatrestle/guavatrestle/protocol"
	protocolplatform "github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/transport/platform"
)

func start(t *testing.T) (*objectapi.Server, *platform.ObjectClient) {
	t.Helper()
	s := objectapi.New()
	web := httptest.NewServer(s.Handler())
	t.Cleanup(web.Close)
	t.Cleanup(s.Close)
	return s, platform.NewObjectClient(web.URL, "test")
}

func object(name, spec string) protocolplatform.Object {
	return protocolplatform.Object{Kind: protocolplatform.KindSetting, Name: name, Spec: []byte(spec)}
}

// TestLostAnswerTakesEffect guards against a stand-in that drops the write together with its answer.
func TestLostAnswerTakesEffect(t *testing.T) {
	s, client := start(t)
	s.DropResponses(1)
	_, err := client.Create(t.Context(), object("a", `1`))
	require.Equal(t, protocol.CodeOutcomeUnknown, protocol.CodeOf(err))
	held, err := client.Get(t.Context(), protocolplatform.KindSetting, "a")
	require.NoError(t, err)
	require.JSONEq(t, `1`, string(held.Spec))
}

// TestStaleUpdateConflicts guards against a stand-in that lets a lost update through.
func TestStaleUpdateConflicts(t *testing.T) {
	_, client := start(t)
	first, err := client.Create(t.Context(), object("a", `1`))
	require.NoError(t, err)
	_, err = client.Update(t.Context(), first)
	require.NoError(t, err)
	_, err = client.Update(t.Context(), first)
	require.Equal(t, protocol.CodeConflict, protocol.CodeOf(err))
	err = client.Delete(t.Context(), first.Kind, first.Name, first.Version)
	require.Equal(t, protocol.CodeConflict, protocol.CodeOf(err))
}

// TestRateLimitCountsRefusedCalls guards against calls that the rate limit or the counters miss.
func TestRateLimitCountsRefusedCalls(t *testing.T) {
	s, client := start(t)
	s.SetRates(1, 1)
	_, err := client.Get(t.Context(), protocolplatform.KindSetting, "a")
	require.Equal(t, protocol.CodeNotFound, protocol.CodeOf(err))
	_, err = client.Get(t.Context(), protocolplatform.KindSetting, "a")
	require.Equal(t, protocol.CodeRateLimited, protocol.CodeOf(err))
	require.Equal(t, 2, s.Counts().Calls[objectapi.CallGet])
	require.Equal(t, 1, s.Counts().RateLimited)
}

// TestOutageEndsWatches guards against a watch that survives an outage.
func TestOutageEndsWatches(t *testing.T) {
	s, client := start(t)
	events, err := client.Watch(t.Context(), protocolplatform.KindSetting, "0")
	require.NoError(t, err)
	s.SetOutage(true)
	_, open := <-events
	require.False(t, open)
	_, err = client.Get(t.Context(), protocolplatform.KindSetting, "a")
	require.Equal(t, protocol.CodeUnavailable, protocol.CodeOf(err))
}

// TestMissedEventStaysMissed guards against a stand-in that delivers the events that it should lose.
func TestMissedEventStaysMissed(t *testing.T) {
	s, client := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, err := client.Watch(ctx, protocolplatform.KindSetting, "0")
	require.NoError(t, err)
	s.DropEvents(1)
	_, err = client.Create(ctx, object("a", `1`))
	require.NoError(t, err)
	_, err = client.Create(ctx, object("b", `2`))
	require.NoError(t, err)
	event := <-events
	require.Equal(t, "b", event.Object.Name)
}

// TestTrimmedHistoryIsGone guards against a watch from a version whose events are lost.
func TestTrimmedHistoryIsGone(t *testing.T) {
	s, client := start(t)
	s.SetHistoryLimit(1)
	for _, name := range []string{"a", "b", "c"} {
		_, err := client.Create(t.Context(), object(name, `1`))
		require.NoError(t, err)
	}
	_, err := client.Watch(t.Context(), protocolplatform.KindSetting, "1")
	require.Equal(t, protocol.CodeExpired, protocol.CodeOf(err))
}
