// Package rolloutsim plays the transfer and the loads of model versions over limited links in virtual time. Hosts decide with
// coordination/transfer and coordination/rollout; links, the origin, workers and the delays of agents are modeled.
package rolloutsim

import (
	"container/heap"
	"slices"
	"time"
)

// step is the resolution of virtual time. A piece takes at least 27 ms on a host's link.
const step = time.Millisecond

// link is a direction of a link whose bandwidth all flows share.
type link struct {
	bytesPerSecond float64
	// free and open are the bandwidth that is not assigned yet and the flows without a rate, while rates are computed.
	free float64
	open int
}

// flow is a transfer over several links.
type flow struct {
	links     []*link
	remaining float64
	rate      float64
	fixed     bool
	// done is called at the end, with ok unset if the flow was cut off.
	done func(ok bool)
	// cut reports whether the path is interrupted.
	cut func() bool
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

// timers is a heap of timers by time, and by order of creation at the same time.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// network carries flows and runs timers in virtual time.
type network struct {
	now     time.Duration
	seq     int
	timers  timers
	flows   []*flow
	changed bool
}

// after runs a function after a delay.
func (n *network) after(delay time.Duration, run func()) {
	n.seq++
	heap.Push(&n.timers, timer{at: n.now + max(delay, 0), seq: n.seq, run: run})
}

// send starts a flow.
func (n *network) send(bytes float64, links []*link, cut func() bool, done func(ok bool)) {
	n.flows = append(n.flows, &flow{links: links, remaining: bytes, done: done, cut: cut})
	n.changed = true
}

// advance moves the time on by step.
func (n *network) advance() {
	n.now += step
	if n.changed {
		n.assignRates()
	}
	var ended []*flow
	for _, f := range n.flows {
		f.remaining -= f.rate * step.Seconds()
		if f.remaining <= 0 || f.cut() {
			ended = append(ended, f)
		}
	}
	if len(ended) > 0 {
		n.flows = slices.DeleteFunc(n.flows, func(f *flow) bool { return slices.Contains(ended, f) })
		n.changed = true
	}
	for _, f := range ended {
		f.done(f.remaining <= 0)
	}
	for len(n.timers) > 0 && n.timers[0].at <= n.now {
		heap.Pop(&n.timers).(timer).run()
	}
}

// assignRates shares the links by progressive filling: the flows of the link with the least bandwidth per flow are fixed first.
func (n *network) assignRates() {
	n.changed = false
	var links []*link
	for _, f := range n.flows {
		f.fixed = false
		for _, l := range f.links {
			l.free, l.open = l.bytesPerSecond, 0
		}
	}
	for _, f := range n.flows {
		for _, l := range f.links {
			if l.open == 0 {
				links = append(links, l)
			}
			l.open++
		}
	}
	for left := len(n.flows); left > 0; {
		narrow := slices.MinFunc(links, func(a, b *link) int { return compareShares(a, b) })
		share := narrow.free / float64(narrow.open)
		for _, f := range n.flows {
			if f.fixed || !slices.Contains(f.links, narrow) {
				continue
			}
			f.fixed, f.rate = true, share
			left--
			for _, l := range f.links {
				l.free -= share
				l.open--
			}
		}
	}
}

// compareShares orders links by the bandwidth per flow without a rate; those without such flows come last.
func compareShares(a, b *link) int {
	switch {
	case a.open == 0 && b.open == 0:
		return 0
	case a.open == 0:
		return 1
	case b.open == 0:
		return -1
	}
	shareA, shareB := a.free/float64(a.open), b.free/float64(b.open)
	switch {
	case shareA < shareB:
		return -1
	case shareA > shareB:
		return 1
	}
	return 0
}
