package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// slowTime is the time for which slow callers send requests, all to one entry.
	slowTime = 10 * time.Second
	// slowTimeout is the timeout of their routes: they may hold memory for longer than others.
	slowTimeout = 8 * time.Second
	// slowBodyBytes is the announced length of their bodies, of which the last part arrives a byte each slowPause.
	slowBodyBytes = 4 << 20
	slowPause     = 50 * time.Millisecond
	// slowCallerPause is the time between two of their requests.
	slowCallerPause = 500 * time.Millisecond
	// slowReadAfter is the time for which they don't read a response.
	slowReadAfter = 5 * time.Second
	// slowEntryMemoryMB is the memory limit of an entry beside them, that of the smallest host.
	slowEntryMemoryMB = 136
	// minServedBesideSlow is the share of the other callers' requests that must be served meanwhile.
	minServedBesideSlow = 0.8
	// slowPrefix is the beginning of the paths of their requests.
	slowPrefix = "/slow/"
)

var slowBody = strings.Repeat("x", slowBodyBytes)

// callSlowly makes count callers send large bodies that trickle in, or read nothing of large responses, and checks that the others are
// served.
func (f *fleet) callSlowly(ctx context.Context, count int) {
	ctx, cancel := context.WithTimeout(ctx, slowTime)
	defer cancel()
	begin := time.Now()
	var callers sync.WaitGroup
	for number := range count {
		callers.Go(func() {
			for request := 0; ctx.Err() == nil; request++ {
				f.callOnceSlowly(ctx, fmt.Sprintf("slow%d-%d", number, request), number%2 == 0)
				sleep(ctx, slowCallerPause)
			}
		})
	}
	callers.Wait()
	f.checker.checkSlowPeriod(interval{from: begin, to: time.Now()})
}

func (f *fleet) callOnceSlowly(ctx context.Context, id string, withBody bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", hostPort(f.ip(1, 0), callersPort))
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	kind, body := kindStream, ""
	if withBody {
		kind, body = kindUnsafe, slowBody
	}
	f.checker.recordRequest(sentRequest{
		id: id, method: http.MethodPost, kind: kind, key: f.keys[0], team: teamName, at: time.Now(), path: slowPath(kind), body: body,
	})
	request, err := platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Host: callerHost, Path: slowPath(kind), Body: body, Key: f.keys[0], Model: modelName,
		Deadline: slowTimeout,
	}.Request(ctx, "")
	if err != nil {
		return
	}
	request.URL.Host = callerHost
	if withBody {
		request.Body = io.NopCloser(&trickle{reader: request.Body, ctx: ctx, left: slowBodyBytes - bufio.MaxScanTokenSize})
	}
	if request.Write(conn) != nil || withBody {
		return
	}
	sleep(ctx, slowReadAfter)
	f.checkSlowResponse(id, conn)
}

// checkSlowResponse checks that a response which was cut off doesn't look complete.
func (f *fleet) checkSlowResponse(id string, conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if events := strings.Count(string(content), "\n\n"); err == nil && events != platformtest.StreamEventCount {
		f.checker.recordViolation(fmt.Sprintf("slow reader's stream %s looks complete after %d events", id, events))
	}
}

func slowPath(kind requestKind) string { return slowPrefix + string(kind) + "/x" }

// trickle returns left bytes at once and then one byte each slowPause.
type trickle struct {
	reader io.Reader
	ctx    context.Context
	left   int
}

// Read implements io.Reader.
func (t *trickle) Read(p []byte) (int, error) {
	if t.left <= 0 {
		sleep(t.ctx, slowPause)
		n, err := t.reader.Read(p[:1])
		return n, err
	}
	n, err := t.reader.Read(p[:min(len(p), t.left)])
	t.left -= n
	return n, err
}

func (c *checker) recordViolation(message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("%s", message)
}

// checkSlowPeriod checks that callers were served beside slow ones, unless faults were active too.
func (c *checker) checkSlowPeriod(period interval) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !noneBetween(c.faults, period.from, period.to) {
		return
	}
	served, all := c.countServed(func(s sentRequest) bool {
		return !s.at.Before(period.from) && s.at.Before(period.to.Add(-callerDeadline))
	})
	if float64(served) < minServedBesideSlow*float64(all) {
		c.addViolation("only %d of %d requests were served beside slow callers", served, all)
	}
}
