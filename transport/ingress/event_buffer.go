package ingress

import (
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/sse"
)

const (
	// maxEventBytes bounds an event that is buffered until it is complete.
	maxEventBytes = 1 << 20
	// separatorOverlap is one byte less than the longest separator of events, of which a read may return a part.
	separatorOverlap = 3
)

// errEventTooLarge is returned for an event that exceeds maxEventBytes.
var errEventTooLarge = eris.Errorf("event exceeds the limit of %d bytes", maxEventBytes)

// eventBuffer splits a stream into events. The event that is not complete counts as a buffered response.
type eventBuffer struct {
	counter *responseBuffer
	// data holds what has been read and not been returned by next, from start on.
	data  []byte
	start int
	// scanned is the end of the part of data that is known to hold no end of an event. Without it, an event that arrives in many small
	// parts would be searched from its beginning with each.
	scanned int
}

// add appends a part of the stream.
func (b *eventBuffer) add(part []byte) error {
	b.discardReturned()
	if len(b.data)+len(part) > maxEventBytes {
		countOversized(limitOfEvent)
		return errEventTooLarge
	}
	if needed := len(b.data) + len(part); needed > cap(b.data) {
		size := max(readBufferBytes, cap(b.data))
		for size < needed {
			size *= 2
		}
		if err := b.counter.resize(cap(b.data), size); err != nil {
			return err
		}
		grown := make([]byte, len(b.data), size)
		copy(grown, b.data)
		b.data = grown
	}
	b.data = append(b.data, part...)
	return nil
}

// discardReturned removes the events that next has returned, and gives back the memory of a large one.
func (b *eventBuffer) discardReturned() {
	if b.start == 0 {
		return
	}
	rest := b.data[b.start:]
	b.scanned -= b.start
	b.start = 0
	if cap(b.data) > readBufferBytes && len(rest) <= readBufferBytes {
		_ = b.counter.resize(cap(b.data), 0)
		b.data = append(make([]byte, 0, readBufferBytes), rest...)
		return
	}
	b.data = b.data[:copy(b.data, rest)]
}

// next returns the next complete event including its blank line, or nil if there is none. It is valid until the next call of add.
func (b *eventBuffer) next() []byte {
	from := max(b.start, b.scanned-separatorOverlap)
	length := sse.EventLength(b.data[from:])
	if length == 0 {
		b.scanned = len(b.data)
		return nil
	}
	event := b.data[b.start : from+length]
	b.start = from + length
	b.scanned = b.start
	return event
}

// isEmpty reports whether no part of an event is left.
func (b *eventBuffer) isEmpty() bool { return b.start == len(b.data) }

// release gives back the memory that the request has reserved.
func (b *eventBuffer) release() {
	_ = b.counter.resize(cap(b.data), 0)
	b.data, b.start, b.scanned = nil, 0, 0
}
