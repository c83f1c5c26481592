// Package held shares the account of the bytes that a process holds for others between its goroutines.
package held

import (
	"expvar"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
)

var (
	varBytes   = expvar.NewMap("held_bytes")
	varRefused = expvar.NewMap("held_refused")
	varEnded   = expvar.NewInt("held_ended")
	varPaused  = expvar.NewInt("held_streams_paused")
)

// Account is an account of held bytes that may be used concurrently.
type Account struct {
	now func() time.Time

	mu   sync.Mutex
	pure *holding.Account
	ends map[*holding.Request]func(writing bool)
	// published holds the values of varBytes that this account has contributed, by kind.
	published map[holding.Kind]int64
}

// New returns an empty account.
func New(cfg holding.Config, now func() time.Time) *Account {
	return &Account{
		now: now, pure: holding.New(cfg), ends: make(map[*holding.Request]func(writing bool)), published: make(map[holding.Kind]int64),
	}
}

// publish updates the metric of the held bytes; the caller holds the lock.
func (a *Account) publish() {
	for _, kind := range holding.Kinds() {
		if used := a.pure.Used(kind); used != a.published[kind] {
			varBytes.Add(kind.String(), used-a.published[kind])
			a.published[kind] = used
		}
	}
}

// Request is something that holds bytes until it is closed.
type Request struct {
	account *Account
	pure    *holding.Request
}

// Open adds a request. end, if set, is called at most once, before Close, when the request is to end because others need its memory. Its
// argument tells whether a write to the caller makes no progress; otherwise the body arrives too slowly. end must neither block nor use
// the account.
func (a *Account) Open(caller holding.Caller, end func(writing bool)) *Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &Request{account: a, pure: a.pure.Open(caller)}
	if end != nil {
		a.ends[r.pure] = end
	}
	return r
}

// Used returns the held bytes of a kind.
func (a *Account) Used(kind holding.Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pure.Used(kind)
}

// SetTeam sets the team of a request once it is known.
func (r *Request) SetTeam(team string) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.SetTeam(r.pure, team)
}

// Grow counts more bytes if the limits allow them, and reports whether they do.
func (r *Request) Grow(kind holding.Kind, more int64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	admitted, ended := a.pure.Admit(a.now(), r.pure, kind, more)
	for _, other := range ended {
		varEnded.Add(1)
		if end := a.ends[other]; end != nil {
			end(other.Writing())
		}
	}
	a.publish()
	varPaused.Add(int64(a.pure.TakePaused()))
	if !admitted {
		varRefused.Add(kind.String(), 1)
	}
	return admitted
}

// Force counts more bytes, which are held whatever the limits are, or fewer if more is negative.
func (r *Request) Force(kind holding.Kind, more int64) {
	if more == 0 {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.Force(r.pure, kind, more)
	r.account.publish()
}

// BeginBody records that the body of the request arrives from now on.
func (r *Request) BeginBody() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.BeginBody(r.account.now(), r.pure)
}

// ReceiveBody records that a part of the body has arrived.
func (r *Request) ReceiveBody(bytes int) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.ReceiveBody(r.pure, int64(bytes))
}

// EndBody records that the body has arrived, or doesn't arrive any more.
func (r *Request) EndBody() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.EndBody(r.pure)
}

// BeginWrite records that something is written to the caller from now on. EndWrite must follow.
func (r *Request) BeginWrite() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.BeginWrite(r.account.now(), r.pure)
}

// EndWrite records that the caller's connection has taken what was written, or has failed.
func (r *Request) EndWrite() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.EndWrite(r.pure)
	r.account.publish()
}

// Ended reports whether the request was ended because others need its memory.
func (r *Request) Ended() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.pure.Ended()
}

// Close removes the request with all that it holds.
func (r *Request) Close() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.pure.Close(r.pure)
	r.account.publish()
	delete(r.account.ends, r.pure)
}
