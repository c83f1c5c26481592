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

// TestBadDocumentBlocksNoOther guards against a document that can't be decoded and prevents other documents, or the last
// decodable version of its own path, from being in force.
func TestBadDocumentBlocksNoOther(t *testing.T) {
	s := table.NewSettings()
	_, err := s.Merge([]settings.Document{domain("centro-a", 1, `{"region":"r","state":"out"}`)})
	require.NoError(t, err)
	stored, err := s.Merge([]settings.Document{
		domain("centro-a", 2, `{"region":7}`),
		domain("sur-a", 1, `{"region":"r","state":"out"}`),
		{Path: "/later/kind", Version: 1, Body: json.RawMessage(`{}`)},
	})
	require.Error(t, err)
	require.Len(t, stored, 3, "a document that this process cannot decode is not sent to peers")
	require.Len(t, s.Documents(), 3)
	require.Equal(t, uint64(2), s.Documents()[0].Version)
	require.False(t, s.Tree().InService("centro-a"), "the last decodable version is not in force")
	require.False(t, s.Tree().InService("sur-a"), "a valid document merged together with an invalid one is not in force")
}
