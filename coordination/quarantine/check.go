package quarantine

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Verdict is what may be done with a request.
type Verdict string

// Verdicts.
const (
	// VerdictSend means that no part of the prompt is in quarantine.
	VerdictSend Verdict = "send"
	// VerdictRefuse means that a part is in quarantine.
	VerdictRefuse Verdict = "refuse"
	// VerdictTrial means that the quarantine of a part has run out and that the request may be sent, to the trial replica only.
	VerdictTrial Verdict = "trial"
)

// Decision is a verdict with the part that it rests on.
type Decision struct {
	Verdict Verdict
	Key     Key
	// Processes is the number of processes that ended under requests with the part.
	Processes int
	// Until is the end of the quarantine.
	Until time.Time
}

// Check decides about a request of a team with a prompt. A trial is not counted before BeginTrial.
func (d *Detector) Check(now time.Time, upstream core.Upstream, team core.Team, parts []Part) Decision {
	decision := Decision{Verdict: VerdictSend}
	for _, n := range d.ledger.quarantines {
		q := n.Quarantine
		if q.Key.Upstream != upstream || !q.covers(team) || !slices.Contains(parts, q.Key.Part) || !d.inForce(n) {
			continue
		}
		until := n.At.Add(d.cfg.duration(q))
		found := Decision{Verdict: VerdictRefuse, Key: q.Key, Processes: q.Processes, Until: until}
		if d.lapsed(now, n) {
			found.Until = d.trialAt[q.Key].Add(d.cfg.TrialInterval)
			if !now.Before(found.Until) {
				found.Verdict = VerdictTrial
			}
		}
		if decision.Verdict != VerdictRefuse || found.Verdict == VerdictRefuse && found.Until.After(decision.Until) {
			decision = found
		}
	}
	return decision
}

// BeginTrial records that this host sends a request with a part whose quarantine has run out. It returns false if another trial has
// begun since the decision.
func (d *Detector) BeginTrial(now time.Time, key Key) bool {
	if now.Before(d.trialAt[key].Add(d.cfg.TrialInterval)) {
		return false
	}
	if len(d.trialAt) >= d.cfg.MaxNotices {
		clear(d.trialAt)
	}
	d.trialAt[key] = now
	return true
}

// Status is a quarantine for state dumps.
type Status struct {
	Quarantine
	At    time.Time
	Until time.Time
}

// Quarantines returns the quarantines that have not been lifted, oldest first.
func (d *Detector) Quarantines() []Status {
	var list []Status
	for _, n := range d.ledger.Notices() {
		if n.Quarantine != nil && d.inForce(n) {
			list = append(list, Status{Quarantine: *n.Quarantine, At: n.At, Until: n.At.Add(d.cfg.duration(n.Quarantine))})
		}
	}
	return list
}
