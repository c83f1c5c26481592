// Package table holds the tables that the goroutines of a process share.
//
// Lock order: Settings, Members, Upstreams, Chunks, Requests. A table is never locked while the
// lock of a later table is held. Every method takes one lock and releases it before it returns,
// and no method calls another table, so callers cannot hold two locks unless they nest callbacks.
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
