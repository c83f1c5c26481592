package control

import (
	"context"

	"github.com/guavatrestle/guavatrestle/coordination/merge"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

var _ wire.Settings = (*Node)(nil)

// Exchange implements wire.Settings.
func (n *Node) Exchange(_ context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	n.Members.MarkReachable(core.HostID(request.GetHost()), core.Incarnation(request.GetIncarnation()))
	documents, members := n.digests()
	d := documents.Answer(merge.Request{
		Summary: request.GetSummary(), Buckets: request.GetBuckets(), Items: versionsFromWire(request.GetVersions()),
	})
	m := members.Answer(merge.Request{
		Summary: request.GetMembersSummary(), Buckets: request.GetMemberBuckets(), Items: stampsFromWire(request.GetMembers()),
	})
	response := &wire.ExchangeResponse{
		Host:              string(n.Self.ID),
		Incarnation:       string(n.Self.Incarnation),
		FailureDomain:     string(n.Self.FailureDomain),
		Loaded:            n.Settings.Loaded(),
		PlatformAgeMillis: n.platformAge(),
		Equal:             d.Equal,
		BucketSums:        d.Sums,
		MembersEqual:      m.Equal,
		MemberBucketSums:  m.Sums,
		WantedMembers:     m.Want,
	}
	n.addMissing(response, d, m)
	return response, nil
}

// addMissing adds the content that the requester lacks, and the paths of the documents that it should push to this process.
func (n *Node) addMissing(response *wire.ExchangeResponse, d, m merge.Reply) {
	if len(d.Send)+len(d.Want)+len(m.Send) == 0 {
		return
	}
	newer := merge.Documents(n.Settings.Documents()).Select(d.Send, maxDocumentBytes)
	response.Newer = documentsToWire(newer)
	for _, path := range d.Want {
		response.Wanted = append(response.Wanted, &wire.PathVersion{Path: path})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	records := n.view.RecordsFor(m.Send, maxRecords)
	response.NewerMembers = recordsToWire(records)
	response.Partial = len(newer) < len(d.Send) || len(records) < len(m.Send)
}

// Push implements wire.Settings. It forwards new content to the children of this process in the push tree. Content marked
// as repair belongs to an exchange and is merged like other exchanged content.
func (n *Node) Push(_ context.Context, request *wire.PushRequest) (*wire.PushResponse, error) {
	if request.GetRepair() {
		n.mergeExchanged(core.FailureDomain(request.GetFailureDomain()), request.GetDocuments(), request.GetMembers())
		return &wire.PushResponse{}, nil
	}
	n.enqueue(pushJob{
		documents: n.mergeDocuments(documentsFromWire(request.GetDocuments())),
		members:   n.mergeMembers(recordsFromWire(request.GetMembers())),
		root:      core.FailureDomain(request.GetFailureDomain()) != n.Self.FailureDomain,
	})
	return &wire.PushResponse{}, nil
}
