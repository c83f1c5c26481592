package soak

import (
	"net/http"
	"slices"
	"time"
)

func (c *checker) recordCrash(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, at)
}

func (c *checker) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// checkQuarantine checks that prompts on which workers crash are kept from them, and that others are served as before; the caller
// holds the lock.
func (c *checker) checkQuarantine() {
	if len(c.crashes) < quarantineAfter {
		return
	}
	slices.SortFunc(c.crashes, time.Time.Compare)
	since := c.crashes[quarantineAfter-1].Add(quarantineBound)
	reached := 0
	for _, runs := range c.runs {
		for _, run := range runs {
			// An entry that was disturbed may not know of the crashes yet.
			if crashesOn(run.Prompt) && run.StartedAt.After(since) && noneBetween(c.disturbed, run.StartedAt.Add(-quarantineBound), run.StartedAt) {
				reached++
			}
		}
	}
	if reached > quarantineSends {
		c.addViolation("%d requests with a part on which %d workers had crashed reached workers more than %s later; %d crashed in all",
			reached, quarantineAfter, quarantineBound, len(c.crashes))
	}
	c.checkSoundPrompts(since.Add(quarantineBound))
}

// checkSoundPrompts checks that requests which share their team and the first part of their prompts with those on which workers crash
// are served from a time on at least minSoundShare as often as before the first crash; the caller holds the lock.
func (c *checker) checkSoundPrompts(since time.Time) {
	before, countBefore := c.soundStreams(time.Time{}, c.crashes[0].Add(-callerDeadline))
	after, countAfter := c.soundStreams(since, time.Now())
	if countBefore >= minSoundRequests && countAfter >= minSoundRequests && after < minSoundShare*before {
		c.addViolation("sound requests that share the first part of their prompts with those on which workers crash: %.2f of %d were served, %.2f of %d before",
			after, countAfter, before, countBefore)
	}
}

// soundStreams returns the share of served ones among the sound streams sent between two times while entries were not disturbed, and their
// number; the caller holds the lock.
func (c *checker) soundStreams(from, to time.Time) (float64, int) {
	served, all := 0, 0
	for id, s := range c.requests {
		_, revoked := c.revoked[s.key]
		if s.kind != kindStream || slices.Contains(s.promptParts, crashingPart) || revoked {
			continue
		}
		if s.at.Before(from) || s.at.After(to) || !noneBetween(c.disturbed, s.at.Add(-quarantineBound), s.at) {
			continue
		}
		all++
		if response := c.responses[id]; response.status == http.StatusOK && response.complete {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}
