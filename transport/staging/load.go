package staging

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// orderLoad verifies the staged pieces, notifies entry hosts and orders the worker to load the version. An order that was
// not answered is sent again without notice: the worker serves until it accepts one of the two.
func (a *Agent) orderLoad(ctx context.Context, t target, report worker.Report) error {
	if err := pause(ctx, a.workerTooYoungFor()); err != nil {
		return err
	}
	verified, err := a.verifyStaged(ctx, t)
	if err != nil {
		return err
	}
	defer a.keepVerified(ctx, verified)()
	order := loadOrder{target: t, orders: report.Orders}
	repeated := a.isUnanswered(order)
	if !repeated || a.isAdopted(order) {
		a.announceLoad(t)
		if err := pause(ctx, a.Config.LoadNoticeDelay); err != nil {
			return err
		}
	}
	if err := a.confirmWorker(ctx, report); err != nil {
		a.setLoading(false)
		return err
	}
	return a.sendOrder(ctx, order, report, repeated, verified)
}

// pause waits for a duration and returns early with an error when ctx ends.
func pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// workerTooYoungFor returns the time until the worker's process has been known for MinWorkerAge.
func (a *Agent) workerTooYoungFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Config.MinWorkerAge - a.Now().Sub(a.workerSeenAt)
}

// sendOrder sends a load order and notes its outcome. It sends nothing if, when the connection to the worker is open, a staged piece has
// not been read back for MaxVerificationAge, or the configuration states another number of pieces than were read back.
func (a *Agent) sendOrder(ctx context.Context, order loadOrder, report worker.Report, repeated bool, verified *verification) error {
	t := order.target
	fields := logrus.Fields{
		"model": t.model, "version": t.version, "expected_orders": order.orders, "running": report.Running,
		"waiting": report.Waiting, "repeated": repeated,
	}
	a.Log.WithFields(fields).Info("sending load order")
	callCtx, cancel := context.WithTimeout(ctx, a.Config.OrderTimeout)
	defer cancel()
	startedAt := a.Now()
	begun := false
	err := a.Worker.Load(callCtx, worker.LoadOrder{
		Model: t.model, Version: t.version, ExpectedOrders: order.orders, FencingToken: t.version,
		MaySend: func() error {
			age, err := a.beginOrder(order, verified, a.configuredPieces())
			begun = err == nil
			fields["oldest_read_age_ms"] = age.Milliseconds()
			return err
		},
	})
	fields["took_ms"] = a.Now().Sub(startedAt).Milliseconds()
	if begun {
		a.endOrder(order, err, repeated)
	} else {
		varLoadOrdersPutOff.Add(1)
		a.setLoading(false)
	}
	if err != nil {
		a.Log.WithFields(fields).WithFields(logrus.Fields{"code": protocol.CodeOf(err), "sent": begun}).Warn("load order failed")
		return eris.Wrapf(err, "order version %d of %s", t.version, t.model)
	}
	a.Log.WithFields(fields).Info("load ordered")
	return nil
}

// confirmWorker returns an error unless the worker is still the one, with the count of orders, for which the staged pieces were
// verified. A successor may have lost them and accept the order with its own count.
func (a *Agent) confirmWorker(ctx context.Context, verified worker.Report) error {
	ctx, cancel := context.WithTimeout(ctx, a.Config.ReportTimeout)
	defer cancel()
	now, err := a.Worker.Report(ctx)
	if err != nil {
		return eris.Wrap(err, "read the report before the load order")
	}
	if now.Born != verified.Born || now.Orders != verified.Orders {
		return protocol.Errorf(protocol.CodeChanged, "the worker has restarted or begun an order since the pieces were verified")
	}
	return nil
}

// isStaged reports whether all pieces of a version have been staged; the caller holds the lock.
func (a *Agent) isStaged(t target) bool { return a.staged[t.model] == t.version && t.version != 0 }

// clearStaged forgets that a version of a model is staged, so that the next step fetches it again.
func (a *Agent) clearStaged(model core.Model) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.staged, model)
}
