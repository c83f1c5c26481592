package ingress

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// maxUpstreamLabels bounds the upstreams with a label of their own in the metrics of a process.
	maxUpstreamLabels = 32
	// otherUpstreamsLabel is the label of all upstreams beyond the bound.
	otherUpstreamsLabel = "other"
	// noUpstreamLabel is the label of requests that ended before an upstream was chosen.
	noUpstreamLabel = "none"
)

// upstreamMetrics has the requests with one label, by outcome. An element is nil until the first request.
type upstreamMetrics struct {
	label    string
	outcomes [len(outcomeNames)]atomic.Pointer[latency]
}

// outcomeMetrics counts the requests that have ended, by upstream and outcome. The first upstreams with a request get a label and
// keep it, so that counters don't vanish when an upstream is removed from the configuration.
type outcomeMetrics struct {
	// publish is called once for each key, before its first request is recorded.
	publish func(key string, l *latency)
	// labels is replaced, never changed, so that it can be read without the lock. capacity is its length with all labels in use.
	labels   atomic.Pointer[map[core.Upstream]*upstreamMetrics]
	capacity int
	others   *upstreamMetrics
	// mu guards the creation of labels and keys.
	mu sync.Mutex
}

func newOutcomeMetrics(publish func(key string, l *latency)) *outcomeMetrics {
	others, none := &upstreamMetrics{label: otherUpstreamsLabel}, &upstreamMetrics{label: noUpstreamLabel}
	// Upstreams with these names share the label.
	labels := map[core.Upstream]*upstreamMetrics{otherUpstreamsLabel: others, noUpstreamLabel: none, "": none}
	m := &outcomeMetrics{publish: publish, capacity: len(labels) + maxUpstreamLabels, others: others}
	m.labels.Store(&labels)
	return m
}

// record counts a request that has ended.
func (m *outcomeMetrics) record(upstream core.Upstream, o outcome, d time.Duration) {
	labels := *m.labels.Load()
	metrics := labels[upstream]
	switch {
	case metrics != nil:
	case len(labels) >= m.capacity:
		metrics = m.others
	default:
		metrics = m.addLabel(upstream)
	}
	l := metrics.outcomes[o].Load()
	if l == nil {
		l = m.addKey(metrics, o)
	}
	l.record(d)
}

// addLabel returns the metrics of an upstream, under a label of its own if there is one left.
func (m *outcomeMetrics) addLabel(upstream core.Upstream) *upstreamMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	labels := *m.labels.Load()
	if metrics := labels[upstream]; metrics != nil {
		return metrics
	}
	if len(labels) >= m.capacity {
		return m.others
	}
	metrics := &upstreamMetrics{label: string(upstream)}
	labels = maps.Clone(labels)
	labels[upstream] = metrics
	m.labels.Store(&labels)
	return metrics
}

func (m *outcomeMetrics) addKey(metrics *upstreamMetrics, o outcome) *latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := metrics.outcomes[o].Load(); l != nil {
		return l
	}
	l := newLatency()
	m.publish(metrics.label+" "+outcomeNames[o], l)
	metrics.outcomes[o].Store(l)
	return l
}

// latencyOf returns the published form of the latency of all requests with an outcome.
func (m *outcomeMetrics) latencyOf(o outcome) any {
	total := newLatency()
	merged := map[*upstreamMetrics]bool{}
	for _, metrics := range *m.labels.Load() {
		// Some labels have several upstreams.
		if l := metrics.outcomes[o].Load(); l != nil && !merged[metrics] {
			merged[metrics] = true
			l.addTo(total)
		}
	}
	return total.quantiles()
}
