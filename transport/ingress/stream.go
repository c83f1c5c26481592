package ingress

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/protocol/sse"
	"github.com/guavatrestle/guavatrestle/transport/backend"
)

const (
	// readBufferBytes is large enough for several events of a stream.
	readBufferBytes = 4 << 10
)

// streamState records what the caller has received of a stream.
type streamState struct {
	// started reports whether the response header has been sent to the caller.
	started bool
	// lastID is the ID of the last event sent to the caller, lastNumber the highest numeric ID, if hasNumber is set.
	lastID     string
	lastNumber int64
	hasNumber  bool
	// resumed is set while another replica goes on with the stream. advanced is then set once it has sent a new event, repeated once it
	// has sent the last one that the caller has.
	resumed, advanced, repeated bool
}

// errNotTheRest is returned for an event that is not part of the stream that a replica should go on with.
var errNotTheRest = eris.New("replica sent an event without an ID in place of the rest of the stream")

// beginAttempt prepares for the response of another replica.
func (s *streamState) beginAttempt() { s.resumed, s.advanced, s.repeated = s.started, false, false }

// ended reports whether the end of a response is that of the whole stream. A replica that goes on with a stream and sends nothing new
// has not ended it, unless it has shown that there is nothing left.
func (s *streamState) ended() bool { return !s.resumed || s.advanced || s.repeated }

// resumable reports whether another replica can go on with the stream: it has not started, or its last event has an ID.
func (s *streamState) resumable() bool { return !s.started || s.lastID != "" }

// relayStream forwards a stream event by event. Only complete events are sent, so that the stream can be resumed at
// another replica.
func (c *call) relayStream(
	ctx context.Context, response *backend.Response, sent time.Time, guard *attemptGuard,
) attemptResult {
	pending := eventBuffer{counter: &c.events}
	defer pending.release()
	var latency time.Duration
	var begun time.Time
	c.stream.beginAttempt()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if addErr := pending.add(buffer[:n]); addErr != nil {
			return attemptResult{outcome: dispatch.OutcomeBroken, err: addErr}
		}
		event := pending.next()
		if event != nil && latency == 0 {
			if cause := guard.begin(); cause != nil {
				return attemptResult{outcome: cancelOutcome(cause), err: cause}
			}
			latency = c.h.Now().Sub(sent)
			c.stage = stageEvents
			begun = c.h.Now()
		}
		if n > 0 && !begun.IsZero() && c.h.Now().Sub(begun) >= soundAfter {
			c.recordSound()
		}
		writeErr := c.forwardEvents(response, event, &pending, guard)
		switch {
		case errors.Is(writeErr, errNotTheRest):
			return attemptResult{outcome: dispatch.OutcomeBroken, err: writeErr}
		case writeErr != nil:
			return attemptResult{outcome: dispatch.OutcomeAbandoned, err: writeErr}
		}
		switch {
		case err == io.EOF && pending.isEmpty() && begun.IsZero() && !response.Framed:
			// Nothing tells an empty stream from one whose replica has ended.
			return attemptResult{outcome: dispatch.OutcomeBroken, connectionLost: true, err: eris.New("stream ended before its first event")}
		case err == io.EOF && pending.isEmpty() && !c.stream.ended():
			return attemptResult{
				outcome: dispatch.OutcomeBroken, connectionLost: !response.Framed, err: eris.New("replica ended the rest of the stream before a new event"),
			}
		case err == io.EOF && pending.isEmpty():
			c.recordEnd(response)
			c.startStream(response)
			// The server writes the end of the response after the handler; the deadline of the last event may have passed.
			c.boundWrite()
			return attemptResult{
				outcome: dispatch.OutcomeServed, responded: true, latency: latency, connectionLost: !response.Framed,
			}
		case err == io.EOF:
			return attemptResult{
				outcome: dispatch.OutcomeBroken, connectionLost: !response.Framed, err: eris.New("stream ended inside an event"),
			}
		case err != nil:
			return c.brokenStream(ctx, err)
		}
	}
}

func (c *call) brokenStream(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: dispatch.OutcomeBroken, connectionLost: context.Cause(ctx) == nil, err: err}
	if cause := context.Cause(ctx); cause != nil {
		result.err = cause
		result.outcome = cancelOutcome(cause)
	}
	return result
}

// forwardEvents sends the first complete event, nil for none, and those that follow it in pending to the caller.
func (c *call) forwardEvents(response *backend.Response, event []byte, pending *eventBuffer, guard *attemptGuard) error {
	var ready []byte
	for ; event != nil; event = pending.next() {
		if sse.HasData(event) {
			guard.progress()
		}
		send, err := c.stream.recordEvent(event)
		if err != nil {
			return err
		}
		if send {
			ready = append(ready, event...)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	c.startStream(response)
	guard.pause()
	defer guard.resume()
	return c.send(ready, true)
}

// recordEvent records an event to be sent to the caller. It returns false for an event that was sent before, and for a comment of a
// replica that has not gone on with the stream yet.
func (s *streamState) recordEvent(event []byte) (send bool, err error) {
	text, number, numeric := sse.EventID(event)
	switch {
	case numeric && s.hasNumber && number <= s.lastNumber:
		s.repeated = s.repeated || number == s.lastNumber
		return false, nil
	case numeric:
		s.lastNumber, s.hasNumber = number, true
	case s.resumed && s.hasNumber && sse.HasData(event):
		return false, errNotTheRest
	case s.resumed && !s.advanced && text == "":
		return false, nil
	}
	if text != "" {
		s.lastID, s.advanced = text, true
	}
	return true, nil
}

// startStream sends the response header, unless it was sent before. A resumed stream keeps the header of the first replica.
func (c *call) startStream(response *backend.Response) {
	if c.stream.started {
		return
	}
	c.stream.started, c.responding = true, true
	c.responseLatency = c.h.Now().Sub(c.arrived)
	target := c.w.Header()
	headers.RemoveHopByHop(response.Header)
	delete(response.Header, "Content-Length")
	for name, values := range response.Header {
		target[name] = values
	}
	c.w.WriteHeader(response.Status)
}
