package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxStale bounds the responses to earlier requests that are skipped on one connection.
const maxStale = 2

// Request is a request to a back end.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds no header that concerns one connection only, and no Content-Length.
	Header http.Header
	Body   []byte
	// HasBody says that the request has a body, which may be empty.
	HasBody bool
	// MaxIdle bounds the time for which a reused connection may have been unused.
	MaxIdle time.Duration
	// EchoHeader is the header in which the back end repeats the request's id.
	EchoHeader string
}

// Error says why a request got no response.
type Error struct {
	// Sent says that a byte of the request may have reached the back end.
	Sent bool
	// Reused says that the connection had carried a request before.
	Reused bool
	err    error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Response is the head of a response; Body must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed says that the end of the body is marked, by a length or by chunks.
	Framed bool
}

// Do sends a request and returns the head of its response. The end of ctx closes the connection, also while the body is
// read. An error is of type *Error.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, reused, err := p.get(ctx, request.Address, request.MaxIdle)
	if err != nil {
		return nil, &Error{err: eris.Wrap(err, "connect to back end")}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, err := c.exchange(request)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Sent: true, Reused: reused, err: eris.Wrap(err, "exchange with back end")}
	}
	body := &body{pool: p, conn: c, address: request.Address, response: response, stop: stop}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}, nil
}

// exchange writes the request and reads the head of the response that belongs to it.
func (c *conn) exchange(request *Request) (*http.Response, error) {
	if _, err := c.Write(encode(request)); err != nil {
		return nil, err
	}
	want := request.Header.Get(request.EchoHeader)
	origin := &http.Request{Method: request.Method}
	for range maxStale + 1 {
		response, err := c.readHead(origin)
		if err != nil {
			return nil, err
		}
		got := response.Header.Get(request.EchoHeader)
		if got == "" || want == "" || got == want {
			return response, nil
		}
		// A late answer to an earlier request stands where this one's is due.
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, eris.New("back end sends answers to other requests")
}

// readHead reads a response head and passes over informational ones.
func (c *conn) readHead(origin *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, origin)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.New("back end switches protocols unasked")
		}
	}
}

func encode(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(1024 + len(request.Body))
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&out)
	if request.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// body reads a response body and gives the connection back at its end.
type body struct {
	pool     *Pool
	conn     *conn
	address  string
	response *http.Response
	stop     func() bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if endOfBody(err) {
		b.finish()
	} else if err != nil {
		_ = b.Close()
	}
	return n, err
}

// finish gives the connection back if it can carry another request.
func (b *body) finish() {
	b.once.Do(func() {
		if !b.stop() || b.response.Close || b.conn.reader.Buffered() > 0 {
			_ = b.conn.Close()
			return
		}
		b.pool.put(b.address, b.conn, announcedIdle(b.response.Header))
	})
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.once.Do(func() {
		b.stop()
		_ = b.conn.Close()
	})
	return nil
}
