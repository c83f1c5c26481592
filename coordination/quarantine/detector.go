package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// soundHalfLife is the time after which an earlier served request counts half for how often a part is used.
	soundHalfLife = 30 * time.Second
	// maxRecent bounds the served requests, and the lost ones, of this host that are remembered by their time.
	maxRecent = 256
	// suspectProcesses is the number of ended processes from which on other hosts are told that a part is sound.
	suspectProcesses = 2
	// soundRate and soundBurst bound these notices, per second and at once.
	soundRate  = 2
	soundBurst = 10
)

// usage counts served requests, with a weight that decays with their age.
type usage struct {
	weight float64
	last   time.Time
}

func (u *usage) at(now time.Time) float64 {
	return u.weight * math.Exp2(-max(now.Sub(u.last).Seconds(), 0)/soundHalfLife.Seconds())
}

func (u *usage) add(now time.Time) {
	u.weight = u.at(now) + 1
	u.last = now
}

// traffic is what this host has seen of the requests of an upstream.
type traffic struct {
	served usage
	// servedAt holds the times of the last served requests, lost the last lost ones.
	servedAt []time.Time
	lost     []lostAttempt
}

type lostAttempt struct {
	at    time.Time
	parts []Part
}

// Detector decides at one entry host which parts are in quarantine.
type Detector struct {
	cfg     Config
	random  *rand.Rand
	ledger  *Ledger
	parts   map[Key]*usage
	traffic map[core.Upstream]*traffic
	// trialAt holds the times of the last trials of this host.
	trialAt  map[Key]time.Time
	losses   *limits.Bucket
	sounds   *limits.Bucket
	outgoing []Notice
}

// NewDetector returns a Detector that knows nothing yet.
func NewDetector(now time.Time, cfg Config, random *rand.Rand) *Detector {
	return &Detector{
		cfg: cfg, random: random, ledger: NewLedger(cfg), parts: make(map[Key]*usage),
		traffic: make(map[core.Upstream]*traffic), trialAt: make(map[Key]time.Time),
		losses: limits.NewBucket(now, cfg.LossRate, cfg.LossBurst),
		sounds: limits.NewBucket(now, soundRate, soundBurst),
	}
}

// Ledger returns the notices that the detector knows.
func (d *Detector) Ledger() *Ledger { return d.ledger }

// TakeOutgoing returns the notices that this host has written since the last call and that other hosts should know.
func (d *Detector) TakeOutgoing() []Notice {
	outgoing := d.outgoing
	d.outgoing = nil
	return outgoing
}

// OutgoingCount returns the number of notices that TakeOutgoing would return.
func (d *Detector) OutgoingCount() int { return len(d.outgoing) }

// PeekOutgoing returns those notices from position from on.
func (d *Detector) PeekOutgoing(from int) []Notice { return d.outgoing[from:] }

// Served records that a replica has begun a response to a prompt and has survived it. It returns the parts that leave quarantine.
func (d *Detector) Served(now time.Time, upstream core.Upstream, parts []Part) []Key {
	t := d.trafficOf(upstream)
	t.served.add(now)
	t.servedAt = appendRecent(t.servedAt, now)
	var cleared []Key
	for _, part := range parts {
		key := Key{upstream, part}
		inQuarantine, suspected := d.InQuarantine(key), d.isSuspected(key)
		d.usageOf(now, key).add(now)
		if inQuarantine {
			cleared = append(cleared, key)
			d.publish(now, Notice{Sound: &key})
		} else if suspected {
			d.publishSuspect(now, key)
		}
	}
	d.evaluate(now)
	return cleared
}

// Lost records an attempt of this host, sent at sentAt, that was lost with its connection.
func (d *Detector) Lost(now, sentAt time.Time, loss Loss) {
	t := d.trafficOf(loss.Upstream)
	t.lost = appendRecent(t.lost, lostAttempt{now, loss.Parts})
	// A part with which another request has been served meanwhile is not the cause.
	loss.Parts = slices.DeleteFunc(slices.Clone(loss.Parts), func(part Part) bool {
		return d.soundSince(Key{loss.Upstream, part}, sentAt)
	})
	if len(loss.Parts) == 0 {
		return
	}
	if _, ok := d.losses.Take(now); !ok {
		return
	}
	d.publish(now, Notice{Loss: &loss})
	d.evaluate(now)
}

// Ended records that a process of a replica has ended.
func (d *Detector) Ended(now time.Time, process Process) {
	n := EndedNotice(now, process)
	if !d.ledger.Add(now, n) {
		return
	}
	d.outgoing = append(d.outgoing, n)
	d.evaluate(now)
}

// Clear lifts the quarantine of a part, as an operator asks for.
func (d *Detector) Clear(now time.Time, key Key) {
	d.usageOf(now, key).last = now
	d.publish(now, Notice{Sound: &key})
}

// Merge adds notices of other hosts and returns the new ones. A quarantine of a part with which this host has served a request since
// is contradicted.
func (d *Detector) Merge(now time.Time, notices []Notice) []Notice {
	var added []Notice
	for _, n := range notices {
		if !d.ledger.Add(now, n) {
			continue
		}
		added = append(added, n)
		if n.Quarantine != nil && d.servedSince(n.Quarantine.Key, n.Quarantine.Since) {
			d.publish(now, Notice{Sound: &n.Quarantine.Key})
		}
	}
	if len(added) > 0 {
		d.evaluate(now)
	}
	return added
}

// InQuarantine reports whether a part is in quarantine for any team.
func (d *Detector) InQuarantine(key Key) bool { return len(d.quarantinesOf(key)) > 0 }

func (d *Detector) trafficOf(upstream core.Upstream) *traffic {
	t := d.traffic[upstream]
	if t == nil {
		t = &traffic{}
		d.traffic[upstream] = t
	}
	return t
}

// usageOf returns the usage of a part. It forgets the parts that have not been served for longest if there are too many.
func (d *Detector) usageOf(now time.Time, key Key) *usage {
	if u := d.parts[key]; u != nil {
		return u
	}
	if len(d.parts) >= d.cfg.MaxParts {
		d.forgetParts()
	}
	u := &usage{last: now}
	d.parts[key] = u
	return u
}

// forgetParts forgets the half of the parts that has not been served for longest.
func (d *Detector) forgetParts() {
	times := make([]time.Time, 0, len(d.parts))
	for _, u := range d.parts {
		times = append(times, u.last)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := times[len(times)/2]
	for key, u := range d.parts {
		if !u.last.After(limit) {
			delete(d.parts, key)
		}
	}
}

// servedSince reports whether this host has served a request with a part at or after a time.
func (d *Detector) servedSince(key Key, at time.Time) bool {
	u := d.parts[key]
	return u != nil && !u.last.Before(at)
}

// soundSince reports whether any host has served a request with a part at or after a time.
func (d *Detector) soundSince(key Key, at time.Time) bool {
	return d.servedSince(key, at) || d.ledger.soundSince(key, at)
}

// isSuspected reports whether another host may blame a part soon: it was in losses at several processes since a request with it was
// served.
func (d *Detector) isSuspected(key Key) bool {
	processes := make(map[Process]bool)
	for _, n := range d.ledger.losses {
		if n.Loss.Upstream == key.Upstream && slices.Contains(n.Loss.Parts, key.Part) && !d.soundSince(key, n.At) {
			processes[n.Loss.Process] = true
		}
	}
	return len(processes) >= min(suspectProcesses, d.cfg.MinProcesses)
}

// publishSuspect tells other hosts that a suspected part is sound. The number of such notices is limited: hosts that have served
// requests with the part themselves don't need them.
func (d *Detector) publishSuspect(now time.Time, key Key) {
	if _, ok := d.sounds.Take(now); ok {
		d.publish(now, Notice{Sound: &key})
	}
}

func (d *Detector) publish(now time.Time, n Notice) {
	n.ID, n.At = d.random.Uint64(), now
	if d.ledger.Add(now, n) {
		d.outgoing = append(d.outgoing, n)
	}
}

// appendRecent appends an item and drops the oldest one if there are more than maxRecent.
func appendRecent[T any](list []T, item T) []T {
	if len(list) == maxRecent {
		list = append(list[:0], list[1:]...)
	}
	return append(list, item)
}
