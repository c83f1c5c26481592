// Package table holds the tables that the goroutines of a process share.
//
// Lock order: Settings, Members, Upstreams, Chunks, Requests. A table is never locked while the
// lock of a later table is held. Every method takes one lock and releases it before it returns,
// and no method calls another table, so callers cannot hold two locks unless they nest callbacks.
// Builds with the race detector panic on a lock out of order.
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

// CheckOrder panics when a table of rank next is locked while held is locked.
func CheckOrder(held, next Rank) {
	if next <= held {
		panic(fmt.Sprintf("table: lock of rank %d requested while rank %d is held", next, held))
	}
}

// ranked is a type that stands for a rank, so that the zero value of a mutex knows its place in the order.
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
