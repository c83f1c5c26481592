package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// LargeConfiguration returns a configuration with 24 teams; that of the fleet of 300 hosts has 1,500 routes.
func LargeConfiguration(version int64, routes int) *fleet.Configuration {
	c := &fleet.Configuration{Version: version, Upstreams: map[core.Upstream]fleet.UpstreamSpec{"llm": {Engine: &fleet.EngineSpec{Models: []core.Model{"m"}}}}}
	for i := range routes {
		c.Routes = append(c.Routes, fleet.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: fmt.Sprintf("svc-%04d.example", i%300), PathPrefix: fmt.Sprintf("/v%d/items", i/300),
			Kind: fleet.KindSafe, Attempts: 2, Objective: 300 * time.Millisecond, Priority: i % 3,
			Targets: []fleet.Target{{Upstream: core.Upstream(fmt.Sprintf("up-%02d", i%40)), Weight: 1}}, HomeRegions: []core.Region{"north"},
		})
	}
	for i := range 24 {
		c.Teams = append(c.Teams, fleet.Team{Name: core.Team(fmt.Sprintf("team-%02d", i)), Keys: []string{fmt.Sprintf("key-%d-%016x", version, i*7919)}})
	}
	return c
}

func BenchmarkConfiguration(b *testing.B) {
	record := feed.Record{Name: "main", Revision: 7, Value: LargeConfiguration(7, 1500)}
	body, _ := encodeRecord(record, false)
	var packed bytes.Buffer
	w, _ := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	_, _ = w.Write(body)
	_ = w.Close()
	b.Run("encode", func(b *testing.B) {
		b.ReportMetric(float64(len(body)), "bytes")
		for range b.N {
			_, _ = encodeRecord(record, false)
		}
	})
	b.Run("compress", func(b *testing.B) {
		b.ReportMetric(float64(packed.Len()), "bytes")
		for range b.N {
			var out bytes.Buffer
			w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
			_, _ = w.Write(body)
			_ = w.Close()
		}
	})
	b.Run("decode", func(b *testing.B) {
		parts, _, _ := (&payload{records: []*cachedRecord{{Record: record}}}).encode(wireHead{}, false, false)
		whole := bytes.Join(parts, nil)
		for range b.N {
			var wire wireBatch
			_ = json.Unmarshal(whole, &wire)
			wire.Records[0].decode(feed.KindConfiguration, false)
		}
	})
	b.Run("view", func(b *testing.B) {
		for range b.N {
			table := fleet.NewTable()
			table.SetConfiguration(record.Value.(*fleet.Configuration))
			table.View()
		}
	})
	for _, hosts := range []int{300, 1000} {
		b.Run(fmt.Sprintf("view-of-replicas-%d", hosts), func(b *testing.B) {
			table := fleet.NewTable()
			for i := range hosts {
				table.SetReplica(time.Now(), 1, &fleet.Replica{ID: fleet.ReplicaID(fmt.Sprintf("r-%04d", i))})
			}
			for range b.N {
				table.View()
			}
		})
	}
}
