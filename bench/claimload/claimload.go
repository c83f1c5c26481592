// Package claimload measures the claims of several entries against the object API stand-in.
//
// The entries' claim services run inside the experiment, each with a client and a listener of its own.
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
	team     = core.Team("ajiboye")
	upstream = core.Upstream("hire-desk")
	phase    = "measure"
	// settleTimeout bounds the record of a result.
	settleTimeout = 20 * time.Second
	// histogramMax and histogramDigits are the range and the precision of latencies in microseconds.
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// Config sets up a run.
type Config struct {
	Seed    uint64
	Entries int
	// Rate is the claimed requests a second of all entries together.
	Rate     float64
	Duration time.Duration
	// Deadline is the time that a request gives its claim.
	Deadline    time.Duration
	ResultBytes int
	// ReadsPerSecond and WritesPerSecond are what the object API takes in a second.
	ReadsPerSecond, WritesPerSecond float64
}

// Report is what a run measured.
type Report struct {
	Seed    uint64  `json:"seed"`
	Entries int     `json:"entries"`
	Rate    float64 `json:"rate_per_second"`
	Granted int     `json:"granted"`
	// Refused is the number of requests without a claim, and Unsettled that of results that were not recorded.
	Refused   int `json:"refused"`
	Unsettled int `json:"unsettled"`
	// ClaimP50Millis and the like are the time of a claim, SettleP50 and the like that of the record of a result.
	ClaimP50Millis  float64 `json:"claim_ms_p50"`
	ClaimP99Millis  float64 `json:"claim_ms_p99"`
	SettleP50Millis float64 `json:"settle_ms_p50"`
	SettleP99Millis float64 `json:"settle_ms_p99"`
	// WritesPerSecond and Reads are calls of the object API a second.
	WritesPerSecond float64 `json:"object_api_writes_per_second"`
	ReadsPerSecond  float64 `json:"object_api_reads_per_second"`
	// RecordsPerWrite counts a claim and its result as two records.
	RecordsPerWrite       float64 `json:"records_per_write"`
	BytesPerRecord        float64 `json:"written_bytes_per_record"`
	WrittenBytesPerSecond float64 `json:"written_bytes_per_second"`
	RateLimited           int     `json:"rate_limited"`
	// CPUMicrosPerRequest is the processor time for a claimed request: entries, stand-in and load together.
	CPUMicrosPerRequest float64 `json:"cpu_us_per_request_with_stand_ins"`
	// Segments is the number of segments after the run; ReadAll is the time in which a new entry reads them.
	Segments       int     `json:"segments"`
	ReadAllSeconds float64 `json:"seconds_to_read_all_shards"`
}

// run is one experiment.
type run struct {
	cfg     Config
	objects *objectapi.Server
	api     *httptest.Server
	written atomic.Int64
	entries []*entry

	mu             sync.Mutex
	out            Report
	claim, settled *hdrhistogram.Histogram
}

// Run measures claims at a rate of requests.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Entries < 1 {
		return Report{}, eris.New("want at least one entry")
	}
	r := &run{
		cfg: cfg, objects: objectapi.New(), out: Report{Seed: cfg.Seed, Entries: cfg.Entries, Rate: cfg.Rate},
		claim:   hdrhistogram.New(1, histogramMax, histogramDigits),
		settled: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	r.objects.SetRates(cfg.ReadsPerSecond, cfg.WritesPerSecond)
	r.api = httptest.NewServer(r.countWrites(r.objects.Handler()))
	defer r.api.Close()
	defer r.objects.Close()
	defer r.stopEntries(context.WithoutCancel(ctx))
	if err := r.startEntries(); err != nil {
		return r.out, err
	}
	return r.measure(ctx)
}

// countWrites adds up the bodies of creates.
func (r *run) countWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			r.written.Add(request.ContentLength)
		}
		next.ServeHTTP(w, request)
	})
}

func (r *run) measure(ctx context.Context) (Report, error) {
	before, err := cluster.ReadUsageOf(os.Getpid())
	if err != nil {
		return r.out, err
	}
	start := time.Now()
	runner := load.Start(ctx, load.Config{Rate: r.cfg.Rate, Seed: r.cfg.Seed, Send: r.request}, phase)
	load.Pause(ctx, r.cfg.Duration)
	runner.Stop()
	elapsed := time.Since(start).Seconds()
	after, err := cluster.ReadUsageOf(os.Getpid())
	if err != nil {
		return r.out, err
	}
	r.report(elapsed, after.CPUSeconds-before.CPUSeconds)
	return r.out, r.readAll(ctx)
}

// request claims a key of its own at one of the entries and records a result.
func (r *run) request(ctx context.Context, n int, _ time.Time) caller.Outcome {
	service := r.entries[n%len(r.entries)].service
	key := transportclaims.KeyOf(team, upstream, fmt.Sprintf("order-%d-%d", r.cfg.Seed, n))
	record := service.NewClaim(key, transportclaims.FingerprintOf(http.MethodPost, "/orders", "", nil), time.Now().Add(r.cfg.Deadline))
	start := time.Now()
	claimCtx, cancel := context.WithTimeout(ctx, r.cfg.Deadline)
	outcome, _, err := service.Claim(claimCtx, record)
	cancel()
	claimed := time.Since(start)
	if err != nil || outcome != claims.Granted {
		r.note(func() { r.out.Refused++ })
		return caller.Outcome{Kind: caller.Refused}
	}
	start = time.Now()
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	err = service.Settle(settleCtx, record, claims.OpDone, &claims.Result{Status: http.StatusOK, Body: make([]byte, r.cfg.ResultBytes)})
	cancel()
	r.note(func() {
		r.out.Granted++
		_ = r.claim.RecordValue(claimed.Microseconds())
		_ = r.settled.RecordValue(time.Since(start).Microseconds())
		if err != nil {
			r.out.Unsettled++
		}
	})
	return caller.Outcome{Kind: caller.Succeeded}
}

func (r *run) note(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *run) report(elapsed, cpu float64) {
	out, counts := &r.out, r.objects.Counts()
	writes := counts.Calls[objectapi.CallCreate] + counts.Calls[objectapi.CallDelete]
	records := float64(max(1, 2*out.Granted-out.Unsettled))
	out.ClaimP50Millis, out.ClaimP99Millis = millis(r.claim, 50), millis(r.claim, 99)
	out.SettleP50Millis, out.SettleP99Millis = millis(r.settled, 50), millis(r.settled, 99)
	out.WritesPerSecond = float64(writes) / elapsed
	out.ReadsPerSecond = float64(counts.Calls[objectapi.CallGet]+counts.Calls[objectapi.CallList]) / elapsed
	out.RecordsPerWrite = records / float64(max(1, writes))
	out.BytesPerRecord = float64(r.written.Load()) / records
	out.WrittenBytesPerSecond = float64(r.written.Load()) / elapsed
	out.RateLimited = counts.RateLimited
	out.CPUMicrosPerRequest = cpu * 1e6 / float64(max(1, out.Granted))
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1e3
}
