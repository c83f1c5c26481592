package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// BenchmarkHostList measures the decoding of the host list as a watcher does it, and its size per host as JSON and
// compressed.
func BenchmarkHostList(b *testing.B) {
	for _, size := range []int{100, 2500, 9200} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			list := hostList(b, size)
			for b.Loop() {
				var hosts []core.Host
				require.NoError(b, json.Unmarshal(list, &hosts))
			}
			b.ReportMetric(float64(len(list))/float64(size), "B/host")
			b.ReportMetric(float64(len(compress(b, list)))/float64(size), "gzip-B/host")
		})
	}
}

func hostList(b *testing.B, size int) []byte {
	hosts := make([]core.Host, size)
	for i := range hosts {
		hosts[i] = core.Host{
			ID: core.HostID(fmt.Sprintf("guava-llm-%04d", i)), Incarnation: core.Incarnation(uuid.NewString()), Role: core.RoleAgent,
			Region: core.Region(fmt.Sprintf("ar-region-%d", i%5)), FailureDomain: core.FailureDomain(fmt.Sprintf("domain-%d", i%11)),
			ControlAddr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), DataAddr: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Upstream: "guava-llm", State: core.HostLive,
		}
	}
	list, err := json.Marshal(hosts)
	require.NoError(b, err)
	return list
}

func compress(b *testing.B, data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	require.NoError(b, err)
	require.NoError(b, w.Close())
	return out.Bytes()
}
