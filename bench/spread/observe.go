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
	// observeInterval is the time between two looks at a process that does not hold a change yet.
	observeInterval = 50 * time.Millisecond
	// concurrentLooks bounds the looks at processes at once, so that looking does not slow them down.
	concurrentLooks = 16
	histogramDigits = 3
)

// observer looks at the settings in force at processes and notices versions that go back.
type observer struct {
	slots    chan struct{}
	mu       sync.Mutex
	seen     map[core.HostID]map[string]uint64
	reverted int
}

func newObserver() *observer {
	return &observer{slots: make(chan struct{}, concurrentLooks), seen: make(map[core.HostID]map[string]uint64)}
}

// holds reports whether a process holds doc or a later version.
func (o *observer) holds(ctx context.Context, p *cluster.Process, doc settings.Document) bool {
	o.slots <- struct{}{}
	state, err := p.ReadState(ctx)
	<-o.slots
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.seen[p.Host.ID]
	if known == nil {
		known = make(map[string]uint64)
		o.seen[p.Host.ID] = known
	}
	now := make(map[string]uint64, len(state.Settings))
	for _, held := range state.Settings {
		now[held.Path] = held.Version
	}
	for path, version := range known {
		if now[path] < version {
			o.reverted++
		}
	}
	o.seen[p.Host.ID] = now
	return now[doc.Path] >= doc.Version
}

// inForce makes changes one after the other and measures each until the slowest process holds it.
func (r *run) inForce(ctx context.Context) (InForce, error) {
	before := r.observer.reverted
	histogram := hdrhistogram.New(1, 2*inForceLimit.Microseconds(), histogramDigits)
	out := InForce{Changes: r.cfg.Changes}
	for range r.cfg.Changes {
		doc, err := r.change(ctx)
		if err != nil {
			return out, err
		}
		slowest, lost := r.waitEverywhere(ctx, doc)
		if lost {
			out.Lost++
		}
		_ = histogram.RecordValue(slowest.Microseconds())
	}
	out.P50 = seconds(histogram.ValueAtQuantile(50))
	out.P99 = seconds(histogram.ValueAtQuantile(99))
	out.Max = seconds(histogram.Max())
	out.Reverted = r.observer.reverted - before
	return out, ctx.Err()
}

// waitEverywhere waits until every process holds doc and returns the time that the slowest took since its acceptance.
func (r *run) waitEverywhere(ctx context.Context, doc settings.Document) (time.Duration, bool) {
	accepted := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Go(func() { r.waitAt(ctx, p, doc) })
	}
	wg.Wait()
	return time.Since(accepted), ctx.Err() != nil
}

func (r *run) waitAt(ctx context.Context, p *cluster.Process, doc settings.Document) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for !r.observer.holds(ctx, p, doc) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func seconds(micros int64) float64 { return float64(micros) / float64(time.Second/time.Microsecond) }
