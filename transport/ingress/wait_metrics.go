package ingress

import (
	"expvar"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
)

// Metrics of the requests that wait in the order of rank.
var (
	varWaiting     = expvar.NewMap("ingress_waiting")
	varWaitMS      = expvar.NewMap("ingress_wait_ms")
	varWaitRefused = expvar.NewMap("ingress_wait_refused")
)

// levelNames are the keys of the levels of priority.
var levelNames = [...]string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}

// waits has the time that requests have waited, by level; waitForecastErrors has the difference to what was forecast for those that a replica
// was found for.
var (
	waits              [workload.Levels]*latency
	waitForecastErrors = newLatency()
)

func init() {
	for level, name := range levelNames {
		waits[level] = newLatency()
		varWaitMS.Set(name, expvar.Func(waits[level].quantiles))
	}
	expvar.Publish("ingress_wait_forecast_error_ms", expvar.Func(waitForecastErrors.quantiles))
}

// countWaiting counts a request that waits until the returned function is called.
func countWaiting(w *waiter) func(now time.Time) {
	level := workload.Level(w.item.Request.Priority)
	varWaiting.Add(levelNames[level], 1)
	return func(now time.Time) {
		varWaiting.Add(levelNames[level], -1)
		waits[level].record(now.Sub(w.queuedAt))
	}
}

// recordForecast records the error of the forecast for a request that a replica was found for at now.
func recordForecast(w *waiter, now time.Time) {
	difference := now.Sub(w.queuedAt) - w.forecast
	waitForecastErrors.record(max(difference, -difference))
}

func countWaitRefusal(refusal waiting.Refusal) {
	varWaitRefused.Add(string(refusal.Reason)+" "+levelNames[refusal.Rank.Level], 1)
}
