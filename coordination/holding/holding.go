// Package holding accounts for the bytes that a process holds for others, and decides which of them are admitted and which requests are
// ended for using memory that others need.
package holding

import (
	"cmp"
	"slices"
	"time"
)

// Kind is a kind of bytes that a process holds.
type Kind uint8

// Kinds of held bytes.
const (
	// KindBody is a request body, while it is read and until the last attempt to send it has ended.
	KindBody Kind = iota
	// KindResponse is a response that is read completely before it is sent.
	KindResponse
	// KindEvents are events of a stream that the caller has not taken yet, and the unfinished one.
	KindEvents
	// KindSocket is an estimate of what a request takes beside its content: socket buffers, read and write buffers, and stacks.
	KindSocket
	// KindRecords are responses of the store and of relays. They have a limit of their own, so that callers can't keep a host from learning
	// of changes.
	KindRecords

	kindCount
)

// Kinds lists all kinds in the order of their values.
func Kinds() [kindCount]Kind {
	return [...]Kind{KindBody, KindResponse, KindEvents, KindSocket, KindRecords}
}

// kindNames are the names of the kinds in metrics.
var kindNames = [...]string{"body", "response", "events", "socket", "records"}

// String returns the name of the kind in metrics.
func (k Kind) String() string { return kindNames[k] }

// Caller identifies for whom bytes are held.
type Caller struct {
	// Connection is the address of the caller's connection.
	Connection string
	// Team is the team of the API key, empty for none.
	Team string
}

// Request is something that holds bytes: a request of a caller, or a read of the store. It belongs to one Account.
type Request struct {
	caller Caller
	held   [kindCount]int64
	total  int64
	// shared is true if the bytes count against the shared part, false if they count against the part for small requests.
	shared bool
	// receivingSince is the time of the last measurement of the body's rate, or from which on it arrives; received is the number of bytes that
	// have arrived since, and trickles is true if they were too few before it.
	receivingSince time.Time
	received       int64
	trickles       bool
	// writingSince is the time since which a write to the caller makes no progress.
	writingSince time.Time
	// unread is true while UnreadBytes are counted for a write that makes no progress.
	unread bool
	ended  bool
}

// Account counts the held bytes of a process. It must not be used concurrently.
type Account struct {
	cfg    Config
	kinds  [kindCount]int64
	small  int64
	shared int64
	// bodies is the part of shared that request bodies have.
	bodies      int64
	teams       map[string]int64
	teamBodies  map[string]int64
	connections map[string]int64
	requests    map[*Request]struct{}
	// sweptAt is the time of the last search for slow requests.
	sweptAt time.Time
	// paused counts the writes for which UnreadBytes were counted.
	paused int
}

// New returns an empty account.
func New(cfg Config) *Account {
	return &Account{
		cfg: cfg, teams: make(map[string]int64), teamBodies: make(map[string]int64), connections: make(map[string]int64),
		requests: make(map[*Request]struct{}),
	}
}

// Open adds a request that holds nothing yet.
func (a *Account) Open(caller Caller) *Request {
	r := &Request{caller: caller}
	a.requests[r] = struct{}{}
	return r
}

// SetTeam sets the team of a request once it is known.
func (a *Account) SetTeam(r *Request, team string) {
	if r.shared {
		a.addBody(r, -r.held[KindBody])
		a.addToCaller(r, -r.total)
	}
	r.caller.Team = team
	if r.shared {
		a.addBody(r, r.held[KindBody])
		a.addToCaller(r, r.total)
	}
}

// Admit counts more bytes of a request if the limits allow them, and reports whether they do. It also returns the requests that are to be
// ended because others need the memory; their bytes count until they are closed.
func (a *Account) Admit(now time.Time, r *Request, kind Kind, more int64) (bool, []*Request) {
	room := a.findRoom(r, kind, more)
	admitted := !r.ended && room == roomFound
	if admitted {
		a.add(r, kind, more)
	}
	if a.cfg.Limit <= 0 || now.Sub(a.sweptAt) < sweepInterval {
		return admitted, nil
	}
	a.sweptAt = now
	a.measure(now)
	needed := int64(0)
	if room != roomFound && kind != KindRecords {
		// Records have a limit of their own, to which the requests of callers leave no more.
		needed = neededPerByte * more
	}
	ended := a.endSlow(now, needed, func(slow *Request) bool {
		return room != roomNotForTeam || slow.caller.Team == r.caller.Team
	})
	return admitted && !r.ended, ended
}

// Force counts more bytes of a request that are held in any case, or fewer if more is negative.
func (a *Account) Force(r *Request, kind Kind, more int64) {
	a.add(r, kind, more)
}

// Close removes a request with all that it holds.
func (a *Account) Close(r *Request) {
	if _, open := a.requests[r]; !open {
		return
	}
	delete(a.requests, r)
	for kind, held := range r.held {
		a.add(r, Kind(kind), -held)
	}
}

// Used returns the held bytes of a kind.
func (a *Account) Used(kind Kind) int64 { return a.kinds[kind] }

// room is whether the limits allow more bytes.
type room int

const (
	roomFound room = iota
	roomNone
	// roomNotForTeam means that only the share of the request's team is used up.
	roomNotForTeam
)

// findRoom finds out whether the limits allow more bytes of a request. A request that is small takes from the part for small requests, and
// from the shared one if that is full.
func (a *Account) findRoom(r *Request, kind Kind, more int64) room {
	if (kind == KindResponse || kind == KindEvents) && !a.fitsBuffered(r, more) {
		return roomNone
	}
	if kind == KindRecords {
		return roomIf(a.cfg.Limit <= 0 || a.kinds[kind]+more <= a.cfg.Records)
	}
	if a.cfg.Limit <= 0 || !r.shared && a.fitsSmall(r, more) {
		return roomFound
	}
	moved := more
	if !r.shared {
		moved += r.total
	}
	sharedLimit := a.cfg.Limit - a.cfg.SmallPart
	if kind == KindBody {
		if found := a.findRoomForBody(r, more); found != roomFound {
			return found
		}
	}
	held := r.total + more - moved
	if a.shared == held && held+moved <= sharedLimit {
		return roomFound
	}
	if !fitsShare(a.connections[r.caller.Connection], moved, a.shared, sharedLimit, connectionShare) {
		return roomNone
	}
	return a.roomForTeam(r.caller.Team, a.teams, moved, a.shared, sharedLimit)
}

func roomIf(found bool) room {
	if found {
		return roomFound
	}
	return roomNone
}

// roomForTeam finds out whether a team that holds held[team] of used bytes may have more.
func (a *Account) roomForTeam(team string, held map[string]int64, more, used, limit int64) room {
	if team == "" || fitsShare(held[team], more, used, limit, teamShare) {
		return roomFound
	}
	return roomNotForTeam
}

// fitsShare reports whether a caller that holds held of used bytes may have more: at most a share of what the others leave.
func fitsShare(held, more, used, limit int64, share float64) bool {
	return float64(held+more) <= share*float64(limit-(used-held))
}

// fitsBuffered limits the buffered responses and events: a request may use half of what the others leave, so that those that need most fail
// first.
func (a *Account) fitsBuffered(r *Request, more int64) bool {
	held := r.held[KindResponse] + r.held[KindEvents]
	used := a.kinds[KindResponse] + a.kinds[KindEvents]
	return 2*(held+more) <= a.cfg.Buffered-(used-held)
}

// findRoomForBody limits the request bodies, so that the responses have room: a request whose response doesn't fit has run for nothing. A body
// that is the only one may take all, so that each that the configuration allows is admitted at some time.
func (a *Account) findRoomForBody(r *Request, more int64) room {
	held := r.held[KindBody]
	if !r.shared {
		held, more = 0, more+held
	}
	if a.bodies == held && held+more <= a.cfg.Bodies {
		return roomFound
	}
	if !fitsShare(held, more, a.bodies, a.cfg.Bodies, connectionShare) {
		return roomNone
	}
	return a.roomForTeam(r.caller.Team, a.teamBodies, more, a.bodies, a.cfg.Bodies)
}

func (a *Account) fitsSmall(r *Request, more int64) bool {
	return r.total+more <= a.cfg.SmallRequest && a.small+more <= a.cfg.SmallPart
}

func (a *Account) add(r *Request, kind Kind, more int64) {
	if kind == KindRecords {
		r.held[kind] += more
		a.kinds[kind] += more
		return
	}
	if !r.shared && more > 0 && !a.fitsSmall(r, more) {
		a.moveToShared(r)
	}
	r.held[kind] += more
	r.total += more
	a.kinds[kind] += more
	if !r.shared {
		a.small += more
		return
	}
	a.shared += more
	if kind == KindBody {
		a.addBody(r, more)
	}
	a.addToCaller(r, more)
}

func (a *Account) addBody(r *Request, more int64) {
	a.bodies += more
	if r.caller.Team != "" && a.cfg.Limit > 0 {
		addTo(a.teamBodies, r.caller.Team, more)
	}
}

// moveToShared counts a request that is not small, or slow, against the shared part from now on.
func (a *Account) moveToShared(r *Request) {
	if r.shared {
		return
	}
	r.shared = true
	a.small -= r.total
	a.shared += r.total
	a.addBody(r, r.held[KindBody])
	a.addToCaller(r, r.total)
}

func (a *Account) addToCaller(r *Request, more int64) {
	if a.cfg.Limit <= 0 {
		return
	}
	addTo(a.connections, r.caller.Connection, more)
	if r.caller.Team != "" {
		addTo(a.teams, r.caller.Team, more)
	}
}

func addTo(held map[string]int64, key string, more int64) {
	held[key] += more
	if held[key] == 0 {
		delete(held, key)
	}
}

// excess returns the bytes by which the parts exceed the level at which memory counts as short.
func (a *Account) excess() int64 {
	shared := a.shared - part(a.cfg.Limit-a.cfg.SmallPart, shortShare)
	small := a.small - part(a.cfg.SmallPart, shortShare)
	return max(shared, 0) + max(small, 0)
}

// endSlow returns slow requests to be ended, those that hold most first, until enough memory is left without them: needed bytes for a request
// that was not admitted, for which those are ended that mayEnd allows, and enough that memory isn't short.
func (a *Account) endSlow(now time.Time, needed int64, mayEnd func(*Request) bool) []*Request {
	var slow []*Request
	short := a.excess()
	excess := max(short, needed)
	if excess == 0 {
		return nil
	}
	for r := range a.requests {
		switch {
		case r.ended:
			excess -= r.total
		case a.isSlow(now, r) && (short > 0 || mayEnd(r)):
			a.moveToShared(r)
			slow = append(slow, r)
		}
	}
	slices.SortFunc(slow, func(x, y *Request) int {
		return cmp.Or(cmp.Compare(y.total, x.total), x.slowSince().Compare(y.slowSince()))
	})
	count := 0
	for ; count < len(slow) && excess > 0; count++ {
		slow[count].ended = true
		excess -= slow[count].total
	}
	return slow[:count]
}
