package hosted

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/follow"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
)

const (
	versionTimePort = 17760
	agentAddress    = "127.0.12.1"
	// socketWait is the time for which datagrams wait in the socket of the agent.
	socketWait = 2500 * time.Millisecond
)

// versionTimeFleet is a fleet of entry hosts and an agent that tell each other the times of versions over loopback.
type versionTimeFleet struct {
	t     *testing.T
	store *newsStore
	log   *logrus.Entry
}

// run runs loops until the returned function is called, or the test ends.
func (f *versionTimeFleet) run(loops ...func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	f.t.Cleanup(stop)
	return stop
}

func (f *versionTimeFleet) follow(cfg follow.Config) *follow.Follower {
	return follow.New(f.store, cfg, rand.New(rand.NewPCG(1, 57)), f.log)
}

// startEntry starts an entry host. The returned function ends it.
func (f *versionTimeFleet) startEntry(address string) (*follow.Follower, func()) {
	follower := f.follow(entryFollowConfig)
	listener, err := loadshare.Listen(address, versionTimePort, loadshare.ListenerDependencies{
		View: follower.View, Replicas: follower.Replicas, StoreUnresponsive: follower.StoreUnresponsive, Direct: follower.Answered,
		Demand: func(core.Upstream) float64 { return 1 }, Log: f.log,
		Sink: loadshare.Sink{
			Report: func(fleet.ReplicaID, dispatch.Report) {}, VersionTime: follower.LearnTargetTime,
			EntryHostCounts: follower.RecordPeerReachability, Relay: func(netip.Addr) {},
		},
	})
	require.NoError(f.t, err)
	stop := f.run(follower.Run, listener.Run)
	require.Eventually(f.t, func() bool { return follower.View().Ready() }, 5*time.Second, time.Millisecond)
	return follower, stop
}

// openAgent opens the socket of the agent. The datagrams that it receives wait there until the returned function is called.
func (f *versionTimeFleet) openAgent() (read func()) {
	follower := f.follow(agentFollowConfig)
	reporter, err := loadshare.NewReporter(agentAddress, versionTimePort, follower.View, loadshare.RequestSink{
		EntryHostCounts: follower.RecordPeerReachability, VersionTime: follower.ApplyPeerTarget,
		NewestVersion: follower.ApplyPeerVersion, Relays: func(map[core.FailureDomain]netip.Addr) {},
	}, f.log)
	require.NoError(f.t, err)
	reporter.SetReport(1, dispatch.Report{})
	f.run(follower.Run)
	require.Eventually(f.t, func() bool { return follower.View().Ready() }, 5*time.Second, time.Millisecond)
	return func() { f.run(reporter.Run) }
}

// TestVersionTimeReadLateIsNotToldOn guards against requests that begin on an old version too late: an agent that stood still read the
// age of the new version late, and told it to entry hosts that started after. They must learn the right time, or none.
func TestVersionTimeReadLateIsNotToldOn(t *testing.T) {
	for name, witness := range map[string]bool{"another entry host knows the time": true, "no other host knows the time": false} {
		t.Run(name, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			f := &versionTimeFleet{t: t, store: newNewsStore(), log: logrus.NewEntry(logger)}
			f.store.put(feed.KindConfiguration, feed.Record{Name: "main", Value: &fleet.Configuration{
				Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{"llm": {Engine: &fleet.EngineSpec{Models: []core.Model{"m"}}}},
			}})
			f.store.put(feed.KindReplicas, feed.Record{Name: "r", Value: &fleet.Replica{
				ID: "r", Upstream: "llm", Address: agentAddress + ":80", Born: 1,
			}})
			_, stopFirst := f.startEntry("127.0.12.2")
			if witness {
				f.startEntry("127.0.12.3")
			}
			read := f.openAgent()
			named := bootclock.Time()
			f.store.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
			time.Sleep(socketWait)
			stopFirst()
			read()
			started, _ := f.startEntry("127.0.12.4")
			since := func() time.Time { return started.View().Wanted["m"][0].Since }
			for end := time.Now().Add(2 * loadshare.RequestInterval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				require.LessOrEqual(t, since().Sub(named), time.Duration(0), "version 2 counts as wanted too late")
			}
			if witness {
				require.WithinRange(t, since(), named.Add(-2*time.Second), named, "time that the other entry host knows")
			}
		})
	}
}
