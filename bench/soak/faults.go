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

// fault is a fault or a change of the operator at a time after the start of the load.
type fault struct {
	name string
	at   time.Duration
	// lasts is the time for which it is at work.
	lasts time.Duration
	// play works until the fault has ended.
	play func(ctx context.Context)
}

// plan draws the faults of a seed. They overlap, and processes may be hit more than once.
func (f *fleet) plan(random *rand.Rand, cfg Config) []fault {
	draws := []func(*rand.Rand) fault{
		f.killProcess, f.stopEntry, f.pauseProcess, f.hangUp, f.storeDown, f.storeGate, f.workerGate, f.workerGate,
		f.crashWorker, f.loseAnswers, f.compact, f.nameVersion, f.revokeKey, f.revokeKeyBehindACut, f.revokeKeyBehindACut, f.storm,
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

// play works off the faults of a plan and returns when the last has ended.
func (f *fleet) play(ctx context.Context, faults []fault) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, next := range faults {
		time.Sleep(time.Until(begin.Add(next.at)))
		from := time.Now()
		running.Go(func() {
			next.play(ctx)
			f.judge.fault(span{from: from, to: time.Now().Add(calmAfter)})
		})
	}
	running.Wait()
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (f *fleet) processes() []*process { return append(slices.Clone(f.entries), f.agents...) }

func (f *fleet) killProcess(random *rand.Rand) fault {
	p := pick(random, f.processes())
	return fault{name: "kill " + p.name, play: func(context.Context) { p.signal(syscall.SIGKILL) }}
}

func (f *fleet) stopEntry(random *rand.Rand) fault {
	p := pick(random, f.entries)
	return fault{name: "stop " + p.name, play: func(context.Context) { p.signal(syscall.SIGTERM) }}
}

func (f *fleet) hangUp(random *rand.Rand) fault {
	p := pick(random, f.processes())
	return fault{name: "hang up " + p.name, play: func(context.Context) { p.signal(syscall.SIGHUP) }}
}

func (f *fleet) pauseProcess(random *rand.Rand) fault {
	p, lasts := pick(random, f.processes()), between(random, 200*time.Millisecond, 4*time.Second)
	return fault{name: "pause " + p.name, lasts: lasts, play: func(context.Context) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
	}}
}

func (f *fleet) storeDown(random *rand.Rand) fault {
	lasts := between(random, 300*time.Millisecond, 3*time.Second)
	return fault{name: "store down", lasts: lasts, play: func(context.Context) {
		f.store.SetUnavailable(true)
		time.Sleep(lasts)
		f.store.SetUnavailable(false)
	}}
}

func (f *fleet) storeGate(random *rand.Rand) fault {
	p := pick(random, f.processes())
	return gateFault(random, "store for "+p.name, f.storeGates[p.name])
}

func (f *fleet) workerGate(random *rand.Rand) fault {
	h := pick(random, f.workers)
	return gateFault(random, "worker "+h.name, h.gate)
}

func gateFault(random *rand.Rand, what string, g *gate) fault {
	state := pick(random, []condition{slow, oneWay, silent, reset})
	lasts := between(random, 300*time.Millisecond, 3*time.Second)
	return fault{name: fmt.Sprintf("%s condition %d", what, state), lasts: lasts, play: func(context.Context) {
		g.set(state)
		time.Sleep(lasts)
		g.set(pass)
	}}
}

func (f *fleet) crashWorker(random *rand.Rand) fault {
	h := pick(random, f.workers)
	return fault{name: "crash worker " + h.name, lasts: lapse, play: func(context.Context) { h.crash() }}
}

func (f *fleet) loseAnswers(random *rand.Rand) fault {
	lasts := between(random, 300*time.Millisecond, 2*time.Second)
	return fault{name: "lose answers", lasts: lasts, play: func(context.Context) {
		f.losing.Store(10)
		time.Sleep(lasts)
		f.losing.Store(0)
	}}
}

func (f *fleet) compact(*rand.Rand) fault {
	return fault{name: "forget history", play: func(context.Context) { f.store.CompactHistory() }}
}

func (f *fleet) nameVersion(*rand.Rand) fault {
	return fault{name: "name version", play: func(context.Context) {
		version := f.version.Add(1)
		f.store.SetTargetVersion(modelName, version)
		f.judge.name(version, time.Now())
	}}
}

func (f *fleet) revokeKey(random *rand.Rand) fault {
	// The last key stays, so that there is traffic to judge.
	key := pick(random, f.keys[:len(f.keys)-1])
	return fault{name: "revoke " + key, play: func(context.Context) {
		at := f.configure(func(c *platformtest.Configuration) {
			kept := slices.DeleteFunc(slices.Clone(c.Keys[teamName]), func(k string) bool { return k == key })
			c.Keys = map[string][]string{teamName: kept}
		})
		f.judge.revokeKey(key, at)
	}}
}

// revokeKeyBehindACut revokes a key while an entry cannot learn of it for longer than the key may be used.
func (f *fleet) revokeKeyBehindACut(random *rand.Rand) fault {
	p, state := pick(random, f.entries), pick(random, []condition{oneWay, silent, reset})
	lasts := revokeBound + between(random, time.Second, 3*time.Second)
	revoke := f.revokeKey(random)
	name := fmt.Sprintf("%s while %s has no store, condition %d", revoke.name, p.name, state)
	return fault{name: name, lasts: lasts, play: func(ctx context.Context) {
		f.storeGates[p.name].set(state)
		revoke.play(ctx)
		time.Sleep(lasts)
		f.storeGates[p.name].set(pass)
	}}
}

// storm puts many configurations in force that change nothing.
func (f *fleet) storm(*rand.Rand) fault {
	return fault{name: "storm of configurations", play: func(context.Context) {
		for range 20 {
			f.configure(func(*platformtest.Configuration) {})
			time.Sleep(20 * time.Millisecond)
		}
	}}
}
