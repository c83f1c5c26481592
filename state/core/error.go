package core

import "github.com/rotisserie/eris"

// Code classifies an error of the state layer.
type Code string

// Codes of the state layer.
const (
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not_found"
	CodeStale    Code = "stale"
)

// Error is the error type of the state layer.
type Error struct {
	Code Code
	Path string
	err  error
}

// NewError returns an Error about path with the given code and reason.
func NewError(code Code, path, reason string) *Error {
	return &Error{Code: code, Path: path, err: eris.New(reason)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.err.Error()
	}
	return e.Path + ": " + e.err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
