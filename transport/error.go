// Package transport provides the errors and HTTP responses that the transport packages share.
package transport

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// Error is a refused or failed request together with the HTTP status that is returned to the caller.
type Error struct {
	Status     int
	Code       string
	Run        api.Run
	RetryAfter time.Duration
	err        error
}

// Errorf returns an error with the HTTP status, the code and the run state of the response to the caller.
func Errorf(status int, code string, run api.Run, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Run: run, err: eris.Errorf(format, args...)}
}

// WithRetryAfter sets how long the caller should wait before it retries, and returns e.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
