package holding

import "time"

// BeginBody records that the body of a request arrives from now on.
func (a *Account) BeginBody(now time.Time, r *Request) {
	r.receivingSince, r.received, r.trickles = now, 0, false
}

// ReceiveBody records that a part of the body has arrived.
func (a *Account) ReceiveBody(r *Request, bytes int64) { r.received += bytes }

// EndBody records that the body has arrived.
func (a *Account) EndBody(r *Request) { r.receivingSince = time.Time{} }

// BeginWrite records that something is written to the caller from now on, or that the caller has taken a part of it.
func (a *Account) BeginWrite(now time.Time, r *Request) { r.writingSince = now }

// EndWrite records that the caller's connection has taken what was written.
func (a *Account) EndWrite(r *Request) {
	r.writingSince = time.Time{}
	if r.unread {
		r.unread = false
		a.add(r, KindSocket, -UnreadBytes)
	}
}

// measure measures the rates of the bodies that arrive, and counts the socket buffers of the callers that take nothing of a write.
func (a *Account) measure(now time.Time) {
	for r := range a.requests {
		a.measureBody(now, r)
		if !r.unread && r.Writing() && now.Sub(r.writingSince) >= unreadAfter {
			r.unread = true
			a.add(r, KindSocket, UnreadBytes)
			a.paused++
		}
	}
}

// TakePaused returns how many times a write to a caller has made no progress for a while, since the last call.
func (a *Account) TakePaused() int {
	paused := a.paused
	a.paused = 0
	return paused
}

// Ended reports whether a request was ended because others need its memory.
func (r *Request) Ended() bool { return r.ended }

// Writing reports whether something is written to the caller.
func (r *Request) Writing() bool { return !r.writingSince.IsZero() }

// isSlow reports whether a request holds memory because of a slow caller.
func (a *Account) isSlow(now time.Time, r *Request) bool {
	if r.Writing() {
		return now.Sub(r.writingSince) >= a.cfg.ReaderTimeout
	}
	return r.trickles && !r.receivingSince.IsZero()
}

// measureBody measures the rate of a body over the time since the last measurement, of at least SlowBodyAfter: a body of which most has
// arrived at once must arrive with MinBodyRate to its end.
func (a *Account) measureBody(now time.Time, r *Request) {
	elapsed := now.Sub(r.receivingSince)
	if r.receivingSince.IsZero() || elapsed < a.cfg.SlowBodyAfter {
		return
	}
	r.trickles = float64(r.received) < float64(a.cfg.MinBodyRate)*elapsed.Seconds()
	r.receivingSince, r.received = now, 0
}

// slowSince returns the time at which the caller's delay began.
func (r *Request) slowSince() time.Time {
	if r.Writing() {
		return r.writingSince
	}
	return r.receivingSince
}
