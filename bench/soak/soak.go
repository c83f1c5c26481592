// Package soak runs real processes between stand-ins of the platform while faults hit them from outside, and checks what
// callers and workers see against what the product promises.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// shutdownBound, revokeBound and activateBound are bounds of the platform, shorter than usual.
	shutdownBound = 4 * time.Second
	revokeBound   = 3 * time.Second
	activateBound = 5 * time.Second
	// calmAfter is the time after a fault in which bounds that ask for calm do not hold.
	calmAfter = 2 * time.Second
	// startBound is the time that a fleet has to serve for the first time.
	startBound = 15 * time.Second
	// recovery is the time after the last fault after which most requests are served again.
	recovery = 6 * time.Second
	// watchRecovery is the time for which that is watched.
	watchRecovery = 1500 * time.Millisecond
	// leastServed is the share of requests that must be served then.
	leastServed = 0.8
)

// Config holds the settings of a run.
type Config struct {
	// Binary is the path of guavatrestled, Dir a directory for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// LoopbackNet is the second number of the loopback addresses that the run uses, so that runs can go on at once.
	LoopbackNet                            int
	Entries, Agents, PlainWorkers, Callers int
	// Faults is the number of faults, which begin within Trouble.
	Faults      int
	FaultPeriod time.Duration
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{
		LoopbackNet: 90, Entries: 3, Agents: 4, PlainWorkers: 2, Callers: 12, Faults: 8, FaultPeriod: 5 * time.Second,
	}
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Faults   []string
	Requests int
	// Served is the share of all requests that were served.
	Served float64
	// Broken lists the promises that were broken.
	Broken []string
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	j := newJudge(revokeBound, activateBound)
	f, err := startFleet(cfg, j)
	if err != nil {
		f.close()
		return Result{}, eris.Wrap(err, "start the fleet")
	}
	f.version.Store(1)
	result := Result{Seed: cfg.Seed}
	work, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	begin := time.Now()
	for name := range cfg.Callers {
		callers.Go(func() { newCaller(f, name).work(work) })
	}
	serving := f.awaitService(ctx, begin)
	if serving {
		faults := f.plan(rand.New(rand.NewPCG(cfg.Seed, 0)), cfg)
		for _, planned := range faults {
			result.Faults = append(result.Faults, fmt.Sprintf("%s at %s for %s", planned.name, planned.at, planned.lasts))
		}
		f.play(ctx, faults)
		sleep(ctx, recovery+watchRecovery)
	}
	end := time.Now()
	stop()
	callers.Wait()
	unasked := f.close()
	result.Served, result.Requests = j.servedSince(begin)
	result.Broken = append(j.verdict(), unasked...)
	if share, count := j.servedSince(end.Add(-watchRecovery)); !serving {
		result.Broken = append(result.Broken, "the fleet did not begin to serve")
	} else if share < leastServed {
		result.Broken = append(result.Broken, fmt.Sprintf("%.2f of %d requests served %s after the last fault", share, count, recovery))
	}
	return result, ctx.Err()
}

// awaitService waits until most requests are served.
func (f *fleet) awaitService(ctx context.Context, begin time.Time) bool {
	for time.Since(begin) < startBound && ctx.Err() == nil {
		sleep(ctx, time.Second)
		if share, count := f.judge.servedSince(time.Now().Add(-time.Second)); count > 0 && share > leastServed {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
