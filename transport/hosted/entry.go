// Package hosted puts together the processes that run on a platform which keeps the configuration, lists the replicas and
// sends callers to entry hosts. The adapter to the platform comes in as interfaces and names.
package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/follow"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
	"github.com/guavatrestle/guavatrestle/transport/loadshare"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

const (
	// headerTimeout bounds the time that a caller takes to send the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which callers reuse a connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the head of a caller's request.
	maxHeaderBytes = 64 << 10
	// pruneInterval is the time between two looks for unused connections to close.
	pruneInterval = time.Second
	// drainGrace lets the platform see twice that the host is not ready before it stops taking connections.
	drainGrace = 2600 * time.Millisecond
	// exitMargin is the time before the kill at which the process ends what still runs.
	exitMargin = 400 * time.Millisecond
	// debugPortOffset is the distance of the port of metrics and dumps from the first port between processes.
	debugPortOffset = 2
)

// entryFeed is what an entry follows. The wait bounds the age of API keys; the pauses are a third or less of the times in
// which the platform wants drains, configurations and evacuations in force.
var entryFeed = follow.Config{
	Kinds: []follow.Kind{
		{Kind: feed.KindConfiguration, CoalesceDelay: 700 * time.Millisecond, NewestOnly: true},
		{Kind: feed.KindReplicas, CoalesceDelay: 700 * time.Millisecond},
		{Kind: feed.KindEvacuations, CoalesceDelay: 600 * time.Millisecond},
		{Kind: feed.KindWeightTargets, CoalesceDelay: 300 * time.Millisecond},
	},
	ProbeWait: 1600 * time.Millisecond,
}

// Host is what a process knows about its own host.
type Host struct {
	ID            core.HostID
	Address       string
	Region        core.Region
	FailureDomain core.FailureDomain
	Regions       map[core.FailureDomain]core.Region
	PeerPort      int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; zero means that it is not known.
	LinkBytesPerSecond float64
	// ShutdownTimeout is the time between the signal to stop and the kill.
	ShutdownTimeout time.Duration
}

// EntryParts are the parts of an entry process.
type EntryParts struct {
	Host Host
	// CallerListen serves callers, ReadyListen readiness checks at ReadyPath.
	CallerListen string
	ReadyListen  string
	ReadyPath    string
	Source       feed.Source
	Headers      headers.Names
	RetryAfter   func(time.Duration) string
	Ingress      ingress.Config
	Random       *rand.Rand
	Log          *logrus.Entry
}

// entry is a running entry process.
type entry struct {
	EntryParts
	follower *follow.Follower
	router   *ingress.Router
	handler  *ingress.Handler
	pool     *backend.Pool
	leaving  atomic.Bool
}

// RunEntry runs an entry process until ctx ends, then shuts it down gracefully.
func RunEntry(ctx context.Context, parts EntryParts) error {
	e := newEntry(parts)
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	sink := loadshare.Sink{Report: e.router.RecordLoad, WantedVersion: e.follower.LearnTargetTime, EntryHostCounts: e.follower.RecordPeerReachability}
	listener, err := loadshare.Listen(parts.Host.Address, parts.Host.PeerPort, e.follower.View, e.follower.StoreUnresponsive, sink,
		parts.Log)
	if err != nil {
		return err
	}
	loops.Go(func() { listener.Run(loopCtx) })
	loops.Go(func() { e.follower.Run(loopCtx) })
	loops.Go(func() { e.prune(loopCtx) })
	servers, err := e.listen()
	if err != nil {
		return err
	}
	parts.Log.WithField("callers", parts.CallerListen).Info("process started")
	<-ctx.Done()
	e.shutdown(servers)
	return nil
}

func newEntry(parts EntryParts) *entry {
	e := &entry{EntryParts: parts, pool: backend.NewPool()}
	e.follower = follow.New(parts.Source, entryFeed, newRandom(parts.Random), parts.Log)
	e.router = ingress.NewRouter(parts.Ingress, newRandom(parts.Random), bootclock.Time)
	e.follower.OnChange(e.router.SetView)
	e.handler = ingress.NewHandler(ingress.Parts{
		Config:     parts.Ingress,
		Headers:    parts.Headers,
		View:       e.follower.View,
		Age:        e.follower.Age,
		Leaving:    e.leaving.Load,
		RetryAfter: parts.RetryAfter,
		Pool:       e.pool,
		Now:        bootclock.Time,
		Log:        parts.Log,
	}, e.router)
	return e
}

// servers are the listeners of a process.
type servers struct {
	callers *http.Server
	others  []*http.Server
}

func (e *entry) listen() (*servers, error) {
	s := &servers{callers: &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.ReadyPath, e.serveReady)
	if err := serve(s.callers, e.CallerListen, e.Log); err != nil {
		return nil, err
	}
	debug := http.NewServeMux()
	server.AddDebug(debug, server.Introspection{State: e.state, Ready: e.handler.Ready})
	for address, handler := range map[string]http.Handler{
		e.ReadyListen: ready, debugAddress(e.Host): debug,
	} {
		other := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		if err := serve(other, address, e.Log); err != nil {
			return nil, err
		}
		s.others = append(s.others, other)
	}
	return s, nil
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ready, _ := e.handler.Ready(); !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// entryState is the state dump of an entry process.
type entryState struct {
	Host         core.HostID
	Leaving      bool
	ViewAge      string
	View         *fleet.View
	Replicas     []dispatch.State
	ReadyMessage string
}

func (e *entry) state() any {
	_, reason := e.handler.Ready()
	return entryState{
		Host:         e.Host.ID,
		Leaving:      e.leaving.Load(),
		ViewAge:      e.follower.Age().String(),
		View:         e.follower.View().WithoutKeys(),
		Replicas:     e.router.State(),
		ReadyMessage: reason,
	}
}

// prune closes connections that are no longer of use.
func (e *entry) prune(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	defer e.pool.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.pool.Prune(e.follower.View().HasAddress)
		}
	}
}

// shutdown lets callers move to other hosts and finishes the requests in flight.
func (e *entry) shutdown(s *servers) {
	e.Log.Info("process is leaving")
	end := time.Now().Add(e.Host.ShutdownTimeout - exitMargin)
	e.leaving.Store(true)
	time.Sleep(min(drainGrace, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		e.Log.WithError(err).Warn("requests cut at the end of the shutdown")
		_ = s.callers.Close()
	}
	for _, other := range s.others {
		_ = other.Close()
	}
	e.Log.Info("process stopped")
}

// serve starts a server on an address.
func serve(s *http.Server, address string, log *logrus.Entry) error {
	listener, err := netdial.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).WithField("address", address).Error("listener ended")
		}
	}()
	return nil
}

func debugAddress(host Host) string {
	return net.JoinHostPort(host.Address, strconv.Itoa(host.PeerPort+debugPortOffset))
}

// newRandom derives a source of its own, since sources must not be shared.
func newRandom(from *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(from.Uint64(), from.Uint64()))
}
