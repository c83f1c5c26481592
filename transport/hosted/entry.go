// Package hosted assembles the processes that run on a platform which stores the configuration, lists the replicas and routes
// callers to entry hosts. The platform adapter is passed in as interfaces and header names.
package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/internal/standstill"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/follow"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
	"github.com/guavatrestle/guavatrestle/transport/relay"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

const (
	// headerTimeout bounds the time for a caller to send the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which callers reuse an idle connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// pruneInterval is the interval at which idle connections to back ends are closed if they expired or are no longer needed.
	pruneInterval = time.Second
	// drainDelay is the time between becoming not ready and refusing connections. It covers two readiness checks of the
	// platform.
	drainDelay = 2600 * time.Millisecond
	// exitMargin is the time between closing the remaining connections and the moment at which the platform kills the process.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time in which the remaining requests are answered before their connections are closed.
	answerMargin = 200 * time.Millisecond
	// debugPortOffset is the offset of the port for metrics and debug dumps from Host.PeerPort.
	debugPortOffset = 2
)

// entryFollowConfig selects the kinds of records that an entry host follows. ProbeWait bounds the age of API keys. Each
// CoalesceDelay is at most a third of the time in which the platform requires drains, configurations and evacuations to take
// effect.
var entryFollowConfig = follow.Config{
	Kinds: []follow.Kind{
		{Kind: feed.KindConfiguration, CoalesceDelay: 700 * time.Millisecond, NewestOnly: true},
		{Kind: feed.KindReplicas, CoalesceDelay: 700 * time.Millisecond, WatchWait: 2 * time.Second},
		{Kind: feed.KindEvacuations, CoalesceDelay: 600 * time.Millisecond, WatchWait: 2 * time.Second},
		{Kind: feed.KindWeightTargets, CoalesceDelay: 300 * time.Millisecond, WatchWait: 2 * time.Second},
	},
	ProbeWait: 1600 * time.Millisecond,
}

// Host describes the host of a process.
type Host struct {
	ID            core.HostID
	Address       string
	Region        core.Region
	FailureDomain core.FailureDomain
	// Regions maps all failure domains to their regions.
	Regions map[core.FailureDomain]core.Region
	// PeerPort is the first of the ports between processes, for load reports over UDP and pieces of weights over HTTP.
	PeerPort int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; 0 means unknown.
	LinkBytesPerSecond float64
	// MemoryBytes is the memory above which the process is killed; 0 means unknown.
	MemoryBytes int64
	// ShutdownTimeout is the time between the signal to stop and the moment at which the platform kills the process.
	ShutdownTimeout time.Duration
}

// EntryDependencies holds the dependencies and settings of an entry process.
type EntryDependencies struct {
	Host Host
	// CallerListen is the listen address for callers, ReadyListen the one for readiness checks at ReadyPath.
	CallerListen string
	ReadyListen  string
	ReadyPath    string
	Source       feed.Source
	Headers      headers.Names
	RetryAfter   func(time.Duration) string
	Ingress      ingress.Config
	// WatchDelay makes the host report itself not ready for a moment when it falls behind because of its processor.
	WatchDelay bool
	// Held is the account of held bytes; nil means one that limits only buffered responses.
	Held   *held.Account
	Random *rand.Rand
	Log    *logrus.Entry
}

// entry is a running entry process.
type entry struct {
	EntryDependencies
	source   *relay.Source
	cache    *relay.Cache
	follower *follow.Follower
	router   *ingress.Router
	handler  *ingress.Handler
	pool     *backend.Pool
	// quarantine keeps prompts on which replicas crash from them.
	quarantine *ingress.Quarantine
	delay      *delayWatch
	standstill *standstill.Monitor
	leaving    atomic.Bool
	// stopsAt is the time at which requests are cut off, in nanoseconds of the boot clock; 0 while new connections are taken.
	stopsAt atomic.Int64
	// closing ends the requests that outlast the time to stop.
	closing context.Context
	abort   context.CancelFunc
}

// RunEntry runs an entry process until ctx is done, then shuts it down gracefully.
func RunEntry(ctx context.Context, deps EntryDependencies) error {
	e := newEntry(deps)
	defer e.abort()
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	listener, err := loadshare.Listen(deps.Host.Address, deps.Host.PeerPort, loadshare.ListenerDependencies{
		FailureDomain:     deps.Host.FailureDomain,
		Regions:           deps.Host.Regions,
		View:              e.follower.View,
		Replicas:          e.follower.Replicas,
		StoreUnresponsive: e.follower.StoreUnresponsive,
		Direct:            e.mayBeRelay,
		Demand:            e.router.MeasureDemand,
		PriorityDemand:    e.router.PriorityDemand,
		Notices:           e.quarantine,
		ArrivedAfter:      e.standstill.ArrivedAfter,
		Sink: loadshare.Sink{
			Report: e.recordLoad, VersionTime: e.follower.LearnTargetTime,
			EntryHostCounts: e.follower.RecordPeerReachability, Relay: e.source.SetRelay,
			Outside: e.router.SetOutside,
		},
		Log: deps.Log,
	})
	if err != nil {
		return err
	}
	loops.Go(func() { e.standstill.Run(loopCtx, deps.Log) })
	loops.Go(func() { listener.Run(loopCtx) })
	loops.Go(func() { e.follower.Run(loopCtx) })
	loops.Go(func() { e.prune(loopCtx) })
	if deps.WatchDelay {
		loops.Go(func() { e.delay.run(loopCtx) })
	}
	servers, err := e.listen()
	if err != nil {
		return err
	}
	deps.Log.WithField("callers", deps.CallerListen).Info("process started")
	<-ctx.Done()
	e.shutdown(servers)
	return nil
}

func newEntry(deps EntryDependencies) *entry {
	e := &entry{EntryDependencies: deps, pool: backend.NewPoolWithBuffers(socketBufferBytes(deps.Host))}
	e.closing, e.abort = context.WithCancel(context.Background())
	e.cache = relay.NewCache()
	e.standstill = standstill.NewMonitor(bootclock.Now)
	e.source = newSource(deps.Host, deps.Source, e.cache, deps.Held, e.standstill, deps.Log)
	followCfg := entryFollowConfig
	followCfg.ArrivedAfter = e.standstill.ArrivedAfter
	e.follower = follow.New(e.source, followCfg, newRandom(deps.Random), deps.Log)
	e.router = ingress.NewRouter(deps.Ingress, newRandom(deps.Random), bootclock.Time)
	e.follower.OnChange(e.router.SetView)
	e.quarantine = ingress.NewQuarantine(deps.Ingress.Quarantine, newRandom(deps.Random), bootclock.Time, deps.Log)
	e.delay = newDelayWatch(newRandom(deps.Random), deps.Log)
	e.handler = ingress.NewHandler(ingress.Dependencies{
		Config:     deps.Ingress,
		Headers:    deps.Headers,
		Current:    e.follower.Current,
		Behind:     e.delay.behind.Load,
		Leaving:    e.leaving.Load,
		StopsAt:    e.stopTime,
		Closing:    e.closing,
		RetryAfter: deps.RetryAfter,
		Pool:       e.pool,
		Quarantine: e.quarantine,
		Held:       deps.Held,
		Now:        bootclock.Time,
		Log:        deps.Log,
	}, e.router)
	return e
}

// newSource returns the source of a process, which reads the store through a relay if it can. Only an entry host has a cache.
func newSource(
	host Host, store feed.Source, cache *relay.Cache, account *held.Account, monitor *standstill.Monitor, log *logrus.Entry,
) *relay.Source {
	// An address that is not an IP address is never named as relay.
	self, _ := netip.ParseAddr(host.Address)
	return relay.NewSource(relay.Config{
		Store: store, Cache: cache, Self: self, Port: host.PeerPort, Brief: cache == nil, Held: account,
		ArrivedAfter: monitor.ArrivedAfter, Log: log,
	})
}

// recordLoad passes a load report on and logs a change of the replica's request limit.
func (e *entry) recordLoad(id fleet.ReplicaID, report dispatch.Report) {
	if change := e.router.RecordLoad(id, report); change != nil {
		ingress.LogLimitChange(e.Log, change)
	}
}

// mayBeRelay reports whether agents may name this host as relay. A leaving host still answers other hosts.
func (e *entry) mayBeRelay() bool {
	return !e.leaving.Load() && e.source.Direct() && e.follower.Answered()
}

// servers holds the HTTP servers of an entry process.
type servers struct {
	callers *server.Graceful
	others  []*http.Server
}

func (e *entry) listen() (*servers, error) {
	s := &servers{}
	var err error
	if s.callers, err = e.listenCallers(); err != nil {
		return nil, err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.ReadyPath, e.serveReady)
	debug := http.NewServeMux()
	server.AddDebug(debug, server.Introspection{State: e.state, Ready: e.handler.Ready})
	debug.HandleFunc("POST /debug/quarantine/clear", e.clearQuarantine)
	debug.HandleFunc("GET /debug/placement", e.handler.ServePlacement)
	for address, handler := range map[string]http.Handler{
		e.ReadyListen: ready, debugAddress(e.Host): debug,
		net.JoinHostPort(e.Host.Address, strconv.Itoa(e.Host.PeerPort)): &relay.Server{Cache: e.cache, Direct: e.source.Direct, Log: e.Log},
	} {
		other := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		if err := serve(other, address, e.Log); err != nil {
			return nil, err
		}
		s.others = append(s.others, other)
	}
	return s, nil
}

func (e *entry) listenCallers() (*server.Graceful, error) {
	listener, err := listen(e.CallerListen, socketBufferBytes(e.Host))
	if err != nil {
		return nil, err
	}
	callers := server.NewGraceful(&http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, listener.(*net.TCPListener))
	go logServe(callers.Serve, e.CallerListen, e.Log)
	return callers, nil
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, _ := e.handler.Ready(); !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// clearQuarantine lifts the quarantine of a part of prompts on all hosts.
func (e *entry) clearQuarantine(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key := quarantine.Key{Upstream: core.Upstream(query.Get("upstream")), Part: quarantine.Part(query.Get("part"))}
	if key.Upstream == "" || key.Part == "" {
		http.Error(w, "parameters upstream and part are required", http.StatusBadRequest)
		return
	}
	if !slices.ContainsFunc(e.quarantine.State(), func(s quarantine.Status) bool { return s.Key == key }) {
		http.Error(w, fmt.Sprintf("part %q of upstream %q is not in quarantine", key.Part, key.Upstream), http.StatusNotFound)
		return
	}
	e.quarantine.Clear(key)
	w.WriteHeader(http.StatusNoContent)
}

// entryState is the debug dump of an entry process.
type entryState struct {
	Host    core.HostID
	Leaving bool
	ViewAge string
	// KindAges holds, by kind of record, the time since the store confirmed that no change is missing.
	KindAges     map[feed.Kind]string
	View         *fleet.View
	Replicas     []dispatch.State
	Quarantines  []quarantine.Status
	ReadyMessage string
}

func (e *entry) state() any {
	_, reason := e.handler.Ready()
	return entryState{
		Host:         e.Host.ID,
		Leaving:      e.leaving.Load(),
		ViewAge:      e.follower.Age().String(),
		KindAges:     kindAges(e.follower),
		View:         e.follower.View().WithoutKeys(),
		Replicas:     e.router.State(),
		Quarantines:  e.quarantine.State(),
		ReadyMessage: reason,
	}
}

// kindAges returns the ages of the kinds for a debug dump.
func kindAges(follower *follow.Follower) map[feed.Kind]string {
	ages := make(map[feed.Kind]string)
	for kind, age := range follower.KindAges() {
		ages[kind] = age.String()
	}
	return ages
}

// prune periodically closes idle connections that have expired or lead to addresses that are no longer in the view.
func (e *entry) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	defer e.pool.Close()
	defer e.cache.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.pool.Prune(e.follower.View().HasAddress)
		}
	}
}

// shutdown reports the host as not ready, keeps serving for drainDelay so that callers move to other hosts, and then waits for the
// requests in flight. Those that have not ended shortly before the process is killed are answered with an error.
func (e *entry) shutdown(s *servers) {
	e.Log.Info("process is leaving")
	deadline := time.Now().Add(e.Host.ShutdownTimeout - exitMargin)
	e.leaving.Store(true)
	time.Sleep(min(drainDelay, time.Until(deadline.Add(-answerMargin))))
	e.stopsAt.Store(int64(bootclock.Now()) + int64(time.Until(deadline.Add(-answerMargin))))
	if err := shutdownUntil(s.callers, deadline.Add(-answerMargin)); err != nil {
		e.Log.WithError(err).Warn("aborting requests that did not finish before the shutdown deadline")
		e.abort()
		if err := shutdownUntil(s.callers, deadline); err != nil {
			e.Log.WithError(err).Warn("closing connections with unanswered requests")
			_ = s.callers.Close()
		}
	}
	for _, other := range s.others {
		_ = other.Close()
	}
	e.quarantine.Wait()
	e.Log.Info("process stopped")
}

// stopTime returns the time at which requests are cut off, or zero while new connections are taken.
func (e *entry) stopTime() time.Time {
	if at := e.stopsAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

func shutdownUntil(s *server.Graceful, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return s.Shutdown(ctx)
}

// newRandom returns a new generator seeded from parent, since a generator must not be used concurrently.
func newRandom(parent *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(parent.Uint64(), parent.Uint64()))
}
