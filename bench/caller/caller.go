package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request with the check of its response.
type Request struct {
	URL   string
	Token string
	Body  []byte
	// IdempotencyKey is the value of the Idempotency-Key header, which is left out when empty.
	IdempotencyKey string
	// Due is the time at which the request should be sent. Latencies count from it, so that a late start of an
	// open-loop caller is included. Zero means now.
	Due time.Time
	// Check validates the body of a response with status 200 and returns the digest of the model version that
	// produced the response. It may be nil only if no response can have status 200.
	Check func(body []byte) (digest string, err error)
}

// Caller sends requests over HTTP and classifies their outcomes.
type Caller struct {
	client *http.Client
}

// New returns a Caller. Each request opens a new connection unless keepAlive is set.
func New(keepAlive bool) *Caller {
	transport := &http.Transport{
		DisableKeepAlives:   !keepAlive,
		MaxIdleConnsPerHost: 512,
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}
	return &Caller{client: &http.Client{Transport: transport}}
}

// SetTLS sets the TLS configuration. It must be called before the first request.
func (c *Caller) SetTLS(cfg *tls.Config) { c.client.Transport.(*http.Transport).TLSClientConfig = cfg }

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request, reads the whole response and classifies the outcome.
func (c *Caller) Do(ctx context.Context, r Request) Outcome {
	if r.Due.IsZero() {
		r.Due = time.Now()
	}
	var headersWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Outcome{Kind: Unsent, Detail: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+r.Token)
	request.Header.Set("Content-Type", "application/json")
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return classifySendError(err, headersWritten.Load(), time.Since(r.Due))
	}
	defer func() { _ = response.Body.Close() }()
	out := Outcome{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"), FirstByte: time.Since(r.Due)}
	body, gap, err := readAll(response.Body)
	out.Latency = time.Since(r.Due)
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		out.MaxTokenGap = gap
	}
	if err != nil {
		out.Kind = CutOff
		out.Detail = fmt.Sprintf("read response with status %d after %d bytes: %v", out.Status, len(body), err)
		return out
	}
	return classifyResponse(out, r, body)
}

// readAll reads a body and returns it with the longest time between two reads that returned data.
func readAll(body io.Reader) (data []byte, maxGap time.Duration, err error) {
	buffer := make([]byte, 4<<10)
	var last time.Time
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			now := time.Now()
			if !last.IsZero() {
				maxGap = max(maxGap, now.Sub(last))
			}
			last = now
			data = append(data, buffer[:n]...)
		}
		if errors.Is(err, io.EOF) {
			return data, maxGap, nil
		}
		if err != nil {
			return data, maxGap, err
		}
	}
}

// classifySendError returns the outcome of a request that got no response headers. It counts as unsent if its own
// headers were not written or the connection failed.
func classifySendError(err error, headersWritten bool, latency time.Duration) Outcome {
	out := Outcome{Kind: CutOff, Latency: latency, Detail: err.Error()}
	var op *net.OpError
	if !headersWritten || (errors.As(err, &op) && op.Op == "dial") {
		out.Kind = Unsent
	}
	return out
}

// classifyResponse sets the kind and the details of out by the status and the body of a response.
func classifyResponse(out Outcome, r Request, body []byte) Outcome {
	if out.Status == http.StatusOK {
		digest, err := r.Check(body)
		out.Kind = Succeeded
		out.Digest = digest
		if err != nil {
			out.Kind = Invalid
			out.Detail = err.Error()
		}
		return out
	}
	out.Kind = Failed
	out.Detail = fmt.Sprintf("status %d: %s", out.Status, body)
	if json.Unmarshal(body, &out.Refusal) == nil && out.Refusal.Run == "not_run" {
		out.Kind = Refused
	}
	return out
}

// StreamedCompletion returns a request for a streamed completion. The response must have tokens events, each with
// prompt as its text.
func StreamedCompletion(base, token, model, prompt string, tokens int) Request {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "stream": true})
	check := func(response []byte) (string, error) { return checkStream(string(response), prompt, tokens) }
	return Request{URL: base + "/v1/completions", Token: token, Body: body, Check: check}
}

// Completion returns a request for a completion without streaming, whose response must echo the request's body.
func Completion(base, token, model, prompt string) Request {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt})
	check := func(response []byte) (string, error) { return checkEcho(response, "echo", string(body)) }
	return Request{URL: base + "/v1/completions", Token: token, Body: body, Check: check}
}

// Booking returns a request to the booking service, whose response must echo the request's body.
func Booking(base, token, upstream, booking string) Request {
	body, _ := json.Marshal(map[string]string{"booking": booking})
	check := func(response []byte) (string, error) { return checkEcho(response, "booked", string(body)) }
	return Request{URL: base + "/services/" + upstream + "/bookings", Token: token, Body: body, Check: check}
}

func checkStream(response, prompt string, tokens int) (string, error) {
	events := strings.Split(strings.TrimSuffix(response, "\n\n"), "\n\n")
	if len(events) != tokens+1 {
		return "", fmt.Errorf("stream has %d events including the end marker, want %d", len(events), tokens+1)
	}
	if events[tokens] != "data: [DONE]" {
		return "", fmt.Errorf("stream ends with %q instead of the end marker", events[tokens])
	}
	digest := ""
	for i, event := range events[:tokens] {
		var payload struct {
			Index  int    `json:"index"`
			Digest string `json:"digest"`
			Text   string `json:"text"`
		}
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &payload); err != nil {
			return "", fmt.Errorf("decode event %d: %w", i, err)
		}
		if payload.Index != i || payload.Text != prompt || (digest != "" && payload.Digest != digest) {
			return "", fmt.Errorf("event %d is %q, want index %d, prompt %q and the digest of the earlier events", i, event, i, prompt)
		}
		digest = payload.Digest
	}
	return digest, nil
}

func checkEcho(response []byte, field, want string) (string, error) {
	var body map[string]string
	if err := json.Unmarshal(response, &body); err != nil {
		return "", fmt.Errorf("decode response %q: %w", response, err)
	}
	if body[field] != want {
		return "", fmt.Errorf("response echoes %q, want %q", body[field], want)
	}
	return body["digest"], nil
}
