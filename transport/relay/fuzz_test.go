package relay

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

// FuzzRecords guards against the answer of a relay that ends the process or passes on a record that was not decoded.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"revision":5,"era":1,"held_ms":3,"age_ms":7,"records":[{"name":"r1","revision":4,"value":{"ID":"r1","Slots":4}}]}`))
	f.Add([]byte(`{"records":[{"name":"r1","value":null},{"name":"r2","value":7},{"name":"r3","invalid":"x","value":{}},{"removed":true}]}`))
	f.Add([]byte(`{"held_ms":9223372036854775807,"age_ms":-9223372036854775808,"revision":-1,"records":null}`))
	kinds := []feed.Kind{feed.KindConfiguration, feed.KindReplicas, feed.KindEvacuations, feed.KindWeightTargets, "unknown"}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch wireBatch
		if json.Unmarshal(data, &batch) != nil {
			return
		}
		_ = batch.completeAfter()
		for _, record := range batch.Records {
			for _, kind := range kinds {
				decoded := record.decode(kind, false)
				require.Equal(t, record.Name, decoded.Name)
				require.False(t, kind == "unknown" && decoded.Value != nil)
				if decoded.Err != nil && record.Invalid == "" {
					require.Nil(t, decoded.Value, "a record that was not decoded has a value")
				}
			}
		}
	})
}
