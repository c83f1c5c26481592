package staging

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
)

// orderLoad verifies the staged pieces, notifies entry hosts and orders the worker to load the version. An order that was
// not answered is sent again without notice: the worker serves until it accepts one of the two.
func (a *Agent) orderLoad(ctx context.Context, t target, report worker.Report) error {
	if wait := a.workerTooYoungFor(); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	firstReadAt := a.Now()
	if err := a.verifyStaged(ctx, t); err != nil {
		return err
	}
	verifiedAt := a.Now()
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "took_ms": verifiedAt.Sub(firstReadAt).Milliseconds(),
	}).Info("staged pieces verified")
	order := loadOrder{target: t, orders: report.Orders}
	repeated := a.isUnanswered(order)
	if !repeated || a.isAdopted(order) {
		a.announceLoad(t)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(a.Config.LoadNoticeDelay):
		}
	}
	if age := a.Now().Sub(verifiedAt); age > a.Config.MaxVerificationAge {
		a.setLoading(false)
		return protocol.Errorf(protocol.CodeExpired, "verification of version %d is %v old", t.version, age)
	}
	if err := a.confirmWorker(ctx, report); err != nil {
		a.setLoading(false)
		return err
	}
	return a.sendOrder(ctx, order, report, repeated, firstReadAt)
}

// workerTooYoungFor returns the time until the worker's process has been known for MinWorkerAge.
func (a *Agent) workerTooYoungFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Config.MinWorkerAge - a.Now().Sub(a.workerSeenAt)
}

// sendOrder sends a load order and notes its outcome. firstReadAt is the start of the oldest read of a staged piece.
func (a *Agent) sendOrder(ctx context.Context, order loadOrder, report worker.Report, repeated bool, firstReadAt time.Time) error {
	t := order.target
	fields := logrus.Fields{
		"model": t.model, "version": t.version, "expected_orders": order.orders, "running": report.Running,
		"waiting": report.Waiting, "repeated": repeated, "oldest_read_age_ms": a.Now().Sub(firstReadAt).Milliseconds(),
	}
	a.Log.WithFields(fields).Info("load order sent")
	a.beginOrder(order)
	callCtx, cancel := context.WithTimeout(ctx, a.Config.OrderTimeout)
	defer cancel()
	sentAt := a.Now()
	err := a.Worker.Load(callCtx, worker.LoadOrder{
		Model: t.model, Version: t.version, ExpectedOrders: order.orders, FencingToken: t.version,
	})
	a.endOrder(order, err, repeated)
	fields["took_ms"] = a.Now().Sub(sentAt).Milliseconds()
	if err != nil {
		a.Log.WithFields(fields).WithField("code", protocol.CodeOf(err)).Warn("load order failed")
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

// verifyStaged reads back every staged piece, because staged data may become corrupt, and stages again those that do
// not match their digest.
func (a *Agent) verifyStaged(ctx context.Context, t target) error {
	digests, ok := a.pieces.digests(t)
	if !ok {
		a.clearStaged()
		return protocol.Errorf(protocol.CodeChanged, "pieces of version %d are not held", t.version)
	}
	for index, digest := range digests {
		data, err := a.readStaged(ctx, t.model, index)
		if err == nil && digest.Matches(data) {
			continue
		}
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			return err
		}
		cached, ok := a.pieces.get(t, index)
		if !ok {
			a.clearStaged()
			return protocol.Errorf(protocol.CodeChanged, "piece %d of version %d is not held", index, t.version)
		}
		varPiecesRestaged.Add(1)
		if err := a.stage(ctx, t, index, cached); err != nil {
			return err
		}
	}
	return nil
}

// clearStaged forgets that a version is staged, so that the next step fetches it again.
func (a *Agent) clearStaged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.staged = target{}
}
