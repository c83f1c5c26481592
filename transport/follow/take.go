package follow

import (
	"time"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// applyBatch applies a batch to the table. isList marks the result of a list. asOf is the time up to which the batch holds
// all changes, unless it is stale.
func (f *Follower) applyBatch(kind feed.Kind, batch feed.Batch, isList, stale bool, asOf bootclock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.Era != f.era {
		// The store came back from an older copy after it sent the batch.
		return
	}
	now := bootclock.Time()
	if f.storeUnresponsive(now) {
		f.log.WithField("silent_ms", now.Sub(f.lastAnswered).Milliseconds()).WithField("shared", f.sharedOutage).
			Info("store answers again")
		f.table.StoreRecovered(now, f.sharedOutage)
	}
	f.sharedOutage = false
	f.lastAnswered = now
	if kind == f.cfg.Kinds[0].Kind {
		close(f.probeAnswered)
		f.probeAnswered = make(chan struct{})
	}
	if kind == feed.KindConfiguration && !stale && !time.Unix(0, int64(asOf)).Before(f.settledAt) {
		f.confirmedAt.Store(int64(asOf))
	}
	since := f.completeUntil[kind]
	if !isList && bootclock.Since(asOf) > promptResponseLimit {
		// The change ended the wait of the watch, so it was made just now.
		since = now
	}
	for _, record := range batch.Records {
		f.applyRecord(now, since, kind, record)
	}
	if !stale {
		f.completeUntil[kind] = time.Unix(0, int64(asOf))
	}
	if isList {
		f.removeUnlisted(now, kind, batch.Records)
	}
	first := !f.listed[kind]
	f.listed[kind] = true
	if len(batch.Records) > 0 || isList || first {
		f.publish()
	}
}

// applyRecord applies a record to the table. since is a time before which the record was not written, or zero if unknown.
func (f *Follower) applyRecord(now, since time.Time, kind feed.Kind, record feed.Record) {
	if record.Err != nil {
		f.log.WithError(record.Err).WithField("kind", kind).WithField("name", record.Name).Warn("skip record")
	}
	if record.Removed || record.Err != nil {
		f.removeRecord(now, kind, record.Name)
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

func (f *Follower) removeRecord(now time.Time, kind feed.Kind, name string) {
	switch kind {
	case feed.KindReplicas:
		f.table.RemoveReplica(now, fleet.ReplicaID(name))
	case feed.KindEvacuations:
		f.table.SetEvacuated(now, core.FailureDomain(name), false)
		f.log.WithField("failure_domain", name).Info("failure domain back in service")
	}
}

// removeUnlisted removes the replicas and evacuations that a full list no longer contains.
func (f *Follower) removeUnlisted(now time.Time, kind feed.Kind, records []feed.Record) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		// A registration that does not decode counts as removed.
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
		domains := make(map[core.FailureDomain]bool, len(listed))
		for name := range listed {
			domains[core.FailureDomain(name)] = true
		}
		f.table.ReturnUnlisted(now, domains)
	}
}

// publish stores a new view once every kind has been listed and calls the OnChange functions; the caller must hold the lock.
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
