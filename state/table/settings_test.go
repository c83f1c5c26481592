package table_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

func domain(name string, version uint64, body string) settings.Document {
	return settings.Document{Path: settings.FailureDomainPath(core.FailureDomain(name)), Version: version, Body: json.RawMessage(body)}
}

// TestBadDocumentBlocksNoOther guards against one bad document that keeps the others out of force or
// takes its own last good version out of force.
func TestBadDocumentBlocksNoOther(t *testing.T) {
	s := table.NewSettings()
	_, err := s.Merge([]settings.Document{domain("centro-a", 1, `{"region":"r","state":"out"}`)})
	require.NoError(t, err)
	taken, err := s.Merge([]settings.Document{
		domain("centro-a", 2, `{"region":7}`),
		domain("sur-a", 1, `{"region":"r","state":"out"}`),
		{Path: "/later/kind", Version: 1, Body: json.RawMessage(`{}`)},
	})
	require.Error(t, err)
	require.Len(t, taken, 3, "a document that this process cannot decode is not passed on")
	require.Len(t, s.Documents(), 3)
	require.Equal(t, uint64(2), s.Documents()[0].Version)
	require.False(t, s.Tree().InService("centro-a"), "the last good version is not in force")
	require.False(t, s.Tree().InService("sur-a"), "a good document beside a bad one is not in force")
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestViewTellsOfEachChange guards against a change that a follower of the settings never learns of.
func TestViewTellsOfEachChange(t *testing.T) {
	s := table.NewSettings()
	out := settings.Document{Path: settings.FailureDomainPath("sur-a"), Version: 1, Body: json.RawMessage(`{"state":"out"}`)}
	first := s.View()
	merge(t, s, out)
	require.True(t, isClosed(first.Changed))
	require.True(t, first.Tree.InService("sur-a"), "a view does not change")

	second := s.View()
	require.False(t, second.Tree.InService("sur-a"))
	merge(t, s, out)
	require.False(t, isClosed(second.Changed), "a document that is not newer is no change")

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
