package ingress

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxForecastError is the highest recorded error in percent.
const maxForecastError = 10_000

func init() {
	expvar.Publish("ingress_forecast_error_percent", expvar.Func(forecastErrors.quantiles))
}

// forecastErrors holds the errors of the forecast times to the first event.
var forecastErrors = errorHistogram{histogram: hdrhistogram.New(1, maxForecastError, latencyDigits)}

type errorHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// record adds an error relative to the measured time.
func (e *errorHistogram) record(relative float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Values out of range are clamped, so RecordValue cannot fail.
	_ = e.histogram.RecordValue(int64(min(max(relative*100, 1), maxForecastError)))
}

func (e *errorHistogram) quantiles() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return latencyQuantiles{
		Count: e.histogram.TotalCount(),
		P50:   e.histogram.ValueAtQuantile(50),
		P90:   e.histogram.ValueAtQuantile(90),
		P95:   e.histogram.ValueAtQuantile(95),
		P99:   e.histogram.ValueAtQuantile(99),
		Max:   e.histogram.Max(),
	}
}
