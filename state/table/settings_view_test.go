package table_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestViewSignalsEachChange guards against a change of the settings that a goroutine waiting on a view misses.
func TestViewSignalsEachChange(t *testing.T) {
	s := table.NewSettings()
	outOfService := settings.Document{Path: settings.FailureDomainPath("sur-a"), Version: 1, Body: json.RawMessage(`{"state":"out"}`)}
	first := s.View()
	merge(t, s, outOfService)
	require.True(t, isClosed(first.Changed))
	require.True(t, first.Tree.InService("sur-a"), "a view does not change")

	second := s.View()
	require.False(t, second.Tree.InService("sur-a"))
	merge(t, s, outOfService)
	require.False(t, isClosed(second.Changed), "a document that is not newer must not signal a change")

	s.MarkLoaded()
	require.True(t, isClosed(second.Changed))
	third := s.View()
	require.True(t, third.Loaded)
	s.MarkLoaded()
	require.False(t, isClosed(third.Changed))
}

func merge(t *testing.T, s *table.Settings, doc settings.Document) {
	t.Helper()
	_, err := s.Merge([]settings.Document{doc})
	require.NoError(t, err)
}
