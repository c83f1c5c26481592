package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

// deleteHookStore calls a function before each delete.
type deleteHookStore struct {
	*fakeStore
	beforeDelete func()
}

func (s deleteHookStore) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	s.beforeDelete()
	return s.fakeStore.Delete(ctx, kind, name, version)
}

// TestClaimsGoOnDuringCleanUp guards against a clean-up that holds the writer's lock while it deletes the segments of a
// day, so that claims of a busy shard time out.
func TestClaimsGoOnDuringCleanUp(t *testing.T) {
	f := newShardFixture(1)
	const oldSegments = 5
	for i := range oldSegments {
		require.Equal(t, claims.Granted, f.submit(0, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
	}
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.Equal(t, claims.Granted, f.submit(0, f.newClaim("order-1", "a")).outcome)
	deletes := 0
	f.shards[0].writer.store = deleteHookStore{fakeStore: f.store, beforeDelete: func() {
		deletes++
		require.True(t, f.shards[0].writerMu.TryLock(), "clean-up blocks appends")
		f.shards[0].writerMu.Unlock()
		f.now = f.now.Add(time.Second)
		require.Equal(t, claims.Granted, f.submit(0, f.newClaim(fmt.Sprint("new", deletes), "a")).outcome)
	}}
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Equal(t, oldSegments, deletes)
	require.Equal(t, claims.InProgress, f.submit(0, f.newClaim("new1", "a")).outcome, "claim made during the clean-up was lost")
	require.Len(t, f.store.objects, 1+oldSegments)
}
