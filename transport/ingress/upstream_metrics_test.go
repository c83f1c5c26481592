package ingress

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// publishedKeys is what an outcomeMetrics publishes, by key.
type publishedKeys struct {
	mu     sync.Mutex
	byKey  map[string]*latency
	labels map[string]bool
}

func newPublishedKeys() *publishedKeys {
	return &publishedKeys{byKey: map[string]*latency{}, labels: map[string]bool{}}
}

func (p *publishedKeys) publish(key string, l *latency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKey[key] != nil {
		panic("published twice: " + key)
	}
	p.byKey[key] = l
	p.labels[key[:strings.LastIndex(key, " ")]] = true
}

// count returns the requests that are published under a key.
func (p *publishedKeys) count(key string) int64 {
	if p.byKey[key] == nil {
		return 0
	}
	return p.byKey[key].count().(int64)
}

func numberedUpstream(number int) core.Upstream { return core.Upstream(fmt.Sprintf("up %d", number)) }

// TestUpstreamLabelsAreBounded guards against metrics that grow with every configuration, and against counters that vanish with the
// upstream that they count.
func TestUpstreamLabelsAreBounded(t *testing.T) {
	const more = 10
	published := newPublishedKeys()
	m := newOutcomeMetrics(published.publish)
	for round := range int64(2) {
		for number := range maxUpstreamLabels + more {
			m.record(numberedUpstream(number), outcomeServed, time.Millisecond)
		}
		require.Equal(t, round+1, published.count("up 0 served"))
		require.Equal(t, round+1, published.count(fmt.Sprintf("up %d served", maxUpstreamLabels-1)))
		require.Equal(t, (round+1)*more, published.count("other served"))
		require.Len(t, published.labels, maxUpstreamLabels+1)
	}
	for number := range maxUpstreamLabels + more {
		for index := range outcomeNames {
			m.record(numberedUpstream(number), outcome(index), time.Millisecond)
			m.record("", outcome(index), time.Millisecond)
		}
	}
	require.Len(t, published.labels, maxUpstreamLabels+2)
	require.Len(t, published.byKey, (maxUpstreamLabels+2)*len(outcomeNames))
}

// TestConcurrentRequestsStayWithinTheLabels guards against labels beyond the bound, or lost requests, when many upstreams get their
// first request at the same time.
func TestConcurrentRequestsStayWithinTheLabels(t *testing.T) {
	const callers, requests = 8, 4 * maxUpstreamLabels
	published := newPublishedKeys()
	m := newOutcomeMetrics(published.publish)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range requests {
				m.record(numberedUpstream((i+caller)%(2*maxUpstreamLabels)), outcomeFailed, time.Millisecond)
			}
		})
	}
	group.Wait()
	require.Len(t, published.labels, maxUpstreamLabels+1)
	sum := int64(0)
	for key := range published.byKey {
		sum += published.count(key)
	}
	require.EqualValues(t, callers*requests, sum)
	require.EqualValues(t, callers*requests, m.latencyOf(outcomeFailed).(latencyQuantiles).Count)
}

// TestLastLabelIsGivenOnce guards against a label beyond the bound for a request that saw a free one, which another request took
// before it had the lock.
func TestLastLabelIsGivenOnce(t *testing.T) {
	m := newOutcomeMetrics(newPublishedKeys().publish)
	for number := range maxUpstreamLabels {
		m.addLabel(numberedUpstream(number))
	}
	require.Same(t, m.others, m.addLabel("late"))
	require.Same(t, m.addLabel(numberedUpstream(0)), m.addLabel(numberedUpstream(0)))
	require.NotSame(t, m.others, m.addLabel(numberedUpstream(0)))
}

// TestUpstreamNamedLikeAnotherLabelLosesNoRequests guards against an upstream whose name is that of a label for other requests and
// which replaces their counters.
func TestUpstreamNamedLikeAnotherLabelLosesNoRequests(t *testing.T) {
	published := newPublishedKeys()
	m := newOutcomeMetrics(published.publish)
	for _, upstream := range []core.Upstream{"", noUpstreamLabel, otherUpstreamsLabel, "orders"} {
		m.record(upstream, outcomeRefused, time.Millisecond)
	}
	require.EqualValues(t, 2, published.count("none refused"))
	require.EqualValues(t, 1, published.count("other refused"))
	require.EqualValues(t, 1, published.count("orders refused"))
}

// TestLatencyOfOutcomeCoversAllUpstreams guards against quantiles of an outcome that leave out an upstream.
func TestLatencyOfOutcomeCoversAllUpstreams(t *testing.T) {
	m := newOutcomeMetrics(newPublishedKeys().publish)
	require.Zero(t, m.latencyOf(outcomeServed))
	m.record("orders", outcomeServed, 10*time.Millisecond)
	m.record("llm", outcomeServed, 90*time.Millisecond)
	m.record("", outcomeServed, 3*time.Hour)
	m.record("llm", outcomeFailed, time.Second)
	got := m.latencyOf(outcomeServed).(latencyQuantiles)
	require.EqualValues(t, 3, got.Count)
	require.EqualValues(t, 90, got.P50)
	require.InEpsilon(t, maxLatency.Milliseconds(), got.Max, 0.01)
}

// TestRecordingAnOutcomeAllocatesNothing guards against garbage on the path of every request.
func TestRecordingAnOutcomeAllocatesNothing(t *testing.T) {
	m := newOutcomeMetrics(newPublishedKeys().publish)
	for number := range maxUpstreamLabels {
		m.record(numberedUpstream(number), outcomeServed, time.Millisecond)
	}
	m.record("beyond the bound", outcomeServed, time.Millisecond)
	for _, upstream := range []core.Upstream{numberedUpstream(0), "beyond the bound"} {
		require.Zero(t, testing.AllocsPerRun(100, func() { m.record(upstream, outcomeServed, time.Millisecond) }))
	}
}
