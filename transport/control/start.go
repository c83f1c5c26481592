package control

import (
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// startInterval is the mean time between exchange rounds until the process has loaded the full settings.
const startInterval = 200 * time.Millisecond

// startState records the peers with which a starting process has exchanged.
type startState struct {
	// loaded holds the peers that have loaded the full settings and have sent everything that was missing here.
	loaded map[core.HostID]bool
	// notLoaded holds the peers that have not loaded the full settings themselves.
	notLoaded map[core.HostID]bool
}

func newStartState() startState {
	return startState{loaded: make(map[core.HostID]bool), notLoaded: make(map[core.HostID]bool)}
}

// recordExchange records the result of an exchange with a peer. While the process starts, the settings count as loaded
// once Config.StartPeers peers have sent theirs completely, or all peers if there are fewer. Peers that are starting
// themselves do not count, so that starting processes do not wait for each other.
func (n *Node) recordExchange(response *wire.ExchangeResponse, complete bool) {
	n.recordPlatformAge(response)
	if n.Settings.Loaded() {
		return
	}
	id := core.HostID(response.GetHost())
	hosts := n.Members.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !response.GetLoaded() {
		n.start.notLoaded[id] = true
		return
	}
	delete(n.start.notLoaded, id)
	if complete {
		n.start.loaded[id] = true
	}
	if len(n.start.loaded) >= n.requiredPeers(hosts) {
		n.Settings.MarkLoaded()
		n.Log.WithField("peers", len(n.start.loaded)).Info("settings loaded from peers")
	}
}

func (n *Node) requiredPeers(hosts []core.Host) int {
	candidates := 0
	for _, host := range hosts {
		if n.isPeer(host) && !n.start.notLoaded[host.ID] {
			candidates++
		}
	}
	return max(1, min(n.Config.StartPeers, candidates))
}
