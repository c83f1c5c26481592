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

// copyBufferBytes is the most that one data frame carries.
const copyBufferBytes = 32 << 10

// exchange is one request to the back end and the response on its way to the entry.
type exchange struct {
	out     *frame.Writer
	engine  platform.Engine
	timing  Timing
	digest  core.Digest
	attempt *attempt
	// silenced drops the idle connections to the back end.
	silenced func()
	// status is the response's status, 0 before the head frame.
	status int
}

// event is what the back end sent: a head, a part of the body, or the end. io.EOF ends a whole response.
type event struct {
	head *http.Response
	data []byte
	err  error
}

// run sends the request and writes the response's frames except the last one.
func (e *exchange) run(ctx context.Context, request *http.Request) ending {
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

// relay writes frames until the response ends, the back end is silent for too long, or ctx ends.
func (e *exchange) relay(ctx context.Context, events <-chan event) ending {
	quiet := time.NewTicker(e.timing.KeepAliveInterval)
	defer quiet.Stop()
	progress := time.NewTimer(e.timing.ProgressTimeout)
	defer progress.Stop()
	suspect := time.NewTimer(e.timing.SuspectTimeout)
	defer suspect.Stop()
	for {
		select {
		case ev := <-events:
			if end, done := e.handle(ctx, ev); done {
				return end
			}
			quiet.Reset(e.timing.KeepAliveInterval)
			progress.Reset(e.timing.ProgressTimeout)
			suspect.Reset(e.timing.SuspectTimeout)
		case <-quiet.C:
			if e.out.KeepAlive() != nil {
				return entryGone()
			}
		case <-suspect.C:
			e.silenced()
		case <-progress.C:
			e.silenced()
			mayHaveLeft, _ := e.attempt.settle()
			return silent(mayHaveLeft)
		case <-ctx.Done():
			mayHaveLeft, _ := e.attempt.settle()
			return interrupted(ctx, mayHaveLeft)
		}
	}
}

func (e *exchange) handle(ctx context.Context, ev event) (end ending, done bool) {
	var err error
	switch {
	case errors.Is(ev.err, io.EOF):
		return whole(e.status), true
	case ev.err != nil:
		return e.failed(ctx, ev.err), true
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
		return entryGone(), true
	}
	return ending{}, false
}

func (e *exchange) failed(ctx context.Context, err error) ending {
	mayHaveLeft, reason := e.attempt.settle()
	switch {
	case ctx.Err() != nil:
		return interrupted(ctx, mayHaveLeft)
	case reason != admission.ReasonNone && !mayHaveLeft:
		return refused(notRun(reason))
	case e.status != 0:
		return broken(api.CodeResponseIncomplete, err, mayHaveLeft)
	default:
		return broken(api.CodeUpstreamFailed, err, mayHaveLeft)
	}
}

// receive sends the request and passes on what the back end answers; run waits until it closes events.
//
// The two buffers alternate: a send returns only once relay is done with the data sent before.
func (e *exchange) receive(ctx context.Context, request *http.Request, events chan<- event) {
	defer close(events)
	response, err := e.engine.Call(ctx, request)
	if err != nil {
		events <- event{err: notEOF(err)}
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !hasLength(request, response) {
		events <- event{err: protocol.Errorf(protocol.CodeIncomplete, "response has neither a length nor chunks, so that a cut would go unseen")}
		return
	}
	events <- event{head: response}
	buffers := [2][]byte{make([]byte, copyBufferBytes), make([]byte, copyBufferBytes)}
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

// notEOF hides an io.EOF in the error of a call, which relay would take for the end of a whole response.
func notEOF(err error) error {
	return protocol.Errorf(protocol.CodeIncomplete, "%v", err)
}

// hasLength reports whether the end of the response's body can be told from a cut.
func hasLength(request *http.Request, response *http.Response) bool {
	return response.ContentLength >= 0 || request.Method == http.MethodHead ||
		slices.Contains(response.TransferEncoding, "chunked")
}
