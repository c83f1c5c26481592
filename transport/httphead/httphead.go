// Package httphead rejects HTTP responses whose head or trailers are malformed. net/http accepts some of them: a status below 100, blanks in
// the names of fields, any byte in the reason.
package httphead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
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

// IsMalformed reports whether err says that a head or trailers are malformed, also if net/http has found that.
func IsMalformed(err error) bool {
	var (
		rejected *Error
		protocol textproto.ProtocolError
	)
	return errors.As(err, &rejected) || errors.As(err, &protocol)
}

func errorf(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Check returns an *Error if the head of a response in HTTP/1.1 or 1.0, as read by net/http, is malformed. The response may be an
// informational one.
func Check(response *http.Response) error { return check(response, 1) }

// check is Check for a major version of HTTP.
func check(response *http.Response, major int) error {
	if response.ProtoMajor != major {
		return errorf("version is %q, want HTTP/%d", response.Proto, major)
	}
	status, _, _ := strings.Cut(response.Status, " ")
	if response.StatusCode < minStatus || response.StatusCode > maxStatus || status != strconv.Itoa(response.StatusCode) {
		return errorf("status line %q has no status of three digits from 100", response.Status)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return errorf("status line %q has a control character", response.Status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an *Error if the name of a header or trailer field is not a token of RFC 9110. A field without values is a declared
// trailer that was not sent.
func CheckFields(fields map[string][]string) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errorf("field name %q is not a token", name)
		}
	}
	return nil
}

// CheckUnchunked returns an *Error if a head, given by its bytes and what follows, has a Transfer-Encoding field.
func CheckUnchunked(raw []byte) error {
	for line := range bytes.Lines(raw) {
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if name, _, found := bytes.Cut(line, []byte(":")); found && strings.EqualFold(string(name), "Transfer-Encoding") {
			return errorf("Transfer-Encoding in a version of HTTP without it")
		}
	}
	return nil
}
