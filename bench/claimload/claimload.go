// Package claimload measures the claims that several entries make at a stand-in of the object API.
//
// The claim services of the entries run in this process, each with its own client and listener.
package claimload

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/load"
	"github.com/guavatrestle/guavatrestle/bench/standin/objectapi"
	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/state/core"
	transportclaims "github.com/guavatrestle/guavatrestle/transport/claims"
)

const (
	team         = core.Team("ajiboye")
	upstream     = core.Upstream("hire-desk")
	phaseMeasure = "measure"
	// settleTimeout bounds the recording of one result.
	settleTimeout = 20 * time.Second
	// maxLatencyMicros and latencyDigits are the range, in microseconds, and the precision of the latency histograms.
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// Config holds the settings of a run.
type Config struct {
	Seed    uint64
	Entries int
	// Rate is the number of claimed requests per second of all entries together.
	Rate     float64
	Duration time.Duration
	// Deadline bounds the time of each claim.
	Deadline    time.Duration
	ResultBytes int
	// ReadsPerSecond and WritesPerSecond are the rate limits of the object API.
	ReadsPerSecond, WritesPerSecond float64
}

// Report holds the results of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Entries int     `json:"entries"`
	Rate    float64 `json:"rate_per_second"`
	Granted int     `json:"granted"`
	// Refused is the number of requests that got no claim. Unsettled is the number of claims whose result was not
	// recorded.
	Refused   int `json:"refused"`
	Unsettled int `json:"unsettled"`
	// ClaimP50Millis and ClaimP99Millis are the latency of a claim; SettleP50Millis and SettleP99Millis are the
	// latency of recording a result.
	ClaimP50Millis  float64 `json:"claim_ms_p50"`
	ClaimP99Millis  float64 `json:"claim_ms_p99"`
	SettleP50Millis float64 `json:"settle_ms_p50"`
	SettleP99Millis float64 `json:"settle_ms_p99"`
	// WritesPerSecond and ReadsPerSecond are the calls to the object API.
	WritesPerSecond float64 `json:"object_api_writes_per_second"`
	ReadsPerSecond  float64 `json:"object_api_reads_per_second"`
	// RecordsPerWrite is the number of records per write call; a claim and its result are two records.
	RecordsPerWrite       float64 `json:"records_per_write"`
	BytesPerRecord        float64 `json:"written_bytes_per_record"`
	WrittenBytesPerSecond float64 `json:"written_bytes_per_second"`
	RateLimited           int     `json:"rate_limited"`
	// CPUMicrosPerRequest is the processor time in microseconds per claimed request of entries, stand-in and load
	// generator together.
	CPUMicrosPerRequest float64 `json:"cpu_us_per_request_with_stand_ins"`
	// Segments is the number of segments after the run; ReadAllSeconds is the time in which a new entry reads them.
	Segments       int     `json:"segments"`
	ReadAllSeconds float64 `json:"seconds_to_read_all_shards"`
}

// experiment is the state of one run.
type experiment struct {
	cfg          Config
	objects      *objectapi.Server
	api          *httptest.Server
	writtenBytes atomic.Int64
	entries      []*entry

	mu                          sync.Mutex
	report                      Report
	claimLatency, settleLatency *hdrhistogram.Histogram
}

// Run measures claims at the rate of cfg.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Entries < 1 {
		return Report{}, eris.New("number of entries must be at least 1")
	}
	r := &experiment{
		cfg: cfg, objects: objectapi.New(), report: Report{Seed: cfg.Seed, Entries: cfg.Entries, Rate: cfg.Rate},
		claimLatency:  hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		settleLatency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	r.objects.SetRates(cfg.ReadsPerSecond, cfg.WritesPerSecond)
	r.api = httptest.NewServer(r.countWrites(r.objects.Handler()))
	defer r.api.Close()
	defer r.objects.Close()
	defer r.stopEntries(context.WithoutCancel(ctx))
	if err := r.startEntries(); err != nil {
		return r.report, err
	}
	return r.measure(ctx)
}

// countWrites adds up the body sizes of create requests.
func (r *experiment) countWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			r.writtenBytes.Add(request.ContentLength)
		}
		next.ServeHTTP(w, request)
	})
}

func (r *experiment) measure(ctx context.Context) (Report, error) {
	before, err := cluster.ReadUsageOf(os.Getpid())
	if err != nil {
		return r.report, err
	}
	start := time.Now()
	runner := load.Start(ctx, load.Config{Rate: r.cfg.Rate, Seed: r.cfg.Seed, Send: r.claimAndSettle}, phaseMeasure)
	load.Pause(ctx, r.cfg.Duration)
	runner.Stop()
	elapsed := time.Since(start).Seconds()
	after, err := cluster.ReadUsageOf(os.Getpid())
	if err != nil {
		return r.report, err
	}
	r.fillReport(elapsed, after.CPUSeconds-before.CPUSeconds)
	return r.report, r.readAllShards(ctx)
}

// claimAndSettle claims a unique key at one of the entries and records a result.
func (r *experiment) claimAndSettle(ctx context.Context, n int, _ time.Time) caller.Outcome {
	service := r.entries[n%len(r.entries)].service
	key := transportclaims.KeyOf(team, upstream, fmt.Sprintf("order-%d-%d", r.cfg.Seed, n))
	record := service.NewClaim(key, transportclaims.FingerprintOf(http.MethodPost, "/orders", "", nil), time.Now().Add(r.cfg.Deadline))
	start := time.Now()
	claimCtx, cancel := context.WithTimeout(ctx, r.cfg.Deadline)
	outcome, _, err := service.Claim(claimCtx, record)
	cancel()
	claimLatency := time.Since(start)
	if err != nil || outcome != claims.Granted {
		r.withLock(func() { r.report.Refused++ })
		return caller.Outcome{Kind: caller.Refused}
	}
	start = time.Now()
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	err = service.Settle(settleCtx, record, claims.OpDone, &claims.Result{Status: http.StatusOK, Body: make([]byte, r.cfg.ResultBytes)})
	cancel()
	r.withLock(func() {
		r.report.Granted++
		_ = r.claimLatency.RecordValue(claimLatency.Microseconds())
		_ = r.settleLatency.RecordValue(time.Since(start).Microseconds())
		if err != nil {
			r.report.Unsettled++
		}
	})
	return caller.Outcome{Kind: caller.Succeeded}
}

func (r *experiment) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *experiment) fillReport(elapsed, cpuSeconds float64) {
	out, counts := &r.report, r.objects.Counts()
	writes := counts.Calls[objectapi.CallCreate] + counts.Calls[objectapi.CallDelete]
	records := float64(max(1, 2*out.Granted-out.Unsettled))
	out.ClaimP50Millis, out.ClaimP99Millis = quantileMillis(r.claimLatency, 50), quantileMillis(r.claimLatency, 99)
	out.SettleP50Millis, out.SettleP99Millis = quantileMillis(r.settleLatency, 50), quantileMillis(r.settleLatency, 99)
	out.WritesPerSecond = float64(writes) / elapsed
	out.ReadsPerSecond = float64(counts.Calls[objectapi.CallGet]+counts.Calls[objectapi.CallList]) / elapsed
	out.RecordsPerWrite = records / float64(max(1, writes))
	out.BytesPerRecord = float64(r.writtenBytes.Load()) / records
	out.WrittenBytesPerSecond = float64(r.writtenBytes.Load()) / elapsed
	out.RateLimited = counts.RateLimited
	out.CPUMicrosPerRequest = cpuSeconds * 1e6 / float64(max(1, out.Granted))
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1e3
}
