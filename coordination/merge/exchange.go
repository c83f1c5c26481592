package merge

// Request is a request of an exchange about one set of items.
//
// The first request carries only the summary. If the receiver's summary differs, its reply carries its sums. The second request
// carries the items in the buckets that differ.
type Request struct {
	Summary uint64
	Sums    []uint64
	// Buckets are the buckets of which Items lists every item.
	Buckets []uint32
	Items   []Item
}

// ItemSet is the set of items that a process holds, with their sums.
type ItemSet struct {
	items   []Item
	sums    Sums
	summary uint64
}

// NewItemSet returns an ItemSet of items with distinct keys.
func NewItemSet(items []Item) ItemSet {
	sums := SumsOf(items)
	return ItemSet{items: items, sums: sums, summary: sums.Summary()}
}

// FirstRequest returns the request that starts an exchange.
func (s ItemSet) FirstRequest() Request { return Request{Summary: s.summary} }

// Reply is the reply to a Request.
type Reply struct {
	// Equal is set when both sides hold the same versions.
	Equal bool
	// Sums is set when the summaries differ and the request carried no buckets.
	Sums []uint64
	// Send lists the keys whose items the replying side sends to the requester.
	Send []string
	// Want lists the keys whose items the requester should send.
	Want []string
}

// Answer returns the reply to a request.
func (s ItemSet) Answer(request Request) Reply {
	switch {
	case len(request.Buckets) > 0:
		send, want := Compare(InBuckets(s.items, request.Buckets), request.Items)
		return Reply{Send: send, Want: want}
	case s.summary == request.Summary:
		return Reply{Equal: true}
	default:
		return Reply{Sums: s.sums[:]}
	}
}

// SecondRequest returns the request that follows a reply with sums. It reports false when no bucket differs or the reply has no
// sums.
func (s ItemSet) SecondRequest(reply Reply) (Request, bool) {
	if len(reply.Sums) == 0 {
		return Request{}, false
	}
	buckets := s.sums.Differing(reply.Sums)
	if len(buckets) == 0 {
		return Request{}, false
	}
	return Request{Summary: s.summary, Buckets: buckets, Items: InBuckets(s.items, buckets)}, true
}
