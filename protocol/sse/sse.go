// Package sse finds the events in a stream of server-sent events.
package sse

import (
	"bytes"
	"strconv"
)

// separators end an event.
var separators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// EventLength returns the length of the first whole event including its blank line, or 0 when none is whole.
func EventLength(data []byte) int {
	length := 0
	for _, separator := range separators {
		at := bytes.Index(data, separator)
		if at >= 0 && (length == 0 || at+len(separator) < length) {
			length = at + len(separator)
		}
	}
	return length
}

// EventID returns the value of the id field of an event as the event gives it, and as a number when it is one.
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
