package control

import (
	"context"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/membership"
	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// neighbourCount is the number of peers that a process keeps connections to. Exchanges with random
	// peers out of 2,500 would open a connection each time, which costs more than the exchange.
	neighbourCount = 8
	// neighbourRounds is the number of rounds after which one neighbour is replaced.
	neighbourRounds = 10
	// suspectOdds is one in how many rounds a suspect host is asked again.
	suspectOdds = 4
	// digestLifetime is the time after which the digest of member records is computed anew even without
	// a change, because records of gone hosts expire.
	digestLifetime = 10 * time.Second
	// maxDocumentBytes bounds the documents in one message.
	maxDocumentBytes = 512 << 10
	// maxRecords bounds the member records in one message.
	maxRecords = 3000
)

// exchangeLoop exchanges digests with a few peers per round.
func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, host := range n.choosePeers() {
			if err := n.exchangeWith(ctx, host); err != nil {
				n.Log.WithError(err).WithField("peer", host.ID).Debug("exchange failed")
			}
		}
		interval := n.Config.ExchangeInterval
		if !n.Settings.Loaded() {
			interval = startInterval
		}
		pause(ctx, n.jittered(interval))
	}
}

// choosePeers returns the peers of the next round: random neighbours, the watchers that a spare looks
// after, and now and then a suspect host. A process without peers asks the configured seeds.
func (n *Node) choosePeers() []core.Host {
	hosts := n.Members.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNeighbours(hosts)
	peers := membership.Sample(hosts, n.Config.ExchangePeers, n.Random, func(h core.Host) bool {
		return slices.Contains(n.neighbours, h.ID)
	})
	peers = append(peers, n.watchersToProbe(hosts)...)
	if n.Random.IntN(suspectOdds) == 0 {
		peers = append(peers, membership.Sample(hosts, 1, n.Random, isSuspect)...)
	}
	if len(peers) == 0 {
		peers = n.seedHosts()
	}
	return peers
}

// renewNeighbours drops neighbours that are no longer live, replaces one now and then, and fills up.
func (n *Node) renewNeighbours(hosts []core.Host) {
	live := make(map[core.HostID]bool)
	for _, host := range hosts {
		live[host.ID] = n.isPeer(host)
	}
	n.neighbours = slices.DeleteFunc(n.neighbours, func(id core.HostID) bool { return !live[id] })
	n.rounds++
	if n.rounds%neighbourRounds == 0 && len(n.neighbours) == neighbourCount {
		n.neighbours = slices.Delete(n.neighbours, 0, 1)
	}
	missing := neighbourCount - len(n.neighbours)
	fresh := membership.Sample(hosts, missing, n.Random, func(h core.Host) bool {
		return n.isPeer(h) && !slices.Contains(n.neighbours, h.ID)
	})
	for _, host := range fresh {
		n.neighbours = append(n.neighbours, host.ID)
	}
}

func (n *Node) seedHosts() []core.Host {
	var hosts []core.Host
	for _, addr := range n.Config.Seeds {
		if addr != n.Self.ControlAddr {
			hosts = append(hosts, core.Host{ControlAddr: addr})
		}
	}
	return hosts
}

func isSuspect(host core.Host) bool { return host.State == core.HostSuspect }

// exchangeWith compares what both sides hold and closes the differences in both directions.
func (n *Node) exchangeWith(ctx context.Context, host core.Host) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := n.ask(ctx, host, n.opening())
	if err != nil {
		return err
	}
	next, more := n.following(reply)
	if !more {
		n.notePeer(reply, reply.GetEqual())
		return nil
	}
	reply, err = n.ask(ctx, host, next)
	if err != nil {
		return err
	}
	n.take(core.FailureDomain(reply.GetFailureDomain()), reply.GetNewer(), reply.GetNewerMembers())
	n.notePeer(reply, !reply.GetPartial())
	return n.answerWants(ctx, host, reply)
}

func (n *Node) ask(ctx context.Context, host core.Host, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	reply, err := n.peer(host).Exchange(ctx, request)
	if err != nil {
		n.Members.MarkUnreachable(host.ID)
		return nil, err
	}
	n.Members.MarkReachable(core.HostID(reply.GetHost()), core.Incarnation(reply.GetIncarnation()))
	return reply, nil
}

// take takes over content that an exchange found missing. A document from another failure domain is pushed
// on, because it has likely not reached this one. Member records are left to the exchanges: when many
// processes start, each record pushed on would cross each failure domain many times.
func (n *Node) take(from core.FailureDomain, documents []*wire.Document, records []*wire.MemberRecord) {
	taken := n.takeDocuments(documentsFromWire(documents))
	n.takeMembers(recordsFromWire(records))
	if from != n.Self.FailureDomain {
		n.enqueue(job{documents: taken, root: true})
	}
}

// answerWants pushes what the peer lacks.
func (n *Node) answerWants(ctx context.Context, host core.Host, reply *wire.ExchangeResponse) error {
	var paths []string
	for _, wanted := range reply.GetWanted() {
		paths = append(paths, wanted.GetPath())
	}
	b := batch{host: host, documents: merge.Documents(n.Settings.Documents()).Select(paths, maxDocumentBytes)}
	n.mu.Lock()
	b.members = n.view.RecordsFor(reply.GetWantedMembers(), maxRecords)
	n.mu.Unlock()
	if len(b.documents) == 0 && len(b.members) == 0 {
		return nil
	}
	return n.send(ctx, b, true)
}

// held returns the versions of the documents and member records held.
func (n *Node) held() (documents, members merge.ItemSet) {
	tree := n.Settings.Tree()
	n.mu.Lock()
	defer n.mu.Unlock()
	// Each change of the documents makes a new tree. Reading it first means that the cache is never
	// newer than its key.
	if tree != n.documentsTree {
		n.documents = merge.NewItemSet(merge.Documents(n.Settings.Documents()).Items())
		n.documentsTree = tree
	}
	now := n.Now()
	if !n.digestValid || now.Sub(n.digestAt) > digestLifetime {
		n.digest = merge.NewItemSet(n.view.Items(now))
		n.digestAt, n.digestValid = now, true
	}
	return n.documents, n.digest
}

func (n *Node) opening() *wire.ExchangeRequest {
	documents, members := n.held()
	return n.request(documents.FirstRequest(), members.FirstRequest())
}

// following returns the second request of an exchange, and false when there is nothing to ask.
func (n *Node) following(reply *wire.ExchangeResponse) (*wire.ExchangeRequest, bool) {
	documents, members := n.held()
	d, moreDocuments := documents.SecondRequest(merge.Reply{Sums: reply.GetBucketSums()})
	m, moreMembers := members.SecondRequest(merge.Reply{Sums: reply.GetMemberBucketSums()})
	if !moreDocuments {
		d = documents.FirstRequest()
	}
	if !moreMembers {
		m = members.FirstRequest()
	}
	return n.request(d, m), moreDocuments || moreMembers
}

func (n *Node) request(documents, members merge.Request) *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Host:           string(n.Self.ID),
		Incarnation:    string(n.Self.Incarnation),
		FailureDomain:  string(n.Self.FailureDomain),
		Summary:        documents.Summary,
		Buckets:        documents.Buckets,
		Versions:       versionsToWire(documents.Items),
		MembersSummary: members.Summary,
		MemberBuckets:  members.Buckets,
		Members:        stampsToWire(members.Items),
	}
}
