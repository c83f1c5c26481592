package entrycost

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// copyBufferBytes is the size of a proxy's copy buffer.
	copyBufferBytes = 32 << 10
	// maxIdleConnections bounds the idle connections that a proxy keeps to its target.
	maxIdleConnections = 512
	// proxyTimeout bounds the reading of request headers and the shutdown of a proxy.
	proxyTimeout = 5 * time.Second
)

// ServeProxy runs a plain reverse proxy on addr, which forwards every request to target, until ctx ends.
//
// It is the baseline for the cost of the product's entry: it streams responses and does nothing else.
func ServeProxy(ctx context.Context, addr, target string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	server := &http.Server{
		Handler:           proxy{client: client, target: target},
		ReadHeaderTimeout: proxyTimeout,
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), proxyTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// proxy is the handler of the reverse proxy.
type proxy struct {
	client *http.Client
	target string
}

// ServeHTTP implements http.Handler.
func (p proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, p.target+r.URL.RequestURI(), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.ContentLength = r.ContentLength
	request.Header = r.Header.Clone()
	response, err := p.client.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyFlushing copies a body and flushes after every read, so that parts of a stream are forwarded immediately.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return flushErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
