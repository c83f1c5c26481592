package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

// requestKind is the kind of a request; it determines the route and how often the request may run.
type requestKind string

const (
	kindSafe   requestKind = "safe"
	kindUnsafe requestKind = "unsafe"
	kindStream requestKind = "streaming"
)

// sentRequest is a request that a caller sent.
type sentRequest struct {
	id, method, path, body, key, team string
	promptParts                       []string
	kind                              requestKind
	at                                time.Time
	// entry is the address that the request was sent to.
	entry string
}

// receivedResponse is the response that a caller received; status 0 means none.
type receivedResponse struct {
	status int
	stamp  string
	body   string
	// complete is true if the response ended normally.
	complete bool
}

// interval is a period in which a fault counts as active.
type interval struct {
	from, to time.Time
}

// checker checks the product's guarantees against what callers and workers observed.
type checker struct {
	revokeBound, activateBound time.Duration

	mu        sync.Mutex
	requests  map[string]sentRequest
	responses map[string]receivedResponse
	runs      map[string][]platformtest.Run
	revoked   map[string]time.Time
	// targetSetAt holds when each version became the target.
	targetSetAt map[int64]time.Time
	faults      []interval
	// disturbed holds those of faults in which entries, or the store that they read, don't work as usual.
	disturbed []interval
	// onlyStandstills is set if processes are suspended and killed at versions and nothing else is disturbed. disturbedEntries holds, by
	// address, the ends of these disturbances.
	onlyStandstills  bool
	disturbedEntries map[string][]time.Time
	// evacuations holds the periods in which a failure domain was out of service.
	evacuations []evacuation
	// crashes holds the times at which workers crashed on a prompt.
	crashes []time.Time
	// limited holds the periods in which workers stated request limits.
	limited []limitedPeriod
	// endless holds the periods in which a worker answered without end.
	endless    []interval
	violations []string
}

func newChecker(revoke, activate time.Duration) *checker {
	return &checker{
		revokeBound: revoke, activateBound: activate,
		requests: make(map[string]sentRequest), responses: make(map[string]receivedResponse),
		runs:    make(map[string][]platformtest.Run),
		revoked: make(map[string]time.Time), targetSetAt: make(map[int64]time.Time), disturbedEntries: make(map[string][]time.Time),
	}
}

func (c *checker) recordRequest(s sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[s.id] = s
}

func (c *checker) recordResponse(id string, r receivedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[id] = r
}

func (c *checker) recordRun(r platformtest.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.ID] = append(c.runs[r.ID], r)
}

func (c *checker) recordRevocation(key string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[key] = at
}

func (c *checker) recordTargetVersion(version int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetSetAt[version] = at
}

func (c *checker) recordFault(active interval, disturbsEntries bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, active)
	if disturbsEntries {
		c.disturbed = append(c.disturbed, active)
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check returns a message for each violated guarantee.
func (c *checker) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, runs := range c.runs {
		request, sent := c.requests[id]
		if !sent {
			c.addViolation("request %s ran, but no caller sent it", id)
			continue
		}
		for _, run := range runs {
			c.checkRun(request, run)
		}
		if request.kind == kindUnsafe && len(runs) > 1 {
			c.addViolation("unsafe request %s ran %d times", id, len(runs))
		}
	}
	for id, response := range c.responses {
		c.checkResponse(c.requests[id], response, len(c.runs[id]))
	}
	c.checkQuarantine()
	c.checkEndlessPeriods()
	c.checkEvacuations()
	c.checkLimits()
	return c.violations
}

func (c *checker) checkRun(s sentRequest, run platformtest.Run) {
	if run.Method != s.method || run.Path != s.path || run.Body != s.body {
		c.addViolation("request %s ran as %s %s with a method, path or body that differs from the sent %s %s", s.id, run.Method, run.Path, s.method, s.path)
	}
	if run.Authorization != "" || run.Team != s.team {
		c.addViolation("request %s ran for team %q with authorization %q instead of team %q", s.id, run.Team, run.Authorization, s.team)
	}
	if at, ok := c.revoked[s.key]; ok && s.at.After(at.Add(c.revokeBound)) {
		c.addViolation("request %s ran %s after its key was revoked", s.id, s.at.Sub(at))
	}
	if run.Version < 0 {
		c.addViolation("request %s ran on incomplete weights", s.id)
	}
	for version, at := range c.targetSetAt {
		sinceTarget := run.StartedAt.Sub(at)
		if s.kind != kindStream || run.Version >= version || sinceTarget <= c.activateBound {
			continue
		}
		c.checkStandstillVersion(s, version, run.StartedAt, sinceTarget)
		if c.noFaultBetween(at, run.StartedAt) {
			c.addViolation("request %s began on version %d, %s after version %d became the target", s.id, run.Version, sinceTarget, version)
		}
	}
}

// noFaultBetween reports whether no fault was active between two times.
func (c *checker) noFaultBetween(from, to time.Time) bool { return noneBetween(c.faults, from, to) }

// noneBetween reports whether none of the intervals has a part between two times.
func noneBetween(intervals []interval, from, to time.Time) bool {
	for _, fault := range intervals {
		if fault.from.Before(to) && fault.to.After(from) {
			return false
		}
	}
	return true
}

func (c *checker) checkResponse(s sentRequest, r receivedResponse, runs int) {
	if statusMeansNotRun(r.status) && runs > 0 && s.kind == kindUnsafe {
		c.addViolation("request %s got status %d, which means that it did not run, but ran %d times", s.id, r.status, runs)
	}
	if strings.Contains(r.body, platformtest.WrongBody) {
		c.addViolation("request %s got status %d with the body of a malformed response", s.id, r.status)
	}
	if r.status != http.StatusOK {
		return
	}
	if !strings.HasSuffix(r.stamp, "."+s.id) {
		c.addViolation("request %s got a response with stamp %q, which does not name that request", s.id, r.stamp)
	}
	if expected := expectedBody(s); r.complete && r.body != expected || !strings.HasPrefix(expected, r.body) {
		c.addViolation("request %s got %d bytes (complete=%t) that do not match the expected response of %d bytes", s.id, len(r.body), r.complete, len(expected))
	}
}

// statusMeansNotRun reports whether a status guarantees that the request has not run and will not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func expectedBody(s sentRequest) string {
	if s.kind != kindStream {
		return platformtest.ResponseBody(s.id)
	}
	var body strings.Builder
	for number := range platformtest.StreamEventCount {
		body.WriteString(platformtest.StreamEvent(s.id, number))
	}
	return body.String()
}

// servedSince returns the share of the requests sent since at that got a complete 200 response, and the number of these
// requests. Requests with a key that is revoked during the run are not counted.
func (c *checker) servedSince(at time.Time) (float64, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, all := c.countServed(func(s sentRequest) bool { return !s.at.Before(at) })
	return float64(served) / float64(max(all, 1)), all
}

// countServed returns how many of the requests that isCounted selects got a complete 200 response, and the number of these requests.
// Requests with a key that is revoked during the run are not counted; the caller holds the lock.
func (c *checker) countServed(isCounted func(sentRequest) bool) (served, all int) {
	for id, s := range c.requests {
		if _, revoked := c.revoked[s.key]; revoked || strings.HasPrefix(s.path, slowPrefix) || !isCounted(s) {
			continue
		}
		all++
		if response := c.responses[id]; response.status == http.StatusOK && response.complete {
			served++
		}
	}
	return served, all
}
