package claims_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	recordsPerSegment = 1000
	resultBytes       = 64
)

// benchSegments returns a log of settled claims: one claim record and one result record for each.
func benchSegments(settled int) []claims.Segment {
	var segments []claims.Segment
	var records []claims.Record
	for i := range settled {
		key, nonce := claims.Key(core.DigestOf([]byte(fmt.Sprint(i)))), claims.Nonce(fmt.Sprintf("%036d", i))
		claim := claims.Record{
			Op: claims.OpClaim, Key: key, Nonce: nonce, At: int64(i), Fingerprint: string(core.DigestOf([]byte("body"))),
			Holder: "entry-0001", Deadline: int64(i) + 1000,
		}
		result := &claims.Result{Status: 200, Body: make([]byte, resultBytes)}
		records = append(records, claim, claims.Record{Op: claims.OpDone, Key: key, Nonce: nonce, At: int64(i), Result: result})
		if len(records) == recordsPerSegment || i == settled-1 {
			sequence := uint64(len(segments))
			segment := claims.Segment{Sequence: sequence, Nonce: claims.Nonce(fmt.Sprint(sequence)), Records: records}
			if sequence > 0 {
				segment.Previous = segments[sequence-1].Nonce
			}
			segments, records = append(segments, segment), nil
		}
	}
	return segments
}

// BenchmarkRebuild measures the time to rebuild the state of a shard and the memory that the state retains per claim.
func BenchmarkRebuild(b *testing.B) {
	for _, settled := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("claims=%d", settled), func(b *testing.B) {
			var retained float64
			for b.Loop() {
				b.StopTimer()
				before := heap()
				segments := benchSegments(settled)
				b.StartTimer()
				log := claims.Rebuild(claims.DefaultTTL, segments)
				b.StopTimer()
				clear(segments)
				retained = float64(heap()-before) / float64(settled)
				runtime.KeepAlive(log)
				b.StartTimer()
			}
			b.ReportMetric(retained, "B/claim")
		})
	}
}

// heap returns the heap bytes in use after a garbage collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
