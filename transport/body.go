package transport

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// refusalBodyTimeout is the time for which a refusal waits for the rest of the request's body, so that the caller may keep its
// connection.
const refusalBodyTimeout = 500 * time.Millisecond

// BoundBody limits the time to read the body of a request. After that time reading fails, and BodyTimedOut reports true.
func BoundBody(w http.ResponseWriter, limit time.Duration) {
	// Fails only for writers without a connection, as in tests.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
}

// UnboundBody removes the limit of BoundBody once the body has been read; otherwise the request would be canceled as if its caller
// had disconnected.
func UnboundBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// BodyTimedOut reports whether reading a body failed because of BoundBody.
func BodyTimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// LimitBody limits the size of a request's body like http.MaxBytesReader. That needs the server's own writer: only then does the
// server keep the connection open until the caller has read the refusal.
func LimitBody(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = wrapper.Unwrap()
	}
}

// maxCallResponseBytes bounds the response to a call between processes: a list of settings or a manifest.
const maxCallResponseBytes = 64 << 20

// BoundedClient sends HTTP requests whose responses may have up to maxCallResponseBytes.
type BoundedClient struct{ client *http.Client }

// BoundResponses returns a client for calls whose generated code reads a response of any size.
func BoundResponses(client *http.Client) BoundedClient { return BoundedClient{client: client} }

// Do sends a request. A response that is too large fails with *http.MaxBytesError when its body is read.
func (c BoundedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxCallResponseBytes)
	return response, nil
}
