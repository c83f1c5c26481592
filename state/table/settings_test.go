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
