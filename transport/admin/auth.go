package admin

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
)

// Rates of the admin API per entry. The object API takes several hundred writes a second from the
// whole fleet, so one token can take only a small part of that.
const (
	requestsPerSecond = 20
	requestBurst      = 40
	// rejectedPerSecond bounds the requests without a valid token.
	rejectedPerSecond = 10
	rejectedBurst     = 20
)

// principal is who sends a request.
type principal struct {
	operator bool
	// team is the team whose administrator the principal is, when it is no operator.
	team core.Team
	hash core.Digest
}

// name returns how the principal is shown in the audit log and the history.
func (p principal) name() string {
	if p.operator {
		return "operator/" + settings.HashPrefix(p.hash)
	}
	return "team/" + string(p.team) + "/" + settings.HashPrefix(p.hash)
}

func (p principal) mayUse(path string) bool {
	return p.operator || path == settings.TeamPath(p.team)
}

// authenticator maps bearer tokens to principals and limits their rates.
type authenticator struct {
	table     *table.Settings
	operators map[core.Digest]bool
	now       func() time.Time

	mu       sync.Mutex
	limits   map[core.Digest]*rate.Limiter
	rejected *rate.Limiter
}

func newAuthenticator(t *table.Settings, operators []core.Digest, now func() time.Time) *authenticator {
	a := &authenticator{
		table:     t,
		operators: make(map[core.Digest]bool),
		now:       now,
		limits:    make(map[core.Digest]*rate.Limiter),
		rejected:  rate.NewLimiter(rejectedPerSecond, rejectedBurst),
	}
	for _, hash := range operators {
		a.operators[hash] = true
	}
	return a
}

func (a *authenticator) authenticate(r *http.Request) (principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	who, known := principal{}, false
	if ok {
		who, known = a.lookUp(token)
	}
	limiter := a.rejected
	if known {
		limiter = a.limiter(who.hash)
	}
	if err := a.admit(limiter); err != nil {
		return principal{}, err
	}
	if !known {
		return principal{}, transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun,
			"bearer token is neither an operator's nor a team administrator's")
	}
	return who, nil
}

func (a *authenticator) lookUp(token string) (principal, bool) {
	hash := core.DigestOf([]byte(token))
	if a.operators[hash] {
		return principal{operator: true, hash: hash}, true
	}
	team, ok := a.table.Tree().TeamByAdminToken(token)
	return principal{team: team, hash: hash}, ok
}

// limiter returns the limiter of a valid token. Their number is bounded by the tokens in the settings.
func (a *authenticator) limiter(hash core.Digest) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter, ok := a.limits[hash]
	if !ok {
		limiter = rate.NewLimiter(requestsPerSecond, requestBurst)
		a.limits[hash] = limiter
	}
	return limiter
}

func (a *authenticator) admit(limiter *rate.Limiter) error {
	now := a.now()
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return transport.Errorf(http.StatusTooManyRequests, api.CodeRateLimited, api.RunNotRun,
		"more than %d requests a second", int(limiter.Limit())).WithRetryAfter(wait)
}
