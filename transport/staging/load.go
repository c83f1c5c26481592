package staging

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
)

// load checks what the worker has staged and orders it to load.
func (a *Agent) load(ctx context.Context, t target, report worker.Report) error {
	if err := a.verify(ctx, t); err != nil {
		return err
	}
	a.announce(t)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(a.Config.LoadNoticeDelay):
	}
	call, cancel := context.WithTimeout(ctx, a.Config.OrderTimeout)
	defer cancel()
	err := a.Worker.Load(call, worker.LoadOrder{
		Model: t.model, Version: t.version, ExpectedOrders: report.Orders, FencingToken: t.version,
	})
	varLoads.Add(1)
	a.mu.Lock()
	a.ordered, a.accepted = a.Now(), target{}
	if err == nil {
		a.accepted = t
	}
	a.mu.Unlock()
	if err != nil {
		varLoadFaults.Add(1)
		a.setLoading(false)
		return eris.Wrapf(err, "order version %d of %s", t.version, t.model)
	}
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "running": report.Running, "waiting": report.Waiting,
	}).Info("load ordered")
	return nil
}

// verify reads back every staged piece, because staged data may turn bad, and stages again what does not match.
func (a *Agent) verify(ctx context.Context, t target) error {
	digests, ok := a.pieces.digests(t)
	if !ok {
		a.forget()
		return protocol.Errorf(protocol.CodeChanged, "pieces of version %d are not held", t.version)
	}
	for index, digest := range digests {
		data, err := a.staged(ctx, t.model, index)
		if err == nil && digest.Matches(data) {
			continue
		}
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			return err
		}
		held, ok := a.pieces.get(t, index)
		if !ok {
			a.forget()
			return protocol.Errorf(protocol.CodeChanged, "piece %d of version %d is not held", index, t.version)
		}
		varRestaged.Add(1)
		if err := a.stage(ctx, t.model, index, held); err != nil {
			return err
		}
	}
	return nil
}

// forget makes the agent fetch the version again.
func (a *Agent) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = target{}
}
