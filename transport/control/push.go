package control

import (
	"context"

	"github.com/alitto/pond/v2"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// maxPushDepth bounds the levels of the push tree that a sender covers for hosts that do not respond.
	maxPushDepth = 4
	// memberSaltPrefix is the prefix of the salt from which the push tree of a member record is computed.
	memberSaltPrefix = "host:"
)

// pushJob is content to push within the failure domain.
type pushJob struct {
	documents []settings.Document
	members   []membership.Record
	// root reports whether this process is the first in the failure domain to have the content; it then also pushes to the
	// roots of the push trees.
	root bool
}

func (j pushJob) empty() bool { return len(j.documents) == 0 && len(j.members) == 0 }

// hostBatch is the content to push to one host.
type hostBatch struct {
	host      core.Host
	documents []settings.Document
	members   []membership.Record
}

// enqueue queues a job for the push loop. If the queue is full, the job is dropped and the digest exchange delivers its
// content.
func (n *Node) enqueue(j pushJob) {
	if j.empty() {
		return
	}
	select {
	case n.jobs <- j:
	default:
		n.Log.Warn("push queue is full; leaving the content to the digest exchange")
	}
}

func (n *Node) pushLoop(ctx context.Context) {
	pool := pond.NewPool(pushWorkers, pond.WithQueueSize(pushQueue), pond.WithNonBlocking(true))
	defer pool.StopAndWait()
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-n.jobs:
			n.pushAll(ctx, pool, j, 0)
		}
	}
}

// pushAll pushes a job to the children of this process in the push trees. If a child does not respond, the job is
// pushed to the child's own children instead.
func (n *Node) pushAll(ctx context.Context, pool pond.Pool, j pushJob, depth int) {
	for _, b := range n.planPushes(n.Self.ID, j) {
		pool.Submit(func() { n.pushBatch(ctx, b, depth) })
	}
}

func (n *Node) pushBatch(ctx context.Context, b hostBatch, depth int) {
	if n.sendBatch(ctx, b, false) == nil || depth >= maxPushDepth || ctx.Err() != nil {
		return
	}
	for _, child := range n.planPushes(b.host.ID, pushJob{documents: b.documents, members: b.members}) {
		n.pushBatch(ctx, child, depth+1)
	}
}

// planPushes returns the batches that sender must push, by receiver. Each document path and each record has its own push
// tree, so that the load is spread over the hosts.
func (n *Node) planPushes(sender core.HostID, j pushJob) map[core.HostID]hostBatch {
	hosts := n.membersWithLive(sender)
	out := make(map[core.HostID]hostBatch)
	addContent := func(salt string, appendTo func(b *hostBatch)) {
		order := membership.Rank(hosts, n.Self.FailureDomain, salt)
		targets := membership.Children(order, membership.Position(order, sender), n.Config.PushFanout)
		if j.root {
			targets = append(membership.Roots(order, n.Config.PushFanout), targets...)
		}
		for _, host := range targets {
			if host.ID == n.Self.ID {
				continue
			}
			b := out[host.ID]
			b.host = host
			appendTo(&b)
			out[host.ID] = b
		}
	}
	for _, doc := range j.documents {
		addContent(doc.Path, func(b *hostBatch) { b.documents = append(b.documents, doc) })
	}
	for _, record := range j.members {
		addContent(memberSaltPrefix+string(record.Host.ID), func(b *hostBatch) { b.members = append(b.members, record) })
	}
	return out
}

// membersWithLive returns the members with the given host counted as live, so that it keeps its position in the push
// trees when it is suspect.
func (n *Node) membersWithLive(id core.HostID) []core.Host {
	hosts := n.Members.List()
	for i := range hosts {
		if hosts[i].ID == id {
			hosts[i].State = core.HostLive
		}
	}
	return hosts
}

// sendBatch pushes a batch to its host. repair marks content that the host has asked for in an exchange.
func (n *Node) sendBatch(ctx context.Context, b hostBatch, repair bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := n.peerClient(b.host).Push(ctx, &wire.PushRequest{
		Host:          string(n.Self.ID),
		FailureDomain: string(n.Self.FailureDomain),
		Documents:     documentsToWire(b.documents),
		Members:       recordsToWire(b.members),
		Repair:        repair,
	})
	if err != nil {
		n.Members.MarkUnreachable(b.host.ID)
	}
	return err
}

// peerClient returns a client for the control listener of a host. The URL scheme is http also with TLS, which the
// transport of Client adds.
func (n *Node) peerClient(host core.Host) wire.Settings {
	return wire.NewSettingsProtobufClient("http://"+host.ControlAddr, transport.BoundResponses(n.Client))
}
