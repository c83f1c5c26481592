package fleet

import (
	"cmp"
	"slices"
	"time"
)

// maxNamed bounds the versions of a model that are remembered; two may be named within the time that one has.
const maxNamed = 8

// WantedVersion is a version that operators named.
type WantedVersion struct {
	Version int64
	// Since is when the version was named, or a time before that; zero means that it is not known.
	Since time.Time
}

// Wanted holds the versions of a model that operators named, the newest last. Each has its own time to come into force.
type Wanted []WantedVersion

// Newest returns the version that every replica should serve, or 0.
func (w Wanted) Newest() int64 {
	if len(w) == 0 {
		return 0
	}
	return w[len(w)-1].Version
}

// Due returns the newest version that was named at least after ago, or 0. A version whose time is not known is due.
func (w Wanted) Due(now time.Time, after time.Duration) int64 {
	for _, named := range slices.Backward(w) {
		if now.Sub(named.Since) >= after {
			return named.Version
		}
	}
	return 0
}

// Pending returns the oldest version named that is newer than loaded.
func (w Wanted) Pending(loaded int64) (WantedVersion, bool) {
	for _, named := range w {
		if named.Version > loaded {
			return named, true
		}
	}
	return WantedVersion{}, false
}

// With returns w with a version added, unless w holds a newer one.
func (w Wanted) With(named WantedVersion) Wanted {
	if named.Version <= w.Newest() {
		return w
	}
	next := append(slices.Clone(w), named)
	return next[max(len(next)-maxNamed, 0):]
}

// ClampSince returns w with no version named before the given time: for a store that was away until then, the versions named
// before come into force as if they had been named at its return.
func (w Wanted) ClampSince(at time.Time) Wanted {
	next := slices.Clone(w)
	for i := range next {
		if next[i].Since.Before(at) {
			next[i].Since = at
		}
	}
	return next
}

// WithSince returns w with the time at which a version was named, where w does not know it. A version older than the newest is
// added: a process that has started since saw only the newest.
func (w Wanted) WithSince(version int64, since time.Time) (Wanted, bool) {
	at, found := slices.BinarySearchFunc(w, version, func(n WantedVersion, v int64) int { return cmp.Compare(n.Version, v) })
	if at == len(w) || found && !w[at].Since.IsZero() {
		return w, false
	}
	next := slices.Clone(w)
	if found {
		next[at].Since = since
		return next, true
	}
	return slices.Insert(next, at, WantedVersion{Version: version, Since: since}), true
}
