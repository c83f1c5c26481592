package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

// kind is a kind of request.
type kind string

const (
	kindSafe   kind = "safe"
	kindUnsafe kind = "unsafe"
	kindStream kind = "streaming"
)

// sent is a request as a caller sent it.
type sent struct {
	id, method, path, body, key, team string
	kind                              kind
	at                                time.Time
}

// got is what a caller saw of the answer; status 0 means none.
type got struct {
	status int
	stamp  string
	body   string
	// whole says that the answer ended as complete.
	whole bool
}

// span is a time in which a fault was at work.
type span struct {
	from, to time.Time
}

// judge checks the promises from what callers and workers see.
type judge struct {
	revoke, activate time.Duration

	mu       sync.Mutex
	requests map[string]sent
	answers  map[string]got
	runs     map[string][]platformtest.Run
	revoked  map[string]time.Time
	named    map[int64]time.Time
	faults   []span
	broken   []string
}

func newJudge(revoke, activate time.Duration) *judge {
	return &judge{
		revoke: revoke, activate: activate,
		requests: make(map[string]sent), answers: make(map[string]got), runs: make(map[string][]platformtest.Run),
		revoked: make(map[string]time.Time), named: make(map[int64]time.Time),
	}
}

func (j *judge) send(s sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[s.id] = s
}

func (j *judge) answer(id string, g got) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id] = g
}

func (j *judge) run(r platformtest.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.ID] = append(j.runs[r.ID], r)
}

func (j *judge) revokeKey(key string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revoked[key] = at
}

func (j *judge) name(version int64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.named[version] = at
}

func (j *judge) fault(s span) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, s)
}

func (j *judge) fail(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// verdict returns the promises that were broken.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, runs := range j.runs {
		request, known := j.requests[id]
		if !known {
			j.fail("request %s ran, but no caller sent it", id)
			continue
		}
		for _, run := range runs {
			j.checkRun(request, run)
		}
		if request.kind == kindUnsafe && len(runs) > 1 {
			j.fail("unsafe request %s ran %d times", id, len(runs))
		}
	}
	for id, answer := range j.answers {
		j.checkAnswer(j.requests[id], answer, len(j.runs[id]))
	}
	return j.broken
}

func (j *judge) checkRun(s sent, run platformtest.Run) {
	if run.Method != s.method || run.Path != s.path || run.Body != s.body {
		j.fail("request %s ran as %s %s with another body or path than %s %s", s.id, run.Method, run.Path, s.method, s.path)
	}
	if run.Authorization != "" || run.Team != s.team {
		j.fail("request %s ran for team %q with authorization %q instead of team %q", s.id, run.Team, run.Authorization, s.team)
	}
	if at, ok := j.revoked[s.key]; ok && s.at.After(at.Add(j.revoke)) {
		j.fail("request %s ran %s after its key was revoked", s.id, s.at.Sub(at))
	}
	if run.Version < 0 {
		j.fail("request %s ran on weights that were not whole", s.id)
	}
	for version, at := range j.named {
		late := run.StartedAt.Sub(at)
		if s.kind == kindStream && run.Version < version && late > j.activate && j.calm(at, run.StartedAt) {
			j.fail("request %s began on version %d, %s after version %d was named", s.id, run.Version, late, version)
		}
	}
}

// calm reports whether no fault was at work between two times.
func (j *judge) calm(from, to time.Time) bool {
	for _, fault := range j.faults {
		if fault.from.Before(to) && fault.to.After(from) {
			return false
		}
	}
	return true
}

func (j *judge) checkAnswer(s sent, g got, runs int) {
	if saysNotRun(g.status) && runs > 0 && s.kind == kindUnsafe {
		j.fail("request %s was answered %d and ran %d times", s.id, g.status, runs)
	}
	if g.status != http.StatusOK {
		return
	}
	if !strings.HasSuffix(g.stamp, "."+s.id) {
		j.fail("request %s got the answer with stamp %q", s.id, g.stamp)
	}
	if whole := wholeAnswer(s); g.whole && g.body != whole || !strings.HasPrefix(whole, g.body) {
		j.fail("request %s got %d bytes as whole=%t that are not the answer of %d bytes", s.id, len(g.body), g.whole, len(whole))
	}
}

// saysNotRun reports whether a status promises that the request has not run and will not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func wholeAnswer(s sent) string {
	if s.kind != kindStream {
		return platformtest.ResponseBody(s.id)
	}
	var whole strings.Builder
	for number := range platformtest.StreamEventCount {
		whole.WriteString(platformtest.StreamEvent(s.id, number))
	}
	return whole.String()
}

// servedSince returns the share of the requests sent after a time that were answered whole, and their number.
func (j *judge) servedSince(at time.Time) (float64, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	served, all := 0, 0
	for id, s := range j.requests {
		if _, out := j.revoked[s.key]; s.at.Before(at) || out {
			continue
		}
		all++
		if answer := j.answers[id]; answer.status == http.StatusOK && answer.whole {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}
