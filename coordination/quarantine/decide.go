package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// minKnown is the weight of earlier requests below which a part counts as new.
const minKnown = 0.05

// suspicion is the case against a part.
type suspicion struct {
	key       Key
	processes map[Process]bool
	teams     map[core.Team]bool
	firstAt   time.Time
	// depth is the highest position of the part in a prompt.
	depth int
	// known is the weight of the requests with the part that this host has served.
	known float64
}

// evaluate puts parts into quarantine, the most suspect one first: what it explains does not speak against the others.
func (d *Detector) evaluate(now time.Time) {
	d.ledger.Expire(now)
	for range d.cfg.MaxNotices {
		worst := d.mostSuspect(now)
		if worst == nil {
			return
		}
		d.publish(now, Notice{Quarantine: d.quarantineFor(now, worst)})
	}
}

// quarantineFor returns the quarantine of a part against which the case is strong enough. It extends one that has run out, and one that
// is in force for another team becomes one for all.
func (d *Detector) quarantineFor(now time.Time, s *suspicion) *Quarantine {
	q := &Quarantine{Key: s.key, Since: s.firstAt, Processes: len(s.processes), AllTeams: len(s.teams) > 1}
	for team := range s.teams {
		q.Team = team
	}
	for _, n := range d.quarantinesOf(s.key) {
		round, lapsed := n.Quarantine.Round, d.lapsed(now, n)
		if lapsed {
			round++
		}
		q.Round = max(q.Round, round)
		q.AllTeams = q.AllTeams || !lapsed || n.Quarantine.AllTeams
	}
	if q.AllTeams {
		q.Team = ""
	}
	return q
}

// mostSuspect returns the part with the strongest case, or nil if no case is strong enough.
func (d *Detector) mostSuspect(now time.Time) *suspicion {
	var worst *suspicion
	for _, s := range d.suspicions(now) {
		if d.isConvincing(now, s) && (worst == nil || compareSuspicions(s, worst) > 0) {
			worst = s
		}
	}
	return worst
}

// compareSuspicions is positive if a is the more likely cause. A part that was served before is less likely than one that never was,
// and of two parts that always occur together the later one is blamed, since more requests share the first.
func compareSuspicions(a, b *suspicion) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.known == 0), boolToInt(b.known == 0)),
		cmp.Compare(len(a.processes), len(b.processes)),
		cmp.Compare(a.depth, b.depth),
		cmp.Compare(a.key.Part, b.key.Part),
		cmp.Compare(a.key.Upstream, b.key.Upstream),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// suspicions returns the cases against all parts that were in lost attempts at processes which have ended, and with which no request
// has been served since. Processes under which a part in quarantine was used are explained by that.
func (d *Detector) suspicions(now time.Time) map[Key]*suspicion {
	if len(d.ledger.ended) == 0 {
		return nil
	}
	explained := make(map[Process]bool)
	for _, n := range d.ledger.losses {
		if d.isExplained(now, n) {
			explained[n.Loss.Process] = true
		}
	}
	cases := make(map[Key]*suspicion)
	for _, n := range d.ledger.losses {
		if _, ended := d.ledger.ended[n.Loss.Process]; !ended || explained[n.Loss.Process] {
			continue
		}
		for depth, part := range n.Loss.Parts {
			key := Key{n.Loss.Upstream, part}
			if !d.soundSince(key, n.At) {
				d.addLoss(now, cases, key, n, depth)
			}
		}
	}
	return cases
}

func (d *Detector) addLoss(now time.Time, cases map[Key]*suspicion, key Key, n Notice, depth int) {
	s := cases[key]
	if s == nil {
		s = &suspicion{key: key, processes: make(map[Process]bool), teams: make(map[core.Team]bool), firstAt: n.At}
		if u := d.parts[key]; u != nil && u.at(now) >= minKnown {
			s.known = u.at(now)
		}
		cases[key] = s
	}
	s.processes[n.Loss.Process] = true
	s.teams[n.Loss.Team] = true
	s.depth = max(s.depth, depth)
	if n.At.Before(s.firstAt) {
		s.firstAt = n.At
	}
}

// isExplained reports whether the prompt of a lost attempt has a part that was in quarantine for its team or is put there now.
func (d *Detector) isExplained(now time.Time, lost Notice) bool {
	for _, n := range d.ledger.quarantines {
		q := n.Quarantine
		if q.Key.Upstream != lost.Loss.Upstream || !q.covers(lost.Loss.Team) || !d.inForce(n) {
			continue
		}
		if d.lapsed(now, n) && lost.At.After(n.At.Add(d.cfg.duration(q))) {
			// The attempt was a trial.
			continue
		}
		if slices.Contains(lost.Loss.Parts, q.Key.Part) {
			return true
		}
	}
	return false
}

// isConvincing reports whether the case against a part is strong enough. Since no request with the part has been served since the
// first loss, all requests served since then are without it.
func (d *Detector) isConvincing(now time.Time, s *suspicion) bool {
	minProcesses, minEvidence := d.cfg.MinProcesses, d.cfg.MinEvidence
	for _, n := range d.quarantinesOf(s.key) {
		if d.lapsed(now, n) {
			// A trial has failed.
			return true
		}
		minProcesses, minEvidence = d.cfg.WidenProcesses, d.cfg.MinEvidence/2
	}
	if len(s.processes) < minProcesses {
		return false
	}
	t := d.trafficOf(s.key.Upstream)
	served, lost := t.countSince(s.firstAt, s.key.Part)
	if float64(len(s.processes))*math.Log(float64(served+lost+2)/float64(lost+1)) < minEvidence {
		return false
	}
	if s.known == 0 || served >= d.cfg.MaxSound {
		return true
	}
	// A part that is used often would have been served again by now.
	return s.known/max(t.served.at(now), 1)*float64(served) >= d.cfg.MinExpected
}

// countSince returns the number of requests served since a time, and of those lost without a part.
func (t *traffic) countSince(at time.Time, part Part) (served, lost int) {
	for _, servedAt := range t.servedAt {
		if !servedAt.Before(at) {
			served++
		}
	}
	for _, l := range t.lost {
		if !l.at.Before(at) && !slices.Contains(l.parts, part) {
			lost++
		}
	}
	return served, lost
}

// quarantinesOf returns the quarantines of a part that have not been lifted.
func (d *Detector) quarantinesOf(key Key) []Notice {
	var notices []Notice
	for _, n := range d.ledger.quarantines {
		if n.Quarantine.Key == key && d.inForce(n) {
			notices = append(notices, n)
		}
	}
	return notices
}

// inForce reports whether a quarantine has not been lifted.
func (d *Detector) inForce(n Notice) bool {
	return !d.soundSince(n.Quarantine.Key, n.At)
}

// lapsed reports whether a quarantine has run out, so that trial requests are sent.
func (d *Detector) lapsed(now time.Time, n Notice) bool {
	return now.Sub(n.At) > d.cfg.duration(n.Quarantine)
}
