package upstream

import "sync/atomic"

// identity orders the opening of connections and the reads of the back end's status.
//
// A status read that starts after a connection was opened identifies the process at its other end: either that
// process answered, or it is gone and the connection is dead.
type identity struct {
	sequence atomic.Uint64
	// read is the point at which the last successful status read started.
	read atomic.Uint64
}

// mark returns the next point of the sequence.
func (i *identity) mark() uint64 { return i.sequence.Add(1) }

// identified records a successful status read that started at the given point.
func (i *identity) identified(started uint64) { i.read.Store(started) }

// covers reports whether a successful status read started after the given point.
func (i *identity) covers(opened uint64) bool { return i.read.Load() > opened }
