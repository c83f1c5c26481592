package merge

// Request is one side's part of an exchange about one set of items.
//
// The first request holds only the summary. The response to a different summary holds the sums. The
// second request holds the items in the buckets that differ.
type Request struct {
	Summary uint64
	Sums    []uint64
	// Buckets are the buckets that Items covers in full.
	Buckets []uint32
	Items   []Item
}

// ItemSet is what a process holds of one set of items, with its sums.
type ItemSet struct {
	items   []Item
	sums    Sums
	summary uint64
}

// NewItemSet computes the sums of items with distinct keys.
func NewItemSet(items []Item) ItemSet {
	sums := SumsOf(items)
	return ItemSet{items: items, sums: sums, summary: sums.Summary()}
}

// FirstRequest returns the first request.
func (h ItemSet) FirstRequest() Request { return Request{Summary: h.summary} }

// Reply is the answer to a request.
type Reply struct {
	// Equal says that both sides hold the same versions.
	Equal bool
	// Sums are set when the summaries differ and the request held no items.
	Sums []uint64
	// Send are the keys whose items go to the requester.
	Send []string
	// Want are the keys whose items the requester should send.
	Want []string
}

// Answer answers a request.
func (h ItemSet) Answer(request Request) Reply {
	switch {
	case len(request.Buckets) > 0:
		send, want := Compare(InBuckets(h.items, request.Buckets), request.Items)
		return Reply{Send: send, Want: want}
	case h.summary == request.Summary:
		return Reply{Equal: true}
	default:
		return Reply{Sums: h.sums[:]}
	}
}

// SecondRequest returns the second request, and false when the reply needs none.
func (h ItemSet) SecondRequest(reply Reply) (Request, bool) {
	if len(reply.Sums) == 0 {
		return Request{}, false
	}
	buckets := h.sums.Differing(reply.Sums)
	if len(buckets) == 0 {
		return Request{}, false
	}
	return Request{Summary: h.summary, Buckets: buckets, Items: InBuckets(h.items, buckets)}, true
}
