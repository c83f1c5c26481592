package loadshare_test

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

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
)

// noticeFleet is a fleet of entry hosts and agents that exchange notices over loopback.
type noticeFleet struct {
	t    *testing.T
	view *fleet.View
	log  *logrus.Entry
}

func newNoticeFleet(t *testing.T, agents ...string) *noticeFleet {
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{"llm": {Engine: &fleet.EngineSpec{}}}})
	for _, ip := range agents {
		table.SetReplica(time.Now(), 1, &fleet.Replica{ID: fleet.ReplicaID(ip), Upstream: "llm", Address: ip + ":80", Born: 7})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &noticeFleet{t: t, view: table.View(), log: logrus.NewEntry(logger)}
}

// run runs a loop until the returned function is called, or the test ends.
func (f *noticeFleet) run(loop func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { loop(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	f.t.Cleanup(stop)
	return stop
}

func (f *noticeFleet) startEntry(ip string) (*ingress.Quarantine, func()) {
	random := rand.New(rand.NewPCG(uint64(netip.MustParseAddr(ip).As4()[3]), uint64(time.Now().UnixNano())))
	known := ingress.NewQuarantine(quarantine.DefaultConfig(), random, bootclock.Time, f.log)
	listener, err := loadshare.Listen(ip, port, loadshare.ListenerDependencies{
		FailureDomain: "fd", View: func() *fleet.View { return f.view }, Replicas: func() []fleet.Member { return nil }, Log: f.log,
		StoreUnresponsive: func() bool { return false }, Direct: func() bool { return true },
		Demand: func(core.Upstream) float64 { return 1 }, Notices: known,
		Sink: loadshare.Sink{Relay: func(netip.Addr) {}, EntryHostCounts: func(int, int) {}},
	})
	require.NoError(f.t, err)
	return known, f.run(listener.Run)
}

func (f *noticeFleet) startAgent(ip string) (*loadshare.Reporter, func()) {
	reporter, err := loadshare.NewReporter(ip, port, func() *fleet.View { return f.view }, loadshare.RequestSink{
		EntryHostCounts: func(int, int) {}, Relays: func(map[core.FailureDomain]netip.Addr) {},
	}, f.log)
	require.NoError(f.t, err)
	return reporter, f.run(reporter.Run)
}

func (f *noticeFleet) eventually(condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, 10*time.Second, 5*time.Millisecond)
}

// TestNoticesReachEveryEntryHost guards against an entry host that never learns what others have seen: from an agent beside a worker
// that ended, through an agent, after its own start, or after the start of the agents.
func TestNoticesReachEveryEntryHost(t *testing.T) {
	f := newNoticeFleet(t, "127.0.13.1", "127.0.13.2")
	agent, stopAgent := f.startAgent("127.0.13.1")
	first, _ := f.startEntry("127.0.13.11")
	second, stopSecond := f.startEntry("127.0.13.12")
	agent.WorkerEnded(7)
	f.eventually(func() bool { return len(first.Notices()) == 1 && len(second.Notices()) == 1 })
	require.Equal(t, quarantine.Process{Host: netip.MustParseAddr("127.0.13.1"), Born: 7}, *first.Notices()[0].Ended)

	key := quarantine.Key{Upstream: "llm", Part: "p"}
	first.Clear(key)
	f.eventually(func() bool { return second.Digest() == first.Digest() })

	third, _ := f.startEntry("127.0.13.13")
	f.eventually(func() bool { return third.Digest() == first.Digest() })

	stopAgent()
	stopSecond()
	_, _ = f.startAgent("127.0.13.2")
	second, _ = f.startEntry("127.0.13.12")
	f.eventually(func() bool { return second.Digest() == first.Digest() && second.Digest() != 0 })
}
