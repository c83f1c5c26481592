package spread

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// editRetryInterval is the time between two attempts of an edit after the outage.
	editRetryInterval = 200 * time.Millisecond
	// editTimeout bounds the wait for an accepted edit after the outage. A process delays its calls by at most 20 s.
	editTimeout = 30 * time.Second
)

// Outage holds the results of the part with an outage of the object API.
type Outage struct {
	// Seconds is the length of the outage.
	Seconds float64 `json:"outage_seconds"`
	// LastChange is the time until a change accepted right before the outage was in force at every process.
	LastChange float64 `json:"in_force_seconds_of_last_change_before"`
	// FirstEdit is the time from the end of the outage until an edit was accepted again.
	FirstEdit float64 `json:"seconds_to_first_accepted_edit"`
	InForce
}

// measureOutage applies a change, takes the object API down immediately, and measures changes after the outage.
func (r *run) measureOutage(ctx context.Context) (Outage, error) {
	out := Outage{Seconds: r.cfg.Outage.Seconds()}
	if r.cfg.Outage == 0 {
		return out, nil
	}
	doc, err := r.applyChange(ctx)
	if err != nil {
		return out, err
	}
	revertedBefore := r.observer.reverted
	r.cluster.ObjectAPI.SetOutage(true)
	start := time.Now()
	slowest, lostBefore := r.waitInForce(ctx, doc)
	out.LastChange = slowest.Seconds()
	load.Pause(ctx, r.cfg.Outage-time.Since(start))
	r.cluster.ObjectAPI.SetOutage(false)
	firstDoc, waited, err := r.retryEdit(ctx)
	if err != nil {
		return out, err
	}
	out.FirstEdit = waited.Seconds()
	_, lostAfter := r.waitInForce(ctx, firstDoc)
	if out.InForce, err = r.measureInForce(ctx); err != nil {
		return out, err
	}
	for _, lost := range []bool{lostBefore, lostAfter} {
		if lost {
			out.Lost++
		}
	}
	out.Reverted = r.observer.reverted - revertedBefore
	return out, nil
}

// retryEdit retries an edit until it is accepted. It returns the accepted document and the time until then.
func (r *run) retryEdit(ctx context.Context) (settings.Document, time.Duration, error) {
	start := time.Now()
	for {
		doc, err := r.applyChange(ctx)
		waited := time.Since(start)
		if err == nil {
			return doc, waited, nil
		}
		if waited > editTimeout || ctx.Err() != nil {
			return doc, waited, eris.Wrapf(err, "no edit was accepted within %s after the outage", waited)
		}
		// A refused edit was not written, so the same team is edited again.
		r.nextChange--
		load.Pause(ctx, editRetryInterval)
	}
}
