// Package transport holds the error type that the transport packages share.
package transport

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// Error is a refusal or failure of a request with the HTTP status that a caller gets.
type Error struct {
	Status     int
	Code       string
	Run        api.Run
	RetryAfter time.Duration
	err        error
}

// Errorf returns an error with the HTTP status, code and run state that the caller is told.
func Errorf(status int, code string, run api.Run, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Run: run, err: eris.Errorf(format, args...)}
}

// WithRetryAfter sets the time after which asking again makes sense.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
