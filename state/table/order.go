// Package table provides the in-memory tables that the goroutines of a process share.
//
// Lock order: Settings, Members, Upstreams, Chunks, Requests. A table must not be locked while the
// lock of a later table is held. Every method acquires one lock, releases it before it returns and
// calls no other table, so callers can hold two locks only by calling a table from a callback.
// Builds with the race detector panic on a violation of this order.
package table

import "fmt"

// Rank is the position of a table in the lock order.
type Rank int

// Ranks in lock order.
const (
	RankSettings Rank = iota + 1
	RankMembers
	RankUpstreams
	RankChunks
	RankRequests
)

// CheckOrder panics unless a table of rank next may be locked while a table of rank held is locked.
func CheckOrder(held, next Rank) {
	if next <= held {
		panic(fmt.Sprintf("table: lock of rank %d requested while rank %d is held", next, held))
	}
}

// ranked is implemented by types that each represent a rank, so that the zero value of a mutex has its rank.
type ranked interface{ rank() Rank }

type (
	rankSettings  struct{}
	rankMembers   struct{}
	rankUpstreams struct{}
	rankChunks    struct{}
)

func (rankSettings) rank() Rank  { return RankSettings }
func (rankMembers) rank() Rank   { return RankMembers }
func (rankUpstreams) rank() Rank { return RankUpstreams }
func (rankChunks) rank() Rank    { return RankChunks }
