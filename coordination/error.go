// Package coordination defines the error type shared by the packages below it.
package coordination

import "github.com/rotisserie/eris"

// Code classifies an error of the coordination layer.
type Code string

// Codes of the coordination layer.
const (
	CodeNoCandidate Code = "no_candidate"
	CodeLimit       Code = "limit"
	CodeDeadline    Code = "deadline"
	CodeConflict    Code = "conflict"
	CodeInvalid     Code = "invalid"
)

// Error is the error type of the coordination layer.
type Error struct {
	Code Code
	err  error
}

// Errorf returns an error with a code and a message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, err: eris.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
