package ingress

import (
	"testing"
	"time"
)

// recordServed makes the metric calls of a request that its first attempt serves.
func recordServed(c *call) {
	varRequests.Add(1)
	varAttempts.Add(1)
	c.countOutcome()
}

// BenchmarkMetricsOfServedRequest measures the metric calls of a served request.
func BenchmarkMetricsOfServedRequest(b *testing.B) {
	b.Run("one caller", func(b *testing.B) {
		c := &call{upstream: "orders", outcome: outcomeServed, responseLatency: 12 * time.Millisecond}
		b.ReportAllocs()
		for b.Loop() {
			recordServed(c)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			c := &call{upstream: "orders", outcome: outcomeServed, responseLatency: 12 * time.Millisecond}
			for pb.Next() {
				recordServed(c)
			}
		})
	})
}
