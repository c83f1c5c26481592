package origin_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/standin/origin"
	"github.com/guavatrestle/guavatrestle/protocol"
	protocolplatform "github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/transport/platform"
)

// TestFaultsReachTheClient guards against an origin fault that is injected but never reaches the client, so that an
// experiment passes without the fault that it tests.
func TestFaultsReachTheClient(t *testing.T) {
	s := origin.New()
	web := httptest.NewServer(s.Handler())
	defer web.Close()
	client := platform.NewWeightClient(web.URL)
	body := []byte("0123456789")
	_, err := s.Add("guava", "v1", body, 4)
	require.NoError(t, err)
	manifest, err := client.Manifest(t.Context(), "guava", "v1")
	require.NoError(t, err)
	firstChunk := protocolplatform.RangeRequest{Model: "guava", Version: "v1", ETag: manifest.ETag, Start: 0, End: 4}

	got, err := client.Range(t.Context(), firstChunk)
	require.NoError(t, err)
	require.Equal(t, body[:4], got)
	require.EqualValues(t, 4, s.BytesSent())

	s.CorruptNext(1)
	got, err = client.Range(t.Context(), firstChunk)
	require.NoError(t, err)
	require.NotEqual(t, body[:4], got)

	s.RefuseNext(1)
	_, err = client.Range(t.Context(), firstChunk)
	require.Equal(t, protocol.CodeRateLimited, protocol.CodeOf(err))

	_, err = s.Add("guava", "v1", []byte("abcdefghij"), 4)
	require.NoError(t, err)
	_, err = client.Range(t.Context(), firstChunk)
	require.Equal(t, protocol.CodeChanged, protocol.CodeOf(err))

	s.SetOutage(true)
	_, err = client.Range(t.Context(), firstChunk)
	require.Equal(t, protocol.CodeUnavailable, protocol.CodeOf(err))
}
