package follow

import (
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// take puts a batch into the table. asOf is the time up to which the batch holds all changes, unless it is stale.
func (f *Follower) take(kind feed.Kind, batch feed.Batch, whole, stale bool, asOf bootclock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Time()
	if f.silent(now) {
		f.log.WithField("silent_ms", now.Sub(f.answered).Milliseconds()).WithField("shared", f.sharedOutage).
			Info("store answers again")
		f.table.StoreRecovered(now, f.sharedOutage)
	}
	f.sharedOutage = false
	f.answered = now
	if kind == f.cfg.Kinds[0].Kind {
		close(f.probed)
		f.probed = make(chan struct{})
	}
	if kind == feed.KindConfiguration && !stale {
		f.confirmed.Store(int64(asOf))
	}
	since := f.current[kind]
	if !whole && bootclock.Since(asOf) > promptAnswer {
		// The change ended the wait, so it has just been made.
		since = now
	}
	for _, record := range batch.Records {
		f.apply(now, since, kind, record)
	}
	if !stale {
		f.current[kind] = time.Unix(0, int64(asOf))
	}
	if whole {
		f.reconcile(now, kind, batch.Records)
	}
	first := !f.listed[kind]
	f.listed[kind] = true
	if len(batch.Records) > 0 || whole || first {
		f.publish()
	}
}

// apply takes a record; since is a time before which it was not written, or zero where none is known.
func (f *Follower) apply(now, since time.Time, kind feed.Kind, record feed.Record) {
	if record.Err != nil {
		f.log.WithError(record.Err).WithField("kind", kind).WithField("name", record.Name).Warn("skip record")
	}
	if record.Removed || record.Err != nil {
		f.remove(now, kind, record.Name)
		return
	}
	switch value := record.Value.(type) {
	case *fleet.Configuration:
		if f.table.SetConfiguration(value) {
			f.log.WithField("version", value.Version).WithField("routes", len(value.Routes)).Info("configuration in force")
		}
	case *fleet.Replica:
		f.table.SetReplica(now, record.Revision, value)
	case fleet.Evacuation:
		f.table.SetEvacuated(now, value.FailureDomain, true)
		f.log.WithField("failure_domain", value.FailureDomain).Info("failure domain out of service")
	case fleet.WeightTarget:
		if f.table.SetWanted(since, value) {
			f.log.WithField("model", value.Model).WithField("version", value.Version).Info("version wanted")
		}
	}
}

func (f *Follower) remove(now time.Time, kind feed.Kind, name string) {
	switch kind {
	case feed.KindReplicas:
		f.table.RemoveReplica(now, fleet.ReplicaID(name))
	case feed.KindEvacuations:
		f.table.SetEvacuated(now, core.FailureDomain(name), false)
		f.log.WithField("failure_domain", name).Info("failure domain back in service")
	}
}

// reconcile removes what a full list no longer shows.
func (f *Follower) reconcile(now time.Time, kind feed.Kind, records []feed.Record) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		// A registration that no longer decodes names no replica to use.
		if record.Err == nil && !record.Removed {
			listed[record.Name] = true
		}
	}
	switch kind {
	case feed.KindReplicas:
		replicas := make(map[fleet.ReplicaID]bool, len(listed))
		for name := range listed {
			replicas[fleet.ReplicaID(name)] = true
		}
		f.table.RemoveUnlisted(now, replicas)
	case feed.KindEvacuations:
		for _, domain := range f.table.Evacuated() {
			if !listed[string(domain)] {
				f.table.SetEvacuated(now, domain, false)
			}
		}
	}
}

// publish makes a new view once every kind has been listed; the caller holds the lock.
func (f *Follower) publish() {
	if len(f.listed) < len(f.cfg.Kinds) {
		return
	}
	view := f.table.View()
	f.view.Store(view)
	for _, fn := range f.onChange {
		fn(view)
	}
}
