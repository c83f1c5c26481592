package held

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
)

// errResponsesFull is returned for a response that exceeds the limit of those that are read at a time.
var errResponsesFull = eris.New("responses that are being read leave no room for the response")

// countingTransport counts the responses of another transport while they are read.
type countingTransport struct {
	http.RoundTripper
	account *Account
}

// CountResponses returns a transport whose responses are counted as KindRecords until they are closed, and fail beyond the limit; it returns
// transport itself if account is nil.
func CountResponses(transport http.RoundTripper, account *Account) http.RoundTripper {
	if account == nil {
		return transport
	}
	return countingTransport{RoundTripper: transport, account: account}
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, request: t.account.Open(holding.Caller{}, nil)}
	return response, nil
}

type countedBody struct {
	io.ReadCloser
	request *Request
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.request.Grow(holding.KindRecords, int64(n)) {
		return 0, errResponsesFull
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.request.Close()
	return b.ReadCloser.Close()
}
