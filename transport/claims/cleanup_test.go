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

// hookedStore calls a function before each delete.
type hookedStore struct {
	*fakeStore
	beforeDelete func()
}

func (s hookedStore) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	s.beforeDelete()
	return s.fakeStore.Delete(ctx, kind, name, version)
}

// TestClaimsGoOnDuringCleanUp guards against requests that are refused while a busy shard deletes the segments of a day.
func TestClaimsGoOnDuringCleanUp(t *testing.T) {
	f := newFleet(1)
	const old = 5
	for i := range old {
		require.Equal(t, claims.Granted, f.do(0, f.newClaim(fmt.Sprint("old", i), "a")).outcome)
	}
	f.now = f.now.Add(claims.DefaultTTL + 2*claims.DeleteSlack)
	require.Equal(t, claims.Granted, f.do(0, f.newClaim("order-1", "a")).outcome)
	deletes := 0
	f.shards[0].writer.store = hookedStore{fakeStore: f.store, beforeDelete: func() {
		deletes++
		require.True(t, f.shards[0].work.TryLock(), "clean-up keeps records from being appended")
		f.shards[0].work.Unlock()
		f.now = f.now.Add(time.Second)
		require.Equal(t, claims.Granted, f.do(0, f.newClaim(fmt.Sprint("new", deletes), "a")).outcome)
	}}
	require.NoError(t, f.shards[0].cleanUp(context.Background()))
	require.Equal(t, old, deletes)
	require.Equal(t, claims.InProgress, f.do(0, f.newClaim("new1", "a")).outcome, "claim made during the clean-up is lost")
	require.Len(t, f.store.objects, 1+old)
}
