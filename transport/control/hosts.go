package control

import (
	"context"

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
		pause(ctx, n.jittered(n.HostListInterval))
	}
}

func (n *Node) readsHosts() bool {
	if n.isWatcher() {
		return true
	}
	hosts := n.Members.List()
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(membership.Sample(hosts, 1, n.Random, n.isPeer)) == 0
}

// readHosts reads the host list once and pushes what it changes.
func (n *Node) readHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := n.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	taken := n.view.ReadList(hosts, n.Now())
	n.hostsKnown = true
	n.mu.Unlock()
	if len(taken) == 0 {
		return nil
	}
	n.publish()
	n.enqueue(job{members: taken, root: true})
	return nil
}
