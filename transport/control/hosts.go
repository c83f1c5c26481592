package control

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// hostLoop reads the host list periodically while this process is a watcher or knows no peers.
func (n *Node) hostLoop(ctx context.Context) {
	retry := n.newBackoff()
	for ctx.Err() == nil {
		if !n.shouldReadHosts() {
			pause(ctx, n.jittered(n.HostListInterval))
			continue
		}
		if err := n.readHosts(ctx); err != nil {
			n.Log.WithError(err).Warn("reading the host list failed")
			pause(ctx, retry.next(protocol.RetryAfterOf(err)))
			continue
		}
		retry.reset()
		pause(ctx, n.jittered(n.hostReadInterval()))
	}
}

// spareReadFactor multiplies the interval between reads of the host list for all watchers but the first. A list of
// 2,500 hosts is large, and each read loads the platform and the reader's link.
const spareReadFactor = 5

func (n *Node) hostReadInterval() time.Duration {
	order := membership.WatchOrder(n.Members.Snapshot(), n.Self.FailureDomain)
	if membership.Position(order, n.Self.ID) > 0 {
		return spareReadFactor * n.HostListInterval
	}
	return n.HostListInterval
}

func (n *Node) shouldReadHosts() bool {
	if n.isWatcher() {
		return true
	}
	hosts := n.Members.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(membership.Sample(hosts, 1, n.Random, n.isPeer)) == 0
}

// readHosts reads the host list once and pushes what has changed since the last read. The result of the
// first read is not pushed: peers read the same list, and when a fleet starts, pushes from every process
// at once would overload all of them.
func (n *Node) readHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := n.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	changed := n.view.ApplyHostList(hosts, n.Now())
	n.memberDigestValid = n.memberDigestValid && len(changed) == 0
	n.hostsKnown = true
	firstRead := !n.hostListRead
	n.hostListRead = true
	n.mu.Unlock()
	if len(changed) == 0 {
		return nil
	}
	n.publishMembers()
	if !firstRead {
		n.enqueue(pushJob{members: changed, root: true})
	}
	return nil
}
