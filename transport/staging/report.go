package staging

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// watchWorker reads the worker's report every ReportInterval until ctx ends. It publishes a load report, or stops the
// reports while the worker does not respond.
func (a *Agent) watchWorker(ctx context.Context) {
	ticker := time.NewTicker(a.Config.ReportInterval)
	defer ticker.Stop()
	for {
		a.readReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) readReport(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, a.Config.ReportTimeout)
	defer cancel()
	started := a.Now()
	report, err := a.Worker.Report(callCtx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.responding && ctx.Err() == nil {
			a.Log.WithError(err).Warn("worker does not answer")
		}
		a.responding = false
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The worker's process is gone, and with it any order of an earlier agent process.
			a.inherited.settled = true
			a.noteEnd()
		}
		a.StopReports()
		return
	}
	if report.Born == a.report.Born && report.Orders < a.report.Orders {
		// The report is older than the last one.
		return
	}
	if !a.responding || report.Born != a.report.Born {
		a.Log.WithField("born", report.Born).WithField("models", len(report.Models)).Info("worker answers")
	}
	if report.Born != a.report.Born {
		a.noteEnd()
		// A restarted worker may have lost its staged pieces.
		a.staged, a.accepted, a.stagedPieces = nil, target{}, nil
		a.loading = false
		a.workerSeenAt = started
	}
	a.checkRequestLimit(&report)
	a.logNewlyLoaded(report)
	a.logNewOrders(report)
	a.settleOrders(report)
	if slices.ContainsFunc(report.Models, a.announced.isLoaded) {
		a.loading = false
	}
	a.report, a.reportedAt, a.responding = report, started, true
	a.publishReport(false)
}

// checkRequestLimit logs a change of the worker's request limit. A malformed one leaves the last limit of the same process in force;
// the caller holds the lock.
func (a *Agent) checkRequestLimit(report *worker.Report) {
	var last fleet.RequestLimit
	if report.Born == a.report.Born {
		last = a.report.RequestLimit
	}
	if report.RequestLimit.Malformed {
		report.RequestLimit = last
	}
	if report.RequestLimit != last {
		a.Log.WithFields(logrus.Fields{
			"limited": report.RequestLimit.Stated, "requests_per_s": report.RequestLimit.PerSecond,
		}).Info("worker changes its request limit")
	}
}

// noteEnd reports once that the process of the last report has ended; the caller holds the lock.
func (a *Agent) noteEnd() {
	if a.report.Born == 0 || a.endedBorn == a.report.Born || a.WorkerEnded == nil {
		return
	}
	a.endedBorn = a.report.Born
	a.WorkerEnded(a.report.Born)
}

// logNewlyLoaded logs each version that the last report did not list; the caller holds the lock.
func (a *Agent) logNewlyLoaded(report worker.Report) {
	for _, loaded := range report.Models {
		if !slices.Contains(a.report.Models, loaded) {
			a.Log.WithFields(logrus.Fields{
				"model": loaded.Model, "version": loaded.Version, "layers": loaded.Layers,
				"since_order_ms": a.Now().Sub(a.orderedAt).Milliseconds(),
			}).Info("version loaded")
		}
	}
}

// logNewOrders logs that the worker has begun an order since the last report; the caller holds the lock.
func (a *Agent) logNewOrders(report worker.Report) {
	if report.Born != a.report.Born || report.Orders <= a.report.Orders {
		return
	}
	a.Log.WithFields(logrus.Fields{
		"orders": report.Orders, "orders_before": a.report.Orders, "busy": report.Busy,
		"since_answer_ms": a.Now().Sub(a.orderedAt).Milliseconds(),
	}).Info("worker has begun an order")
}

// publishReport publishes the load report; the caller holds the lock.
func (a *Agent) publishReport(urgent bool) {
	a.Publish(a.report.Born, dispatch.Report{
		Running: a.report.Running,
		Waiting: a.report.Waiting,
		Loading: a.loading || a.report.Busy,
		Leaving: a.report.Leaving,
		Models:  a.report.Models,
		Pace:    a.report.Pace,

		CacheUsed:  a.report.CacheUsed,
		CacheTotal: a.report.CacheTotal,

		RequestLimit: a.report.RequestLimit,
	}, urgent)
}

// announceLoad notifies entry hosts that the worker takes no new requests until it has loaded the version.
func (a *Agent) announceLoad(t target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.announced, a.loading = t, true
	a.publishReport(true)
}

func (a *Agent) setLoading(loading bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loading != loading {
		a.loading = loading
		a.publishReport(true)
	}
}
