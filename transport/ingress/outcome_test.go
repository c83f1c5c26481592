package ingress_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// outcomeCounters are the metrics of which each request counts in exactly one, with the key of the latency of its requests.
var outcomeCounters = map[string]string{
	"ingress_served": "served", "ingress_failed": "failed", "ingress_refused": "refused", "ingress_streams_cut": "cut",
	"ingress_abandoned": "abandoned", "ingress_aborted": "aborted",
}

// counterValue returns the value of a counter, or the sum of a map of counters.
func counterValue(t *testing.T, name string) int64 {
	t.Helper()
	switch metric := expvar.Get(name).(type) {
	case *expvar.Int:
		return metric.Value()
	case *expvar.Map:
		sum := int64(0)
		metric.Do(func(entry expvar.KeyValue) { sum += entry.Value.(*expvar.Int).Value() })
		return sum
	}
	require.Fail(t, "metric is not published", name)
	return 0
}

// outcomeValues returns the values of outcomeCounters.
func outcomeValues(t *testing.T) map[string]int64 {
	t.Helper()
	values := map[string]int64{}
	for name := range outcomeCounters {
		values[name] = counterValue(t, name)
	}
	return values
}

// publishedLatency is a histogram as it is published.
type publishedLatency struct {
	Count              int64
	P50, P90, P95, P99 int64
	Max                int64
}

// latencyOfServed returns the latency of the served requests.
func latencyOfServed(t *testing.T) publishedLatency {
	t.Helper()
	var latency publishedLatency
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("ingress_latency_ms").String()), &latency))
	return latency
}

// latencyByOutcome returns the latency of all requests by their outcome.
func latencyByOutcome(t *testing.T) map[string]publishedLatency {
	t.Helper()
	return publishedMap[publishedLatency](t, "ingress_outcome_latency_ms")
}

// endOfRequests waits until the entry has ended all requests, after which it takes no more.
func (h *harness) endOfRequests() { h.frontend.Close() }

// tryCall sends a request whose connection the entry may close without a response.
func (h *harness) tryCall(ctx context.Context, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.frontend.URL+path, nil)
	require.NoError(h.t, err)
	request.Host = "a.example"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set(names.Model, "m")
	request.Header.Set("Authorization", "Bearer key-1")
	response, err := h.frontend.Client().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// callAndDisconnect sends a request and disconnects once condition holds.
func (h *harness) callAndDisconnect(path string, condition func() bool) {
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- h.tryCall(ctx, path) }()
	require.Eventually(h.t, condition, 5*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(h.t, <-ended, context.Canceled)
}

// waitingRoute is a safe route whose requests wait for capacity.
func waitingRoute() fleet.Route {
	route := safeRoute()
	route.Objective = time.Minute
	return route
}

// newWaitingHarness returns a harness in which requests wait for capacity until their deadline.
func newWaitingHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, func(cfg *ingress.Config) { cfg.CapacityWaitShare = 1 }, waitingRoute())
}

// waitForCapacity disconnects a caller that waits for capacity.
func waitForCapacity(t *testing.T) *harness {
	h := newWaitingHarness(t)
	before := counterValue(t, "ingress_requests")
	h.callAndDisconnect("/safe/x", func() bool { return counterValue(t, "ingress_requests") > before })
	return h
}

// waitForCapacityAfterFailure disconnects a caller that waits for capacity after its first attempt failed.
func waitForCapacityAfterFailure(t *testing.T) *harness {
	h := newWaitingHarness(t)
	h.startReplica("r1", "orders", respondStatus(http.StatusInternalServerError, names.Stamp))
	before := counterValue(t, "ingress_retries")
	h.callAndDisconnect("/safe/x", func() bool { return counterValue(t, "ingress_retries") > before })
	return h
}

// disconnectDuringAttempt disconnects a caller while a replica has its request.
func disconnectDuringAttempt(t *testing.T) *harness {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	h.callAndDisconnect("/safe/x", func() bool { return len(h.received()) == 1 })
	return h
}

// disconnectDuringStream disconnects a caller that has received an event of a stream.
func disconnectDuringStream(t *testing.T) *harness {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
		streamEvents(w, 0, 1, 0)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.frontend.URL+"/stream/x", nil)
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set(names.Model, "m")
	request.Header.Set("Authorization", "Bearer key-1")
	response, err := h.frontend.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	return h
}

// replicaCall sends a request to an entry with one replica and returns the entry.
func replicaCall(route fleet.Route, serve http.HandlerFunc) func(t *testing.T) *harness {
	return func(t *testing.T) *harness {
		h := newHarness(t, route)
		h.startReplica("r1", route.Targets[0].Upstream, serve)
		_ = h.tryCall(t.Context(), route.PathPrefix)
		return h
	}
}

// outcomeTest is a request with the counter of its outcome.
type outcomeTest struct {
	name, outcome string
	run           func(t *testing.T) *harness
}

// outcomeTests has a request for each way in which requests end.
func outcomeTests() []outcomeTest {
	serverError := respondStatus(http.StatusInternalServerError, names.Stamp)
	noTargets := safeRoute()
	noTargets.Targets = nil
	return []outcomeTest{
		{"response", "ingress_served", replicaCall(safeRoute(), respondStamped("ok"))},
		{"client error of the replica", "ingress_served", replicaCall(safeRoute(), respondStatus(http.StatusNotFound, names.Stamp))},
		{"response after an error response", "ingress_served", func(t *testing.T) *harness {
			h := newHarness(t, safeRoute())
			serve := func(w http.ResponseWriter, r *http.Request) {
				if len(h.received()) == 1 {
					serverError(w, r)
					return
				}
				respondStamped("ok")(w, r)
			}
			h.startReplica("r1", "orders", serve)
			h.startReplica("r2", "orders", serve)
			require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/safe/x", "", nil).status)
			require.Len(t, h.received(), 2)
			return h
		}},
		{"stream", "ingress_served", replicaCall(streamRoute(), serveEvents(0, 2, false))},
		{"stream that is resumed", "ingress_served", func(t *testing.T) *harness {
			h := newHarness(t, streamRoute())
			h.startReplica("r1", "llm", serveResumable)
			h.startReplica("r2", "llm", serveResumable)
			require.NoError(t, h.call(http.MethodPost, "/stream/x", "prompt", nil).err)
			require.Len(t, h.received(), 2)
			return h
		}},
		{"error response", "ingress_failed", replicaCall(safeRoute(), serverError)},
		{"error response that is not retried", "ingress_failed", replicaCall(unsafeRoute(), serverError)},
		{"retried error response", "ingress_failed", func(t *testing.T) *harness {
			h := newHarness(t, safeRoute())
			h.startReplica("r1", "orders", serverError)
			h.startReplica("r2", "orders", serverError)
			require.Equal(t, http.StatusInternalServerError, h.call(http.MethodGet, "/safe/x", "", nil).status)
			require.Len(t, h.received(), 2)
			return h
		}},
		{"refusal of every replica", "ingress_refused", replicaCall(safeRoute(), respondStatus(http.StatusServiceUnavailable, names.NotRun))},
		{"broken response", "ingress_refused", replicaCall(safeRoute(), resetConnection)},
		{"no replica", "ingress_refused", func(t *testing.T) *harness {
			h := newHarness(t, safeRoute())
			require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodGet, "/safe/x", "", nil).status)
			return h
		}},
		{"no route", "ingress_refused", func(t *testing.T) *harness {
			h := newHarness(t, safeRoute())
			require.Equal(t, http.StatusNotFound, h.call(http.MethodGet, "/other/x", "", nil).status)
			return h
		}},
		{"stream without end", "ingress_streams_cut", replicaCall(streamRoute(), serveEvents(0, 1, true))},
		{"disconnected during an attempt", "ingress_abandoned", disconnectDuringAttempt},
		{"disconnected during a stream", "ingress_abandoned", disconnectDuringStream},
		{"disconnected while waiting for capacity", "ingress_abandoned", waitForCapacity},
		{"disconnected while waiting for capacity after a failure", "ingress_abandoned", waitForCapacityAfterFailure},
		{"panic before the response", "ingress_refused", func(t *testing.T) *harness {
			h := newHarness(t, noTargets)
			require.Equal(t, http.StatusBadGateway, h.call(http.MethodGet, "/safe/x", "", nil).status)
			return h
		}},
		{"panic after the response has begun", "ingress_aborted", func(t *testing.T) *harness {
			h := newHarness(t, streamRoute())
			h.startReplica("r1", "llm", serveResumable)
			h.startReplica("r2", "llm", serveResumable)
			// The age is asked for at the arrival and right before each attempt; the second one resumes the stream.
			onAge := func() {
				if len(h.received()) == 1 {
					panic("injected by the test")
				}
			}
			h.onAge.Store(&onAge)
			require.Error(t, h.call(http.MethodPost, "/stream/x", "prompt", nil).err)
			require.Len(t, h.received(), 1)
			return h
		}},
	}
}

// TestRequestCountsInExactlyOneOutcome guards against requests that count in no outcome or in several, so that the outcomes do not
// add up to the requests. Responses of 500 and more that were passed on counted in none, and callers that disconnected while they
// waited for capacity counted as refused.
func TestRequestCountsInExactlyOneOutcome(t *testing.T) {
	for _, test := range outcomeTests() {
		t.Run(test.name, func(t *testing.T) {
			requests, before := counterValue(t, "ingress_requests"), outcomeValues(t)
			test.run(t).endOfRequests()
			sum := int64(0)
			for name, value := range outcomeValues(t) {
				want := int64(0)
				if name == test.outcome {
					want = 1
				}
				require.Equal(t, want, value-before[name], name)
				sum += value - before[name]
			}
			require.Equal(t, counterValue(t, "ingress_requests")-requests, sum)
		})
	}
}

// TestLatencyIsRecordedOnceByOutcome guards against quantiles that mix served requests with failed attempts, requests that are
// recorded once per attempt, and refused requests whose wait is in no histogram.
func TestLatencyIsRecordedOnceByOutcome(t *testing.T) {
	for _, test := range outcomeTests() {
		t.Run(test.name, func(t *testing.T) {
			served, before := latencyOfServed(t).Count, latencyByOutcome(t)
			test.run(t).endOfRequests()
			after := latencyByOutcome(t)
			for _, key := range outcomeCounters {
				want := int64(0)
				if key == outcomeCounters[test.outcome] {
					want = 1
					require.Positive(t, after[key].P50)
					require.GreaterOrEqual(t, after[key].Max, after[key].P99)
				}
				require.Equal(t, want, after[key].Count-before[key].Count, key)
			}
			require.Equal(t, after["served"].Count-before["served"].Count, latencyOfServed(t).Count-served)
			require.Len(t, after, len(outcomeCounters))
		})
	}
}

// publishedMap decodes a published map.
func publishedMap[V any](t *testing.T, name string) map[string]V {
	t.Helper()
	metric := expvar.Get(name)
	require.NotNil(t, metric, "%s is not published", name)
	values := map[string]V{}
	require.NoError(t, json.Unmarshal([]byte(metric.String()), &values))
	return values
}

// TestRequestCountsUnderItsUpstream guards against an upstream whose failures can't be told from those of the others.
func TestRequestCountsUnderItsUpstream(t *testing.T) {
	for _, test := range []struct {
		key string
		run func(t *testing.T) *harness
	}{
		{"orders served", replicaCall(safeRoute(), respondStamped("ok"))},
		{"orders failed", replicaCall(safeRoute(), respondStatus(http.StatusInternalServerError, names.Stamp))},
		{"orders refused", replicaCall(safeRoute(), resetConnection)},
		{"orders abandoned", waitForCapacity},
		{"llm served", replicaCall(streamRoute(), serveEvents(0, 2, false))},
		{"llm cut", replicaCall(streamRoute(), serveEvents(0, 1, true))},
		{"none refused", func(t *testing.T) *harness {
			h := newHarness(t, safeRoute())
			require.NoError(t, h.tryCall(t.Context(), "/other/x"))
			return h
		}},
	} {
		t.Run(test.key, func(t *testing.T) {
			counts, latency := publishedMap[int64](t, "ingress_upstream_requests"), publishedMap[publishedLatency](t, "ingress_upstream_latency_ms")
			test.run(t).endOfRequests()
			counts[test.key]++
			require.Equal(t, counts, publishedMap[int64](t, "ingress_upstream_requests"))
			after := publishedMap[publishedLatency](t, "ingress_upstream_latency_ms")
			require.Equal(t, latency[test.key].Count+1, after[test.key].Count)
			require.Len(t, after, len(counts))
		})
	}
}

// TestFailedResponseIsLogged guards against a response of 500 or more whose request can't be found in the log, and against a log that
// grows without bound with such responses.
func TestFailedResponseIsLogged(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStatus(http.StatusBadGateway, names.Stamp))
	got := h.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Equal(t, http.StatusBadGateway, got.status)
	lines := h.logLines("request failed")
	require.Len(t, lines, 1)
	require.EqualValues(t, "id-1", lines[0].Data["request_id"])
	require.EqualValues(t, "r1", lines[0].Data["replica"])
	require.EqualValues(t, "orders", lines[0].Data["upstream"])
	require.Equal(t, http.StatusBadGateway, lines[0].Data["status"])
	require.NotEmpty(t, lines[0].Data["reason"])

	const requests = 100 // more than the burst of the log has room for
	dropped := counterValue(t, "ingress_log_lines_dropped")
	for range requests {
		h.call(http.MethodPost, "/unsafe/x", "payload", nil)
	}
	require.Greater(t, counterValue(t, "ingress_log_lines_dropped"), dropped)
	require.Less(t, len(h.logLines("request failed")), requests)
}

// TestDisconnectedCallerGetsNoCompleteResponse guards against an empty response with status 200 to a caller that has closed only its
// own side of the connection, which counts as disconnected.
func TestDisconnectedCallerGetsNoCompleteResponse(t *testing.T) {
	for name, start := range map[string]func(h *harness){
		"waiting for capacity": func(*harness) {},
		"during an attempt": func(h *harness) {
			h.startReplica("r1", "orders", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWaitingHarness(t)
			start(h)
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.frontend.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n\r\n")
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			// A reset of the connection is as good as its end.
			content, _ := io.ReadAll(conn)
			require.Empty(t, string(content))
		})
	}
}
