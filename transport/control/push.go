package control

import (
	"context"

	"github.com/alitto/pond/v2"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// maxPushDepth bounds how far a push reaches around hosts that do not answer.
	maxPushDepth = 4
	// hostSalt starts the salt of the push tree of a member record.
	hostSalt = "host:"
)

// job is content to push into the failure domain.
type job struct {
	documents []settings.Document
	members   []membership.Record
	// root says that the content enters the failure domain here.
	root bool
}

func (j job) empty() bool { return len(j.documents) == 0 && len(j.members) == 0 }

// batch is what one host gets.
type batch struct {
	host      core.Host
	documents []settings.Document
	members   []membership.Record
}

// enqueue leaves a job to the push loop. A full queue drops it; the digest exchange closes the gap.
func (n *Node) enqueue(j job) {
	if j.empty() {
		return
	}
	select {
	case n.jobs <- j:
	default:
		n.Log.Warn("push queue is full")
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

// pushAll sends a job to the next hosts of the push trees. When a host does not answer, its children
// are served in its place.
func (n *Node) pushAll(ctx context.Context, pool pond.Pool, j job, depth int) {
	for _, b := range n.plan(n.Self.ID, j) {
		pool.Submit(func() { n.pushOne(ctx, b, depth) })
	}
}

func (n *Node) pushOne(ctx context.Context, b batch, depth int) {
	if n.send(ctx, b, false) == nil || depth >= maxPushDepth || ctx.Err() != nil {
		return
	}
	for _, below := range n.plan(b.host.ID, job{documents: b.documents, members: b.members}) {
		n.pushOne(ctx, below, depth+1)
	}
}

// plan returns what the host at sends where. Each path and each record has a tree of its own, so that no
// host carries the load of all.
func (n *Node) plan(at core.HostID, j job) map[core.HostID]batch {
	hosts := n.withHost(at)
	out := make(map[core.HostID]batch)
	add := func(salt string, change func(b *batch)) {
		order := membership.Rank(hosts, n.Self.FailureDomain, salt)
		targets := membership.Children(order, membership.Position(order, at), n.Config.PushFanout)
		if j.root {
			targets = append(membership.Roots(order, n.Config.PushFanout), targets...)
		}
		for _, host := range targets {
			if host.ID == n.Self.ID {
				continue
			}
			b := out[host.ID]
			b.host = host
			change(&b)
			out[host.ID] = b
		}
	}
	for _, doc := range j.documents {
		add(doc.Path, func(b *batch) { b.documents = append(b.documents, doc) })
	}
	for _, record := range j.members {
		add(hostSalt+string(record.Host.ID), func(b *batch) { b.members = append(b.members, record) })
	}
	return out
}

// withHost returns the members with the host at counted as live, so that it keeps its place in the
// order after it turned suspect.
func (n *Node) withHost(at core.HostID) []core.Host {
	hosts := n.Members.List()
	for i := range hosts {
		if hosts[i].ID == at {
			hosts[i].State = core.HostLive
		}
	}
	return hosts
}

// send pushes a batch to its host. repair marks an answer to what an exchange asked for.
func (n *Node) send(ctx context.Context, b batch, repair bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := n.peer(b.host).Push(ctx, &wire.PushRequest{
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

// peer returns a client for the control listener of a host. With TLS the client's transport takes the
// http URL over TLS.
func (n *Node) peer(host core.Host) wire.Settings {
	return wire.NewSettingsProtobufClient("http://"+host.ControlAddr, n.Client)
}
