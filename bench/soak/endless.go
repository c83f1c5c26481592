package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// endlessRounds is how often a worker answers without end, endlessTime for how long.
	endlessRounds = 6
	endlessTime   = 2500 * time.Millisecond
	// endlessPause is the time between two such periods.
	endlessPause = 500 * time.Millisecond
	// minServedBesideEndless is the share of requests that must be served while one of several workers answers without end.
	minServedBesideEndless = 0.5
)

// endlessResponses tells which responses of a worker do not end, and how.
type endlessResponses struct {
	way platformtest.Endless
	// toAgent is true if the responses to the agent don't end, such as reports and staged pieces, and false if those to requests don't.
	toAgent bool
}

func (h *workerHost) endlessWay(path string) platformtest.Endless {
	if endless := h.endless.Load(); endless != nil && endless.toAgent == platformtest.IsAgentCall(path) {
		return endless.way
	}
	return platformtest.EndlessNone
}

// answerWithoutEnd makes all engines send an event without end, one engine answer the calls of its agent without end while a new version
// is wanted, so that the agent reads staged pieces, and one worker answer requests without end, in turn.
func (f *fleet) answerWithoutEnd(ctx context.Context, random *rand.Rand) {
	engines := slices.DeleteFunc(slices.Clone(f.workers), func(h *workerHost) bool { return h.service != engineName })
	for round := range endlessRounds {
		endless := endlessResponses{way: pickRandom(random, platformtest.EndlessWays())}
		var faulty []*workerHost
		switch round % 3 {
		case 0:
			faulty, endless.way = engines, platformtest.EndlessEvent
		case 1:
			faulty, endless.toAgent = []*workerHost{pickRandom(random, engines)}, true
			f.setTargetVersion(random).inject(ctx)
		default:
			faulty = []*workerHost{pickRandom(random, f.workers)}
		}
		period := interval{from: time.Now()}
		for _, h := range faulty {
			h.endless.Store(&endless)
		}
		sleep(ctx, endlessTime)
		for _, h := range faulty {
			h.endless.Store(nil)
		}
		period.to = time.Now()
		if len(faulty) == 1 {
			f.checker.recordEndless(period)
		} else {
			f.checker.recordFault(interval{from: period.from, to: period.to.Add(faultRecoveryTime)}, false)
		}
		sleep(ctx, endlessPause)
	}
}

func (c *checker) recordEndless(period interval) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endless = append(c.endless, period)
}

// checkEndlessPeriods checks that most requests were served while one of several workers answered without end; the caller holds the lock.
func (c *checker) checkEndlessPeriods() {
	for _, period := range c.endless {
		if !noneBetween(c.faults, period.from, period.to) {
			continue
		}
		served, all := c.countServed(func(s sentRequest) bool { return !s.at.Before(period.from) && !s.at.After(period.to) })
		if float64(served) < minServedBesideEndless*float64(all) {
			c.addViolation("only %d of %d requests were served while one worker answered without end", served, all)
		}
	}
}

// peakMemory returns the largest resident size in MB of each process since its last start.
func (f *fleet) peakMemory() map[string]int {
	peaks := make(map[string]int)
	for _, p := range f.processes() {
		if peak, err := p.peakMemory(); err == nil {
			peaks[p.name] = peak
		}
	}
	return peaks
}

// peakMemory returns the largest resident size of the process in MB.
func (p *process) peakMemory() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes >> 10, err
		}
	}
	return 0, os.ErrNotExist
}

// checkMemory checks that no process took more memory than its host has.
func (c *checker) checkMemory(peaks map[string]int, entryLimit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, peak := range peaks {
		limit := maxAgentMemoryMB
		if strings.HasPrefix(name, "entry") {
			limit = entryLimit
		}
		if peak > limit {
			c.addViolation("the process of %s took %d MB, its host has %d", name, peak, limit)
		}
	}
}
