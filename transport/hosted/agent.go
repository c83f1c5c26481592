package hosted

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/internal/standstill"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/follow"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
	"github.com/guavatrestle/guavatrestle/transport/server"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

// agentFollowConfig selects the kinds of records that an agent follows.
var agentFollowConfig = follow.Config{
	Kinds: []follow.Kind{
		// A long interval is enough, because requests for load reports from entry hosts also list recently wanted versions.
		{Kind: feed.KindWeightTargets, RefreshInterval: 4 * time.Second},
		{Kind: feed.KindReplicas, RefreshInterval: 5 * time.Second, PollWhileEmpty: true},
		// An agent only needs the engines and the origin of the configuration, which rarely change.
		{Kind: feed.KindConfiguration, RefreshInterval: 20 * time.Second, PollWhileEmpty: true},
	},
	ProbeWait: 6 * time.Second,
}

// AgentDependencies holds the dependencies and settings of an agent process.
type AgentDependencies struct {
	Host Host
	// Replica is the address of the worker on this host.
	Replica  string
	Upstream core.Upstream
	Source   feed.Source
	Worker   worker.Worker
	Origin   worker.Origin
	Staging  staging.Config
	// Held counts the responses of relays; nil for none.
	Held   *held.Account
	Random *rand.Rand
	Log    *logrus.Entry
}

// RunAgent runs an agent process until ctx is done.
func RunAgent(ctx context.Context, deps AgentDependencies) error {
	monitor := standstill.NewMonitor(bootclock.Now)
	source := newSource(deps.Host, deps.Source, nil, deps.Held, monitor, deps.Log)
	followCfg := agentFollowConfig
	followCfg.ArrivedAfter = monitor.ArrivedAfter
	follower := follow.New(source, followCfg, newRandom(deps.Random), deps.Log)
	sink := loadshare.RequestSink{
		EntryHostCounts: follower.RecordPeerReachability, VersionTime: follower.ApplyPeerTarget,
		NewestVersion: follower.ApplyPeerVersion,
		Relays: func(relays map[core.FailureDomain]netip.Addr) {
			if address, ok := relays[deps.Host.FailureDomain]; ok {
				source.SetRelay(address)
			}
		},
	}
	reporter, err := loadshare.NewReporter(deps.Host.Address, deps.Host.PeerPort, follower.View, sink, deps.Log)
	if err != nil {
		return err
	}
	reporter.SetRegions(deps.Host.Regions)
	reporter.SetArrivedAfter(monitor.ArrivedAfter)
	agent := staging.New(staging.Dependencies{
		Config:         deps.Staging,
		HostIP:         deps.Host.Address,
		ReplicaAddress: deps.Replica,
		Upstream:       deps.Upstream,
		Region:         deps.Host.Region,
		FailureDomain:  deps.Host.FailureDomain,
		Regions:        deps.Host.Regions,
		PeerPort:       deps.Host.PeerPort,

		LinkBytesPerSecond: deps.Host.LinkBytesPerSecond,

		Worker:      deps.Worker,
		Origin:      deps.Origin,
		View:        follower.View,
		Publish:     reportPublisher(reporter),
		StopReports: reporter.ClearReport,
		WorkerEnded: reporter.WorkerEnded,
		Random:      newRandom(deps.Random),
		Now:         bootclock.Time,
		Log:         deps.Log,
	})
	follower.OnChange(func(*fleet.View) { agent.Wake() })
	var loops sync.WaitGroup
	defer loops.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := listenAgent(deps, agent, follower); err != nil {
		return err
	}
	loops.Go(func() { monitor.Run(ctx, deps.Log) })
	loops.Go(func() { follower.Run(ctx) })
	loops.Go(func() { reporter.Run(ctx) })
	loops.Go(func() { agent.Run(ctx) })
	deps.Log.WithField("replica", deps.Replica).Info("process started")
	<-ctx.Done()
	deps.Log.Info("process stopped")
	return nil
}

// reportPublisher returns a function that replaces the load report and sends it immediately if it is urgent.
func reportPublisher(reporter *loadshare.Reporter) func(int64, dispatch.Report, bool) {
	return func(born int64, report dispatch.Report, urgent bool) {
		reporter.SetReport(born, report)
		if urgent {
			reporter.Send()
		}
	}
}

// agentState is the debug dump of an agent process.
type agentState struct {
	Host    core.HostID
	Replica string
	View    *fleet.View
	Agent   staging.State
}

func listenAgent(deps AgentDependencies, agent *staging.Agent, follower *follow.Follower) error {
	peerServer := &http.Server{Handler: agent.Handler(), ReadHeaderTimeout: headerTimeout}
	address := net.JoinHostPort(deps.Host.Address, strconv.Itoa(deps.Host.PeerPort))
	if err := serve(peerServer, address, deps.Log); err != nil {
		return err
	}
	debug := http.NewServeMux()
	server.AddDebug(debug, server.Introspection{
		State: func() any {
			return agentState{
				Host: deps.Host.ID, Replica: deps.Replica, View: follower.View().WithoutKeys(), Agent: agent.State(),
			}
		},
		Ready: func() (bool, string) {
			if !follower.View().Ready() {
				return false, "no configuration yet"
			}
			return true, ""
		},
	})
	return serve(&http.Server{Handler: debug, ReadHeaderTimeout: headerTimeout}, debugAddress(deps.Host), deps.Log)
}
