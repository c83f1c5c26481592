package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// standstillRounds is the number of versions around which processes are suspended and killed.
	standstillRounds = 2
	// maxStandstill is shorter than the time after which the registration of a silent replica expires.
	minStandstill, maxStandstill = 1500 * time.Millisecond, 3500 * time.Millisecond
	// settleBound is the time after a start or a suspension from which on an entry must keep the activation of versions again.
	settleBound = 3 * time.Second
	// standstillRound is the time from a version to the next one.
	standstillRound = activateBound + settleBound
)

// standStillAtVersions sets new target versions and, around each of them, suspends agents and entries once or twice and kills entries, so
// that news of the version is read late and told on to processes that start.
func (f *fleet) standStillAtVersions(ctx context.Context, random *rand.Rand) {
	for range standstillRounds {
		begin := time.Now()
		var running sync.WaitGroup
		for _, p := range f.agents {
			if random.IntN(3) == 0 {
				continue
			}
			pauses := []time.Duration{randomDuration(random, 0, settleBound/3)}
			if random.IntN(2) == 0 {
				pauses = append(pauses, randomDuration(random, 100*time.Millisecond, time.Second))
			}
			lengths := []time.Duration{randomDuration(random, minStandstill, maxStandstill), randomDuration(random, minStandstill, maxStandstill)}
			running.Go(func() { f.suspendRepeatedly(ctx, p, pauses, lengths) })
		}
		for number, p := range f.entries {
			at, length := randomDuration(random, 0, settleBound/2), randomDuration(random, minStandstill, maxStandstill)
			kill := randomDuration(random, settleBound/2, standstillRound/2)
			switch random.IntN(4) {
			case 0:
				running.Go(func() {
					f.suspendRepeatedly(ctx, p, []time.Duration{at}, []time.Duration{length})
					f.checker.recordDisturbedEntry(hostPort(f.ip(1, number), callersPort), time.Now())
				})
			case 1, 2:
				running.Go(func() {
					sleep(ctx, kill)
					p.signal(syscall.SIGKILL)
					f.checker.recordDisturbedEntry(hostPort(f.ip(1, number), callersPort), time.Now().Add(restartPause))
				})
			}
		}
		sleep(ctx, settleBound/6)
		f.setTargetVersion(random).inject(ctx)
		running.Wait()
		sleep(ctx, time.Until(begin.Add(standstillRound)))
		f.checker.recordFault(interval{from: begin, to: time.Now().Add(faultRecoveryTime)}, true)
	}
}

// suspendRepeatedly suspends a process for each of the lengths after a pause that precedes it.
func (f *fleet) suspendRepeatedly(ctx context.Context, p *process, pauses, lengths []time.Duration) {
	for i, pause := range pauses {
		sleep(ctx, pause)
		p.signal(syscall.SIGSTOP)
		time.Sleep(lengths[i])
		p.signal(syscall.SIGCONT)
		f.suspensions.Add(1)
	}
}

// recordDisturbedEntry records that an entry was disturbed until a time.
func (c *checker) recordDisturbedEntry(entry string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbedEntries[entry] = append(c.disturbedEntries[entry], until)
}

// checkStandstillVersion adds a violation if a request began on an older version too late at an entry that had been undisturbed for long
// enough, while only processes were disturbed.
func (c *checker) checkStandstillVersion(s sentRequest, version int64, began time.Time, late time.Duration) {
	if !c.onlyStandstills {
		return
	}
	for _, until := range c.disturbedEntries[s.entry] {
		if began.Before(until.Add(settleBound)) && began.After(until.Add(-maxStandstill)) {
			return
		}
	}
	c.addViolation("request %s began on a version before %d at an undisturbed entry, %s after that became the target", s.id, version, late)
}
