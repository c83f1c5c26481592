// Package load generates an open-loop load: requests are sent at random times that do not depend on the responses, and
// their outcomes are recorded.
package load

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrestle/guavatrestle/bench/caller"
)

const (
	// histogramMaxLatency is the longest latency that a histogram can record.
	histogramMaxLatency = 60 * time.Second
	// histogramDigits is the precision of a histogram in significant digits.
	histogramDigits = 3
	// maxErrorDetails bounds the number of error messages kept.
	maxErrorDetails = 5
	// arrivalStream is the random stream of arrivals, distinct from other uses of the same seed.
	arrivalStream = 1
)

// Send sends request number n, which is due at the given time, and returns its outcome.
type Send func(ctx context.Context, n int, due time.Time) caller.Outcome

// Config configures a Runner.
type Config struct {
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate float64
	Seed uint64
	Send Send
}

// Runner sends requests until it is stopped and records their outcomes.
type Runner struct {
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	mu           sync.Mutex
	phase        string
	phases       map[string]*Phase
	errorDetails []string
}

// Phase holds the outcomes of the requests that were due in one phase of a run.
type Phase struct {
	started        time.Time
	duration       time.Duration
	counts         map[caller.Kind]int
	latency        *hdrhistogram.Histogram
	firstByte      *hdrhistogram.Histogram
	tokenGap       *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	// refusalsWithoutRetryAfter counts refusals without a Retry-After header.
	refusalsWithoutRetryAfter int
}

// Start begins to send requests and starts the named phase; Stop ends both.
func Start(ctx context.Context, cfg Config, phase string) *Runner {
	arrivalsCtx, cancel := context.WithCancel(ctx)
	r := &Runner{cancel: cancel, phases: make(map[string]*Phase)}
	r.StartPhase(phase)
	r.wg.Go(func() { r.sendArrivals(arrivalsCtx, ctx, cfg) })
	return r
}

// StartPhase ends the current phase and starts another, to which the requests sent from now on belong.
func (r *Runner) StartPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endPhase()
	r.phase = phase
	r.phases[phase] = &Phase{
		started:        time.Now(),
		counts:         make(map[caller.Kind]int),
		latency:        newHistogram(),
		firstByte:      newHistogram(),
		tokenGap:       newHistogram(),
		refusalLatency: newHistogram(),
	}
}

// Stop ends the arrivals and waits for the responses in flight.
func (r *Runner) Stop() {
	r.cancel()
	r.wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endPhase()
	r.phase = ""
}

// endPhase records the duration of the current phase; the caller holds the lock.
func (r *Runner) endPhase() {
	if current := r.phases[r.phase]; current != nil {
		current.duration = time.Since(current.started)
	}
}

// sendArrivals sends requests at random times until arrivalsCtx ends; requestsCtx is the context of each request. A late
// request is sent at once and its latency counts from its due time, so that a stalled system cannot hide its delay
// (coordinated omission).
func (r *Runner) sendArrivals(arrivalsCtx, requestsCtx context.Context, cfg Config) {
	random := rand.New(rand.NewPCG(cfg.Seed, arrivalStream))
	last := time.Now()
	for n := 0; ; n++ {
		// Each request needs its own variable, because its goroutine may start after the next iteration.
		due := last.Add(time.Duration(random.ExpFloat64() / cfg.Rate * float64(time.Second)))
		last = due
		if !waitUntil(arrivalsCtx, due) {
			return
		}
		phase := r.currentPhase()
		r.wg.Go(func() { r.record(phase, cfg.Send(requestsCtx, n, due)) })
	}
}

func (r *Runner) currentPhase() *Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phases[r.phase]
}

func (r *Runner) record(phase *Phase, out caller.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase.counts[out.Kind]++
	if out.Kind == caller.Succeeded {
		_ = phase.latency.RecordValue(out.Latency.Microseconds())
		_ = phase.firstByte.RecordValue(out.FirstByte.Microseconds())
		if out.MaxTokenGap > 0 {
			_ = phase.tokenGap.RecordValue(out.MaxTokenGap.Microseconds())
		}
		return
	}
	if out.Kind == caller.Refused {
		phase.recordRefusal(out)
	}
	if out.Kind != caller.Refused && len(r.errorDetails) < maxErrorDetails {
		r.errorDetails = append(r.errorDetails, string(out.Kind)+": "+out.Detail)
	}
}

func (p *Phase) recordRefusal(out caller.Outcome) {
	_ = p.refusalLatency.RecordValue(out.Latency.Microseconds())
	if out.RetryAfter == "" {
		p.refusalsWithoutRetryAfter++
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxLatency.Microseconds(), histogramDigits)
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) { waitUntil(ctx, time.Now().Add(d)) }

// waitUntil waits until due. It returns false if ctx ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Requests  int `json:"requests"`
	Succeeded int `json:"succeeded"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	// CutOff counts responses that broke off, and those that ended normally but were incomplete or belonged to another
	// request.
	CutOff int `json:"cut_off"`
	// Unsent counts requests that were not sent on any connection.
	Unsent int `json:"unsent"`
}

// Latency holds latency quantiles of succeeded requests, measured from the time at which each was due.
type Latency struct {
	SucceededPerSecond float64 `json:"succeeded_per_second"`
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	FirstByteP95       float64 `json:"first_byte_p95_ms"`
	FirstByteP99       float64 `json:"first_byte_p99_ms"`
	// TokenGapP95 is the 95th percentile, over streams, of the longest time between two parts of a stream.
	TokenGapP95 float64 `json:"token_gap_p95_ms"`
	// RefusedP99 is the 99th percentile of the time until a refusal.
	RefusedP99        float64 `json:"refused_p99_ms"`
	WithoutRetryAfter int     `json:"refused_without_retry_after"`
}

// Counts returns the outcomes of the given phases, or of all phases if none is given.
func (r *Runner) Counts(phases ...string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Counts
	for name, phase := range r.phases {
		if len(phases) == 0 || slices.Contains(phases, name) {
			out.add(phase.counts)
		}
	}
	return out
}

func (c *Counts) add(counts map[caller.Kind]int) {
	for _, n := range counts {
		c.Requests += n
	}
	c.Succeeded += counts[caller.Succeeded]
	c.Refused += counts[caller.Refused]
	c.Failed += counts[caller.Failed]
	c.CutOff += counts[caller.CutOff] + counts[caller.Invalid]
	c.Unsent += counts[caller.Unsent]
}

// Latency returns the latency quantiles of a phase.
func (r *Runner) Latency(name string) Latency {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := r.phases[name]
	return Latency{
		SucceededPerSecond: float64(phase.counts[caller.Succeeded]) / phase.duration.Seconds(),
		P50:                millis(phase.latency.ValueAtQuantile(50)),
		P99:                millis(phase.latency.ValueAtQuantile(99)),
		FirstByteP95:       millis(phase.firstByte.ValueAtQuantile(95)),
		FirstByteP99:       millis(phase.firstByte.ValueAtQuantile(99)),
		TokenGapP95:        millis(phase.tokenGap.ValueAtQuantile(95)),
		RefusedP99:         millis(phase.refusalLatency.ValueAtQuantile(99)),
		WithoutRetryAfter:  phase.refusalsWithoutRetryAfter,
	}
}

// Duration returns how long a phase lasted.
func (r *Runner) Duration(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phases[name].duration
}

// ErrorDetails returns the first error messages of requests that were not refused.
func (r *Runner) ErrorDetails() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.errorDetails)
}

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}
