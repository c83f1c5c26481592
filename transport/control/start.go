package control

import (
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// startInterval is the mean time between exchanges until the process holds a full configuration.
const startInterval = 200 * time.Millisecond

// startState records which peers a starting process has heard from.
type startState struct {
	// full are the peers that hold a full configuration and have sent all that was missing.
	full map[core.HostID]bool
	// empty are the peers that hold no full configuration themselves.
	empty map[core.HostID]bool
}

func newStartState() startState {
	return startState{full: make(map[core.HostID]bool), empty: make(map[core.HostID]bool)}
}

// notePeer records what an exchange has shown about a peer while the process starts. The process holds
// a full configuration once it has taken the settings of several peers, or of all where there are fewer.
//
// Peers that are starting themselves do not count, so that two of them don't wait for each other.
func (n *Node) notePeer(reply *wire.ExchangeResponse, complete bool) {
	n.noteAge(reply)
	if n.Settings.Loaded() {
		return
	}
	id := core.HostID(reply.GetHost())
	hosts := n.Members.List()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !reply.GetLoaded() {
		n.start.empty[id] = true
		return
	}
	delete(n.start.empty, id)
	if complete {
		n.start.full[id] = true
	}
	if len(n.start.full) >= n.peersNeeded(hosts) {
		n.Settings.MarkLoaded()
		n.Log.WithField("peers", len(n.start.full)).Info("settings taken from peers")
	}
}

func (n *Node) peersNeeded(hosts []core.Host) int {
	exist := 0
	for _, host := range hosts {
		if n.isPeer(host) && !n.start.empty[host.ID] {
			exist++
		}
	}
	return max(1, min(n.Config.StartPeers, exist))
}
