package upstream

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// announceTimeout bounds the wait until the entries have read that the agent is leaving. It covers two status reads at
// the default interval.
const announceTimeout = 2 * time.Second

// announcement tracks which entries have been notified that the agent is leaving. The gate's lock guards it.
type announcement struct {
	leaving  bool
	notified map[core.HostID]bool
	// done is closed once all recently seen entries have been notified.
	done chan struct{}
}

func newAnnouncement() announcement {
	return announcement{notified: make(map[core.HostID]bool), done: make(chan struct{})}
}

// update closes done once every one of entries has been notified.
func (a *announcement) update(entries []core.HostID) {
	if !a.leaving || a.isDone() {
		return
	}
	for _, entry := range entries {
		if !a.notified[entry] {
			return
		}
	}
	close(a.done)
}

func (a *announcement) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// SetLeaving makes the gate refuse all new requests permanently.
func (g *Gate) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetLeaving()
	g.announcement.leaving = true
	g.announcement.update(g.gate.Entries(g.now()))
}

// MarkNotified records that the gate's state was reported to entry.
func (g *Gate) MarkNotified(entry core.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcement.leaving {
		g.announcement.notified[entry] = true
	}
	g.announcement.update(g.gate.Entries(g.now()))
}

// Drain refuses new requests. It returns once no request is in flight and the entries have been notified or
// announceTimeout has passed since the call, and at the latest when ctx ends.
//
// The listeners must stay open until then: a request that an entry sends on a closing connection may be lost without
// a refusal.
func (g *Gate) Drain(ctx context.Context) {
	g.SetLeaving()
	announceTimer := time.NewTimer(announceTimeout)
	defer announceTimer.Stop()
	select {
	case <-g.Idle():
	case <-ctx.Done():
		return
	}
	select {
	case <-g.announcement.done:
	case <-announceTimer.C:
	case <-ctx.Done():
	}
}
