package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/fleetsim"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// BenchmarkPick measures a choice among 58 engines in three regions, with and without published figures.
func BenchmarkPick(b *testing.B) {
	for name, performance := range map[string]*fleet.EnginePerformance{"count": nil, "start": &fleetsim.Published} {
		b.Run(name, func(b *testing.B) {
			f := fleetsim.Kineplan(1, 1.4)
			f.Engines = 58
			v, regions := f.View(true)
			v.Configuration.Upstreams["llm"].Engine.Performance = performance
			cfg := dispatch.DefaultConfig()
			cfg.FailureDomain, cfg.Region, cfg.Regions = fleetsim.Domain(0), fleetsim.Region(0), regions
			balancer := dispatch.NewBalancer(cfg, rand.New(rand.NewPCG(1, 1)))
			balancer.SetView(v)
			request := dispatch.Request{
				Upstream: "llm", Model: "m", Layers: 16, PromptTokens: 900, OutputTokens: 100,
				ObjectiveLeft: 400 * time.Millisecond, DeadlineLeft: 6 * time.Second,
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 {
					for e := range f.Engines {
						balancer.RecordReport(now, fleet.ReplicaID(fmt.Sprint(e)), dispatch.Report{
							Running: e % 10, Senders: 20, Share: 0.05, Pace: 1, CacheUsed: int64(e), CacheTotal: 100,
							Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}},
						})
					}
				}
				now = now.Add(4 * time.Millisecond)
				if choice, verdict := balancer.Pick(now, request); verdict == dispatch.VerdictChosen {
					balancer.Done(now, choice, dispatch.OutcomeServed, 300*time.Millisecond)
				}
			}
		})
	}
}
