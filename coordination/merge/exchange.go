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

// Open returns the first request about items.
func Open(items []Item) Digest {
	return Digest{Summary: SumsOf(items).Summary()}
}

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

// Answer answers a request about items.
func Answer(items []Item, request Digest) Reply {
	if len(request.Buckets) > 0 {
		send, want := Compare(InBuckets(items, request.Buckets), request.Items)
		return Reply{Send: send, Want: want}
	}
	sums := SumsOf(items)
	if sums.Summary() == request.Summary {
		return Reply{Equal: true}
	}
	return Reply{Sums: sums[:]}
}

// Follow returns the second request, and false when the reply needs none.
func Follow(items []Item, reply Reply) (Digest, bool) {
	if len(reply.Sums) == 0 {
		return Digest{}, false
	}
	sums := SumsOf(items)
	buckets := sums.Differing(reply.Sums)
	if len(buckets) == 0 {
		return Digest{}, false
	}
	return Digest{Summary: sums.Summary(), Buckets: buckets, Items: InBuckets(items, buckets)}, true
}
