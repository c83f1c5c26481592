package control

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// hostLoop reads the host list while this process is a watcher or knows no peers.
func (n *Node) hostLoop(ctx context.Context) {
	wait := n.newBackoff()
	for ctx.Err() == nil {
		if !n.readsHosts() {
			pause(ctx, n.jittered(n.HostListInterval))
			continue
		}
		if err := n.readHosts(ctx); err != nil {
			n.Log.WithError(err).Warn("read the host list")
			pause(ctx, wait.next(protocol.RetryAfterOf(err)))
			continue
		}
		wait.reset()
		pause(ctx, n.jittered(n.readInterval()))
	}
}

// spareReadFactor is how much less often all watchers but the first read the host list. A list of 2,500
// hosts is large, and every read of it costs the platform and the reader's link.
const spareReadFactor = 5

func (n *Node) readInterval() time.Duration {
	order := membership.WatchOrder(n.Members.Snapshot(), n.Self.FailureDomain)
	if membership.Position(order, n.Self.ID) > 0 {
		return spareReadFactor * n.HostListInterval
	}
	return n.HostListInterval
}

func (n *Node) readsHosts() bool {
	if n.isWatcher() {
		return true
	}
	hosts := n.Members.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(membership.Sample(hosts, 1, n.Random, n.isPeer)) == 0
}

// readHosts reads the host list once and pushes what changed since the last read. The first read is not
// pushed: peers read the same list, and when a fleet starts, pushes of it from every process at once
// keep all of them busy.
func (n *Node) readHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := n.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	taken := n.view.ApplyHostList(hosts, n.Now())
	n.digestValid = n.digestValid && len(taken) == 0
	n.hostsKnown = true
	first := !n.listRead
	n.listRead = true
	n.mu.Unlock()
	if len(taken) == 0 {
		return nil
	}
	n.publish()
	if !first {
		n.enqueue(job{members: taken, root: true})
	}
	return nil
}
