// Package httphead rejects HTTP responses whose head is malformed. net/http accepts statuses below 100.
package httphead

import (
	"fmt"
	"net/http"
)

const (
	// minStatus and maxStatus bound the statuses of three digits without a leading zero.
	minStatus = 100
	maxStatus = 999
)

// Error is the reason why a response is malformed, so that nothing in it can be relied on.
type Error struct{ reason string }

// Error implements error.
func (e *Error) Error() string { return "malformed response: " + e.reason }

func errorf(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Check returns an *Error if the head of a response as read by net/http, is malformed. The response may be an
// informational one.
func Check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errorf("status line %q has no status of three digits from 100", response.Status)
	}
	return nil
}
