// Package protocol holds the error type that the protocol packages share.
package protocol

import (
	"time"

	"github.com/rotisserie/eris"
)

// Code classifies an error of the protocol layer.
type Code string

// Codes of the protocol layer.
const (
	// CodeOutcomeUnknown marks a write that may have taken effect, because its response was lost.
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeConflict       Code = "conflict"
	CodeNotFound       Code = "not_found"
	CodeRateLimited    Code = "rate_limited"
	CodeUnavailable    Code = "unavailable"
	// CodeExpired marks a watch or list position that is too old.
	CodeExpired Code = "expired"
	// CodeChanged marks content that changed while it was read.
	CodeChanged Code = "changed"
	// CodeMalformed marks a message that does not follow the protocol.
	CodeMalformed Code = "malformed"
	// CodeIncomplete marks a response that ended early or does not match its checksum.
	CodeIncomplete Code = "incomplete"
	// CodeRefused marks an order that the receiver rejected.
	CodeRefused Code = "refused"
)

// Error is the error type of the protocol layer.
type Error struct {
	Code Code
	// RetryAfter is how long to wait before a retry; 0 means that the peer gave no time.
	RetryAfter time.Duration
	err        error
}

// Errorf returns an Error with a code and a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, err: eris.Errorf(format, args...)}
}

// Wrap returns an Error that wraps err, which comes from a lower layer or a library.
func Wrap(code Code, err error, message string) *Error {
	return &Error{Code: code, err: eris.Wrap(err, message)}
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// CodeOf returns the code of err, or the empty code if err wraps no Error.
func CodeOf(err error) Code {
	var e *Error
	if eris.As(err, &e) {
		return e.Code
	}
	return ""
}

// RetryAfterOf returns the RetryAfter of err, or 0 if err wraps no Error.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if eris.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
