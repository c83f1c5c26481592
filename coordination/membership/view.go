package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// View holds a process's records about all hosts, including itself. It is not safe for concurrent use.
type View struct {
	self    core.Host
	records map[core.HostID]Record
	// listed is the host list as last read by this process; nil before the first read.
	listed map[core.HostID]core.Host
	// differs holds since when the list has disagreed with a record.
	differs map[core.HostID]time.Time
	// left holds when each incarnation was last known to be leaving. A list that goes back to an older
	// state shows such a process as live, even after another one at its address.
	left map[core.Incarnation]time.Time
}

// NewView returns a View that holds only the process itself.
func NewView(self core.Host, now time.Time) *View {
	v := &View{
		self:    self,
		records: make(map[core.HostID]Record),
		differs: make(map[core.HostID]time.Time),
		left:    make(map[core.Incarnation]time.Time),
	}
	v.records[self.ID] = Record{Host: self, Stamp: stampAfter(0, now)}
	return v
}

// Items returns the stamp of each record.
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

// Merge takes over the records that are newer and returns those that changed the view.
//
// A newer record about the process itself that is not what the process says is answered with a
// still newer one, which is returned in its place. So is one that shows a leaving process as live.
func (v *View) Merge(records []Record, now time.Time) []Record {
	var taken []Record
	for _, record := range records {
		held, ok := v.records[record.Host.ID]
		if record.expired(now) || ok && !record.newer(held) {
			continue
		}
		switch {
		case record.Host.ID == v.self.ID && (record.Host != v.self || record.Gone):
			record = Record{Host: v.self, Stamp: stampAfter(record.Stamp, now)}
		case ok && v.contradictsLeave(held, record):
			// A process that leaves never comes back; every process gives the same stamp here.
			record = Record{Host: held.Host, Stamp: record.Stamp + 1, Gone: held.Gone}
		}
		v.hold(record, now)
		taken = append(taken, record)
	}
	v.prune(now)
	return taken
}

// Leave marks the process as leaving and returns the record to announce.
func (v *View) Leave(now time.Time) Record {
	v.self.State = core.HostLeaving
	record := Record{Host: v.self, Stamp: stampAfter(v.records[v.self.ID].Stamp, now)}
	v.hold(record, now)
	return record
}

// ApplyHostList compares the platform's host list with the records and returns the records that it changes.
//
// A change between two reads counts at once. Any other disagreement counts after ListGracePeriod, since
// the record may come from a process that saw a newer list, or from the host itself.
func (v *View) ApplyHostList(hosts []core.Host, now time.Time) []Record {
	next := make(map[core.HostID]core.Host, len(hosts))
	var taken []Record
	for _, host := range hosts {
		next[host.ID] = host
		previous, had := v.listed[host.ID]
		changed := v.listed != nil && (!had || previous != host)
		taken = append(taken, v.consider(Record{Host: host}, changed, now)...)
	}
	for id, record := range v.records {
		if _, ok := next[id]; ok || record.Gone {
			continue
		}
		_, had := v.listed[id]
		taken = append(taken, v.consider(Record{Host: record.Host, Gone: true}, had, now)...)
	}
	v.listed = next
	v.prune(now)
	return taken
}

// consider takes what the list says about one host, when it counts.
func (v *View) consider(listed Record, changed bool, now time.Time) []Record {
	id := listed.Host.ID
	held, ok := v.records[id]
	if ok && listed.Host.Incarnation == "" {
		listed.Host.Incarnation = held.Host.Incarnation
	}
	if id == v.self.ID || ok && (agree(held, listed) || v.contradictsLeave(held, listed)) {
		delete(v.differs, id)
		return nil
	}
	if ok && !changed && !v.gracePeriodEnded(id, now) {
		return nil
	}
	delete(v.differs, id)
	listed.Stamp = listStamp(held.Stamp, now)
	v.hold(listed, now)
	return []Record{listed}
}

func agree(held, listed Record) bool {
	return held.Gone == listed.Gone && (held.Gone || held.Host == listed.Host)
}

// hold sets the record of a host.
func (v *View) hold(record Record, now time.Time) {
	v.records[record.Host.ID] = record
	if record.Host.State == core.HostLeaving && record.Host.Incarnation != "" {
		v.left[record.Host.Incarnation] = now
	}
}

// contradictsLeave reports that other still shows a process as live that is known to be leaving or to have left.
func (v *View) contradictsLeave(held, other Record) bool {
	if other.Gone || other.Host.State != core.HostLive {
		return false
	}
	_, left := v.left[other.Host.Incarnation]
	return left || held.Host.State == core.HostLeaving && held.Host.Incarnation == other.Host.Incarnation
}

func (v *View) gracePeriodEnded(id core.HostID, now time.Time) bool {
	since, ok := v.differs[id]
	if !ok {
		v.differs[id] = now
		return false
	}
	return now.Sub(since) >= ListGracePeriod
}

func (v *View) prune(now time.Time) {
	maps.DeleteFunc(v.records, func(_ core.HostID, record Record) bool { return record.expired(now) })
	maps.DeleteFunc(v.left, func(_ core.Incarnation, at time.Time) bool { return now.Sub(at) > GoneRecordRetention })
}
