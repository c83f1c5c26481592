package upstream

import "sync/atomic"

// identitySequence numbers the openings of connections and the reads of the back end's status in one sequence.
//
// A status read that starts after a connection was opened identifies the process at its other end: either that
// process answered, or it has exited and the connection is dead.
type identitySequence struct {
	sequence atomic.Uint64
	// lastRead is the sequence number at which the last successful status read started.
	lastRead atomic.Uint64
}

// next returns the next sequence number.
func (i *identitySequence) next() uint64 { return i.sequence.Add(1) }

// recordRead records a successful status read that started at the given sequence number.
func (i *identitySequence) recordRead(startedAt uint64) { i.lastRead.Store(startedAt) }

// readSince reports whether a successful status read started after the given sequence number.
func (i *identitySequence) readSince(openedAt uint64) bool { return i.lastRead.Load() > openedAt }
