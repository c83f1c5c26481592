package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// View holds the records of a process about all hosts, including its own. It is not safe for concurrent use.
type View struct {
	self    core.Host
	records map[core.HostID]Record
	// lastList is the host list as last read by this process; nil before the first read.
	lastList map[core.HostID]core.Host
	// disagreesSince has the time since when the list has disagreed with a record.
	disagreesSince map[core.HostID]time.Time
	// leavingSeen has the time at which each incarnation was last recorded as leaving. A list that reverts to an older state
	// may show such a process as live, even after another one has started at its address.
	leavingSeen map[core.Incarnation]time.Time
}

// NewView returns a View that holds only the record of the process itself.
func NewView(self core.Host, now time.Time) *View {
	v := &View{
		self:           self,
		records:        make(map[core.HostID]Record),
		disagreesSince: make(map[core.HostID]time.Time),
		leavingSeen:    make(map[core.Incarnation]time.Time),
	}
	v.records[self.ID] = Record{Host: self, Stamp: stampAfter(0, now)}
	return v
}

// Items returns the key and stamp of each record that has not expired.
func (v *View) Items(now time.Time) []merge.Item {
	items := make([]merge.Item, 0, len(v.records))
	for id, record := range v.records {
		if !record.expired(now) {
			items = append(items, merge.Item{Key: string(id), Version: record.Stamp})
		}
	}
	return items
}

// RecordsFor returns up to limit records of the hosts with the given keys.
func (v *View) RecordsFor(keys []string, limit int) []Record {
	var out []Record
	for _, key := range keys {
		if record, ok := v.records[core.HostID(key)]; ok && len(out) < limit {
			out = append(out, record)
		}
	}
	return out
}

// Hosts returns the hosts that are not gone, sorted by ID.
func (v *View) Hosts() []core.Host {
	var hosts []core.Host
	for _, id := range slices.Sorted(maps.Keys(v.records)) {
		if record := v.records[id]; !record.Gone {
			hosts = append(hosts, record.Host)
		}
	}
	return hosts
}

// Merge applies the records that supersede held ones and returns those that changed the view.
//
// A newer record that contradicts what the process knows about itself is overridden by one with a higher stamp, which is
// returned instead. So is a record that shows a leaving process as live.
func (v *View) Merge(records []Record, now time.Time) []Record {
	var applied []Record
	for _, record := range records {
		current, ok := v.records[record.Host.ID]
		if record.expired(now) || ok && !record.supersedes(current) {
			continue
		}
		switch {
		case record.Host.ID == v.self.ID && (record.Host != v.self || record.Gone):
			record = Record{Host: v.self, Stamp: stampAfter(record.Stamp, now)}
		case ok && v.contradictsLeave(current, record):
			// A leaving process never becomes live again. The stamp is the same on every process that overrides the record.
			record = Record{Host: current.Host, Stamp: record.Stamp + 1, Gone: current.Gone}
		}
		v.store(record, now)
		applied = append(applied, record)
	}
	v.prune(now)
	return applied
}

// Leave marks the process as leaving and returns the record to announce.
func (v *View) Leave(now time.Time) Record {
	v.self.State = core.HostLeaving
	record := Record{Host: v.self, Stamp: stampAfter(v.records[v.self.ID].Stamp, now)}
	v.store(record, now)
	return record
}

// ApplyHostList applies the platform's host list and returns the records that it changes.
//
// A change since the last read applies immediately. Any other disagreement with a record applies after ListGracePeriod, since
// the record may come from a process that read a newer list, or from the host itself.
func (v *View) ApplyHostList(hosts []core.Host, now time.Time) []Record {
	next := make(map[core.HostID]core.Host, len(hosts))
	var applied []Record
	for _, host := range hosts {
		next[host.ID] = host
		previous, wasListed := v.lastList[host.ID]
		changed := v.lastList != nil && (!wasListed || previous != host)
		applied = append(applied, v.applyListed(Record{Host: host}, changed, now)...)
	}
	for id, record := range v.records {
		if _, ok := next[id]; ok || record.Gone {
			continue
		}
		_, wasListed := v.lastList[id]
		applied = append(applied, v.applyListed(Record{Host: record.Host, Gone: true}, wasListed, now)...)
	}
	v.lastList = next
	v.prune(now)
	return applied
}

// applyListed applies the state of one host in the list unless the record agrees with it or may be newer.
func (v *View) applyListed(listed Record, changed bool, now time.Time) []Record {
	id := listed.Host.ID
	current, ok := v.records[id]
	if ok && listed.Host.Incarnation == "" {
		listed.Host.Incarnation = current.Host.Incarnation
	}
	if id == v.self.ID || ok && (recordsAgree(current, listed) || v.contradictsLeave(current, listed)) {
		delete(v.disagreesSince, id)
		return nil
	}
	if ok && !changed && !v.gracePeriodEnded(id, now) {
		return nil
	}
	delete(v.disagreesSince, id)
	listed.Stamp = listStamp(current.Stamp, now)
	v.store(listed, now)
	return []Record{listed}
}

func recordsAgree(current, listed Record) bool {
	return current.Gone == listed.Gone && (current.Gone || current.Host == listed.Host)
}

// store sets the record of a host and notes its incarnation if it is leaving.
func (v *View) store(record Record, now time.Time) {
	v.records[record.Host.ID] = record
	if record.Host.State == core.HostLeaving && record.Host.Incarnation != "" {
		v.leavingSeen[record.Host.Incarnation] = now
	}
}

// contradictsLeave reports whether other shows a process as live that is known to be leaving or to have left.
func (v *View) contradictsLeave(current, other Record) bool {
	if other.Gone || other.Host.State != core.HostLive {
		return false
	}
	_, wasLeaving := v.leavingSeen[other.Host.Incarnation]
	return wasLeaving || current.Host.State == core.HostLeaving && current.Host.Incarnation == other.Host.Incarnation
}

func (v *View) gracePeriodEnded(id core.HostID, now time.Time) bool {
	since, ok := v.disagreesSince[id]
	if !ok {
		v.disagreesSince[id] = now
		return false
	}
	return now.Sub(since) >= ListGracePeriod
}

func (v *View) prune(now time.Time) {
	maps.DeleteFunc(v.records, func(_ core.HostID, record Record) bool { return record.expired(now) })
	maps.DeleteFunc(v.leavingSeen, func(_ core.Incarnation, at time.Time) bool { return now.Sub(at) > GoneRecordRetention })
}
