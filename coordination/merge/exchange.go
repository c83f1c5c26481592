package merge

// Digest is one side's part of an exchange about one set of items.
//
// The first request holds only the summary. The response to a different summary holds the sums. The
// second request holds the items in the buckets that differ.
type Digest struct {
	Summary uint64
	Sums    []uint64
	// Buckets are the buckets that Items covers in full.
	Buckets []uint32
	Items   []Item
}

// Held is what a process holds of one set of items, with its sums.
type Held struct {
	items   []Item
	sums    Sums
	summary uint64
}

// Hold computes the sums of items with distinct keys.
func Hold(items []Item) Held {
	sums := SumsOf(items)
	return Held{items: items, sums: sums, summary: sums.Summary()}
}

// Open returns the first request.
func (h Held) Open() Digest { return Digest{Summary: h.summary} }

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
func (h Held) Answer(request Digest) Reply {
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

// Follow returns the second request, and false when the reply needs none.
func (h Held) Follow(reply Reply) (Digest, bool) {
	if len(reply.Sums) == 0 {
		return Digest{}, false
	}
	buckets := h.sums.Differing(reply.Sums)
	if len(buckets) == 0 {
		return Digest{}, false
	}
	return Digest{Summary: h.summary, Buckets: buckets, Items: InBuckets(h.items, buckets)}, true
}
