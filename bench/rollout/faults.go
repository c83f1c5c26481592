package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// startFaults starts to inject the faults of the run. It returns a function that ends them and waits for their end.
func (r *run) startFaults(ctx context.Context) func() error {
	ctx, cancel := context.WithCancel(ctx)
	var err error
	var wg sync.WaitGroup
	wg.Go(func() { err = r.injectFaults(ctx) })
	return func() error {
		cancel()
		wg.Wait()
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}

// injectFaults waits until the origin has sent half a copy of the model, then kills agents and takes the origin down.
func (r *run) injectFaults(ctx context.Context) error {
	if r.cfg.KilledAgents == 0 && r.cfg.OriginOutage == 0 {
		return nil
	}
	err := cluster.WaitFor(ctx, func() bool { return 2*r.cluster.Origin.BytesSent() >= r.cfg.ModelBytes })
	if err != nil {
		return err
	}
	var outage sync.WaitGroup
	defer outage.Wait()
	outage.Go(func() { r.takeOriginDown(ctx) })
	return cluster.ForEachParallel(min(r.cfg.KilledAgents, r.cfg.Agents), func(i int) error { return r.replaceAgent(ctx, i) })
}

// takeOriginDown takes the origin down for the configured time.
func (r *run) takeOriginDown(ctx context.Context) {
	if r.cfg.OriginOutage == 0 {
		return
	}
	r.cluster.Origin.SetOutage(true)
	defer r.cluster.Origin.SetOutage(false)
	timer := time.NewTimer(r.cfg.OriginOutage)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replaceAgent kills agent number i and starts another one with a new host ID and a new engine.
func (r *run) replaceAgent(ctx context.Context, i int) error {
	r.mu.Lock()
	old := r.agents[i]
	r.killed = append(r.killed, old)
	r.mu.Unlock()
	if err := old.Signal(syscall.SIGKILL); err != nil {
		return eris.Wrapf(err, "kill %s", old.Host.ID)
	}
	r.cluster.HostList.Remove(old.Host.ID)
	return r.startAgent(ctx, i, fmt.Sprintf("agent-%d-replaced", i))
}

// runningAgents returns the agents that have not been killed.
func (r *run) runningAgents() []*cluster.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*cluster.Process
	for _, agent := range r.agents {
		if !slices.Contains(r.killed, agent) {
			running = append(running, agent)
		}
	}
	return running
}
