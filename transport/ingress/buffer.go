package ingress

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

// grantedBytes is the capacity up to which a buffer is granted even if the shared limit is used up: requests that have run at sound
// replicas get their responses, which are mostly smaller, whatever others take.
const grantedBytes = 64 << 10

// responseBuffer counts the buffered responses, or the unfinished events, of one request.
type responseBuffer struct {
	held *held.Request
	kind holding.Kind
	// reserved is what the buffers of the request count.
	reserved int64
}

// errBuffersFull is returned for a response that exceeds its request's part of the limit of all buffered responses.
var errBuffersFull = eris.New("buffered responses leave no room for the response")

// resize counts a buffer of a request that changes its capacity.
func (b *responseBuffer) resize(from, to int) error {
	more := countedBytes(to) - countedBytes(from)
	if more <= 0 || to <= grantedBytes {
		b.held.Force(b.kind, more)
	} else if !b.held.Grow(b.kind, more) {
		countOversized(limitOfBuffers)
		return errBuffersFull
	}
	b.reserved += more
	return nil
}

// countedBytes returns the bytes that a buffer counts. Every attempt has one of readBufferBytes, so these are left out.
func countedBytes(capacity int) int64 {
	if capacity <= readBufferBytes {
		return 0
	}
	return int64(capacity)
}

// readAll reads r to its end. It fails if r has more than limit bytes or if other requests leave no room for them.
func (b *responseBuffer) readAll(r io.Reader, limit int64) (_ []byte, err error) {
	data := make([]byte, 0, readBufferBytes)
	defer func() {
		if err != nil {
			_ = b.resize(cap(data), 0)
		}
	}()
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			countOversized(limitOfBody)
			return nil, eris.Errorf("response exceeds the limit of %d bytes", limit)
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns data with twice the capacity.
func (b *responseBuffer) grow(data []byte) ([]byte, error) {
	size := 2 * cap(data)
	if err := b.resize(cap(data), size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, nil
}

// excuseReplicaOfLimit changes the result of an attempt whose response this host has no room for, which is no fault of the replica.
func excuseReplicaOfLimit(result attemptResult) attemptResult {
	if errors.Is(result.err, errBuffersFull) {
		result.outcome, result.connectionLost = dispatch.OutcomeAbandoned, false
	}
	return result
}

// release gives back what the request has reserved.
func (b *responseBuffer) release() {
	b.held.Force(b.kind, -b.reserved)
	b.reserved = 0
}
