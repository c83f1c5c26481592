package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPrefixCacheEvictsLeastRecentlyUsedPrefix guards against wrong hit rates from a cache that exceeds its bound or
// evicts an entry other than the least recently used one.
func TestPrefixCacheEvictsLeastRecentlyUsedPrefix(t *testing.T) {
	s := &Server{cfg: Config{CachedPrefixes: 2}}
	var hits []bool
	for _, prefix := range []string{"a", "b", "a", "c", "a", "b"} {
		hits = append(hits, s.touchPrefix(prefix))
	}
	require.Equal(t, []bool{false, false, true, false, true, false}, hits)
	require.Equal(t, 2, s.counts.PrefixHits)
	require.Equal(t, 4, s.counts.PrefixMisses)
}
