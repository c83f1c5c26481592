// Package rollout decides when a host loads a new version into its worker, so that only a part of an upstream's replicas
// load at the same time and all have loaded by a deadline.
package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Config holds the settings of a rollout.
type Config struct {
	// FirstLoadDelay and Last are the times from the naming of a version to the first and to the last load.
	FirstLoadDelay time.Duration
	LastLoadDelay  time.Duration
	// SupersededSpread is the time over which loads are spread when a newer version has been named meanwhile.
	SupersededSpread time.Duration
	// FetchTime is the time that the pieces of a version usually take to reach a host.
	FetchTime time.Duration
	// LoadTime is the time that a worker usually takes to end its requests and to load.
	LoadTime time.Duration
	// ActivationDelay is the time from the naming of a version to the moment from which only replicas that serve it get work; 0
	// means that there is none.
	ActivationDelay time.Duration
}

// DefaultConfig returns the settings used where versions have no bound.
func DefaultConfig() Config {
	return Config{
		FirstLoadDelay:   3 * time.Second,
		LastLoadDelay:    5200 * time.Millisecond,
		SupersededSpread: 2200 * time.Millisecond,
		FetchTime:        3500 * time.Millisecond,
		LoadTime:         time.Second,
	}
}

// lastLoadMargin is the time between the last load and the moment from which the older version gets no work.
const lastLoadMargin = 100 * time.Millisecond

// ConfigFor returns the settings for a version that gets all work from the time activate after its naming. Loads are spread
// over all of the time that is left, because a worker takes no work while it ends its requests and loads.
func ConfigFor(activate time.Duration) Config {
	cfg := DefaultConfig()
	cfg.ActivationDelay = activate
	if activate > 0 {
		cfg.FirstLoadDelay = min(cfg.FirstLoadDelay, activate/2)
		cfg.LastLoadDelay = max(activate-lastLoadMargin, cfg.FirstLoadDelay)
	}
	return cfg
}

// NextVersion returns the version that a host brings in next, or 0. It is the newest one, unless an older one that the worker
// lacks is staged and comes into force before the newest could be there, or is about to be staged: the origin may fail before
// the newest has left it. loaded is the version loaded or being loaded.
func NextVersion(cfg Config, now time.Time, wanted fleet.Wanted, loaded, staged int64) int64 {
	pending, ok := wanted.Pending(loaded)
	if !ok || cfg.ActivationDelay <= 0 || pending.Version == wanted.Newest() {
		return wanted.Newest()
	}
	goesOn := false
	if pending.Version == staged {
		goesOn = finishes(cfg, now, pending)
	} else {
		goesOn = collects(cfg, now, wanted, pending)
	}
	if goesOn {
		return pending.Version
	}
	return wanted.Newest()
}

// finishes reports whether a staged version is loaded although a newer one has been named.
func finishes(cfg Config, now time.Time, pending fleet.WantedVersion) bool {
	due := pending.Since.Add(cfg.ActivationDelay)
	newestServes := now.Add(cfg.FetchTime + cfg.LoadTime)
	return due.After(now) && due.Before(newestServes)
}

// collects reports whether the fetch of a version goes on although a newer one has been named: it does when at least half of
// its usual time had passed by then, and ends with its usual time, so that enough is left for the newer one.
func collects(cfg Config, now time.Time, wanted fleet.Wanted, pending fleet.WantedVersion) bool {
	next, _ := wanted.Pending(pending.Version)
	head := next.Since.Sub(pending.Since)
	return !pending.Since.IsZero() && head >= cfg.FetchTime/2 && now.Before(pending.Since.Add(cfg.FetchTime))
}

// State is what a decision is made on.
type State struct {
	Now time.Time
	// Wanted is the version to serve; 0 means none.
	Wanted int64
	// Loaded is the version that the worker has loaded whole or is loading; 0 means none.
	Loaded int64
	// Busy says that the worker is carrying out an order.
	Busy bool
	// Staged says that all pieces of the wanted version are staged.
	Staged bool
	// EarliestLoad is the earliest time to load.
	EarliestLoad time.Time
}

// Action is what a host does next.
type Action string

// Actions.
const (
	// ActionNone means that nothing is to be done.
	ActionNone Action = "none"
	// ActionFetch means that pieces of the wanted version are missing.
	ActionFetch Action = "fetch"
	// ActionWait means that the worker is busy, or that other hosts load first.
	ActionWait Action = "wait"
	// ActionLoad means that the staged pieces are to be checked and loaded now.
	ActionLoad Action = "load"
)

// Decide returns the next action of a host. A worker without any version loads as soon as it can.
func Decide(state State) Action {
	switch {
	case state.Wanted == 0, state.Loaded >= state.Wanted:
		return ActionNone
	case !state.Staged:
		return ActionFetch
	case state.Busy:
		return ActionWait
	case state.Loaded != 0 && state.Now.Before(state.EarliestLoad):
		return ActionWait
	default:
		return ActionLoad
	}
}

// EarliestLoadTime returns the earliest time at which the replica at address loads when its worker has the version loaded. The loads are
// spread evenly, in an order that differs between versions.
func EarliestLoadTime(cfg Config, wanted fleet.Wanted, loaded int64, members []fleet.Member, upstream core.Upstream, address string) time.Time {
	named, _ := wanted.Pending(loaded)
	spread := cfg.LastLoadDelay - cfg.FirstLoadDelay
	if named.Version != wanted.Newest() {
		spread = min(spread, cfg.SupersededSpread)
	}
	var own *fleet.Member
	for i := range members {
		if members[i].Address == address {
			own = &members[i]
		}
	}
	if own == nil {
		return named.Since.Add(cfg.FirstLoadDelay)
	}
	return named.Since.Add(cfg.FirstLoadDelay + time.Duration(place(named.Version, members, upstream, own)*float64(spread)))
}

// place returns the place of a replica among those of its upstream, from 0 for the first to 1 for the last. The order
// alternates between failure domains, so that no failure domain loads as a whole.
func place(version int64, members []fleet.Member, upstream core.Upstream, own *fleet.Member) float64 {
	type key struct {
		rank   int
		domain core.FailureDomain
	}
	weight := func(m *fleet.Member) uint64 {
		return xxhash.Sum64String(string(m.ID) + "/" + strconv.FormatInt(version, 10))
	}
	ranked := map[core.FailureDomain][]*fleet.Member{}
	for i := range members {
		if m := &members[i]; m.Upstream == upstream {
			ranked[m.FailureDomain] = append(ranked[m.FailureDomain], m)
		}
	}
	var order []key
	var ownKey key
	for domain, list := range ranked {
		slices.SortFunc(list, func(a, b *fleet.Member) int { return cmp.Compare(weight(a), weight(b)) })
		for rank, m := range list {
			order = append(order, key{rank: rank, domain: domain})
			if m.ID == own.ID {
				ownKey = key{rank: rank, domain: domain}
			}
		}
	}
	if len(order) < 2 {
		return 0
	}
	slices.SortFunc(order, func(a, b key) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.domain, b.domain)) })
	return float64(slices.Index(order, ownKey)) / float64(len(order)-1)
}
