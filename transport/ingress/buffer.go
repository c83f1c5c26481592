package ingress

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// grantedBytes is the capacity up to which a buffer is granted even if the shared limit is used up: requests that have run at sound
// replicas get their responses, which are mostly smaller, whatever others take.
const grantedBytes = 64 << 10

// bufferLimit bounds the memory of all responses, and unfinished events of streams, that are buffered at a time. Without it a few
// replicas that send bytes without end would exhaust the memory of the process.
type bufferLimit struct {
	limit int64
	used  atomic.Int64
}

// reserve counts more bytes of a request that has reserved held, and reports whether it may have them: a request may use half of what the
// others leave, so that those that need most fail first.
func (l *bufferLimit) reserve(held, more int64) bool {
	for {
		used := l.used.Load()
		if 2*(held+more) > l.limit-(used-held) {
			return false
		}
		if l.used.CompareAndSwap(used, used+more) {
			return true
		}
	}
}

// responseBuffer counts the buffered responses of one request.
type responseBuffer struct {
	shared   *bufferLimit
	reserved int64
}

// errBuffersFull is returned for a response that exceeds its request's part of the limit of all buffered responses.
var errBuffersFull = eris.New("buffered responses leave no room for the response")

// resize counts a buffer of a request that changes its capacity.
func (b *responseBuffer) resize(from, to int) error {
	more := countedBytes(to) - countedBytes(from)
	if more <= 0 || to <= grantedBytes {
		b.shared.used.Add(more)
	} else if !b.shared.reserve(b.reserved, more) {
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

// release gives back what the request has reserved.
func (b *responseBuffer) release() {
	b.shared.used.Add(-b.reserved)
	b.reserved = 0
}
