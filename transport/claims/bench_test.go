package claims

import (
	"context"
	"fmt"
	"testing"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
)

// BenchmarkSegmentOf1000Claims measures the encoded size of a claim and the time to append a segment to an in-memory store.
func BenchmarkSegmentOf1000Claims(b *testing.B) {
	const size = 1000
	f := newShardFixture(1)
	var bytes int
	for i := 0; b.Loop(); i++ {
		batch := make([]operation, size)
		for j := range batch {
			claim := f.newClaim(hash(fmt.Sprint(i, j)), hash("body"))
			claim.Nonce, claim.Holder = claims.Nonce(hash("n")[:36]), "entry-0001"
			batch[j] = operation{record: claim, done: make(chan appendResult, 1)}
		}
		f.shards[0].processBatch(context.Background(), batch)
		bytes = len(f.store.objects[segmentName(0, uint64(i))].Spec)
	}
	b.ReportMetric(float64(bytes)/size, "B/claim")
}
