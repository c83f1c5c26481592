package ingress

import (
	"testing"
	"time"
)

// recordServed makes the metric calls of a request that its first attempt serves.
func recordServed(latency time.Duration) {
	varRequests.Add(1)
	varAttempts.Add(1)
	varLatency.record(latency)
	varServed.Add(1)
}

// BenchmarkMetricsOfServedRequest measures the metric calls of a served request.
func BenchmarkMetricsOfServedRequest(b *testing.B) {
	b.Run("one caller", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			recordServed(12 * time.Millisecond)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				recordServed(12 * time.Millisecond)
			}
		})
	})
}
