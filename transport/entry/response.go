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
	// donePrefix is the start, without spaces, of the event by which a model engine marks the end of a stream.
	donePrefix = "data:[DONE]"
)

// recordedResponse is a complete response held in memory.
type recordedResponse struct {
	status      int
	contentType string
	body        []byte
}

// callerResponse implements responder on the caller's connection.
//
// A response that is not an event stream is held back until it is complete, unless it exceeds maxBufferBytes: then it is
// streamed. An event stream is relayed in complete events, and [DONE] only once the end of the response was checked.
type callerResponse struct {
	w              http.ResponseWriter
	maxBufferBytes int
	head           *wire.Head
	stream         bool
	headSent       bool
	pending        []byte
	// complete is the finished response if it was small enough to be held back.
	complete *recordedResponse
	// beforeSend is called with a complete response before its first byte is sent to the caller.
	beforeSend func(recordedResponse)
}

func (r *callerResponse) begin(head *wire.Head) {
	r.head = head
	r.pending = nil
	mediaType, _, err := mime.ParseMediaType(head.GetContentType())
	r.stream = err == nil && mediaType == eventStream
}

func (r *callerResponse) started() bool { return r.headSent }

func (r *callerResponse) write(payload []byte) error {
	r.pending = append(r.pending, payload...)
	if r.stream {
		return r.writeEvents()
	}
	if r.headSent || len(r.pending) > r.maxBufferBytes {
		return r.flush(len(r.pending))
	}
	return nil
}

// writeEvents sends the complete pending events, except [DONE] and what follows it.
func (r *callerResponse) writeEvents() error {
	sendable := 0
	for {
		size := sse.EventLength(r.pending[sendable:])
		if size == 0 || isDone(r.pending[sendable:]) {
			break
		}
		sendable += size
	}
	if len(r.pending)-sendable > r.maxBufferBytes {
		return protocol.Errorf(protocol.CodeMalformed, "stream event is larger than %d bytes", r.maxBufferBytes)
	}
	return r.flush(sendable)
}

// finish sends the pending part of a complete response.
func (r *callerResponse) finish() error {
	if !r.headSent {
		r.complete = &recordedResponse{status: int(r.head.GetStatus()), contentType: r.head.GetContentType(), body: r.pending}
		if r.beforeSend != nil {
			r.beforeSend(*r.complete)
		}
		if len(r.pending) > 0 {
			r.w.Header().Set("Content-Length", strconv.Itoa(len(r.pending)))
		}
		r.writeHead()
	}
	// The caller may have disconnected; the call itself is complete either way.
	_ = r.flush(len(r.pending))
	return nil
}

// flush sends the first n pending bytes.
func (r *callerResponse) flush(n int) error {
	if n == 0 {
		return nil
	}
	if !r.headSent {
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
	r.headSent = true
	header := r.w.Header()
	if r.head.GetContentType() != "" {
		header.Set("Content-Type", r.head.GetContentType())
	}
	if r.head.GetVersionDigest() != "" {
		header.Set(headerModelDigest, r.head.GetVersionDigest())
	}
	r.w.WriteHeader(int(r.head.GetStatus()))
}

// abort ends a response that has started and cannot be completed. An event stream gets an error event first. The panic
// closes the caller's connection without the terminating chunk, which is the only way to signal the error in HTTP/1.1.
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
