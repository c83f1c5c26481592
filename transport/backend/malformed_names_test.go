package backend_test

import (
	"fmt"
	"testing"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
)

// TestMalformedNameIsNoAnswer guards against a response that is passed on although the name of one of its header fields has a byte that
// no name may have: the line was left out, or its body was not framed as the back end meant.
func TestMalformedNameIsNoAnswer(t *testing.T) {
	const id = "HTTP/1.1 200 OK\r\nReq-Id: 1\r\n"
	for place, c := range map[string]struct{ name, before, after string }{
		"field":             {"X-Load", id, ": 1,0,8\r\nContent-Length: 5\r\n\r\nwrong"},
		"last field":        {"X-Load", id + "Content-Length: 5\r\n", ": 1,0,8\r\n\r\nwrong"},
		"length":            {"Content-Length", id, ": 5\r\n\r\nwrong" + soundAnswer},
		"second length":     {"Content-Length", id + "Content-Length: 5\r\n", ": 7\r\n\r\nwrong"},
		"chunks":            {"Transfer-Encoding", id, ": chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		"chunks and length": {"Transfer-Encoding", id + "Content-Length: 15\r\n", ": chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"},
		"connection":        {"Connection", id, ": close\r\nContent-Length: 0\r\n\r\n"},
		"informational":     {"Link", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n", ": </a>\r\n\r\n" + soundAnswer},
		"continue":          {"X-Load", "HTTP/1.1 100 Continue\r\nX-A: b\r\n", ": 1\r\n\r\n" + soundAnswer},
	} {
		t.Run(place, func(t *testing.T) {
			for _, name := range headtest.Names(c.name) {
				requireRejected(t, c.before+name+c.after)
			}
		})
	}
	for _, blank := range []string{" ", "\t"} {
		t.Run(fmt.Sprintf("first line after %q", blank), func(t *testing.T) {
			requireRejected(t, "HTTP/1.1 200 OK\r\n"+blank+"Req-Id: 1\r\nContent-Length: 5\r\n\r\nwrong")
		})
	}
}
