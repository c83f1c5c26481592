package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// maxDataFrameBytes bounds the payload of one data frame.
const maxDataFrameBytes = 32 << 10

// exchange sends one request to the back end and relays the response to the entry.
type exchange struct {
	out     *frame.Writer
	engine  platform.Engine
	timing  Timing
	digest  core.Digest
	attempt *attempt
	// dropIdleConnections closes the idle connections to the back end.
	dropIdleConnections func()
	// logFailure logs why the back end gave no complete response.
	logFailure func(error)
	// status is the HTTP status of the response; 0 before the head arrives.
	status int
}

// event is one step of the response: its head, a part of its body, or its end. The error is io.EOF for a complete
// response.
type event struct {
	head *http.Response
	data []byte
	err  error
}

// run sends the request and writes the frames of the response except the last one.
func (e *exchange) run(ctx context.Context, request *http.Request) callResult {
	ctx, cancel := context.WithCancel(ctx)
	events := make(chan event)
	go e.receive(withAttempt(ctx, e.attempt), request, events)
	defer func() {
		cancel()
		for range events { // Waits for the goroutine to end.
		}
	}()
	return e.relay(ctx, events)
}

// relay writes frames until the response ends, the progress timeout passes without an event, or ctx ends.
func (e *exchange) relay(ctx context.Context, events <-chan event) callResult {
	keepAlive := time.NewTicker(e.timing.KeepAliveInterval)
	defer keepAlive.Stop()
	progress := time.NewTimer(e.timing.ProgressTimeout)
	defer progress.Stop()
	suspect := time.NewTimer(e.timing.SuspectTimeout)
	defer suspect.Stop()
	for {
		select {
		case ev := <-events:
			if result, done := e.handleEvent(ctx, ev); done {
				return result
			}
			keepAlive.Reset(e.timing.KeepAliveInterval)
			progress.Reset(e.timing.ProgressTimeout)
			suspect.Reset(e.timing.SuspectTimeout)
		case <-keepAlive.C:
			if e.out.KeepAlive() != nil {
				return entryDisconnected()
			}
		case <-suspect.C:
			e.dropIdleConnections()
		case <-progress.C:
			e.dropIdleConnections()
			maybeSent, _ := e.attempt.stopWrites()
			return stalled(maybeSent)
		case <-ctx.Done():
			maybeSent, _ := e.attempt.stopWrites()
			return interrupted(ctx, maybeSent)
		}
	}
}

func (e *exchange) handleEvent(ctx context.Context, ev event) (result callResult, done bool) {
	var err error
	switch {
	case errors.Is(ev.err, io.EOF):
		return completed(e.status), true
	case ev.err != nil:
		return e.failure(ctx, ev.err), true
	case ev.head != nil:
		e.status = ev.head.StatusCode
		err = e.out.Head(&wire.Head{
			Status:        uint32(ev.head.StatusCode),
			ContentType:   ev.head.Header.Get("Content-Type"),
			VersionDigest: string(e.digest),
		})
	default:
		err = e.out.Data(ev.data)
	}
	if err != nil {
		return entryDisconnected(), true
	}
	return callResult{}, false
}

func (e *exchange) failure(ctx context.Context, err error) callResult {
	maybeSent, reason := e.attempt.stopWrites()
	switch {
	case ctx.Err() != nil:
		return interrupted(ctx, maybeSent)
	case reason != admission.ReasonNone && !maybeSent:
		return refused(refusalFor(reason))
	}
	e.logFailure(err)
	if e.status != 0 {
		return connectionFailed(api.CodeResponseIncomplete, err, maybeSent)
	}
	return connectionFailed(api.CodeUpstreamFailed, err, maybeSent)
}

// receive sends the request, sends the parts of the response to events and then closes events, for which run waits.
//
// Two buffers alternate: events is unbuffered, so a send returns only once relay has written the previous buffer.
func (e *exchange) receive(ctx context.Context, request *http.Request, events chan<- event) {
	defer close(events)
	response, err := e.engine.Call(ctx, request)
	if err != nil {
		events <- event{err: hideEOF(err)}
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !bodyIsDelimited(request, response) {
		events <- event{err: protocol.Errorf(protocol.CodeIncomplete, "response has neither a Content-Length nor chunked encoding, so truncation could not be detected")}
		return
	}
	events <- event{head: response}
	buffers := [2][]byte{make([]byte, maxDataFrameBytes), make([]byte, maxDataFrameBytes)}
	for i := 0; ; i = 1 - i {
		n, err := response.Body.Read(buffers[i])
		if n > 0 {
			events <- event{data: buffers[i][:n]}
		}
		if err != nil {
			events <- event{err: err}
			return
		}
	}
}

// hideEOF replaces err with an error that doesn't wrap io.EOF, which relay would take for the end of a complete response.
func hideEOF(err error) error {
	return protocol.Errorf(protocol.CodeIncomplete, "%v", err)
}

// bodyIsDelimited reports whether a complete response body can be told from a truncated one.
func bodyIsDelimited(request *http.Request, response *http.Response) bool {
	return response.ContentLength >= 0 || request.Method == http.MethodHead ||
		slices.Contains(response.TransferEncoding, "chunked")
}
