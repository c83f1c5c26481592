package ingress

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest value of the histogram; no deadline is longer.
	maxLatency = 2 * time.Minute
	// latencyDigits is the precision of the histogram in significant decimal digits.
	latencyDigits = 2
)

// Counters of the request path.
var (
	varRequests         = expvar.NewInt("ingress_requests")
	varServed           = expvar.NewInt("ingress_served")
	varFailed           = expvar.NewInt("ingress_failed")
	varRefused          = expvar.NewMap("ingress_refused")
	varAttempts         = expvar.NewInt("ingress_attempts")
	varRetries          = expvar.NewInt("ingress_retries")
	varOutdatedCanceled = expvar.NewInt("ingress_taken_back")
	varStreamsResumed   = expvar.NewInt("ingress_streams_resumed")
	varStreamsCut       = expvar.NewInt("ingress_streams_cut")
	varAbandoned        = expvar.NewInt("ingress_abandoned")
	varAborted          = expvar.NewInt("ingress_aborted")
	varLogDropped       = expvar.NewInt("ingress_log_lines_dropped")
	varOutcomeLatency   = expvar.NewMap("ingress_outcome_latency_ms")
)

// latencies are the latencies of the requests by outcome.
var latencies [len(outcomeNames)]*latency

func init() {
	for outcome, name := range outcomeNames {
		latencies[outcome] = newLatency()
		varOutcomeLatency.Set(name, expvar.Func(latencies[outcome].quantiles))
	}
	expvar.Publish("ingress_latency_ms", expvar.Func(latencies[outcomeServed].quantiles))
}

// latency is a histogram of the time from the arrival of requests to their end; for a served one, to its response or to the first
// event of its stream.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Values out of range are clamped, so RecordValue cannot fail.
	_ = l.histogram.RecordValue(min(max(d.Milliseconds(), 1), maxLatency.Milliseconds()))
}

// latencyQuantiles is the published form of the histogram, in milliseconds.
type latencyQuantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (l *latency) quantiles() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return latencyQuantiles{
		Count: l.histogram.TotalCount(),
		P50:   l.histogram.ValueAtQuantile(50),
		P90:   l.histogram.ValueAtQuantile(90),
		P95:   l.histogram.ValueAtQuantile(95),
		P99:   l.histogram.ValueAtQuantile(99),
		Max:   l.histogram.Max(),
	}
}
