package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// registrationGrace is how long after an outage of the store a missing registration is kept. Registrations expire while the
// store is unavailable, and live replicas register again within about two seconds of its recovery. A process that alone lost
// its connection cannot tell an expired registration from a replica that left, so the grace period stays below the three
// seconds after which the platform expects removals to be honored again.
const registrationGrace = 1900 * time.Millisecond

// registration is a replica's registration and the revision that set it.
type registration struct {
	member   Member
	revision int64
	// removeAt is set while a registration is missing from the store but may be renewed; it is removed at this time.
	removeAt time.Time
}

// Table collects the records of the store and builds views of them. It is not safe for concurrent use.
type Table struct {
	configuration *Configuration
	replicas      map[ReplicaID]*registration
	evacuated     map[core.FailureDomain]bool
	wanted        map[core.Model]Wanted
	// storeRecoveredAt is the end of the store's last outage.
	storeRecoveredAt time.Time

	// indexed caches the lookup maps of the configuration; nil after a change.
	indexed *View
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		replicas:  make(map[ReplicaID]*registration),
		evacuated: make(map[core.FailureDomain]bool),
		wanted:    make(map[core.Model]Wanted),
	}
}

// StoreRecovered records that the store responds again after an outage. shared is true if most processes could not reach it,
// rather than this one alone; the activation delay of the wanted versions then starts again.
func (t *Table) StoreRecovered(now time.Time, shared bool) {
	t.storeRecoveredAt = now
	if !shared {
		return
	}
	for model, wanted := range t.wanted {
		t.wanted[model] = wanted.ClampSince(now)
	}
}

// SetConfiguration stores a configuration unless a later one is in force. It reports whether it was stored.
func (t *Table) SetConfiguration(c *Configuration) bool {
	if t.configuration != nil && c.Version <= t.configuration.Version {
		return false
	}
	t.configuration = c
	t.indexed = nil
	return true
}

// SetReplica stores a registration unless the table holds a later revision.
func (t *Table) SetReplica(now time.Time, revision int64, r *Replica) {
	previous := t.replicas[r.ID]
	if previous != nil && revision < previous.revision {
		return
	}
	next := &registration{revision: revision, member: Member{Replica: *r}}
	if previous != nil {
		next.member.ColdUntil = previous.member.ColdUntil
		// Draining is final within one run of the replica; a late registration must not undo it.
		next.member.Draining = r.Draining || previous.member.Draining && previous.member.Born == r.Born
	}
	if r.ColdRemaining > 0 {
		next.member.ColdUntil = later(next.member.ColdUntil, now.Add(r.ColdRemaining))
	}
	t.replicas[r.ID] = next
}

// RemoveReplica removes a registration. Within the grace period after an outage it only schedules the removal, unless the
// replica was draining.
func (t *Table) RemoveReplica(now time.Time, id ReplicaID) {
	existing := t.replicas[id]
	if existing == nil {
		return
	}
	graceEnd := t.storeRecoveredAt.Add(registrationGrace)
	if existing.member.Draining || t.storeRecoveredAt.IsZero() || !now.Before(graceEnd) {
		delete(t.replicas, id)
		return
	}
	existing.removeAt = graceEnd
}

// RemoveUnlisted calls RemoveReplica for every registration that is missing from a full list.
func (t *Table) RemoveUnlisted(now time.Time, listed map[ReplicaID]bool) {
	for id := range t.replicas {
		if !listed[id] {
			t.RemoveReplica(now, id)
		}
	}
}

// SetEvacuated takes a failure domain out of service or returns it to service. Returned replicas count as cold,
// because they may have become cold meanwhile.
func (t *Table) SetEvacuated(now time.Time, domain core.FailureDomain, out bool) {
	if t.evacuated[domain] == out {
		return
	}
	if out {
		t.evacuated[domain] = true
		return
	}
	delete(t.evacuated, domain)
	for _, e := range t.replicas {
		if e.member.FailureDomain == domain && t.configuration != nil {
			spec := t.configuration.Upstreams[e.member.Upstream]
			e.member.ColdUntil = later(e.member.ColdUntil, now.Add(spec.ColdStart))
		}
	}
}

// Evacuated returns the failure domains that are out of service, in no order.
func (t *Table) Evacuated() []core.FailureDomain { return slices.Collect(maps.Keys(t.evacuated)) }

// SetWanted stores a weight target unless the same or a newer version is wanted. since is the time at which operators set the
// target, a lower bound of it, or zero when it is unknown. It reports whether the version was stored.
func (t *Table) SetWanted(since time.Time, target WeightTarget) bool {
	current := t.wanted[target.Model]
	if target.Version <= current.Newest() {
		return false
	}
	t.wanted[target.Model] = current.With(WantedVersion{Version: target.Version, Since: since})
	return true
}

// SetWantedSince stores the time since which a version is wanted if it was unknown. It reports whether it was stored.
func (t *Table) SetWantedSince(model core.Model, version int64, since time.Time) bool {
	next, changed := t.wanted[model].WithSince(version, since)
	if changed {
		t.wanted[model] = next
	}
	return changed
}

// Expire removes registrations that were not renewed in time after an outage and reports whether there were any.
func (t *Table) Expire(now time.Time) bool {
	before := len(t.replicas)
	maps.DeleteFunc(t.replicas, func(_ ReplicaID, e *registration) bool {
		return !e.removeAt.IsZero() && !now.Before(e.removeAt)
	})
	return len(t.replicas) != before
}

// View returns a snapshot of the table. Members are sorted by ID.
func (t *Table) View() *View {
	if t.indexed == nil {
		t.indexed = &View{Configuration: t.configuration}
		t.indexed.buildIndex()
	}
	view := &View{
		Configuration: t.configuration,
		Wanted:        maps.Clone(t.wanted),
		routes:        t.indexed.routes,
		teams:         t.indexed.teams,
	}
	for _, id := range slices.Sorted(maps.Keys(t.replicas)) {
		member := t.replicas[id].member
		member.Evacuated = t.evacuated[member.FailureDomain]
		view.Members = append(view.Members, member)
	}
	return view
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
