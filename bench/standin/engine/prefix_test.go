package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPrefixCacheDropsThePrefixUnusedForLongest guards against hit rates of a cache that has no bound or drops what is in
// use.
func TestPrefixCacheDropsThePrefixUnusedForLongest(t *testing.T) {
	s := &Server{cfg: Config{CachedPrefixes: 2}}
	var hits []bool
	for _, prefix := range []string{"a", "b", "a", "c", "a", "b"} {
		hits = append(hits, s.cached(prefix))
	}
	require.Equal(t, []bool{false, false, true, false, true, false}, hits)
	require.Equal(t, 2, s.counts.PrefixHits)
	require.Equal(t, 4, s.counts.PrefixMisses)
}
