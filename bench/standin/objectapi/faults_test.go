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

// TestWriteWithLostResponseTakesEffect guards against a stand-in that drops a write together with its response, so that
// experiments never meet a write whose outcome is unknown to the client.
func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	s, client := start(t)
	s.DropResponses(1)
	_, err := client.Create(t.Context(), object("a", `1`))
	require.Equal(t, protocol.CodeOutcomeUnknown, protocol.CodeOf(err))
	stored, err := client.Get(t.Context(), protocolplatform.KindSetting, "a")
	require.NoError(t, err)
	require.JSONEq(t, `1`, string(stored.Spec))
}

// TestStaleUpdateConflicts guards against a stand-in that accepts a write based on an old version, which would
// hide lost updates.
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

// TestRateLimitCountsRefusedCalls guards against calls that bypass the rate limit or the counters.
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

// TestOutageEndsWatches guards against a watch that stays open during an outage.
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

// TestDroppedEventIsNotDelivered guards against a stand-in that delivers an event that it should drop, so that
// experiments never meet a watch with a missing event.
func TestDroppedEventIsNotDelivered(t *testing.T) {
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

// TestWatchFromTrimmedVersionIsRefused guards against a stand-in that accepts a watch from a version whose later events
// are no longer in the history, so that the watch silently misses them.
func TestWatchFromTrimmedVersionIsRefused(t *testing.T) {
	s, client := start(t)
	s.SetHistoryLimit(1)
	for _, name := range []string{"a", "b", "c"} {
		_, err := client.Create(t.Context(), object(name, `1`))
		require.NoError(t, err)
	}
	_, err := client.Watch(t.Context(), protocolplatform.KindSetting, "1")
	require.Equal(t, protocol.CodeExpired, protocol.CodeOf(err))
}
