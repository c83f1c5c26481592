package loadshare_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const port = 17744

// TestReportAppliesOnlyToItsProcess guards against the load of a restarted replica that is recorded for its predecessor,
// and against messages without the wanted versions and store state that a restarted process needs. After a restart of all hosts agents
// loaded an outdated version, which entries refused to use, until a list of the store showed the newest one.
func TestReportAppliesOnlyToItsProcess(t *testing.T) {
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm": {Engine: &fleet.EngineSpec{Models: []core.Model{"m", "restarted"}}}, "orders": {},
	}})
	for id, born := range map[fleet.ReplicaID]int64{"now": 2, "before": 1} {
		table.SetReplica(time.Now(), 1, &fleet.Replica{ID: id, Upstream: "llm", Address: "127.0.10.1:80", Born: born})
	}
	table.SetReplica(time.Now(), 1, &fleet.Replica{ID: "plain", Upstream: "orders", Address: "127.0.10.1:81", Born: 2})
	agentView := table.View()
	agentView.Wanted = map[core.Model]fleet.Wanted{"restarted": {{Version: 7, Since: bootclock.Time().Add(-3 * time.Second)}}}
	table.SetWanted(bootclock.Time().Add(-3*time.Second), fleet.WeightTarget{Model: "m", Version: 4})
	table.SetWantedVersion("restarted", fleet.WantedVersion{Version: 7, Until: bootclock.Time()})
	view := table.View()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)

	var mu sync.Mutex
	got := map[fleet.ReplicaID]dispatch.Report{}
	var entryAge, agentAge time.Duration
	newest := map[core.Model]int64{}
	var hostCounts [2]int
	var entryRelay, agentRelay netip.Addr
	listener, err := loadshare.Listen("127.0.10.2", port, loadshare.ListenerDependencies{
		FailureDomain: "fd", View: func() *fleet.View { return view }, Replicas: func() []fleet.Member { return nil }, Log: log,
		StoreUnresponsive: func() bool { return true }, Direct: func() bool { return true }, Demand: func(core.Upstream) float64 { return 7 }, Sink: loadshare.Sink{
			Report: func(id fleet.ReplicaID, report dispatch.Report) {
				mu.Lock()
				defer mu.Unlock()
				got[id] = report
			},
			EntryHostCounts: func(hosts, unresponsive int) {
				mu.Lock()
				defer mu.Unlock()
				hostCounts = [2]int{hosts, unresponsive}
			},
			VersionTime: func(_ netip.Addr, model core.Model, told fleet.WantedVersion) {
				mu.Lock()
				defer mu.Unlock()
				if model == "restarted" && told.Version == 7 {
					entryAge = bootclock.Time().Sub(told.Since)
				}
			},
			Relay: func(address netip.Addr) {
				mu.Lock()
				defer mu.Unlock()
				entryRelay = address
			},
		},
	})
	require.NoError(t, err)
	reporter, err := loadshare.NewReporter("127.0.10.1", port, func() *fleet.View { return agentView }, loadshare.RequestSink{
		EntryHostCounts: func(int, int) {},
		VersionTime: func(_ netip.Addr, model core.Model, told fleet.WantedVersion) {
			mu.Lock()
			defer mu.Unlock()
			if model == "m" && told.Version == 4 {
				agentAge = bootclock.Time().Sub(told.Since)
			}
		},
		NewestVersion: func(model core.Model, version int64) {
			mu.Lock()
			defer mu.Unlock()
			newest[model] = version
		},
		Relays: func(relays map[core.FailureDomain]netip.Addr) {
			mu.Lock()
			defer mu.Unlock()
			agentRelay = relays["fd"]
		},
	}, log)
	require.NoError(t, err)
	limit := fleet.RequestLimit{Stated: true, PerSecond: 1.7}
	reporter.SetReport(2, dispatch.Report{Running: 3, Waiting: 1, Leaving: true, Models: []fleet.LoadedModel{{Model: "m", Version: 4, Layers: 16}}, RequestLimit: limit, CacheUsed: 5, CacheTotal: 9})

	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { listener.Run(ctx) })
	running.Go(func() { reporter.Run(ctx) })
	defer running.Wait()
	defer cancel()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(got) > 0 && entryAge >= 3*time.Second && agentAge >= 3*time.Second &&
			entryRelay.IsValid() && agentRelay.IsValid()
	}, 10*time.Second, time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[core.Model]int64{"restarted": 7}, newest, "the version whose time is known is told with it")
	require.Equal(t, "127.0.10.2", entryRelay.String(), "the only entry host is its own relay")
	require.Equal(t, entryRelay, agentRelay)
	require.Equal(t, [2]int{1, 1}, hostCounts, "one entry host requests reports, and the store does not answer it")
	require.Equal(t, map[fleet.ReplicaID]dispatch.Report{"now": {
		Running: 3, Waiting: 1, Leaving: true, Senders: 1, Share: 1, Models: []fleet.LoadedModel{{Model: "m", Version: 4, Layers: 16}}, RequestLimit: limit, CacheUsed: 5, CacheTotal: 9,
	}}, got)
}
