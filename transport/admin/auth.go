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

// Rate limits of the admin API per entry. The object API accepts several hundred writes a second from all processes
// together, so the rate of one token is a small fraction of that.
const (
	requestsPerSecond = 20
	requestBurst      = 40
	// unauthenticatedPerSecond bounds the rate of all requests without a valid token together.
	unauthenticatedPerSecond = 10
	unauthenticatedBurst     = 20
)

// principal is the authenticated sender of a request.
type principal struct {
	operator bool
	// team is the team that the principal administers; it is empty for an operator.
	team core.Team
	hash core.Digest
}

// auditName returns the name of the principal in the audit log and the history. It contains only a prefix of the token
// hash.
func (p principal) auditName() string {
	if p.operator {
		return "operator/" + settings.HashPrefix(p.hash)
	}
	return "team/" + string(p.team) + "/" + settings.HashPrefix(p.hash)
}

func (p principal) canAccess(path string) bool {
	return p.operator || path == settings.TeamPath(p.team)
}

// authenticator maps bearer tokens to principals and limits the request rate of each token.
type authenticator struct {
	table     *table.Settings
	operators map[core.Digest]bool
	now       func() time.Time

	mu              sync.Mutex
	limits          map[core.Digest]*rate.Limiter
	unauthenticated *rate.Limiter
}

func newAuthenticator(t *table.Settings, operators []core.Digest, now func() time.Time) *authenticator {
	a := &authenticator{
		table:           t,
		operators:       make(map[core.Digest]bool),
		now:             now,
		limits:          make(map[core.Digest]*rate.Limiter),
		unauthenticated: rate.NewLimiter(unauthenticatedPerSecond, unauthenticatedBurst),
	}
	for _, hash := range operators {
		a.operators[hash] = true
	}
	return a
}

func (a *authenticator) authenticate(r *http.Request) (principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	p, valid := principal{}, false
	if ok {
		p, valid = a.lookUp(token)
	}
	limiter := a.unauthenticated
	if valid {
		limiter = a.limiter(p.hash)
	}
	if err := a.checkRate(limiter); err != nil {
		return principal{}, err
	}
	if !valid {
		return principal{}, transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun,
			"bearer token is neither an operator's nor a team administrator's")
	}
	return p, nil
}

func (a *authenticator) lookUp(token string) (principal, bool) {
	hash := core.DigestOf([]byte(token))
	if a.operators[hash] {
		return principal{operator: true, hash: hash}, true
	}
	team, ok := a.table.Tree().TeamByAdminToken(token)
	return principal{team: team, hash: hash}, ok
}

// limiter returns the rate limiter of a valid token. Only valid tokens get one, which bounds the size of limits.
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

func (a *authenticator) checkRate(limiter *rate.Limiter) error {
	now := a.now()
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return transport.Errorf(http.StatusTooManyRequests, api.CodeRateLimited, api.RunNotRun,
		"over the limit of %d requests a second", int(limiter.Limit())).WithRetryAfter(wait)
}
