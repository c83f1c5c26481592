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
	varAuthorized       = expvar.NewMap("ingress_authorized")
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
	varOversized        = expvar.NewMap("ingress_oversized_responses")
	varRequestLimits    = expvar.NewInt("ingress_request_limits")
	varLogDropped       = expvar.NewInt("ingress_log_lines_dropped")
	varOutcomeLatency   = expvar.NewMap("ingress_outcome_latency_ms")
	varUpstreamRequests = expvar.NewMap("ingress_upstream_requests")
	varUpstreamLatency  = expvar.NewMap("ingress_upstream_latency_ms")
)

// authorization is why a request is allowed; it is a key of varAuthorized.
type authorization string

const (
	authorizedByKey       authorization = "key"
	authorizedByRoute     authorization = "anonymous_route"
	authorizedWithoutKeys authorization = "no_keys_required"
)

// sizeLimit is a limit that a response may exceed; it is a key of varOversized.
type sizeLimit string

const (
	limitOfBody    sizeLimit = "body"
	limitOfEvent   sizeLimit = "event"
	limitOfBuffers sizeLimit = "shared"
)

func countOversized(limit sizeLimit) { varOversized.Add(string(limit), 1) }

// outcomes counts the requests that have ended.
var outcomes = newOutcomeMetrics(func(key string, l *latency) {
	varUpstreamRequests.Set(key, expvar.Func(l.count))
	varUpstreamLatency.Set(key, expvar.Func(l.quantiles))
})

func init() {
	for i, name := range outcomeNames {
		varOutcomeLatency.Set(name, expvar.Func(func() any { return outcomes.latencyOf(outcome(i)) }))
	}
	expvar.Publish("ingress_latency_ms", expvar.Func(func() any { return outcomes.latencyOf(outcomeServed) }))
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

// addTo adds the values of l to those of total, which no other goroutine uses.
func (l *latency) addTo(total *latency) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total.histogram.Merge(l.histogram)
}

// count returns the number of recorded values.
func (l *latency) count() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
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
