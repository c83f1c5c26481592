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

const (
	// evacuationGrace is how long after the store came back from an older copy a missing evacuation is kept. Operators write
	// it again, and work sent to the failure domain meanwhile would break the promise that it receives none.
	evacuationGrace = 5 * time.Second
	// reappearanceGrace is how long after the store came back from an older copy a registration that had been removed before is
	// not used. The store removes it after three missed heartbeats, about 4 s, unless the replica writes it again.
	reappearanceGrace = 5 * time.Second
	// departureRetention is how long a removed registration is remembered. The copies that the store comes back from are at
	// most its history old, 20 s.
	departureRetention = time.Minute
)

// registration is a replica's registration and the revision that set it.
type registration struct {
	member   Member
	revision int64
	// removeAt is set while a registration is missing from the store but may be renewed; it is removed at this time.
	removeAt time.Time
	// unconfirmedUntil is set while a registration may only be part of an older copy of the store.
	unconfirmedUntil time.Time
}

// departure is what is remembered of a removed registration.
type departure struct {
	born     int64
	draining bool
	at       time.Time
}

// evacuation is the record that a failure domain is out of service.
type evacuation struct {
	// removeAt is set while the record is missing from a store that came back from an older copy; it is removed at this time.
	removeAt time.Time
}

// Table collects the records of the store and builds views of them. It is not safe for concurrent use.
type Table struct {
	configuration *Configuration
	// keysRequired is set by the first configuration with a list of teams. A later one without the list doesn't open the service: it takes
	// all keys away.
	keysRequired bool
	replicas     map[ReplicaID]*registration
	departed     map[ReplicaID]departure
	evacuated    map[core.FailureDomain]*evacuation
	wanted       map[core.Model]Wanted
	// storeRecoveredAt is the end of the store's last outage, restoredAt the time at which it last came back from an older copy.
	storeRecoveredAt time.Time
	restoredAt       time.Time

	// indexed caches the lookup maps of the configuration; nil after a change.
	indexed *View
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		replicas:  make(map[ReplicaID]*registration),
		departed:  make(map[ReplicaID]departure),
		evacuated: make(map[core.FailureDomain]*evacuation),
		wanted:    make(map[core.Model]Wanted),
	}
}

// StoreRecovered records that the store responds again after an outage.
func (t *Table) StoreRecovered(now time.Time) { t.storeRecoveredAt = now }

// RestartActivation restarts the activation delay of the wanted versions at the end of an outage of the store, or a lower bound of that
// time. It is for outages in which most processes could not reach the store, rather than this one alone.
func (t *Table) RestartActivation(end time.Time) {
	for model, wanted := range t.wanted {
		t.wanted[model] = wanted.ClampSince(end)
	}
}

// StoreRestored records that the store came back from an older copy. What it acknowledged since that copy is missing until it is
// written again, what was deleted since is there again, and its revisions have gone back. The table keeps what it knows: missing
// registrations and evacuations for a grace period, and the newest configuration and wanted versions for good.
func (t *Table) StoreRestored(now time.Time) {
	t.storeRecoveredAt, t.restoredAt = now, now
	for _, existing := range t.replicas {
		existing.revision = 0
	}
}

// SetConfiguration stores a configuration unless a later one is in force. It reports whether it was stored.
func (t *Table) SetConfiguration(c *Configuration) bool {
	if t.configuration != nil && c.Version <= t.configuration.Version {
		return false
	}
	t.configuration = c
	t.keysRequired = t.keysRequired || !c.KeysOptional
	t.indexed = nil
	return true
}

// KeysOptional reports whether requests need no API key: the table has a configuration, and none so far has had a list of teams.
func (t *Table) KeysOptional() bool { return t.configuration != nil && !t.keysRequired }

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
	if previous == nil {
		t.recallDeparture(now, next)
	}
	if r.ColdRemaining > 0 {
		next.member.ColdUntil = later(next.member.ColdUntil, now.Add(r.ColdRemaining))
	}
	t.replicas[r.ID] = next
}

// recallDeparture applies what is known of an earlier, removed registration of the same process. Draining is final. A registration
// that reappears in an older copy of the store is not used until the store has had time to remove it again.
func (t *Table) recallDeparture(now time.Time, next *registration) {
	left, ok := t.departed[next.member.ID]
	if !ok || left.born != next.member.Born {
		return
	}
	next.member.Draining = next.member.Draining || left.draining
	graceEnd := t.restoredAt.Add(reappearanceGrace)
	if !t.restoredAt.IsZero() && left.at.Before(t.restoredAt) && now.Before(graceEnd) {
		next.unconfirmedUntil = graceEnd
	}
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
		t.deleteReplica(now, existing)
		return
	}
	existing.removeAt = graceEnd
}

// deleteReplica deletes a registration and remembers its departure.
func (t *Table) deleteReplica(now time.Time, existing *registration) {
	delete(t.replicas, existing.member.ID)
	t.departed[existing.member.ID] = departure{born: existing.member.Born, draining: existing.member.Draining, at: now}
}

// RemoveUnlisted calls RemoveReplica for every registration that is missing from a full list.
func (t *Table) RemoveUnlisted(now time.Time, listed map[ReplicaID]bool) {
	for id := range t.replicas {
		if !listed[id] {
			t.RemoveReplica(now, id)
		}
	}
}

// SetEvacuated takes a failure domain out of service or returns it to service.
func (t *Table) SetEvacuated(now time.Time, domain core.FailureDomain, out bool) {
	if out {
		t.evacuated[domain] = &evacuation{}
		return
	}
	if t.evacuated[domain] != nil {
		t.returnToService(now, domain)
	}
}

// returnToService returns a failure domain to service. Its replicas count as cold, because they may have become cold meanwhile.
func (t *Table) returnToService(now time.Time, domain core.FailureDomain) {
	delete(t.evacuated, domain)
	for _, e := range t.replicas {
		if e.member.FailureDomain == domain && t.configuration != nil {
			spec := t.configuration.Upstreams[e.member.Upstream]
			e.member.ColdUntil = later(e.member.ColdUntil, now.Add(spec.ColdStart))
		}
	}
}

// ReturnUnlisted returns the failure domains to service that are missing from a full list of the evacuations. Soon after the
// store came back from an older copy it only schedules the return.
func (t *Table) ReturnUnlisted(now time.Time, listed map[core.FailureDomain]bool) {
	graceEnd := t.restoredAt.Add(evacuationGrace)
	for domain, existing := range t.evacuated {
		switch {
		case listed[domain]:
		case !t.restoredAt.IsZero() && now.Before(graceEnd):
			existing.removeAt = graceEnd
		default:
			t.returnToService(now, domain)
		}
	}
}

// SetWanted stores a weight target unless the same or a newer version is wanted. since is the time at which operators set the
// target, or zero when it is unknown. It reports whether the version was stored.
func (t *Table) SetWanted(since time.Time, target WeightTarget) bool {
	return t.SetWantedVersion(target.Model, WantedVersion{Version: target.Version, Since: since, Until: since})
}

// SetWantedVersion is SetWanted for a version of which bounds of the time are known.
func (t *Table) SetWantedVersion(model core.Model, wanted WantedVersion) bool {
	current := t.wanted[model]
	if wanted.Version <= current.Newest() {
		return false
	}
	t.wanted[model] = current.With(wanted)
	return true
}

// NarrowWanted adds the bounds of a version's time that another host has told to what is known. It reports whether that changed.
func (t *Table) NarrowWanted(model core.Model, told WantedVersion) bool {
	next, changed := t.wanted[model].WithTime(told)
	if changed {
		t.wanted[model] = next
	}
	return changed
}

// Expire ends the grace periods that are over and reports whether that changed the view: it removes registrations and evacuations
// that were not renewed, and confirms registrations that are still there.
func (t *Table) Expire(now time.Time) bool {
	changed := false
	for _, existing := range t.replicas {
		switch {
		case expired(existing.removeAt, now):
			t.deleteReplica(now, existing)
			changed = true
		case expired(existing.unconfirmedUntil, now):
			existing.unconfirmedUntil = time.Time{}
			changed = true
		}
	}
	for domain, existing := range t.evacuated {
		if expired(existing.removeAt, now) {
			t.returnToService(now, domain)
			changed = true
		}
	}
	maps.DeleteFunc(t.departed, func(_ ReplicaID, d departure) bool { return now.Sub(d.at) > departureRetention })
	return changed
}

// expired reports whether a grace period that ends at the given time, if it is set, is over.
func expired(end, now time.Time) bool { return !end.IsZero() && !now.Before(end) }

// View returns a snapshot of the table. Members are sorted by ID.
func (t *Table) View() *View {
	if t.indexed == nil {
		t.indexed = &View{Configuration: t.configuration}
		t.indexed.buildIndex()
	}
	view := &View{
		Configuration: t.configuration,
		Wanted:        maps.Clone(t.wanted),
		KeysOptional:  t.KeysOptional(),
		routes:        t.indexed.routes,
		teams:         t.indexed.teams,
	}
	for _, id := range slices.Sorted(maps.Keys(t.replicas)) {
		existing := t.replicas[id]
		member := existing.member
		member.Evacuated = t.evacuated[member.FailureDomain] != nil
		member.Unconfirmed = !existing.unconfirmedUntil.IsZero()
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
