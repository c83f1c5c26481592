package fleet

import (
	"cmp"
	"slices"
	"time"
)

// maxWantedVersions bounds the versions kept per model. All that became wanted within one activation delay are needed; the bound is for
// operators that set one every 0.2 s for longer than that.
const maxWantedVersions = 64

// WantedVersion is a model version that operators set as the target.
type WantedVersion struct {
	Version int64
	// Since is the start of the activation delay: the time at which the version was set as the target, a lower bound of it, or
	// the end of a later store outage. Zero means unknown.
	Since time.Time
	// Until is an upper bound of that time, not before Since; zero if there is none.
	Until time.Time
	// Restarted is set if Since is the end of an outage of the store that this host has noticed. Others may not have.
	Restarted bool
}

// maxTimeSpread is the distance of the bounds of a version's time from which on the time of other hosts is asked for. Reads of the store
// are mostly within it.
const maxTimeSpread = time.Second

// minTimeGain is the shift of a version's time below which it stays as it is, so that each small gain doesn't make a new view.
const minTimeGain = 100 * time.Millisecond

// LacksTime reports whether other hosts may know the time of the version more closely.
func (w WantedVersion) LacksTime() bool {
	return w.Since.IsZero() || w.Until.Sub(w.Since) > maxTimeSpread
}

// narrow returns the version with the bounds that follow from its own and from those that another host has told. If they contradict each
// other, one of them is too late, and the earlier ones hold: a version that counts as wanted too late is served after its successor
// is due.
func (w WantedVersion) narrow(since, until time.Time) WantedVersion {
	switch {
	case !w.Until.IsZero() && since.After(w.Until), w.Restarted && w.Since.After(until):
		return w
	case w.Since.After(until):
		w.Since, w.Until = since, until
		return w
	}
	w.Since = later(w.Since, since)
	if w.Until.IsZero() || until.Before(w.Until) {
		w.Until = until
	}
	return w
}

// Wanted holds the versions of a model that operators set as the target, the newest last. The activation delay of each runs
// separately, so that a newer version doesn't restart the delay of an older one.
type Wanted []WantedVersion

// Newest returns the version that every replica should serve, or 0.
func (w Wanted) Newest() int64 {
	if len(w) == 0 {
		return 0
	}
	return w[len(w)-1].Version
}

// Due returns the newest version that has been wanted for at least the given delay, or 0. A version of unknown time is due.
func (w Wanted) Due(now time.Time, delay time.Duration) int64 {
	for _, wanted := range slices.Backward(w) {
		if now.Sub(wanted.Since) >= delay {
			return wanted.Version
		}
	}
	return 0
}

// Pending returns the oldest wanted version that is newer than loaded.
func (w Wanted) Pending(loaded int64) (WantedVersion, bool) {
	for _, wanted := range w {
		if wanted.Version > loaded {
			return wanted, true
		}
	}
	return WantedVersion{}, false
}

// With returns a copy of w with a version added, or w if the version is not newer than all of w.
func (w Wanted) With(wanted WantedVersion) Wanted {
	if wanted.Version <= w.Newest() {
		return w
	}
	next := append(slices.Clone(w), wanted)
	return next[max(len(next)-maxWantedVersions, 0):]
}

// ClampSince returns w with every earlier Since moved up to at. After an outage of the store that ended at that time, this
// restarts the activation delay of the versions that were set before or during it.
func (w Wanted) ClampSince(at time.Time) Wanted {
	next := slices.Clone(w)
	for i := range next {
		if next[i].Since.Before(at) {
			next[i].Since, next[i].Until, next[i].Restarted = at, later(next[i].Until, at), true
		}
	}
	return next
}

// LacksTime reports whether w lacks a version, or other hosts may know its time more closely.
func (w Wanted) LacksTime(version int64) bool {
	i, found := w.find(version)
	return !found || w[i].LacksTime()
}

// WithTime returns w with the bounds of a version's time that another host has told, and reports whether w changed. A version that w lacks
// is added if it is older than the newest: a process that started later has seen only the newest.
func (w Wanted) WithTime(told WantedVersion) (Wanted, bool) {
	i, found := w.find(told.Version)
	if i == len(w) {
		return w, false
	}
	if !found && i == 0 && len(w) >= maxWantedVersions {
		return w, false
	}
	if !found {
		next := slices.Insert(slices.Clone(w), i, told)
		return next[max(len(next)-maxWantedVersions, 0):], true
	}
	narrowed := w[i].narrow(told.Since, told.Until)
	gain := narrowed.Since.Sub(w[i].Since)
	if gain >= 0 && gain < minTimeGain && narrowed.LacksTime() == w[i].LacksTime() {
		return w, false
	}
	next := slices.Clone(w)
	next[i] = narrowed
	return next, true
}

// find returns the position of a version in w, or the one at which it would be inserted.
func (w Wanted) find(version int64) (int, bool) {
	return slices.BinarySearchFunc(w, version, func(n WantedVersion, v int64) int { return cmp.Compare(n.Version, v) })
}
