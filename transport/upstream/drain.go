package upstream

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// announceTime bounds the wait for entries to learn that the agent leaves: two status reads at the default interval.
const announceTime = 2 * time.Second

// announcement tracks which entries know that the agent leaves. The gate's lock guards it.
type announcement struct {
	leaving bool
	told    map[core.HostID]bool
	// done is closed once all entries seen lately were told.
	done chan struct{}
}

func newAnnouncement() announcement {
	return announcement{told: make(map[core.HostID]bool), done: make(chan struct{})}
}

// update closes done once every one of entries was told.
func (a *announcement) update(entries []core.HostID) {
	if !a.leaving || a.complete() {
		return
	}
	for _, entry := range entries {
		if !a.told[entry] {
			return
		}
	}
	close(a.done)
}

func (a *announcement) complete() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// SetLeaving stops all new work for good.
func (g *Gate) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetLeaving()
	g.announcement.leaving = true
	g.announcement.update(g.gate.Entries(g.now()))
}

// Told records that entry was told the gate's state.
func (g *Gate) Told(entry core.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcement.leaving {
		g.announcement.told[entry] = true
	}
	g.announcement.update(g.gate.Entries(g.now()))
}

// Drain refuses new work. It returns once the last request in flight has ended and the entries know, or ctx ends.
//
// The listeners must stay open until then: a request that an entry sends to a closing connection may be lost without
// a refusal.
func (g *Gate) Drain(ctx context.Context) {
	g.SetLeaving()
	announce := time.NewTimer(announceTime)
	defer announce.Stop()
	select {
	case <-g.Idle():
	case <-ctx.Done():
		return
	}
	select {
	case <-g.announcement.done:
	case <-announce.C:
	case <-ctx.Done():
	}
}
