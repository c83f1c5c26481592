package ingress

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/transport/backend"
)

// anyIdle lets a request use a connection however long it has been unused.
const anyIdle = time.Hour

// errOutdated ends a try whose replica has weights that were replaced meanwhile.
var errOutdated = errors.New("the replica's version may not be begun on any more")

// answer is a whole answer of a replica.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write passes an answer on as it is.
func (a *answer) write(c *call) {
	target := c.w.Header()
	headers.RemoveHopByHop(a.header)
	for name, values := range a.header {
		target[name] = values
	}
	if target["Content-Type"] == nil {
		// Keeps net/http from guessing one.
		target["Content-Type"] = nil
	}
	if c.r.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		target.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// try sends the request to a replica and passes the answer on if it is one.
func (c *call) try(ctx context.Context, choice dispatch.Choice) end {
	if c.outdated(choice) {
		return end{outcome: dispatch.OutcomeAbandoned, notRun: true, unsent: true, err: errOutdated}
	}
	varAttempts.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := c.guardSlow(choice, cancel)
	defer func() { c.next = guard.close() }()
	sent := c.h.Now()
	response, err := c.h.Pool.Do(ctx, c.encode(choice))
	if err != nil {
		return c.exchangeFailed(ctx, err)
	}
	defer response.Body.Close()
	c.learn(choice, response.Header)
	if last, refused := c.refused(choice, response); refused {
		return last
	}
	c.sends++
	c.ran = true
	if fault := c.fault(response); fault != nil {
		return end{outcome: dispatch.OutcomeBroken, err: fault}
	}
	if response.Status == http.StatusOK && isEventStream(response.Header) {
		return c.relay(ctx, response, sent, guard)
	}
	if c.stream.started {
		return end{outcome: dispatch.OutcomeFailed, err: eris.Errorf("resumed stream got status %d", response.Status)}
	}
	return c.relayWhole(ctx, response, sent, guard)
}

// outdated reports whether a version newer than the choice's has become due since the choice was made.
func (c *call) outdated(choice dispatch.Choice) bool {
	request := c.request()
	return request.Model != "" && choice.Version < request.MinVersion
}

// encode makes the request for a replica.
func (c *call) encode(choice dispatch.Choice) *backend.Request {
	names := &c.h.Headers
	header := c.outgoing()
	left := max(c.deadline.Sub(c.h.Now()).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(left, 10))
	header.Set(names.ExpectReplica, string(choice.ID))
	if c.request().MinVersion > 0 {
		header.Set(names.ExpectVersion, strconv.FormatInt(choice.Version, 10))
	}
	if c.stream.started {
		varResumed.Add(1)
	}
	if c.stream.lastID != "" {
		header.Set(headers.LastEventID, c.stream.lastID)
	}
	idle := anyIdle
	if !c.route.Repeatable() {
		idle = c.h.Config.UnsafeMaxIdle
	}
	return &backend.Request{
		Address:    choice.Address,
		Method:     c.r.Method,
		Target:     c.target,
		Host:       c.r.Host,
		Header:     header,
		Body:       c.body,
		HasBody:    c.hasBody,
		MaxIdle:    idle,
		EchoHeader: names.RequestID,
	}
}

// exchangeFailed describes a try that got no response head.
func (c *call) exchangeFailed(ctx context.Context, err error) end {
	var failed *backend.Error
	sent := !errors.As(err, &failed) || failed.Sent
	if sent {
		c.sends++
		c.ran = true
	}
	last := end{outcome: dispatch.OutcomeBroken, notRun: !sent, unsent: !sent, err: err}
	if cause := context.Cause(ctx); cause != nil {
		last.err = cause
		last.outcome = givenUpAs(cause)
	}
	return last
}

// givenUpAs returns the outcome of a try that was ended for a cause: a slow replica counts as one that broke off.
func givenUpAs(cause error) dispatch.Outcome {
	if errors.Is(cause, errSlow) {
		return dispatch.OutcomeBroken
	}
	return dispatch.OutcomeAbandoned
}

// learn takes what a response says about the replica's load and state.
func (c *call) learn(choice dispatch.Choice, header http.Header) {
	if report, ok := parseLoad(header.Get(c.h.Headers.Load)); ok {
		c.h.router.RecordLoad(choice.ID, report)
	}
	if ms, err := strconv.ParseInt(header.Get(c.h.Headers.ColdRemaining), 10, 64); err == nil && ms > 0 {
		c.h.router.cold(choice.ID, time.Duration(ms)*time.Millisecond)
	}
}

// refused recognises answers by which a replica says that it did not run the request.
func (c *call) refused(choice dispatch.Choice, response *backend.Response) (end, bool) {
	names := &c.h.Headers
	if response.Status == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, c.h.Config.MaxResponseBytes))
		outcome := dispatch.OutcomeShed
		if other := response.Header.Get(names.Replica); other != "" && other != string(choice.ID) {
			outcome = dispatch.OutcomeMoved
		}
		return end{outcome: outcome, notRun: true, err: eris.New("another replica or version answers at the address")}, true
	}
	if response.Header.Get(names.NotRun) == "" {
		return end{}, false
	}
	c.sends++
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, c.h.Config.MaxResponseBytes))
	return end{outcome: dispatch.OutcomeShed, notRun: true, err: eris.Errorf("replica refused with status %d", response.Status)}, true
}

// fault finds what makes a response unfit to be passed on.
func (c *call) fault(response *backend.Response) error {
	success := response.Status < http.StatusMultipleChoices
	switch {
	case success && response.Header.Get(c.h.Headers.Stamp) == "":
		return eris.Errorf("status %d without the replica's stamp", response.Status)
	case response.Header.Get("Content-Encoding") != "":
		return eris.New("body with an encoding that was not asked for")
	case !c.route.Repeatable() && isPromise(response.Status):
		return eris.Errorf("status %d without the mark that the request did not run", response.Status)
	}
	return nil
}

// isPromise reports whether a status tells callers that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayWhole reads an answer to its end before any of it goes to the caller.
func (c *call) relayWhole(ctx context.Context, response *backend.Response, sent time.Time, guard *slowGuard) end {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.h.Config.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > c.h.Config.MaxResponseBytes {
		err = eris.Errorf("answer is larger than %d bytes", c.h.Config.MaxResponseBytes)
	}
	if err != nil {
		last := end{outcome: dispatch.OutcomeBroken, err: err}
		if cause := context.Cause(ctx); cause != nil {
			last.outcome = givenUpAs(cause)
		}
		return last
	}
	// An answer that is there is passed on, also when it came late.
	_ = guard.settle()
	varLatency.record(c.h.Now().Sub(c.arrived))
	whole := &answer{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		return end{outcome: dispatch.OutcomeFailed, answer: whole, err: eris.Errorf("replica answered %d", response.Status)}
	}
	whole.write(c)
	return end{outcome: dispatch.OutcomeServed, answered: true, latency: c.h.Now().Sub(sent)}
}

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == headers.EventStream
}

// parseLoad decodes running requests, waiting requests and slots.
func parseLoad(value string) (dispatch.Report, bool) {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return dispatch.Report{}, false
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return dispatch.Report{}, false
		}
		numbers[i] = n
	}
	return dispatch.Report{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}
