package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/protocol/sse"
	"github.com/guavatrestle/guavatrestle/transport/backend"
)

const (
	// readBytes holds several events of a stream.
	readBytes = 4 << 10
	// maxEventBytes bounds an event that is held until it is whole.
	maxEventBytes = 1 << 20
)

// stream is the part of a stream that the caller has.
type stream struct {
	// started says that the head of the answer has gone to the caller.
	started bool
	// lastID is the id of the last event passed on, lastNumber its value when it is a number.
	lastID     string
	lastNumber int64
	numbered   bool
}

// relay passes a stream on in whole events.
func (c *call) relay(ctx context.Context, response *backend.Response, sent time.Time, guard *slowGuard) end {
	var pending []byte
	var latency time.Duration
	buffer := make([]byte, readBytes)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if sse.EventLength(pending) > 0 && latency == 0 {
			if cause := guard.settle(); cause != nil {
				return end{outcome: givenUpAs(cause), err: cause}
			}
			latency = c.h.Now().Sub(sent)
		}
		rest, failed := c.pass(response, pending)
		if failed != nil {
			return end{outcome: dispatch.OutcomeAbandoned, err: failed}
		}
		pending = append(pending[:0], rest...)
		switch {
		case err == io.EOF && len(pending) == 0:
			c.begin(response)
			return end{outcome: dispatch.OutcomeServed, answered: true, latency: latency}
		case err == io.EOF:
			return end{outcome: dispatch.OutcomeBroken, err: eris.New("stream ended inside an event")}
		case err != nil:
			return c.broken(ctx, err)
		case len(pending) > maxEventBytes:
			return end{outcome: dispatch.OutcomeBroken, err: eris.Errorf("event is larger than %d bytes", maxEventBytes)}
		}
	}
}

func (c *call) broken(ctx context.Context, err error) end {
	last := end{outcome: dispatch.OutcomeBroken, err: err}
	if cause := context.Cause(ctx); cause != nil {
		last.err = cause
		last.outcome = givenUpAs(cause)
	}
	return last
}

// pass sends the whole events of data to the caller and returns the rest.
func (c *call) pass(response *backend.Response, data []byte) (rest []byte, err error) {
	var ready []byte
	for {
		length := sse.EventLength(data)
		if length == 0 {
			break
		}
		event := data[:length]
		data = data[length:]
		if c.stream.take(event) {
			ready = append(ready, event...)
		}
	}
	if len(ready) == 0 {
		return data, nil
	}
	c.begin(response)
	if _, err := c.w.Write(ready); err != nil {
		return nil, err
	}
	return data, http.NewResponseController(c.w).Flush()
}

// take records an event that goes to the caller; it returns false for one that the caller has.
func (s *stream) take(event []byte) bool {
	text, number, numeric := sse.EventID(event)
	if numeric {
		if s.numbered && number <= s.lastNumber {
			return false
		}
		s.lastNumber, s.numbered = number, true
	}
	if text != "" {
		s.lastID = text
	}
	return true
}

// begin sends the head of the answer; that of a resumed stream stays the first replica's.
func (c *call) begin(response *backend.Response) {
	if c.stream.started {
		return
	}
	c.stream.started = true
	varLatency.record(c.h.Now().Sub(c.arrived))
	target := c.w.Header()
	headers.RemoveHopByHop(response.Header)
	delete(response.Header, "Content-Length")
	for name, values := range response.Header {
		target[name] = values
	}
	c.w.WriteHeader(response.Status)
}
