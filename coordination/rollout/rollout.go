// Package rollout decides when a host loads a new version into its worker, so that only some replicas of an upstream load at
// the same time and all have loaded by a deadline.
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
	// FirstLoadDelay and LastLoadDelay are the times from the moment a version becomes wanted to the first and to the last load.
	// A larger difference means fewer replicas that load at the same time.
	FirstLoadDelay time.Duration
	LastLoadDelay  time.Duration
	// FetchTime is the usual time to fetch all pieces of a version to a host where the bandwidths of the links are unknown.
	FetchTime time.Duration
	// LoadTime is the usual time for a worker to finish its requests and load a version.
	LoadTime time.Duration
	// ActivationDelay is the time from the moment a version becomes wanted until only replicas that serve it get requests; 0
	// means that replicas with older versions may always get requests.
	ActivationDelay time.Duration
}

// DefaultConfig returns the settings for versions without an activation delay.
func DefaultConfig() Config {
	return Config{
		FirstLoadDelay: 2500 * time.Millisecond,
		LastLoadDelay:  5200 * time.Millisecond,
		FetchTime:      3500 * time.Millisecond,
		LoadTime:       time.Second,
	}
}

// lastLoadMargin is the time between the last load and the moment from which the older version gets no requests.
const lastLoadMargin = 100 * time.Millisecond

// ConfigFor returns the settings for versions that get all requests from activationDelay after they become wanted. Loads are
// spread over all of the remaining time, because a worker takes no requests while it finishes its current ones and loads.
func ConfigFor(activationDelay time.Duration) Config {
	cfg := DefaultConfig()
	cfg.ActivationDelay = activationDelay
	if activationDelay > 0 {
		cfg.FirstLoadDelay = min(cfg.FirstLoadDelay, activationDelay/2)
		cfg.LastLoadDelay = max(activationDelay-lastLoadMargin, cfg.FirstLoadDelay)
	}
	return cfg
}

// State is the input of Decide.
type State struct {
	Now time.Time
	// Wanted is the version to serve; 0 means none.
	Wanted int64
	// Loaded is the version that the worker has loaded completely or is loading; 0 means none.
	Loaded int64
	// Busy is set while the worker executes a load order.
	Busy bool
	// Staged is set when all pieces of the wanted version are staged.
	Staged bool
	// Held is set if the version is staged only in case a newer one is late, and not to be loaded now.
	Held bool
	// Unanswered is set while the worker may still carry out an order for the wanted version that it has not answered.
	Unanswered bool
	// EarliestLoad is the earliest time to load, except for a worker without any version, or to send an unanswered order again.
	EarliestLoad time.Time
}

// Action is the next step of a host in a rollout.
type Action string

// Actions of a host.
const (
	// ActionNone means that no version is wanted or that it is already loaded or loading.
	ActionNone Action = "none"
	// ActionFetch means that pieces of the wanted version must be fetched.
	ActionFetch Action = "fetch"
	// ActionWait means that the worker is busy, or that other hosts load first.
	ActionWait Action = "wait"
	// ActionLoad means that the staged pieces must be verified and loaded now.
	ActionLoad Action = "load"
)

// Decide returns the next action of a host. A worker without any version does not wait for EarliestLoad.
func Decide(state State) Action {
	switch {
	case state.Wanted == 0, state.Loaded >= state.Wanted:
		return ActionNone
	case !state.Staged:
		return ActionFetch
	case state.Busy, state.Held:
		return ActionWait
	case (state.Loaded != 0 || state.Unanswered) && state.Now.Before(state.EarliestLoad):
		return ActionWait
	default:
		return ActionLoad
	}
}

// Load is a load of a version that is due at a replica.
type Load struct {
	Wanted fleet.Wanted
	// Loaded is the version that the worker has, Version the one to load.
	Loaded  int64
	Version int64
	// ReadyAt is the time from which the version is staged and to be loaded.
	ReadyAt  time.Time
	Members  []fleet.Member
	Upstream core.Upstream
	// Address is the address of the replica.
	Address string
}

// EarliestLoadTime returns the earliest time of a load. The loads of an upstream are spread evenly from the time at which the version
// was ready to the time at which the loaded weights no longer get requests, in an order that differs between versions. The first one
// waits for FirstLoadDelay, so that a version that is replaced soon is not loaded, unless the version is needed because of others that
// became wanted. A replica that is not among the members loads first.
func EarliestLoadTime(cfg Config, load Load) time.Time {
	pending, _ := load.Wanted.Pending(load.Loaded)
	first, last := load.ReadyAt, pending.Since.Add(cfg.LastLoadDelay)
	if load.Version == load.Wanted.Newest() && pending.Version == load.Version {
		if delayed := pending.Since.Add(cfg.FirstLoadDelay); delayed.After(first) {
			first = delayed
		}
	}
	if !first.Before(last) {
		return first
	}
	rank := RelativeRank(load.Version, load.Members, load.Upstream, load.Address)
	return first.Add(time.Duration(rank * float64(last.Sub(first))))
}

// RelativeRank returns the position of a replica in the sequence of loads of its upstream, from 0 for the first to 1 for the last. The
// sequence alternates between failure domains, so that the replicas of a failure domain don't all load at the same time.
func RelativeRank(version int64, members []fleet.Member, upstream core.Upstream, address string) float64 {
	var self *fleet.Member
	for i := range members {
		if members[i].Address == address {
			self = &members[i]
		}
	}
	if self == nil {
		return 0
	}
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
	var sequence []key
	var selfKey key
	for domain, list := range ranked {
		slices.SortFunc(list, func(a, b *fleet.Member) int { return cmp.Compare(weight(a), weight(b)) })
		for rank, m := range list {
			sequence = append(sequence, key{rank: rank, domain: domain})
			if m.ID == self.ID {
				selfKey = key{rank: rank, domain: domain}
			}
		}
	}
	if len(sequence) < 2 {
		return 0
	}
	slices.SortFunc(sequence, func(a, b key) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.domain, b.domain)) })
	return float64(slices.Index(sequence, selfKey)) / float64(len(sequence)-1)
}
