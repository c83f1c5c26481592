// Package soak runs real processes against stand-ins of the platform, injects faults, and checks what callers and workers
// observe against the product's guarantees.
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
	// shutdownBound, revokeBound and activateBound are the limits that the platform sets for a shutdown, the revocation of
	// a key and the activation of a version. They are shorter than in production.
	shutdownBound = 4 * time.Second
	revokeBound   = 3 * time.Second
	activateBound = 5 * time.Second
	// faultRecoveryTime is the time after the end of a fault for which it still counts as active in checks that require a
	// fault-free period.
	faultRecoveryTime = 2 * time.Second
	// quarantineBound is the time after the fifth crash on a part of prompts from which on at most quarantineSends requests with it may
	// still reach workers.
	quarantineBound  = 3 * time.Second
	quarantineAfter  = 5
	quarantineSends  = 3
	minSoundShare    = 0.5
	minSoundRequests = 20
	// crashingPromptsPeriod is the time for which such prompts are sent.
	crashingPromptsPeriod = 18 * time.Second
	// maxMemoryMB is the memory in MB of a host with each role. The platform ends a process that takes more.
	maxEntryMemoryMB, maxAgentMemoryMB = 206, 152
	// startBound bounds the time until the fleet serves most requests for the first time.
	startBound = 15 * time.Second
	// recoveryBound is the time after the last fault within which the fleet must serve most requests again.
	recoveryBound = 6 * time.Second
	// recoveryWindow is the period after recoveryBound over which the share of served requests is checked.
	recoveryWindow = 1500 * time.Millisecond
	// minServedShare is the minimum share of served requests in recoveryWindow.
	minServedShare = 0.8
)

// Config holds the settings of a run.
type Config struct {
	// Binary is the path of guavatrestled; Dir is a directory for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// LoopbackNet is the second octet of the loopback addresses of the run; concurrent runs need different values.
	LoopbackNet                            int
	Entries, Agents, PlainWorkers, Callers int
	// Faults is the number of faults, which start within FaultPeriod.
	Faults      int
	FaultPeriod time.Duration
	// CrashingPrompts makes callers send prompts on which workers crash, beside the faults.
	CrashingPrompts bool
	// Evacuations takes failure domains out of service while the store withholds changes, beside the faults.
	Evacuations bool
	// RequestLimits makes workers state request limits, beside the faults.
	RequestLimits bool
	// EndlessResponses makes a worker after the other answer without end, beside the faults.
	EndlessResponses bool
	// MalformedResponses makes a worker after the other answer with malformed responses, beside the faults.
	MalformedResponses bool
	// SuspendVerifications suspends agents while they verify staged pieces, of which one becomes corrupt then, beside the faults.
	SuspendVerifications bool
	// StandstillsAtVersions suspends agents and entries and kills entries around new target versions, beside the faults. Without faults it is
	// checked that no version is served too late at the entries that are not disturbed.
	StandstillsAtVersions bool
	// SlowCallers is the number of callers that send bodies or read responses too slowly, beside the faults.
	SlowCallers int
	// LoseAll ends all processes and workers during a rollout, after the faults.
	LoseAll bool
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		LoopbackNet: 90, Entries: 3, Agents: 4, PlainWorkers: 2, Callers: 12, Faults: 8, FaultPeriod: 5 * time.Second,
	}
}

// entryMemoryMB returns the memory in MB of the host of an entry.
func (c Config) entryMemoryMB() int {
	if c.SlowCallers > 0 {
		return slowEntryMemoryMB
	}
	return maxEntryMemoryMB
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Faults   []string
	Requests int
	// Served is the share of requests that were served.
	Served float64
	// Crashes is the number of workers that crashed on a prompt.
	Crashes int
	// PeakMemory is the largest resident size in MB of the process of each host, since its last start.
	PeakMemory map[string]int
	// Suspensions is the number of suspensions during a verification or around a version.
	Suspensions int
	// Broken lists the violated guarantees.
	Broken []string
}

// Run starts a fleet, injects the faults of cfg.Seed and checks the guarantees.
func Run(ctx context.Context, cfg Config) (Result, error) {
	c := newChecker(revokeBound, activateBound)
	f, err := startFleet(cfg, c)
	if err != nil {
		f.close()
		return Result{}, eris.Wrap(err, "start the fleet")
	}
	f.version.Store(1)
	result := Result{Seed: cfg.Seed}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	begin := time.Now()
	for number := range cfg.Callers {
		callers.Go(func() { newCaller(f, number).run(callersCtx) })
	}
	serving := f.awaitService(ctx, begin)
	if serving {
		faults := f.planFaults(rand.New(rand.NewPCG(cfg.Seed, 0)), cfg)
		for _, planned := range faults {
			result.Faults = append(result.Faults, fmt.Sprintf("%s at %s for %s", planned.name, planned.at, planned.duration))
		}
		var beside sync.WaitGroup
		if cfg.CrashingPrompts {
			beside.Go(func() { f.sendCrashingPrompts(ctx) })
		}
		if cfg.Evacuations {
			beside.Go(func() { f.evacuateRepeatedly(ctx, rand.New(rand.NewPCG(cfg.Seed, 1))) })
		}
		if cfg.RequestLimits {
			beside.Go(func() { f.limitWorkers(ctx, rand.New(rand.NewPCG(cfg.Seed, 3))) })
		}
		if cfg.EndlessResponses {
			beside.Go(func() { f.answerWithoutEnd(ctx, rand.New(rand.NewPCG(cfg.Seed, 4))) })
		}
		if cfg.MalformedResponses {
			beside.Go(func() { f.answerMalformed(ctx, rand.New(rand.NewPCG(cfg.Seed, 6))) })
		}
		if cfg.SuspendVerifications {
			beside.Go(func() { f.suspendVerifications(ctx, rand.New(rand.NewPCG(cfg.Seed, 5))) })
		}
		if cfg.StandstillsAtVersions {
			c.onlyStandstills = cfg.Faults == 0
			beside.Go(func() { f.standStillAtVersions(ctx, rand.New(rand.NewPCG(cfg.Seed, 7))) })
		}
		if cfg.SlowCallers > 0 {
			beside.Go(func() { f.callSlowly(ctx, cfg.SlowCallers) })
		}
		f.runFaults(ctx, faults)
		beside.Wait()
		if cfg.LoseAll {
			f.loseAllHosts(ctx, rand.New(rand.NewPCG(cfg.Seed, 2)))
		}
		sleep(ctx, recoveryBound+recoveryWindow)
	}
	end := time.Now()
	stopCallers()
	callers.Wait()
	result.Suspensions = int(f.suspensions.Load())
	result.PeakMemory = f.peakMemory()
	c.checkMemory(result.PeakMemory, cfg.entryMemoryMB())
	unexpectedExits := f.close()
	result.Served, result.Requests = c.servedSince(begin)
	result.Crashes = c.crashCount()
	result.Broken = append(c.check(), unexpectedExits...)
	if share, count := c.servedSince(end.Add(-recoveryWindow)); !serving {
		result.Broken = append(result.Broken, "the fleet did not serve requests in time after its start")
	} else if share < minServedShare {
		result.Broken = append(result.Broken, fmt.Sprintf("only %.2f of %d requests were served %s after the last fault", share, count, recoveryBound))
	}
	return result, ctx.Err()
}

// awaitService waits until the share of served requests exceeds minServedShare; it returns false after startBound.
func (f *fleet) awaitService(ctx context.Context, begin time.Time) bool {
	for time.Since(begin) < startBound && ctx.Err() == nil {
		sleep(ctx, time.Second)
		if share, count := f.checker.servedSince(time.Now().Add(-time.Second)); count > 0 && share > minServedShare {
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
