package spread

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// editInterval is the time between two tries of an edit after the outage.
	editInterval = 200 * time.Millisecond
	// editLimit bounds the wait for an accepted edit after the outage; a process holds its calls back for at most 20 s.
	editLimit = 30 * time.Second
)

// Outage is what happened around an outage of the object API.
type Outage struct {
	// Seconds is the length of the outage.
	Seconds float64 `json:"outage_seconds"`
	// LastChange is the time until a change accepted right before the outage was in force everywhere.
	LastChange float64 `json:"in_force_seconds_of_last_change_before"`
	// FirstEdit is the time from the end of the outage until an edit was accepted again.
	FirstEdit float64 `json:"seconds_to_first_accepted_edit"`
	InForce
}

// outage accepts a change, takes the object API down at once, and measures changes after it has come back.
func (r *run) outage(ctx context.Context) (Outage, error) {
	out := Outage{Seconds: r.cfg.Outage.Seconds()}
	if r.cfg.Outage == 0 {
		return out, nil
	}
	doc, err := r.change(ctx)
	if err != nil {
		return out, err
	}
	before := r.observer.reverted
	r.cluster.ObjectAPI.SetOutage(true)
	start := time.Now()
	slowest, lostBefore := r.waitEverywhere(ctx, doc)
	out.LastChange = slowest.Seconds()
	load.Pause(ctx, r.cfg.Outage-time.Since(start))
	r.cluster.ObjectAPI.SetOutage(false)
	first, waited, err := r.firstEdit(ctx)
	if err != nil {
		return out, err
	}
	out.FirstEdit = waited.Seconds()
	_, lostAfter := r.waitEverywhere(ctx, first)
	if out.InForce, err = r.inForce(ctx); err != nil {
		return out, err
	}
	for _, lost := range []bool{lostBefore, lostAfter} {
		if lost {
			out.Lost++
		}
	}
	out.Reverted = r.observer.reverted - before
	return out, nil
}

// firstEdit tries an edit until it is accepted and returns how long that took.
func (r *run) firstEdit(ctx context.Context) (settings.Document, time.Duration, error) {
	start := time.Now()
	for {
		doc, err := r.change(ctx)
		waited := time.Since(start)
		if err == nil {
			return doc, waited, nil
		}
		if waited > editLimit || ctx.Err() != nil {
			return doc, waited, eris.Wrapf(err, "no edit accepted %s after the outage", waited)
		}
		// A refused edit was not written, so the same team is edited again.
		r.next--
		load.Pause(ctx, editInterval)
	}
}
