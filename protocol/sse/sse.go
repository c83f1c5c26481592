// Package sse splits a stream of server-sent events into events.
package sse

import (
	"bytes"
	"strconv"
)

// separators lists the sequences that end an event, for each line ending.
var separators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// EventLength returns the length of the first complete event including its blank line, or 0 if no event is complete.
func EventLength(data []byte) int {
	length := 0
	for _, separator := range separators {
		i := bytes.Index(data, separator)
		if i >= 0 && (length == 0 || i+len(separator) < length) {
			length = i + len(separator)
		}
	}
	return length
}

// HasData reports whether an event has a data field. A block of comments, which keeps a connection open, has none.
func HasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// EventID returns the value of an event's id field as text and, if ok, as a number.
func EventID(event []byte) (text string, number int64, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !found {
			continue
		}
		text = string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(text, 10, 64)
		return text, number, err == nil
	}
	return "", 0, false
}
