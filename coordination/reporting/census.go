package reporting

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// settleTime is the time for which a lower count doesn't replace a higher one: a registrar that has just started, or that some hosts
	// don't reach, counts too few.
	settleTime = 3 * time.Second
	// countLifetime is the time for which a count is used. Hosts of a failure domain that is cut off may still send to replicas.
	countLifetime = 15 * time.Second
	// maxDomains bounds the failure domains that are counted, since anyone on the network can name some.
	maxDomains = 64
)

// Count is the number of entry hosts of a failure domain at a time.
type Count struct {
	FailureDomain core.FailureDomain
	Hosts         int
	At            time.Time
}

// Census holds the latest number of entry hosts of each failure domain.
type Census struct {
	counts map[core.FailureDomain]Count
}

// NewCensus returns an empty Census.
func NewCensus() *Census { return &Census{counts: make(map[core.FailureDomain]Count)} }

// Learn records a count. An older count than the known one is ignored, and a lower one for settleTime.
func (c *Census) Learn(now time.Time, count Count) {
	known, ok := c.counts[count.FailureDomain]
	switch {
	case count.Hosts <= 0, count.At.After(now), now.Sub(count.At) > countLifetime:
		return
	case !ok && len(c.counts) >= maxDomains:
		return
	case ok && !count.At.After(known.At):
		return
	case ok && count.Hosts < known.Hosts && count.At.Sub(known.At) < settleTime:
		return
	}
	c.counts[count.FailureDomain] = count
}

// Counts returns the counts that are recent enough, by failure domain.
func (c *Census) Counts(now time.Time) []Count {
	maps.DeleteFunc(c.counts, func(_ core.FailureDomain, count Count) bool { return now.Sub(count.At) > countLifetime })
	list := make([]Count, 0, len(c.counts))
	for _, domain := range slices.Sorted(maps.Keys(c.counts)) {
		list = append(list, c.counts[domain])
	}
	return list
}

// Total returns the number of entry hosts in all failure domains, 0 if unknown.
func (c *Census) Total(now time.Time) int {
	total := 0
	for _, count := range c.Counts(now) {
		total += count.Hosts
	}
	return total
}
