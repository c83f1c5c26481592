package ingress

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// uncountedBytes is the size up to which a buffered response does not count against the shared limit.
const uncountedBytes = 32 << 10

// bufferLimit bounds the memory of all responses that are buffered at a time. Without it a few replicas that send bytes without end
// would exhaust the memory of the process.
type bufferLimit struct {
	limit int64
	used  atomic.Int64
}

// reserve counts bytes as used and reports whether they are within the limit.
func (l *bufferLimit) reserve(bytes int64) bool {
	if l.used.Add(bytes) <= l.limit {
		return true
	}
	l.used.Add(-bytes)
	return false
}

// responseBuffer counts the buffered responses of one request.
type responseBuffer struct {
	shared   *bufferLimit
	reserved int64
}

// readAll reads r to its end. It fails if r has more than limit bytes or if other requests leave no room for them.
func (b *responseBuffer) readAll(r io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, readBufferBytes)
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
	if size > uncountedBytes {
		if !b.shared.reserve(int64(size)) {
			return nil, eris.Errorf("buffered responses exceed the limit of %d bytes", b.shared.limit)
		}
		b.reserved += int64(size)
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
