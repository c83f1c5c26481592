package ingress

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

// unlimitedIdle is the idle limit for requests that may use a connection of any idle time.
const unlimitedIdle = time.Hour

// errOutdated is the cause of canceling an attempt at a replica whose model version is older than allowed by now.
var errOutdated = errors.New("the replica's version may not be begun on any more")

// errNotAllowed is the cause of giving up an attempt before anything was sent, because the replica or the caller's key may not be
// used any more.
var errNotAllowed = errors.New("the replica or the caller's key may not be used any more")

// errLeaving is the cause of giving up an attempt before anything was sent, because the process stops before it may have ended.
var errLeaving = errors.New("the process stops before the deadline of the request")

// maxLoadNumber bounds the numbers of a load header, so that their sums don't overflow.
const maxLoadNumber = 1 << 20

// maxRefusalBytes bounds the body of a refusal that is read so that the connection can be used again.
const maxRefusalBytes = 64 << 10

// bufferedResponse is a response of a replica that has been read completely.
type bufferedResponse struct {
	replica fleet.ReplicaID
	status  int
	header  http.Header
	body    []byte
}

// write sends the response to the caller unchanged.
func (r *bufferedResponse) write(c *call) {
	c.responding = true
	target := c.w.Header()
	headers.RemoveHopByHop(r.header)
	for name, values := range r.header {
		target[name] = values
	}
	if target["Content-Type"] == nil {
		// Keeps net/http from adding a detected Content-Type.
		target["Content-Type"] = nil
	}
	if c.mayHaveBody(r.status) {
		target.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	c.w.WriteHeader(r.status)
	_ = c.send(r.body, false)
}

// attempt sends the request to a replica and forwards the response to the caller if it is a valid one.
func (c *call) attempt(ctx context.Context, choice dispatch.Choice) attemptResult {
	if c.outdated(choice) {
		return attemptResult{outcome: dispatch.OutcomeAbandoned, notRun: true, unsent: true, err: errOutdated}
	}
	varAttempts.Add(1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := c.guardAttempt(choice, cancel)
	defer func() { c.nextChoice = guard.close() }()
	sent := c.h.Now()
	response, err := c.h.Pool.Do(ctx, c.backendRequest(choice))
	if err != nil {
		return c.noResponse(ctx, err)
	}
	defer response.Body.Close()
	c.stage = stageHead
	c.recordReplicaState(choice, response)
	c.recordLimit(choice, response, sent)
	if result, refused := c.refusal(choice, response); refused {
		return result
	}
	c.attempts++
	c.mayHaveRun = true
	if err := c.checkResponse(response); err != nil {
		return attemptResult{outcome: dispatch.OutcomeBroken, err: err}
	}
	if response.Status == http.StatusOK && isEventStream(response.Header) {
		return excuseReplicaOfLimit(c.excuseReplica(c.relayStream(ctx, response, sent, guard)))
	}
	if c.stream.started {
		return attemptResult{outcome: dispatch.OutcomeFailed, err: eris.Errorf("resumed stream got status %d", response.Status)}
	}
	return excuseReplicaOfLimit(c.relayBuffered(ctx, choice, response, sent, guard))
}

// outdated reports whether the version of the chosen replica is older than the oldest allowed by now.
func (c *call) outdated(choice dispatch.Choice) bool {
	request := c.dispatchRequest()
	return request.Model != "" && choice.Version < request.MinVersion
}

// backendRequest returns the request to send to a replica.
func (c *call) backendRequest(choice dispatch.Choice) *backend.Request {
	names := &c.h.Headers
	header := c.replicaHeader()
	remaining := max(c.deadline.Sub(c.h.Now()).Milliseconds(), 1)
	header.Set(names.Deadline, strconv.FormatInt(remaining, 10))
	header.Set(names.ExpectReplica, string(choice.ID))
	if c.dispatchRequest().MinVersion > 0 {
		header.Set(names.ExpectVersion, strconv.FormatInt(choice.Version, 10))
	}
	if c.stream.started {
		varStreamsResumed.Add(1)
	}
	if c.stream.lastID != "" {
		header.Set(headers.LastEventID, c.stream.lastID)
	}
	idle := unlimitedIdle
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
		MaySend:    func() error { return c.checkMaySend(choice) },
		EchoHeader: names.RequestID,
	}
}

// checkMaySend checks again, right before an attempt is sent, what may have changed since it was decided: the process may have been
// suspended, or the connection may have taken long to open.
func (c *call) checkMaySend(choice dispatch.Choice) error {
	if c.keyOutdated() || !c.h.router.maySend(choice) {
		return errNotAllowed
	}
	if c.outdated(choice) {
		return errOutdated
	}
	if c.quarantined() {
		return errQuarantined
	}
	if c.outlastsStop() {
		return errLeaving
	}
	return nil
}

// keyOutdated reports whether the configuration is too old by now for the caller's key to be accepted.
func (c *call) keyOutdated() bool {
	if c.team == nil {
		return false
	}
	maxAge := c.h.Config.MaxKeyAge
	return maxAge > 0 && c.h.Age() > maxAge
}

// noResponse returns the result of an attempt that received no response header.
func (c *call) noResponse(ctx context.Context, err error) attemptResult {
	var sendErr *backend.Error
	sent := !errors.As(err, &sendErr) || sendErr.Sent
	if sent {
		c.attempts++
		c.mayHaveRun = true
	}
	result := attemptResult{
		outcome: dispatch.OutcomeBroken, notRun: !sent, unsent: !sent, connectionLost: sent && context.Cause(ctx) == nil, err: err,
	}
	if errors.Is(err, errNotAllowed) || errors.Is(err, errOutdated) || errors.Is(err, errQuarantined) ||
		errors.Is(err, errLeaving) {
		result.outcome = dispatch.OutcomeAbandoned
	}
	if cause := context.Cause(ctx); cause != nil {
		result.err = cause
		result.outcome = cancelOutcome(cause)
	}
	return result
}

// cancelOutcome returns the outcome of an attempt that was canceled with a cause. A slow replica counts as broken.
func cancelOutcome(cause error) dispatch.Outcome {
	if errors.Is(cause, errSlow) {
		return dispatch.OutcomeBroken
	}
	return dispatch.OutcomeAbandoned
}

// recordReplicaState records what the response says about the replica's load, cold start and wish for requests.
func (c *call) recordReplicaState(choice dispatch.Choice, response *backend.Response) {
	names, header := &c.h.Headers, response.Header
	if report, ok := parseLoad(header.Get(names.Load)); ok {
		c.h.router.RecordLoad(choice.ID, report)
	}
	if remaining, ok := parseColdRemaining(header.Get(names.ColdRemaining)); ok {
		c.h.router.markCold(choice.ID, remaining)
	}
	if header.Get(names.Leaving) == headers.LeavingValue {
		c.h.router.markLeaving(choice)
		c.h.log.write("replica is leaving", c.fields(logrus.Fields{"replica": choice.ID}))
	}
	if wait, ok := headers.RetryAfter(header); ok && response.Status == http.StatusServiceUnavailable {
		c.h.router.holdOff(choice.ID, wait)
		c.h.log.write("replica wants no requests", c.fields(logrus.Fields{"replica": choice.ID, "retry_after_ms": wait.Milliseconds()}))
	}
}

// recordLimit records what the response says about the replica's request limit. A response that may be of another replica says nothing,
// and one that no replica has marked as its own does not end a limit.
func (c *call) recordLimit(choice dispatch.Choice, response *backend.Response, sentAt time.Time) {
	names, header := &c.h.Headers, response.Header
	limit := headers.RequestLimit(header, names.RequestLimit)
	if response.Status == http.StatusMisdirectedRequest ||
		!limit.Stated && header.Get(names.Stamp) == "" && header.Get(names.NotRun) == "" {
		return
	}
	if limit.Malformed {
		c.h.log.write("replica states a malformed request limit", c.fields(logrus.Fields{"replica": choice.ID}))
	}
	if change := c.h.router.recordLimit(choice, sentAt, limit); change != nil {
		LogLimitChange(c.h.Log.WithField("request_id", c.id), change)
	}
}

// refusal returns the result of a response which states that the replica did not run the request, and false for any other
// response. A refusal with malformed trailers is not believed.
func (c *call) refusal(choice dispatch.Choice, response *backend.Response) (attemptResult, bool) {
	names := &c.h.Headers
	misdirected := response.Status == http.StatusMisdirectedRequest
	if !misdirected && response.Header.Get(names.NotRun) == "" {
		return attemptResult{}, false
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes)); httphead.IsMalformed(err) {
		c.attempts++
		c.mayHaveRun = true
		return attemptResult{outcome: dispatch.OutcomeBroken, err: err}, true
	}
	if misdirected {
		outcome := dispatch.OutcomeShed
		if other := response.Header.Get(names.Replica); other != "" && other != string(choice.ID) {
			outcome = dispatch.OutcomeMoved
		}
		return attemptResult{
			outcome: outcome, notRun: true, err: eris.New("another replica or model version answers at this address"),
		}, true
	}
	c.attempts++
	return attemptResult{
		outcome: dispatch.OutcomeShed, notRun: true, err: eris.Errorf("replica rejected the request with status %d", response.Status),
	}, true
}

// checkResponse returns an error if the response must not be forwarded.
func (c *call) checkResponse(response *backend.Response) error {
	success := response.Status < http.StatusMultipleChoices
	switch {
	case success && response.Header.Get(c.h.Headers.Stamp) == "":
		return eris.Errorf("status %d without the replica's stamp", response.Status)
	case success && c.id != "" && response.Header.Get(c.h.Headers.RequestID) == "":
		return eris.Errorf("status %d without the request's ID, so it may be the response to another request", response.Status)
	case response.Header.Get("Content-Encoding") != "":
		return eris.New("response has a Content-Encoding that the request did not allow")
	case !c.route.Repeatable() && impliesNotRun(response.Status):
		return eris.Errorf("status %d without the header that the request did not run", response.Status)
	}
	return nil
}

// impliesNotRun reports whether callers take a status to mean that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayBuffered reads the complete response before it sends any of it to the caller.
func (c *call) relayBuffered(
	ctx context.Context, choice dispatch.Choice, response *backend.Response, sent time.Time, guard *attemptGuard,
) attemptResult {
	body, err := c.buffer.readAll(response.Body, c.h.Config.MaxResponseBytes)
	if err != nil {
		result := attemptResult{outcome: dispatch.OutcomeBroken, connectionLost: context.Cause(ctx) == nil, err: err}
		if cause := context.Cause(ctx); cause != nil {
			result.outcome = cancelOutcome(cause)
		}
		return result
	}
	if len(body) == 0 && !response.Framed && c.mayHaveBody(response.Status) {
		// Nothing tells an empty response from one whose replica has ended after the head.
		return attemptResult{outcome: dispatch.OutcomeBroken, connectionLost: true, err: eris.New("response ended before its body")}
	}
	// A complete response is forwarded even if the guard has canceled the attempt meanwhile.
	_ = guard.disarm()
	buffered := &bufferedResponse{replica: choice.ID, status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		return attemptResult{
			outcome: dispatch.OutcomeFailed, errorResponse: buffered, err: eris.Errorf("replica returned status %d", response.Status),
		}
	}
	c.recordEnd(response)
	ended := c.h.Now()
	c.responseLatency = ended.Sub(c.arrived)
	c.releaseBody()
	return attemptResult{
		outcome: dispatch.OutcomeServed, responded: true, response: buffered, latency: ended.Sub(sent), connectionLost: !response.Framed,
	}
}

// mayHaveBody reports whether a response with a status may have a body.
func (c *call) mayHaveBody(status int) bool {
	return c.r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == headers.EventStream
}

// parseColdRemaining decodes a header with a number of milliseconds above zero.
func parseColdRemaining(value string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, true
}
