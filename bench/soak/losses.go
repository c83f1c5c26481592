package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// evacuationBound is the time within which the platform requires an evacuation to take effect, stableWindow the time for which the
	// entries and the store must have been undisturbed.
	evacuationBound = 5 * time.Second
	stableWindow    = 3 * time.Second
	// withholdTime is the time for which the store withholds changes before it drops its history.
	withholdTime = time.Second
	// evacuationCount is the number of evacuations of a run, each of which lasts for evacuationTime.
	evacuationCount = 2
	evacuationTime  = 9 * time.Second
)

// evacuation is a period in which a failure domain is out of service, from its acknowledgement to the beginning of its return.
type evacuation struct {
	domain string
	interval
}

// evacuateRepeatedly takes failure domains out of service while the store withholds changes from watches. The store then drops its
// history, with or without resetting the connections.
func (f *fleet) evacuateRepeatedly(ctx context.Context, random *rand.Rand) {
	for range evacuationCount {
		domain := pickRandom(random, failureDomains)
		begin := time.Now()
		f.store.WithholdEvents()
		sleep(ctx, time.Duration(random.Int64N(int64(withholdTime))))
		f.takeOutOfService(domain)
		out := evacuation{domain: domain, interval: interval{from: time.Now()}}
		sleep(ctx, time.Until(begin.Add(withholdTime)))
		reset := random.IntN(2) == 0
		if reset {
			f.resetStoreLinks()
		}
		f.store.DropWithheldEvents()
		f.checker.recordFault(interval{from: begin, to: time.Now()}, true)
		sleep(ctx, time.Until(out.from.Add(evacuationTime)))
		out.to = time.Now()
		f.checker.recordEvacuation(out)
		f.returnToService(domain)
	}
}

// resetStoreLinks resets the connections to the store and lets new ones pass.
func (f *fleet) resetStoreLinks() {
	for _, proxy := range f.storeProxies {
		proxy.setCondition(reset)
		proxy.setCondition(passThrough)
	}
}

// loseAllHosts names two versions and then ends all processes and workers at once. The workers keep what is staged at them and come back
// with nothing loaded.
func (f *fleet) loseAllHosts(ctx context.Context, random *rand.Rand) {
	f.setTargetVersion(random).inject(ctx)
	sleep(ctx, randomDuration(random, 100*time.Millisecond, 3*time.Second))
	f.setTargetVersion(random).inject(ctx)
	sleep(ctx, randomDuration(random, 50*time.Millisecond, time.Second))
	begin := time.Now()
	for _, p := range f.processes() {
		p.signal(syscall.SIGKILL)
	}
	var workers sync.WaitGroup
	for _, h := range f.workers {
		workers.Go(h.losePower)
	}
	workers.Wait()
	f.checker.recordFault(interval{from: begin, to: time.Now().Add(faultRecoveryTime)}, true)
}

// losePower ends the worker and starts another one that has loaded nothing and finds what is staged.
func (h *workerHost) losePower() {
	h.mu.Lock()
	before := h.worker
	_ = h.server.Close()
	h.mu.Unlock()
	time.Sleep(restartPause)
	h.fleet.store.RemoveReplica(before.ID)
	_ = h.startAfter(before)
}

func (c *checker) recordEvacuation(e evacuation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations = append(c.evacuations, e)
}

// checkEvacuations checks that no request began in a failure domain that was out of service for longer than evacuationBound while the
// entries were undisturbed; the caller holds the lock.
func (c *checker) checkEvacuations() {
	for id, runs := range c.runs {
		for _, run := range runs {
			for _, out := range c.evacuations {
				late := run.StartedAt.After(out.from.Add(evacuationBound)) && run.StartedAt.Before(out.to)
				if late && workerDomain(run.Worker) == out.domain && noneBetween(c.disturbed, run.StartedAt.Add(-stableWindow), run.StartedAt) {
					c.addViolation("request %s began at %s, %s after failure domain %s was taken out of service",
						id, run.Worker, run.StartedAt.Sub(out.from), out.domain)
				}
			}
		}
	}
}

// workerDomain returns the failure domain of a worker by its ID, such as "agent-1-run2".
func workerDomain(id string) string {
	name, _, _ := strings.Cut(id, "-run")
	number := 0
	for _, digit := range name[strings.LastIndex(name, "-")+1:] {
		number = 10*number + int(digit-'0')
	}
	return domain(number)
}
