package transfer

import "time"

const (
	// slowFetch is the duration above which the link counts as congested: chunks in its queue then delay live requests by as
	// much. A chunk of 48 KiB takes 42 ms at 9.4 Mbit/s.
	slowFetch = 350 * time.Millisecond
	// fastFetch is the duration below which one more concurrent fetch does not congest the link.
	fastFetch = 150 * time.Millisecond
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

// RecordDuration adjusts the limit to the duration of a fetch, successful or not.
func (s *FetchLimiter) RecordDuration(elapsed time.Duration) {
	switch {
	case elapsed > slowFetch:
		s.limit = 1
	case elapsed < fastFetch:
		s.limit = min(s.limit+1, s.maxFetches)
	}
}
