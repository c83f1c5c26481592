package server

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

// varPanics counts panics in handlers that Recover returned.
var varPanics = expvar.NewInt("http_panics")

// Recover returns a handler that logs and counts a panic of next, and answers the request with status 500 unless its response has
// begun.
func Recover(next http.Handler, log *logrus.Entry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &beginWriter{ResponseWriter: w}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler {
				panic(value)
			}
			varPanics.Add(1)
			log.WithFields(logrus.Fields{
				"path": r.URL.Path, "panic": fmt.Sprint(value), "stack": string(debug.Stack()),
			}).Error("panic while handling a request")
			if writer.begun {
				panic(http.ErrAbortHandler)
			}
			transport.WriteError(w, "", transport.Errorf(http.StatusInternalServerError, api.CodeUpstreamFailed, api.RunUnknown,
				"internal error"))
		}()
		next.ServeHTTP(writer, r)
	})
}

// beginWriter records whether a response has begun.
type beginWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *beginWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *beginWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the original writer.
func (w *beginWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
