package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

// fault is an injected failure or an operator's change.
type fault struct {
	name string
	// at is the start of the fault, as the time since the fleet began to serve.
	at time.Duration
	// duration is how long the fault is active.
	duration time.Duration
	// disturbsEntries is true if entries, or the store that they read, don't work as usual.
	disturbsEntries bool
	// inject applies the fault and returns when it has ended.
	inject func(ctx context.Context)
}

// planFaults draws the faults of a run. Faults may overlap, and a process may be affected more than once.
func (f *fleet) planFaults(random *rand.Rand, cfg Config) []fault {
	draws := []func(*rand.Rand) fault{
		f.killProcess, f.stopEntry, f.pauseProcess, f.sendHangup, f.makeStoreUnavailable, f.degradeStoreLink,
		f.degradeWorkerLink, f.degradeWorkerLink, f.crashWorker, f.loseWorkerResponses, f.compactStore,
		f.setTargetVersion, f.revokeKey, f.revokeKeyDuringStoreLoss, f.revokeKeyDuringStoreLoss,
		f.repeatConfiguration, f.restoreStore, f.delayOrders,
	}
	var faults []fault
	for range cfg.Faults {
		drawn := draws[random.IntN(len(draws))](random)
		drawn.at = time.Duration(random.Int64N(int64(cfg.FaultPeriod)))
		faults = append(faults, drawn)
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// runFaults starts each fault at its time and returns when the last has ended.
func (f *fleet) runFaults(ctx context.Context, faults []fault) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, next := range faults {
		time.Sleep(time.Until(begin.Add(next.at)))
		from := time.Now()
		running.Go(func() {
			next.inject(ctx)
			active := interval{from: from, to: time.Now().Add(faultRecoveryTime)}
			f.checker.recordFault(active, next.disturbsEntries)
		})
	}
	running.Wait()
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

func pickRandom[T any](random *rand.Rand, items []T) T { return items[random.IntN(len(items))] }

func (f *fleet) isEntry(p *process) bool { return slices.Contains(f.entries, p) }

func (f *fleet) processes() []*process { return append(slices.Clone(f.entries), f.agents...) }

func (f *fleet) killProcess(random *rand.Rand) fault {
	p := pickRandom(random, f.processes())
	return fault{name: "kill " + p.name, disturbsEntries: f.isEntry(p), inject: func(context.Context) { p.signal(syscall.SIGKILL) }}
}

func (f *fleet) stopEntry(random *rand.Rand) fault {
	p := pickRandom(random, f.entries)
	return fault{name: "stop " + p.name, disturbsEntries: true, inject: func(context.Context) { p.signal(syscall.SIGTERM) }}
}

func (f *fleet) sendHangup(random *rand.Rand) fault {
	p := pickRandom(random, f.processes())
	return fault{name: "SIGHUP " + p.name, inject: func(context.Context) { p.signal(syscall.SIGHUP) }}
}

func (f *fleet) pauseProcess(random *rand.Rand) fault {
	p, duration := pickRandom(random, f.processes()), randomDuration(random, 200*time.Millisecond, 4*time.Second)
	return fault{name: "pause " + p.name, duration: duration, disturbsEntries: f.isEntry(p), inject: func(context.Context) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	}}
}

func (f *fleet) makeStoreUnavailable(random *rand.Rand) fault {
	duration := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	return fault{name: "store unavailable", duration: duration, disturbsEntries: true, inject: func(context.Context) {
		f.store.SetUnavailable(true)
		time.Sleep(duration)
		f.store.SetUnavailable(false)
	}}
}

func (f *fleet) degradeStoreLink(random *rand.Rand) fault {
	p := pickRandom(random, f.processes())
	drawn := linkFault(random, "store for "+p.name, f.storeProxies[p.name])
	drawn.disturbsEntries = f.isEntry(p)
	return drawn
}

func (f *fleet) degradeWorkerLink(random *rand.Rand) fault {
	h := pickRandom(random, f.workers)
	return linkFault(random, "worker "+h.name, h.proxy)
}

func linkFault(random *rand.Rand, link string, proxy *faultProxy) fault {
	applied := pickRandom(random, []condition{slow, dropResponses, dropAll, reset})
	duration := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	return fault{name: fmt.Sprintf("%s condition %d", link, applied), duration: duration, inject: func(context.Context) {
		proxy.setCondition(applied)
		time.Sleep(duration)
		proxy.setCondition(passThrough)
	}}
}

func (f *fleet) crashWorker(random *rand.Rand) fault {
	h := pickRandom(random, f.workers)
	return fault{name: "crash worker " + h.name, duration: registrationExpiry, inject: func(context.Context) { h.crash(0) }}
}

// sendCrashingPrompts makes callers send prompts on which workers crash. It does not count as a fault in the checks, which apply to it.
func (f *fleet) sendCrashingPrompts(ctx context.Context) {
	f.crashingPrompts.Store(true)
	sleep(ctx, crashingPromptsPeriod)
	f.crashingPrompts.Store(false)
}

func (f *fleet) loseWorkerResponses(random *rand.Rand) fault {
	duration := randomDuration(random, 300*time.Millisecond, 2*time.Second)
	return fault{name: "lose responses", duration: duration, inject: func(context.Context) {
		f.responseLossPercent.Store(10)
		time.Sleep(duration)
		f.responseLossPercent.Store(0)
	}}
}

// delayOrders sets two target versions while workers deal with load orders late, so that an order may be carried out when the second
// version is being staged.
func (f *fleet) delayOrders(random *rand.Rand) fault {
	between := randomDuration(random, 2500*time.Millisecond, 4*time.Second)
	longest := randomDuration(random, 2*time.Second, 6*time.Second)
	name := fmt.Sprintf("delay orders by up to %s, versions %s apart", longest, between)
	return fault{name: name, duration: between + longest, inject: func(ctx context.Context) {
		f.longestOrderDelay.Store(int64(longest))
		f.setTargetVersion(random).inject(ctx)
		time.Sleep(between)
		f.setTargetVersion(random).inject(ctx)
		time.Sleep(longest)
		f.longestOrderDelay.Store(0)
	}}
}

func (f *fleet) compactStore(*rand.Rand) fault {
	return fault{name: "compact history", disturbsEntries: true, inject: func(context.Context) { f.store.CompactHistory() }}
}

// restoreStore makes the store unavailable for a moment and brings it back from an older copy. Soon afterwards the operator and the
// workers write again what it lost.
func (f *fleet) restoreStore(random *rand.Rand) fault {
	outage := randomDuration(random, 100*time.Millisecond, time.Second)
	lost := randomDuration(random, 500*time.Millisecond, 5*time.Second)
	rewrite := randomDuration(random, 100*time.Millisecond, 1500*time.Millisecond)
	name := fmt.Sprintf("restore store from a copy %s old", lost)
	return fault{name: name, duration: outage + rewrite, disturbsEntries: true, inject: func(context.Context) {
		f.store.SetUnavailable(true)
		f.store.Restore(time.Now().Add(-lost))
		time.Sleep(outage)
		f.store.SetUnavailable(false)
		time.Sleep(rewrite)
		f.rewriteStore()
	}}
}

func (f *fleet) setTargetVersion(*rand.Rand) fault {
	return fault{name: "set target version", inject: func(context.Context) {
		version := f.version.Add(1)
		f.store.SetTargetVersion(modelName, version)
		f.checker.recordTargetVersion(version, time.Now())
	}}
}

func (f *fleet) revokeKey(random *rand.Rand) fault {
	// The last key is never revoked, so that some requests remain valid.
	key := pickRandom(random, f.keys[:len(f.keys)-1])
	return fault{name: "revoke " + key, inject: func(context.Context) {
		at := f.configure(func(c *platformtest.Configuration) {
			kept := slices.DeleteFunc(slices.Clone(c.Keys[teamName]), func(k string) bool { return k == key })
			c.Keys = map[string][]string{teamName: kept}
		})
		f.checker.recordRevocation(key, at)
	}}
}

// revokeKeyDuringStoreLoss revokes a key while an entry has no working connection to the store, which lasts longer than
// revokeBound.
func (f *fleet) revokeKeyDuringStoreLoss(random *rand.Rand) fault {
	p, applied := pickRandom(random, f.entries), pickRandom(random, []condition{dropResponses, dropAll, reset})
	duration := revokeBound + randomDuration(random, time.Second, 3*time.Second)
	revoke := f.revokeKey(random)
	name := fmt.Sprintf("%s while %s has no connection to the store, condition %d", revoke.name, p.name, applied)
	return fault{name: name, duration: duration, disturbsEntries: true, inject: func(ctx context.Context) {
		f.storeProxies[p.name].setCondition(applied)
		revoke.inject(ctx)
		time.Sleep(duration)
		f.storeProxies[p.name].setCondition(passThrough)
	}}
}

// repeatConfiguration writes the same configuration many times under new versions.
func (f *fleet) repeatConfiguration(*rand.Rand) fault {
	return fault{name: "repeat configuration", inject: func(context.Context) {
		for range 20 {
			f.configure(func(*platformtest.Configuration) {})
			time.Sleep(20 * time.Millisecond)
		}
	}}
}
