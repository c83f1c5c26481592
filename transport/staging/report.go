package staging

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
)

// observe reads the worker's report and passes it on.
func (a *Agent) observe(ctx context.Context) {
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
	call, cancel := context.WithTimeout(ctx, a.Config.ReportTimeout)
	defer cancel()
	report, err := a.Worker.Report(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.answered && ctx.Err() == nil {
			a.Log.WithError(err).Warn("worker does not answer")
		}
		a.answered = false
		a.StopReports()
		return
	}
	if !a.answered || report.Born != a.report.Born {
		a.Log.WithField("born", report.Born).WithField("models", len(report.Models)).Info("worker answers")
	}
	if report.Born != a.report.Born {
		// A restarted worker may have lost what was staged.
		a.complete, a.accepted = target{}, target{}
		a.loading = false
	}
	a.noteLoaded(report)
	if slices.ContainsFunc(report.Models, a.order.isLoaded) {
		a.loading = false
	}
	a.report, a.answered = report, true
	a.publish(false)
}

// noteLoaded logs a version that the worker has newly loaded; the caller holds the lock.
func (a *Agent) noteLoaded(report worker.Report) {
	for _, loaded := range report.Models {
		if !slices.Contains(a.report.Models, loaded) {
			a.Log.WithFields(logrus.Fields{
				"model": loaded.Model, "version": loaded.Version, "layers": loaded.Layers,
				"since_order_ms": a.Now().Sub(a.ordered).Milliseconds(),
			}).Info("version loaded")
		}
	}
}

// publish sends the load report; the caller holds the lock.
func (a *Agent) publish(urgent bool) {
	a.Publish(a.report.Born, dispatch.Report{
		Running: a.report.Running,
		Waiting: a.report.Waiting,
		Loading: a.loading || a.report.Busy,
		Models:  a.report.Models,
		Pace:    a.report.Pace,
	}, urgent)
}

// announce tells entry hosts that the worker takes no new work until it has loaded a version.
func (a *Agent) announce(t target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.order, a.loading = t, true
	a.publish(true)
}

func (a *Agent) setLoading(loading bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loading != loading {
		a.loading = loading
		a.publish(true)
	}
}
