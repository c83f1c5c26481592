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
	// neighborCount is the number of peers with which a process exchanges over persistent connections. With
	// random peers out of 2,500 most exchanges would open a connection, which costs more than the exchange.
	neighborCount = 8
	// neighborRounds is the number of rounds after which one neighbor is replaced.
	neighborRounds = 10
	// meanSuspectRounds is the mean number of rounds between exchanges with a suspect host.
	meanSuspectRounds = 4
	// digestLifetime is the time after which the digest of the member records is recomputed even without
	// a change, because the records of hosts that are gone expire.
	digestLifetime = 10 * time.Second
	// maxDocumentBytes bounds the documents in one message.
	maxDocumentBytes = 512 << 10
	// maxRecords bounds the member records in one message.
	maxRecords = 3000
)

// exchangeLoop exchanges digests with a few peers in each round.
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

// choosePeers returns the peers of the next round: random neighbors, the watchers that this process probes as a spare,
// and occasionally a suspect host. A process without peers uses the configured seeds.
func (n *Node) choosePeers() []core.Host {
	hosts := n.Members.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewNeighbors(hosts)
	peers := membership.Sample(hosts, n.Config.ExchangePeers, n.Random, func(h core.Host) bool {
		return slices.Contains(n.neighbors, h.ID)
	})
	peers = append(peers, n.watchersToProbe(hosts)...)
	if n.Random.IntN(meanSuspectRounds) == 0 {
		peers = append(peers, membership.Sample(hosts, 1, n.Random, isSuspect)...)
	}
	if len(peers) == 0 {
		peers = n.seedHosts()
	}
	return peers
}

// renewNeighbors removes neighbors that are not live, replaces one every neighborRounds rounds, and fills up the list.
func (n *Node) renewNeighbors(hosts []core.Host) {
	live := make(map[core.HostID]bool)
	for _, host := range hosts {
		live[host.ID] = n.isPeer(host)
	}
	n.neighbors = slices.DeleteFunc(n.neighbors, func(id core.HostID) bool { return !live[id] })
	n.exchangeRounds++
	if n.exchangeRounds%neighborRounds == 0 && len(n.neighbors) == neighborCount {
		n.neighbors = slices.Delete(n.neighbors, 0, 1)
	}
	missing := neighborCount - len(n.neighbors)
	added := membership.Sample(hosts, missing, n.Random, func(h core.Host) bool {
		return n.isPeer(h) && !slices.Contains(n.neighbors, h.ID)
	})
	for _, host := range added {
		n.neighbors = append(n.neighbors, host.ID)
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

// exchangeWith compares the content of both processes and transfers the differences in both directions.
func (n *Node) exchangeWith(ctx context.Context, host core.Host) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := n.sendExchange(ctx, host, n.firstRequest())
	if err != nil {
		return err
	}
	next, more := n.secondRequest(response)
	if !more {
		n.recordExchange(response, response.GetEqual())
		return nil
	}
	response, err = n.sendExchange(ctx, host, next)
	if err != nil {
		return err
	}
	n.mergeExchanged(core.FailureDomain(response.GetFailureDomain()), response.GetNewer(), response.GetNewerMembers())
	n.recordExchange(response, !response.GetPartial())
	return n.pushWanted(ctx, host, response)
}

func (n *Node) sendExchange(
	ctx context.Context, host core.Host, request *wire.ExchangeRequest,
) (*wire.ExchangeResponse, error) {
	response, err := n.peerClient(host).Exchange(ctx, request)
	if err != nil {
		n.Members.MarkUnreachable(host.ID)
		return nil, err
	}
	n.Members.MarkReachable(core.HostID(response.GetHost()), core.Incarnation(response.GetIncarnation()))
	return response, nil
}

// mergeExchanged merges content that an exchange found missing. A document from another failure domain is also pushed,
// because it has likely not reached this one. Member records are not pushed: when many processes start, each
// record would be pushed through each failure domain many times.
func (n *Node) mergeExchanged(from core.FailureDomain, documents []*wire.Document, records []*wire.MemberRecord) {
	merged := n.mergeDocuments(documentsFromWire(documents))
	n.mergeMembers(recordsFromWire(records))
	if from != n.Self.FailureDomain {
		n.enqueue(pushJob{documents: merged, root: true})
	}
}

// pushWanted pushes the content that the peer lacks.
func (n *Node) pushWanted(ctx context.Context, host core.Host, response *wire.ExchangeResponse) error {
	var paths []string
	for _, wanted := range response.GetWanted() {
		paths = append(paths, wanted.GetPath())
	}
	b := hostBatch{host: host, documents: merge.Documents(n.Settings.Documents()).Select(paths, maxDocumentBytes)}
	n.mu.Lock()
	b.members = n.view.RecordsFor(response.GetWantedMembers(), maxRecords)
	n.mu.Unlock()
	if len(b.documents) == 0 && len(b.members) == 0 {
		return nil
	}
	return n.sendBatch(ctx, b, true)
}

// digests returns the digests of the documents and of the member records, from the cache if it is valid.
func (n *Node) digests() (documents, members merge.ItemSet) {
	tree := n.Settings.Tree()
	n.mu.Lock()
	defer n.mu.Unlock()
	// Each change of the documents creates a new tree, which is the key of the cache. Reading the tree before
	// the documents means that the cache is never older than its key.
	if tree != n.documentDigestTree {
		n.documentDigest = merge.NewItemSet(merge.Documents(n.Settings.Documents()).Items())
		n.documentDigestTree = tree
	}
	now := n.Now()
	if !n.memberDigestValid || now.Sub(n.memberDigestAt) > digestLifetime {
		n.memberDigest = merge.NewItemSet(n.view.Items(now))
		n.memberDigestAt, n.memberDigestValid = now, true
	}
	return n.documentDigest, n.memberDigest
}

func (n *Node) firstRequest() *wire.ExchangeRequest {
	documents, members := n.digests()
	return n.exchangeRequest(documents.FirstRequest(), members.FirstRequest())
}

// secondRequest returns the second request of an exchange, and false if nothing differs.
func (n *Node) secondRequest(response *wire.ExchangeResponse) (*wire.ExchangeRequest, bool) {
	documents, members := n.digests()
	d, moreDocuments := documents.SecondRequest(merge.Reply{Sums: response.GetBucketSums()})
	m, moreMembers := members.SecondRequest(merge.Reply{Sums: response.GetMemberBucketSums()})
	if !moreDocuments {
		d = documents.FirstRequest()
	}
	if !moreMembers {
		m = members.FirstRequest()
	}
	return n.exchangeRequest(d, m), moreDocuments || moreMembers
}

func (n *Node) exchangeRequest(documents, members merge.Request) *wire.ExchangeRequest {
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
