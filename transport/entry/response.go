package entry

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/sse"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	eventStream = "text/event-stream"
	// donePrefix starts the event by which a model engine marks the end of a stream, without spaces.
	donePrefix = "data:[DONE]"
)

// recorded is a whole response that was kept in memory.
type recorded struct {
	status      int
	contentType string
	body        []byte
}

// callerResponse implements responder on the caller's connection.
//
// A response that is not an event stream is held back until it is whole, up to a bound; a larger one is streamed after
// that. An event stream is passed on in whole events, and [DONE] only once the end of the response was checked.
type callerResponse struct {
	w         http.ResponseWriter
	maxBuffer int
	head      *wire.Head
	stream    bool
	sent      bool
	pending   []byte
	// whole is the response once it is complete, when it was small enough to hold.
	whole *recorded
	// beforeSend is called with a whole response before its first byte goes to the caller.
	beforeSend func(recorded)
}

func (r *callerResponse) begin(head *wire.Head) {
	r.head = head
	r.pending = nil
	mediaType, _, err := mime.ParseMediaType(head.GetContentType())
	r.stream = err == nil && mediaType == eventStream
}

func (r *callerResponse) started() bool { return r.sent }

func (r *callerResponse) write(payload []byte) error {
	r.pending = append(r.pending, payload...)
	if r.stream {
		return r.writeEvents()
	}
	if r.sent || len(r.pending) > r.maxBuffer {
		return r.flush(len(r.pending))
	}
	return nil
}

// writeEvents passes on the whole events held, except [DONE] and what follows it.
func (r *callerResponse) writeEvents() error {
	ready := 0
	for {
		size := sse.EventLength(r.pending[ready:])
		if size == 0 || isDone(r.pending[ready:]) {
			break
		}
		ready += size
	}
	if len(r.pending)-ready > r.maxBuffer {
		return protocol.Errorf(protocol.CodeMalformed, "event is larger than %d bytes", r.maxBuffer)
	}
	return r.flush(ready)
}

// finish sends what is held back; the response is whole.
func (r *callerResponse) finish() error {
	if !r.sent {
		r.whole = &recorded{status: int(r.head.GetStatus()), contentType: r.head.GetContentType(), body: r.pending}
		if r.beforeSend != nil {
			r.beforeSend(*r.whole)
		}
		if len(r.pending) > 0 {
			r.w.Header().Set("Content-Length", strconv.Itoa(len(r.pending)))
		}
		r.writeHead()
	}
	// The caller may have gone; the call itself is complete either way.
	_ = r.flush(len(r.pending))
	return nil
}

// flush sends the first n bytes held.
func (r *callerResponse) flush(n int) error {
	if n == 0 {
		return nil
	}
	if !r.sent {
		r.writeHead()
	}
	_, err := r.w.Write(r.pending[:n])
	r.pending = append([]byte(nil), r.pending[n:]...)
	if err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

func (r *callerResponse) writeHead() {
	r.sent = true
	header := r.w.Header()
	if r.head.GetContentType() != "" {
		header.Set("Content-Type", r.head.GetContentType())
	}
	if r.head.GetVersionDigest() != "" {
		header.Set(headerModelDigest, r.head.GetVersionDigest())
	}
	r.w.WriteHeader(int(r.head.GetStatus()))
}

// abort ends a response that has started and cannot become whole. An event stream gets an error event first. The panic
// closes the caller's connection without the terminating chunk, which is the only sign that HTTP/1.1 leaves.
func (r *callerResponse) abort(c call, err *transport.Error) {
	if r.stream {
		body, _ := json.Marshal(api.Refusal{Code: err.Code, Message: err.Error(), RequestID: string(c.id), Run: err.Run})
		_, _ = r.w.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
		_ = http.NewResponseController(r.w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// isDone reports whether data starts with the event that marks the end of a stream.
func isDone(data []byte) bool {
	head := data[:min(len(data), 2*len(donePrefix))]
	return bytes.HasPrefix(bytes.ReplaceAll(head, []byte(" "), nil), []byte(donePrefix))
}
