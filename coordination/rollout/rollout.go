// Package rollout decides when a host loads a new version into its worker, so that only a part of an upstream's replicas
// load at the same time and all have loaded by a deadline.
package rollout

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Config holds the settings of the waves.
type Config struct {
	// Waves is the number of groups that load one after another.
	Waves int
	// First is the time from the naming of a version to the first wave, Interval that between two waves.
	First    time.Duration
	Interval time.Duration
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{Waves: 3, First: 2500 * time.Millisecond, Interval: 1400 * time.Millisecond}
}

// State is what a decision is made on.
type State struct {
	Now time.Time
	// Wanted is the version to serve; 0 means none.
	Wanted int64
	// Loaded is the version that the worker has loaded whole; 0 means none.
	Loaded int64
	// Busy says that the worker is carrying out an order.
	Busy bool
	// Complete says that all pieces of the wanted version are staged.
	Complete bool
	// Turn is the earliest time to load.
	Turn time.Time
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
	case !state.Complete:
		return ActionFetch
	case state.Busy:
		return ActionWait
	case state.Loaded != 0 && state.Now.Before(state.Turn):
		return ActionWait
	default:
		return ActionLoad
	}
}

// Turn returns the earliest time at which the replica at address loads, when named is the oldest version that it lacks.
// Replicas of one failure domain are spread
// over the waves in an order that differs between versions.
func Turn(cfg Config, named fleet.Named, members []fleet.Member, upstream core.Upstream, address string) time.Time {
	var own *fleet.Member
	for i := range members {
		if members[i].Address == address {
			own = &members[i]
		}
	}
	if own == nil {
		return named.Since.Add(cfg.First)
	}
	wave := position(named.Version, members, upstream, own) % max(cfg.Waves, 1)
	return named.Since.Add(cfg.First + time.Duration(wave)*cfg.Interval)
}

// position returns the place of a replica in the order of its failure domain, shifted by the place of the failure domain so
// that failure domains with one replica each do not all load first.
func position(version int64, members []fleet.Member, upstream core.Upstream, own *fleet.Member) int {
	place := 0
	var domains []core.FailureDomain
	weight := func(m *fleet.Member) uint64 {
		return xxhash.Sum64String(string(m.ID) + "/" + strconv.FormatInt(version, 10))
	}
	for i := range members {
		m := &members[i]
		if m.Upstream != upstream {
			continue
		}
		if !slices.Contains(domains, m.FailureDomain) {
			domains = append(domains, m.FailureDomain)
		}
		if m.FailureDomain == own.FailureDomain && m.ID != own.ID && weight(m) < weight(own) {
			place++
		}
	}
	slices.Sort(domains)
	return place + slices.Index(domains, own.FailureDomain)
}
