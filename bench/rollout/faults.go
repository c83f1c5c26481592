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

// startFaults begins the faults of the run and returns a function that ends and waits for them.
func (r *run) startFaults(ctx context.Context) func() error {
	ctx, cancel := context.WithCancel(ctx)
	var err error
	var wg sync.WaitGroup
	wg.Go(func() { err = r.faults(ctx) })
	return func() error {
		cancel()
		wg.Wait()
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}

// faults waits until the origin has sent half a copy and lets hosts and the origin fail.
func (r *run) faults(ctx context.Context) error {
	if r.cfg.KilledAgents == 0 && r.cfg.OriginOutage == 0 {
		return nil
	}
	err := cluster.WaitFor(ctx, func() bool { return 2*r.cluster.Origin.BytesSent() >= r.cfg.ModelBytes })
	if err != nil {
		return err
	}
	var outage sync.WaitGroup
	defer outage.Wait()
	outage.Go(func() { r.outage(ctx) })
	return cluster.ForEachParallel(min(r.cfg.KilledAgents, r.cfg.Agents), func(i int) error { return r.replace(ctx, i) })
}

func (r *run) outage(ctx context.Context) {
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

// replace kills the agent at place i and starts a fresh one under a new host ID, with a fresh engine.
func (r *run) replace(ctx context.Context, i int) error {
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

// running returns the agents that have not been killed.
func (r *run) running() []*cluster.Process {
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
