package transfer

import "time"

const (
	// slowChunk is the time of a fetch above which the link is taken to be narrow: its queue then delays live requests for as
	// long. A chunk of 48 KiB takes 42 ms at 9.4 Mbit/s.
	slowChunk = 350 * time.Millisecond
	// fastChunk is the time below which one more fetch at once does no harm.
	fastChunk = 150 * time.Millisecond
)

// FetchLimiter bounds the fetches that run at once on a host's link, which may narrow at any time: it falls to one after a slow
// fetch and grows by one with each fast one. It is not safe for concurrent use.
type FetchLimiter struct {
	limit int
	most  int
}

// NewFetchLimiter returns Slots that start at most.
func NewFetchLimiter(most int) *FetchLimiter { return &FetchLimiter{limit: most, most: most} }

// Limit returns the number of fetches that may run at once.
func (s *FetchLimiter) Limit() int { return s.limit }

// RecordDuration takes the time that a fetch took, whether it succeeded or not.
func (s *FetchLimiter) RecordDuration(took time.Duration) {
	switch {
	case took > slowChunk:
		s.limit = 1
	case took < fastChunk:
		s.limit = min(s.limit+1, s.most)
	}
}
