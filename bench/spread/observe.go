package spread

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// pollInterval is the time between two reads of the state of a process in which a change is not in force yet.
	pollInterval = 50 * time.Millisecond
	// maxConcurrentPolls bounds the concurrent reads of state, so that they do not slow the processes down.
	maxConcurrentPolls = 16
	histogramDigits    = 3
)

// observer reads the settings in force at the processes and counts documents whose version decreased.
type observer struct {
	slots    chan struct{}
	mu       sync.Mutex
	lastSeen map[core.HostID]map[string]uint64
	reverted int
}

func newObserver() *observer {
	return &observer{slots: make(chan struct{}, maxConcurrentPolls), lastSeen: make(map[core.HostID]map[string]uint64)}
}

// checkInForce reads the settings of a process, counts the documents whose version has decreased, and reports whether doc
// or a later version of it is in force.
func (o *observer) checkInForce(ctx context.Context, p *cluster.Process, doc settings.Document) bool {
	o.slots <- struct{}{}
	state, err := p.ReadState(ctx)
	<-o.slots
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.lastSeen[p.Host.ID]
	if previous == nil {
		previous = make(map[string]uint64)
		o.lastSeen[p.Host.ID] = previous
	}
	current := make(map[string]uint64, len(state.Settings))
	for _, document := range state.Settings {
		current[document.Path] = document.Version
	}
	for path, version := range previous {
		if current[path] < version {
			o.reverted++
		}
	}
	o.lastSeen[p.Host.ID] = current
	return current[doc.Path] >= doc.Version
}

// measureInForce applies changes one after another and measures the time until the slowest process has each in force.
func (r *run) measureInForce(ctx context.Context) (InForce, error) {
	revertedBefore := r.observer.reverted
	histogram := hdrhistogram.New(1, 2*inForceTimeout.Microseconds(), histogramDigits)
	out := InForce{Changes: r.cfg.Changes}
	for range r.cfg.Changes {
		doc, err := r.applyChange(ctx)
		if err != nil {
			return out, err
		}
		slowest, lost := r.waitInForce(ctx, doc)
		if lost {
			out.Lost++
		}
		_ = histogram.RecordValue(slowest.Microseconds())
	}
	out.P50 = seconds(histogram.ValueAtQuantile(50))
	out.P99 = seconds(histogram.ValueAtQuantile(99))
	out.Max = seconds(histogram.Max())
	out.Reverted = r.observer.reverted - revertedBefore
	return out, ctx.Err()
}

// waitInForce waits until every process has doc in force. It returns the time that the slowest process took since the
// acceptance of doc, and whether the wait timed out; it is called right after the acceptance.
func (r *run) waitInForce(ctx context.Context, doc settings.Document) (time.Duration, bool) {
	accepted := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Go(func() { r.waitForProcess(ctx, p, doc) })
	}
	wg.Wait()
	return time.Since(accepted), ctx.Err() != nil
}

// waitForProcess waits until a process has doc in force, or ctx ends.
func (r *run) waitForProcess(ctx context.Context, p *cluster.Process, doc settings.Document) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !r.observer.checkInForce(ctx, p, doc) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func seconds(micros int64) float64 { return float64(micros) / float64(time.Second/time.Microsecond) }
