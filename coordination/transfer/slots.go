package transfer

import "time"

const (
	// slowFetch is the duration above which the link counts as congested: chunks in its queue then delay live requests by as
	// much. A chunk of 48 KiB takes 42 ms at 9.4 Mbit/s.
	slowFetch = 350 * time.Millisecond
	// fastFetch is the duration below which one more concurrent fetch does not congest the link.
	fastFetch = 150 * time.Millisecond
	// A fetch from a peer takes about as many times its duration alone as both hosts have fetches at a time. fastLoad and slowLoad are the
	// multiples of that up to which it counts as fast, and beyond which as slow: with fixed bounds only, chunks of 48 KiB on links of 9.4
	// Mbit/s took 186 ms at the median, and a limit that had fallen to one never rose again.
	fastLoad = 1.5
	slowLoad = 3
)

// FetchLimiter bounds the concurrent fetches on a host's link, whose bandwidth may drop at any time. The limit falls to one
// after a slow fetch and grows by one with each fast one. It is not safe for concurrent use.
type FetchLimiter struct {
	limit      int
	maxFetches int
}

// NewFetchLimiter returns a FetchLimiter whose limit starts at maxFetches and never exceeds it.
func NewFetchLimiter(maxFetches int) *FetchLimiter {
	return &FetchLimiter{limit: maxFetches, maxFetches: maxFetches}
}

// Limit returns the number of fetches that may run concurrently.
func (s *FetchLimiter) Limit() int { return s.limit }

// RecordDuration adjusts the limit to the duration of a fetch, successful or not. alone is the duration of a fetch that has the whole link
// of the host, 0 if unknown.
func (s *FetchLimiter) RecordDuration(elapsed, alone time.Duration) {
	shared := float64(s.maxFetches) * float64(alone)
	switch {
	case elapsed > max(slowFetch, time.Duration(slowLoad*shared)):
		s.limit = 1
	case elapsed < max(fastFetch, time.Duration(fastLoad*shared)):
		s.limit = min(s.limit+1, s.maxFetches)
	}
}
