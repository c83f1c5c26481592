package httphead

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
)

const (
	// maxInformationalBytes bounds the informational responses to one request. net/http leaves that to a caller that looks at them.
	maxInformationalBytes = 64 << 10
	// minHeadBytes is the size of a head without fields and reason, minFieldBytes that of a field without name and value.
	minHeadBytes  = len("HTTP/1.1 100 \r\n\r\n")
	minFieldBytes = len(":\r\n")
)

// Transport sends requests through another transport and fails those that get a malformed response, whose connection it closes.
type Transport struct {
	base  http.RoundTripper
	http2 bool
}

// NewTransport returns a Transport over base, which must not be used otherwise. With TLS it may use HTTP/2.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = gatedDial(dial)
	return &Transport{base: base}
}

// NewHTTP2Transport returns a Transport over base, which must use HTTP/2 only.
func NewHTTP2Transport(base http.RoundTripper) *Transport { return &Transport{base: base, http2: true} }

// CheckResponses makes a client fail requests that get a malformed response. The transport of the client must be set, and set up, before.
func CheckResponses(client *http.Client) {
	if base, ok := client.Transport.(*http.Transport); ok {
		client.Transport = NewTransport(base)
		return
	}
	client.Transport = &Transport{base: client.Transport}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	(&http.Client{Transport: t.base}).CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper. Errors about a malformed response wrap an *Error.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{done: request.Context().Done()}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, Got1xxResponse: e.gotInformational}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		e.use.reject()
		return nil, err
	}
	if err := t.checkFinal(response); err != nil {
		e.use.reject()
		_ = response.Body.Close()
		return nil, err
	}
	if !mayHaveTrailers(response) {
		e.use.accept()
		return response, nil
	}
	response.Body = &body{ReadCloser: response.Body, response: response, use: e.use}
	return response, nil
}

func (t *Transport) checkFinal(response *http.Response) error {
	if err := check(response, t.major(response)); err != nil {
		return err
	}
	if response.StatusCode < http.StatusOK {
		return errorf("status %d is informational and not final", response.StatusCode)
	}
	return nil
}

// major returns the major version of HTTP that the connection of a response uses.
func (t *Transport) major(response *http.Response) int {
	if t.http2 || response.TLS != nil && response.TLS.NegotiatedProtocol == http2Protocol {
		return 2
	}
	return 1
}

func mayHaveTrailers(response *http.Response) bool {
	return response.Body != http.NoBody && slices.Contains(response.TransferEncoding, "chunked")
}

// exchange is one request and its response.
type exchange struct {
	done <-chan struct{}
	// use is that of the connection that carries the request, nil in HTTP/2.
	use                *connUse
	informationalBytes int
}

// gotConn holds the request back until the response to the last one on the connection is known to be well formed. A request that
// net/http sends again gets another connection.
func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.use.reject()
	e.use = beginUse(info.Conn, e.done)
}

func (e *exchange) gotInformational(_ int, fields textproto.MIMEHeader) error {
	e.informationalBytes += minHeadBytes
	for name, values := range fields {
		for _, value := range values {
			e.informationalBytes += len(name) + len(value) + minFieldBytes
		}
	}
	if e.informationalBytes > maxInformationalBytes {
		return errorf("informational responses exceed %d bytes", maxInformationalBytes)
	}
	return CheckFields(fields)
}

// body is a response body that may be followed by trailers.
type body struct {
	io.ReadCloser
	response *http.Response
	use      *connUse
}

// Read implements io.Reader. A body with malformed trailers is not complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if malformed := CheckFields(b.response.Trailer); malformed != nil {
		b.use.reject()
		return n, malformed
	}
	b.use.accept()
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.use.reject()
	return b.ReadCloser.Close()
}
