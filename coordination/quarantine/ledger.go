package quarantine

import (
	"slices"
	"time"
)

// Ledger holds the notices that a host knows. It merges those of other hosts in any order and any number of times.
type Ledger struct {
	cfg    Config
	digest uint64
	// ids holds the IDs of all notices.
	ids         map[uint64]bool
	losses      map[uint64]Notice
	quarantines map[uint64]Notice
	ended       map[Process]Notice
	// sound holds the latest notice of each part.
	sound map[Key]Notice
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, ids: make(map[uint64]bool), losses: make(map[uint64]Notice), quarantines: make(map[uint64]Notice),
		ended: make(map[Process]Notice), sound: make(map[Key]Notice),
	}
}

// Add adds a notice. It returns false if the ledger has the notice or one that makes it superfluous, if the notice has expired, or if
// it is older than others for which there is room.
func (l *Ledger) Add(now time.Time, n Notice) bool {
	l.Expire(now)
	if l.ids[n.ID] || l.expired(now, n) {
		return false
	}
	switch {
	case n.Loss != nil:
		return add(l, l.losses, n.ID, n)
	case n.Quarantine != nil:
		if l.soundSince(n.Quarantine.Key, n.At) {
			return false
		}
		return add(l, l.quarantines, n.ID, n)
	case n.Ended != nil:
		return add(l, l.ended, *n.Ended, n)
	case n.Sound != nil:
		if known, ok := l.sound[*n.Sound]; ok && !n.At.After(known.At) {
			return false
		}
		l.lift(*n.Sound, n.At)
		return add(l, l.sound, *n.Sound, n)
	}
	return false
}

// add puts a notice into one of the maps in place of the one with the same key. If there are too many it removes the oldest; it returns
// false if that is n itself.
func add[K comparable](l *Ledger, notices map[K]Notice, key K, n Notice) bool {
	if replaced, ok := notices[key]; ok {
		l.forget(replaced)
	} else if len(notices) >= l.cfg.MaxNotices {
		oldestKey, oldest := key, n
		for k, other := range notices {
			if olderFirst(other, oldest) < 0 {
				oldestKey, oldest = k, other
			}
		}
		if oldest.ID == n.ID {
			return false
		}
		l.forget(oldest)
		delete(notices, oldestKey)
	}
	notices[key] = n
	l.ids[n.ID] = true
	l.digest ^= n.ID
	return true
}

func (l *Ledger) forget(n Notice) {
	delete(l.ids, n.ID)
	l.digest ^= n.ID
}

// Digest returns a number that is the same for two ledgers with the same notices, and 0 for an empty one.
func (l *Ledger) Digest() uint64 { return l.digest }

// Notices returns all notices, oldest first.
func (l *Ledger) Notices() []Notice {
	notices := make([]Notice, 0, len(l.ids))
	notices = appendAll(notices, l.losses)
	notices = appendAll(notices, l.quarantines)
	notices = appendAll(notices, l.ended)
	notices = appendAll(notices, l.sound)
	slices.SortFunc(notices, olderFirst)
	return notices
}

func appendAll[K comparable](list []Notice, notices map[K]Notice) []Notice {
	for _, n := range notices {
		list = append(list, n)
	}
	return list
}

func olderFirst(a, b Notice) int {
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Expire removes the notices that are too old to matter.
func (l *Ledger) Expire(now time.Time) {
	expire(l, l.losses, now)
	expire(l, l.quarantines, now)
	expire(l, l.ended, now)
	expire(l, l.sound, now)
}

func expire[K comparable](l *Ledger, notices map[K]Notice, now time.Time) {
	for key, n := range notices {
		if l.expired(now, n) {
			l.forget(n)
			delete(notices, key)
		}
	}
}

// expired reports whether a notice is too old to matter. A quarantine that has run out is kept for as long again, so that a trial
// comes before the part is used as any other.
func (l *Ledger) expired(now time.Time, n Notice) bool {
	lifetime := l.cfg.Window
	if n.Quarantine != nil {
		lifetime = 2 * l.cfg.duration(n.Quarantine)
	}
	return now.Sub(n.At) > lifetime
}

// lift removes the quarantines of a part that were decided up to a time. A notice that the part is sound does not have to be kept for as
// long as them: within its lifetime all hosts hear of it.
func (l *Ledger) lift(key Key, until time.Time) {
	for id, n := range l.quarantines {
		if n.Quarantine.Key == key && !n.At.After(until) {
			l.forget(n)
			delete(l.quarantines, id)
		}
	}
}

// soundSince reports whether a part is known to be sound from a time on.
func (l *Ledger) soundSince(key Key, at time.Time) bool {
	n, ok := l.sound[key]
	return ok && !n.At.Before(at)
}
