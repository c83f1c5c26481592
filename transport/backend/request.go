package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

// maxStaleResponses bounds the late responses to earlier requests that exchange skips.
const maxStaleResponses = 2

// maxCopiedBody is the size up to which a body is copied behind the head, which takes less time than a write of two buffers.
const maxCopiedBody = 16 << 10

// versionWithoutChunks is the version of HTTP before chunked encoding.
const versionWithoutChunks = "HTTP/1.0"

// maxStaleBytes bounds the body of a late response to an earlier request.
const maxStaleBytes = 1 << 20

// Request is a request to a back end.
type Request struct {
	Address string
	Method  string
	// Target is the unmodified path and query of the original request.
	Target string
	Host   string
	// Header must contain neither hop-by-hop headers nor Content-Length.
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool
	// MaxIdle bounds the time for which a reused connection may have been idle.
	MaxIdle time.Duration
	// MaySend, if set, is called right before the request is sent, after a connection has been opened. If it returns an error,
	// nothing is sent.
	MaySend func() error
	// EchoHeader is the header in which the back end echoes the request ID. It serves to detect late responses. A request without an
	// ID has a connection of its own.
	EchoHeader string
}

func (r *Request) id() string { return r.Header.Get(r.EchoHeader) }

// Error is the reason why a request got no response.
type Error struct {
	// Sent is true if a byte of the request may have reached the back end.
	Sent bool
	// Reused is true if the connection had been used for an earlier request.
	Reused bool
	err    error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Response is a response whose body has not been read yet. The caller must read Body to its end or close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is true if the body is delimited by a length or by chunked encoding, not by the end of the connection.
	Framed bool
}

// Do sends a request and returns its response after reading the head. When ctx ends, the connection is closed, also while
// the body is being read. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.get(ctx, request.Address, request.id(), request.MaxIdle)
	if err != nil {
		return nil, &Error{err: eris.Wrap(err, "connect to back end")}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	head := encodeHead(request)
	if request.MaySend != nil {
		if err := request.MaySend(); err != nil {
			stop()
			_ = c.Close()
			return nil, &Error{Reused: c.reused, err: err}
		}
	}
	response, err := c.exchange(request, head)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Sent: true, Reused: c.reused, err: eris.Wrap(err, "exchange with back end")}
	}
	body := &body{pool: p, conn: c, address: request.Address, response: response, stop: stop, keep: request.id() != ""}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}, nil
}

// exchange writes the request with its encoded head and reads the head of its response, skipping late responses to earlier requests.
func (c *conn) exchange(request *Request, head []byte) (*http.Response, error) {
	want := request.id()
	c.begin(want)
	if err := c.send(head, request.Body); err != nil {
		return nil, err
	}
	httpRequest := &http.Request{Method: request.Method}
	for range maxStaleResponses + 1 {
		response, err := c.readHead(httpRequest)
		if err != nil {
			return nil, err
		}
		got := response.Header.Get(request.EchoHeader)
		switch {
		case got == "" && c.reused:
			return nil, eris.Errorf("status %d without the request's ID on a kept connection, so it may be the response to another request",
				response.StatusCode)
		case got == "" || want == "" || got == want:
			return response, nil
		}
		// The echoed ID differs, so this is a late response to an earlier request.
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes))
		if err != nil {
			return nil, err
		}
		if skipped == maxStaleBytes {
			return nil, eris.Errorf("late response to another request exceeds %d bytes", maxStaleBytes)
		}
		if err := httphead.CheckFields(response.Trailer); err != nil {
			return nil, err
		}
	}
	return nil, eris.New("back end sent only responses to other requests")
}

// send writes a request. A large body is not copied, as it would take twice its memory.
func (c *conn) send(head, body []byte) error {
	if len(body) <= maxCopiedBody {
		_, err := c.Write(append(head, body...))
		return err
	}
	content := net.Buffers{head, body}
	_, err := content.WriteTo(c.Conn)
	return err
}

// readHead reads a response head and skips informational responses. It rejects malformed ones.
func (c *conn) readHead(httpRequest *http.Request) (*http.Response, error) {
	c.input.left = maxHeadBytes
	defer func() { c.input.left = unlimitedInput }()
	for {
		response, err := c.readResponse(httpRequest)
		if err != nil && c.input.left == 0 {
			return nil, errHeadTooLarge
		}
		if err == nil {
			err = httphead.Check(response)
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.New("back end switched protocols without a request to upgrade")
		}
	}
}

// readResponse is http.ReadResponse, which ignores Transfer-Encoding in a response of HTTP/1.0, and so would return chunks as they are. RFC 9112
// (section 6.1) has the framing of such a response treated as faulty.
func (c *conn) readResponse(httpRequest *http.Request) (*http.Response, error) {
	if start, _ := c.reader.Peek(len(versionWithoutChunks)); string(start) != versionWithoutChunks {
		return http.ReadResponse(c.reader, httpRequest)
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.input.copied = bytes.NewBuffer(bytes.Clone(buffered))
	defer func() { c.input.copied = nil }()
	response, err := http.ReadResponse(c.reader, httpRequest)
	if err != nil {
		return nil, err
	}
	return response, httphead.CheckUnchunked(c.input.copied.Bytes())
}

func encodeHead(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), maxCopiedBody))
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&buffer)
	if request.HasBody {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// body is a response body that returns the connection to the pool at its end.
type body struct {
	pool     *Pool
	conn     *conn
	address  string
	response *http.Response
	stop     func() bool
	// keep allows other requests on the connection.
	keep bool
	once sync.Once
}

// Read implements io.Reader. A body with malformed trailers is not complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if endOfBody(err) {
		if malformed := httphead.CheckFields(b.response.Trailer); malformed != nil {
			_ = b.Close()
			return n, malformed
		}
		b.releaseConn()
	} else if err != nil {
		_ = b.Close()
	}
	return n, err
}

// releaseConn returns the connection to the pool if it can be reused, and closes it otherwise.
func (b *body) releaseConn() {
	b.once.Do(func() {
		if !b.stop() || !b.keep || b.response.Close || b.conn.reader.Buffered() > 0 {
			_ = b.conn.Close()
			return
		}
		b.pool.put(b.address, b.conn, announcedIdleTimeout(b.response.Header))
	})
}

// Close closes the connection unless the body has been read to its end.
func (b *body) Close() error {
	b.once.Do(func() {
		b.stop()
		_ = b.conn.Close()
	})
	return nil
}
