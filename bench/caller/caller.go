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

// Request is one caller's request.
type Request struct {
	// URL is the full URL.
	URL   string
	Token string
	Body  []byte
	// IdempotencyKey is the Idempotency-IdempotencyKey, if any.
	IdempotencyKey string
	// Due is the time at which an open-loop caller wanted to send; zero means now.
	Due time.Time
	// Check judges the body of a response with status 200: the digest that answered, or what is wrong.
	Check func(body []byte) (digest string, err error)
}

// Caller sends requests.
type Caller struct {
	client *http.Client
}

// New returns a Caller; every request uses a connection of its own unless keepAlive is set.
func New(keepAlive bool) *Caller {
	transport := &http.Transport{
		DisableKeepAlives:   !keepAlive,
		MaxIdleConnsPerHost: 512,
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}
	return &Caller{client: &http.Client{Transport: transport}}
}

// SetTLS makes the caller use TLS; call it before the first request.
func (c *Caller) SetTLS(cfg *tls.Config) { c.client.Transport.(*http.Transport).TLSClientConfig = cfg }

// Close releases idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request and reads the whole response.
func (c *Caller) Do(ctx context.Context, r Request) Outcome {
	if r.Due.IsZero() {
		r.Due = time.Now()
	}
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
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
		return sendFailure(err, written.Load(), time.Since(r.Due))
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
	return judge(out, r, body)
}

// readAll reads a body and returns the longest time between two reads that brought data.
func readAll(body io.Reader) (all []byte, longest time.Duration, err error) {
	buffer := make([]byte, 4<<10)
	var last time.Time
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			now := time.Now()
			if !last.IsZero() {
				longest = max(longest, now.Sub(last))
			}
			last = now
			all = append(all, buffer[:n]...)
		}
		if errors.Is(err, io.EOF) {
			return all, longest, nil
		}
		if err != nil {
			return all, longest, err
		}
	}
}

func sendFailure(err error, written bool, latency time.Duration) Outcome {
	out := Outcome{Kind: CutOff, Latency: latency, Detail: err.Error()}
	var op *net.OpError
	if !written || (errors.As(err, &op) && op.Op == "dial") {
		out.Kind = Unsent
	}
	return out
}

func judge(out Outcome, r Request, body []byte) Outcome {
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

// StreamedCompletion returns a streamed completion whose response must repeat prompt in each of tokens events.
func StreamedCompletion(base, token, model, prompt string, tokens int) Request {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "stream": true})
	check := func(response []byte) (string, error) { return checkStream(string(response), prompt, tokens) }
	return Request{URL: base + "/v1/completions", Token: token, Body: body, Check: check}
}

// Completion returns a completion whose response must repeat the request's body.
func Completion(base, token, model, prompt string) Request {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt})
	check := func(response []byte) (string, error) { return checkEcho(response, "echo", string(body)) }
	return Request{URL: base + "/v1/completions", Token: token, Body: body, Check: check}
}

// Booking returns a booking at a plain service.
func Booking(base, token, upstream, booking string) Request {
	body, _ := json.Marshal(map[string]string{"booking": booking})
	check := func(response []byte) (string, error) { return checkEcho(response, "booked", string(body)) }
	return Request{URL: base + "/services/" + upstream + "/bookings", Token: token, Body: body, Check: check}
}

func checkStream(response, prompt string, tokens int) (string, error) {
	events := strings.Split(strings.TrimSuffix(response, "\n\n"), "\n\n")
	if len(events) != tokens+1 {
		return "", fmt.Errorf("stream has %d events, want %d", len(events), tokens+1)
	}
	if events[tokens] != "data: [DONE]" {
		return "", fmt.Errorf("stream ends with %q", events[tokens])
	}
	digest := ""
	for i, event := range events[:tokens] {
		var part struct {
			Index  int    `json:"index"`
			Digest string `json:"digest"`
			Text   string `json:"text"`
		}
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &part); err != nil {
			return "", fmt.Errorf("event %d: %w", i, err)
		}
		if part.Index != i || part.Text != prompt || (digest != "" && part.Digest != digest) {
			return "", fmt.Errorf("event %d is %q, want index %d of prompt %q", i, event, i, prompt)
		}
		digest = part.Digest
	}
	return digest, nil
}

func checkEcho(response []byte, field, want string) (string, error) {
	var body map[string]string
	if err := json.Unmarshal(response, &body); err != nil {
		return "", fmt.Errorf("response %q: %w", response, err)
	}
	if body[field] != want {
		return "", fmt.Errorf("response repeats %q, want %q", body[field], want)
	}
	return body["digest"], nil
}
