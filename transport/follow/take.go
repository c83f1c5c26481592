package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// maxSkippedRecords bounds the records that are remembered as logged.
const maxSkippedRecords = 1000

// skippedRecord identifies a record that can't be decoded.
type skippedRecord struct {
	kind     feed.Kind
	name     string
	revision int64
}

// arrival describes how a batch was read.
type arrival struct {
	// list marks the result of a list, stale that of a list that may be older than the call.
	list, stale bool
	sent        bootclock.Instant
	// completeAt is the time up to which the store has confirmed that the batch holds all changes, unless it is stale.
	completeAt bootclock.Instant
}

// quietUntil returns the time up to which there was no change that the batch lacks. A relay that doesn't date changes is taken to learn
// them at once, although the store may have confirmed some time ago that there are no others.
func (a arrival) quietUntil(batch feed.Batch) time.Time {
	if batch.Relayed && !batch.Dated {
		return time.Unix(0, int64(a.sent)).Add(batch.HeldFor - feed.PromptResponseLimit)
	}
	return time.Unix(0, int64(a.completeAt))
}

// changedAfter returns the earliest time of the changes in a batch, as far as it shows from the read itself; zero if it doesn't.
func (f *Follower) changedAfter(batch feed.Batch, got arrival) time.Time {
	switch {
	case got.list:
		return time.Time{}
	case batch.Dated:
		return time.Unix(0, int64(got.sent)).Add(batch.ChangedAfter)
	case time.Duration(f.now()-got.sent) <= feed.PromptResponseLimit:
		return time.Time{}
	}
	// A change ended the wait of the watch, so it was made right before the answer arrived.
	return time.Unix(0, int64(f.cfg.ArrivedAfter()))
}

// applyBatch applies a batch to the table.
func (f *Follower) applyBatch(kind feed.Kind, batch feed.Batch, got arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.Era != f.era {
		// The store came back from an older copy after it sent the batch.
		return
	}
	now := f.time()
	if f.storeUnresponsive(now) {
		f.log.WithField("silent_ms", now.Sub(f.lastAnswered).Milliseconds()).WithField("shared", f.sharedOutage).
			Info("store answers again")
		f.table.StoreRecovered(now)
		f.restartVersionTimes()
	}
	f.sharedOutage = false
	f.lastAnswered = now
	if kind == f.cfg.Kinds[0].Kind {
		close(f.probeAnswered)
		f.probeAnswered = make(chan struct{})
	}
	since := f.completeUntil[kind]
	if changedAfter := f.changedAfter(batch, got); changedAfter.After(since) {
		since = changedAfter
	}
	for _, record := range batch.Records {
		f.applyRecord(now, since, kind, record)
	}
	if kind == feed.KindEvacuations {
		f.logEvacuations(batch, got)
	}
	if !got.stale {
		f.completeUntil[kind] = got.quietUntil(batch)
		f.completeAt[kind] = max(f.completeAt[kind], got.completeAt)
	}
	if got.list {
		f.removeUnlisted(now, kind, batch.Records)
	}
	confirmed := f.confirm(kind, got)
	first := !f.listed[kind]
	f.listed[kind] = true
	switch {
	case len(batch.Records) > 0 || got.list || first:
		f.publish()
	case confirmed:
		f.setCurrent(f.View())
	}
}

// confirm moves the time up to which the configuration is confirmed up to that of a batch, which must have been applied to the table.
// It reports whether the time changed; the caller holds the lock.
func (f *Follower) confirm(kind feed.Kind, got arrival) bool {
	if kind != feed.KindConfiguration || got.stale || got.completeAt <= f.confirmedAt ||
		time.Unix(0, int64(got.completeAt)).Before(f.settledAt) {
		return false
	}
	f.confirmedAt = got.completeAt
	return true
}

// setCurrent replaces the current view, together with the time at which it is confirmed; the caller holds the lock.
func (f *Follower) setCurrent(view *fleet.View) {
	f.current.Store(&snapshot{view: view, confirmedAt: f.confirmedAt})
}

// restartVersionTimes makes versions that became wanted during an outage of the store count from its end, like those that were wanted
// before; the caller holds the lock. If this process stood still, the outage may have ended at any time since.
func (f *Follower) restartVersionTimes() {
	if !f.sharedOutage {
		return
	}
	end := time.Unix(0, int64(f.cfg.ArrivedAfter()))
	f.table.RestartActivation(end)
	for kind := range f.completeUntil {
		f.completeUntil[kind] = end
	}
}

// applyRecord applies a record to the table. since is a time before which the record was not written, or zero if unknown.
func (f *Follower) applyRecord(now, since time.Time, kind feed.Kind, record feed.Record) {
	if record.Err != nil {
		f.logSkipped(kind, record)
	}
	if kind == feed.KindEvacuations && record.Err != nil && record.Name != "" && !record.Removed {
		// The name says which failure domain is out of service.
		record.Value, record.Err = fleet.Evacuation{FailureDomain: core.FailureDomain(record.Name)}, nil
	}
	if record.Removed || record.Err != nil {
		f.removeRecord(now, kind, record.Name)
		return
	}
	switch value := record.Value.(type) {
	case *fleet.Configuration:
		if f.table.SetConfiguration(value) {
			f.log.WithFields(logrus.Fields{
				"version": value.Version, "routes": len(value.Routes), "teams": len(value.Teams), "keys_optional": f.table.KeysOptional(),
			}).Info("configuration in force")
		}
	case *fleet.Replica:
		f.table.SetReplica(now, record.Revision, value)
	case fleet.Evacuation:
		f.table.SetEvacuated(now, value.FailureDomain, true)
	case fleet.WeightTarget:
		wanted := fleet.WantedVersion{Version: value.Version, Since: since, Until: now}
		if f.table.SetWantedVersion(value.Model, wanted) {
			fields := logrus.Fields{"model": value.Model, "version": value.Version}
			if !since.IsZero() {
				fields["age_ms"] = now.Sub(since).Milliseconds()
			}
			f.log.WithFields(fields).Info("version wanted")
		}
	}
}

// logSkipped logs a record that can't be decoded, once per revision: lists return it each time.
func (f *Follower) logSkipped(kind feed.Kind, record feed.Record) {
	key := skippedRecord{kind: kind, name: record.Name, revision: record.Revision}
	if f.skipped[key] {
		return
	}
	if len(f.skipped) >= maxSkippedRecords {
		clear(f.skipped)
	}
	f.skipped[key] = true
	f.log.WithError(record.Err).WithField("kind", kind).WithField("name", record.Name).WithField("revision", record.Revision).
		Warn("skip record")
}

func (f *Follower) removeRecord(now time.Time, kind feed.Kind, name string) {
	switch kind {
	case feed.KindReplicas:
		f.table.RemoveReplica(now, fleet.ReplicaID(name))
	case feed.KindEvacuations:
		f.table.SetEvacuated(now, core.FailureDomain(name), false)
	}
}

// logEvacuations writes a line for each record of a batch, with how it was read and how old the news before it was; the caller
// holds the lock.
func (f *Follower) logEvacuations(batch feed.Batch, got arrival) {
	for _, record := range batch.Records {
		message := "failure domain out of service"
		if record.Removed {
			message = "failure domain back in service"
		}
		f.log.WithFields(logrus.Fields{
			"failure_domain": record.Name, "revision": record.Revision, "listed": got.list, "relayed": batch.Relayed,
			"previous_age_ms": f.kindAge(feed.KindEvacuations).Milliseconds(),
		}).Info(message)
	}
}

// removeUnlisted removes the replicas and evacuations that a full list no longer contains.
func (f *Follower) removeUnlisted(now time.Time, kind feed.Kind, records []feed.Record) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		// A registration that does not decode counts as removed, an evacuation does not.
		if !record.Removed && (record.Err == nil || kind == feed.KindEvacuations) {
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
	f.setCurrent(view)
	for _, fn := range f.onChange {
		fn(view)
	}
}
