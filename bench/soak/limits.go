package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/platform/platformtest"
)

const (
	// limitTime is the time for which a worker states a request limit, limitRounds how often two workers do.
	limitTime   = 9 * time.Second
	limitRounds = 2
	// limitHeard is the time within which all undisturbed entries have heard of a limit.
	limitHeard = time.Second
	// In each limitWindow a worker may get limitFactor times what its limit allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// lowestLimit and highestLimit bound the limits in requests per second.
	lowestLimit, highestLimit = 0.5, 4.0
)

// limitedPeriod is a period in which a worker's process states a request limit.
type limitedPeriod struct {
	worker    string
	perSecond float64
	interval
}

// limitWorkers makes an engine and a plain worker state request limits, some of them only in responses and not in reports.
func (f *fleet) limitWorkers(ctx context.Context, random *rand.Rand) {
	for range limitRounds {
		var limited []*workerHost
		for _, service := range []string{engineName, plainName} {
			hosts := slices.DeleteFunc(slices.Clone(f.workers), func(h *workerHost) bool { return h.service != service })
			limited = append(limited, pickRandom(random, hosts))
		}
		var periods []limitedPeriod
		for _, h := range limited {
			perSecond := lowestLimit + random.Float64()*(highestLimit-lowestLimit)
			periods = append(periods, limitedPeriod{worker: h.workerID(), perSecond: perSecond, interval: interval{from: time.Now()}})
			h.limit.Store(&platformtest.RequestLimit{Value: strconv.FormatFloat(perSecond, 'f', 3, 64), InReports: random.IntN(2) == 0})
		}
		sleep(ctx, limitTime)
		for i, h := range limited {
			periods[i].to = time.Now()
			h.limit.Store(nil)
		}
		f.checker.recordLimits(periods)
	}
}

func (h *workerHost) workerID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.worker.ID
}

func (c *checker) recordLimits(periods []limitedPeriod) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = append(c.limited, periods...)
}

// checkLimits checks that workers got no more requests than the limits that they stated allow, summed over all entries; the caller holds
// the lock.
func (c *checker) checkLimits() {
	for _, period := range c.limited {
		runs := c.runsOf(period.worker)
		for first, from := range runs {
			to := from.Add(limitWindow)
			if from.Before(period.from.Add(limitHeard)) || to.After(period.to) || !noneBetween(c.disturbed, from.Add(-limitWindow), to) {
				continue
			}
			count := 0
			for _, at := range runs[first:] {
				if at.Before(to) {
					count++
				}
			}
			if float64(count) > limitFactor*limitWindow.Seconds()*period.perSecond+limitSlack {
				c.addViolation("worker %s, which stated a limit of %.2f requests a second, ran %d in %s", period.worker, period.perSecond, count, limitWindow)
				break
			}
		}
	}
}

// runsOf returns the times of the requests that a worker ran, in order; the caller holds the lock.
func (c *checker) runsOf(worker string) []time.Time {
	var times []time.Time
	for _, runs := range c.runs {
		for _, run := range runs {
			if run.Worker == worker {
				times = append(times, run.StartedAt)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
