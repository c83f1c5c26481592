package staging

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Config holds the settings of an Agent.
type Config struct {
	Transfer config.Transfer
	Rollout  rollout.Config
	// ReportInterval is the time between two reads of the worker's report.
	ReportInterval time.Duration
	// ReportTimeout bounds one read of the worker's report.
	ReportTimeout time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// Announce is the time between the notice to entry hosts that the worker takes no new work and the order to load.
	Announce time.Duration
	// SettleTime is the time that an accepted order has to show in the worker's report.
	SettleTime time.Duration
	// RetryPause is the pause after a failure.
	RetryPause time.Duration
	// CrossRegionSlots is the number of pieces sent to other regions at once beyond the upload slots.
	CrossRegionSlots int
	// LinkShare is the share of the host's link that weights sent to peers may take.
	LinkShare float64
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	settings := config.DefaultTransfer()
	settings.DownloadSlots = 4
	settings.UploadSlots = 3
	settings.OriginSlots = 1
	settings.TakeOver = time.Second
	settings.ChunkTimeout = 3 * time.Second
	settings.Avoid = 700 * time.Millisecond
	settings.PollInterval = 200 * time.Millisecond
	settings.ControlBytesPerSecond = 40 << 10
	settings.RetryBase = 150 * time.Millisecond
	settings.RetryCap = time.Second
	return Config{
		Transfer:       settings,
		Rollout:        rollout.DefaultConfig(),
		ReportInterval: 200 * time.Millisecond,
		ReportTimeout:  time.Second,
		OrderTimeout:   2 * time.Second,
		Announce:       60 * time.Millisecond,
		SettleTime:     800 * time.Millisecond,
		RetryPause:     300 * time.Millisecond,
		LinkShare:      0.85,

		CrossRegionSlots: 3,
	}
}

// Parts are the parts that an Agent works with.
type Parts struct {
	Config Config
	// Address is the IP number of the host, Replica the address of its worker.
	Address       string
	Replica       string
	Upstream      core.Upstream
	Region        core.Region
	FailureDomain core.FailureDomain
	Regions       map[core.FailureDomain]core.Region
	// PeerPort is the port on which every agent gives pieces to its peers.
	PeerPort int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; zero means that it is not known.
	LinkBytesPerSecond float64

	Worker worker.Worker
	Origin worker.Origin
	View   func() *fleet.View
	// Publish sends a load report to entry hosts; urgent sends it at once. Silence stops the reports.
	Publish func(born int64, report dispatch.Report, urgent bool)
	Silence func()
	Random  *rand.Rand
	Now     func() time.Time
	Log     *logrus.Entry
}

// Agent keeps the worker of its host on the versions wanted.
type Agent struct {
	Parts
	pieces   *pieces
	peers    *peerClient
	throttle *throttle

	mu sync.Mutex
	// report is the worker's last report; answered is false while it does not answer.
	report   worker.Report
	answered bool
	// loading says that an order to load is about to be given or under way.
	loading bool
	// complete is the version whose pieces have all been staged in the worker's present run.
	complete target
	// order is the version last announced or ordered, and ordered the time of the last order.
	ordered time.Time
	order   target
	// accepted is the version of the last order if the worker accepted it.
	accepted target
	changed  chan struct{}
}

// New returns an Agent.
func New(parts Parts) *Agent {
	return &Agent{
		Parts:    parts,
		pieces:   &pieces{},
		peers:    newPeerClient(),
		throttle: newThrottle(parts.Config.Transfer.DownloadSlots),
		changed:  make(chan struct{}, 1),
	}
}

// Handler serves pieces to peers.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	uploads := transfer.NewUploads(a.Config.Transfer.UploadSlots, a.Config.CrossRegionSlots)
	server := &peerServer{pieces: a.pieces, uploads: uploads, pace: a.pace()}
	server.register(mux)
	return mux
}

// pace returns the limit of the bytes sent to peers.
func (a *Agent) pace() *rate.Limiter {
	if a.LinkBytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, paceBytes)
	}
	return rate.NewLimiter(rate.Limit(a.LinkBytesPerSecond*a.Config.LinkShare), paceBytes)
}

// Wake makes the agent look at the view again.
func (a *Agent) Wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { a.observe(ctx) })
	for ctx.Err() == nil {
		pause := a.Config.ReportInterval
		if err := a.step(ctx); err != nil && ctx.Err() == nil {
			a.Log.WithError(err).Warn("rollout step failed")
			pause = a.Config.RetryPause
		}
		select {
		case <-ctx.Done():
		case <-a.changed:
		case <-time.After(pause):
		}
	}
	loops.Wait()
}

// observe reads the worker's report and passes it on.
func (a *Agent) observe(ctx context.Context) {
	ticker := time.NewTicker(a.Config.ReportInterval)
	defer ticker.Stop()
	for {
		a.readReport(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) readReport(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, a.Config.ReportTimeout)
	defer cancel()
	report, err := a.Worker.Report(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.answered && ctx.Err() == nil {
			a.Log.WithError(err).Warn("worker does not answer")
		}
		a.answered = false
		a.Silence()
		return
	}
	if !a.answered || report.Born != a.report.Born {
		a.Log.WithField("born", report.Born).WithField("models", len(report.Models)).Info("worker answers")
	}
	if report.Born != a.report.Born {
		// A restarted worker may have lost what was staged.
		a.complete, a.accepted = target{}, target{}
		a.loading = false
	}
	a.noteLoaded(report)
	if slices.ContainsFunc(report.Models, a.order.isLoaded) {
		a.loading = false
	}
	a.report, a.answered = report, true
	a.publish(false)
}

// noteLoaded logs a version that the worker has newly loaded; the caller holds the lock.
func (a *Agent) noteLoaded(report worker.Report) {
	for _, loaded := range report.Models {
		if !slices.Contains(a.report.Models, loaded) {
			a.Log.WithFields(logrus.Fields{
				"model": loaded.Model, "version": loaded.Version, "layers": loaded.Layers,
				"since_order_ms": a.Now().Sub(a.ordered).Milliseconds(),
			}).Info("version loaded")
		}
	}
}

// publish sends the load report; the caller holds the lock.
func (a *Agent) publish(urgent bool) {
	a.Publish(a.report.Born, dispatch.Report{
		Running: a.report.Running,
		Waiting: a.report.Waiting,
		Loading: a.loading || a.report.Busy,
		Models:  a.report.Models,
		Pace:    a.report.Pace,
	}, urgent)
}

// announce tells entry hosts that the worker takes no new work until it has loaded a version.
func (a *Agent) announce(t target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.order, a.loading = t, true
	a.publish(true)
}

func (a *Agent) setLoading(loading bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loading != loading {
		a.loading = loading
		a.publish(true)
	}
}

// step looks at the worker and the wanted versions and does what comes next.
func (a *Agent) step(ctx context.Context) error {
	view := a.View()
	if !view.Known() {
		return nil
	}
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if spec == nil {
		return nil
	}
	for _, model := range spec.Models {
		if err := a.stepModel(ctx, view, spec, model); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) stepModel(ctx context.Context, view *fleet.View, spec *fleet.EngineSpec, model core.Model) error {
	wanted, ok := view.Wanted[model]
	if !ok {
		// Versions start at 1, and nothing newer has been named.
		wanted = fleet.Wanted{{Version: 1}}
	}
	t := target{model: model, version: a.targetVersion(wanted, model, spec.Layers)}
	state, report := a.state(view, wanted, t, spec)
	switch rollout.Decide(state) {
	case rollout.ActionFetch:
		return a.collect(ctx, t)
	case rollout.ActionLoad:
		return a.load(ctx, t, report)
	case rollout.ActionNone:
		if !state.Busy {
			a.setLoading(false)
		}
		return a.keepForPeers(ctx, t, state)
	}
	return nil
}

// keepForPeers collects the pieces of a loaded version from the worker's staging area, so that new hosts nearby get them
// here and not from the origin.
func (a *Agent) keepForPeers(ctx context.Context, t target, state rollout.State) error {
	if state.Loaded != t.version || state.Complete || state.Busy {
		return nil
	}
	return a.collect(ctx, t)
}

func (a *Agent) state(view *fleet.View, wanted fleet.Wanted, t target, spec *fleet.EngineSpec) (rollout.State, worker.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	loaded := a.loadedOrLoading(t.model, spec.Layers)
	return rollout.State{
		Now:      now,
		Wanted:   t.version,
		Loaded:   loaded,
		Busy:     !a.answered || a.carryingOut(),
		Complete: a.complete == t,
		Turn:     rollout.Turn(a.Config.Rollout, wanted, loaded, view.Members, a.Upstream, a.Replica),
	}, a.report
}

// collect fetches and stages a version.
func (a *Agent) collect(ctx context.Context, t target) error {
	a.mu.Lock()
	born, answered := a.report.Born, a.answered
	a.mu.Unlock()
	if !answered {
		return nil
	}
	started := a.Now()
	if err := a.fetch(ctx, t); err != nil {
		return eris.Wrapf(err, "fetch version %d of %s", t.version, t.model)
	}
	if !a.wants(t) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Born == born {
		a.complete = t
	}
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "took_ms": a.Now().Sub(started).Milliseconds(),
	}).Info("version staged")
	return nil
}

// load checks what the worker has staged and orders it to load.
func (a *Agent) load(ctx context.Context, t target, report worker.Report) error {
	if err := a.verify(ctx, t); err != nil {
		return err
	}
	a.announce(t)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(a.Config.Announce):
	}
	call, cancel := context.WithTimeout(ctx, a.Config.OrderTimeout)
	defer cancel()
	err := a.Worker.Load(call, worker.Load{
		Model: t.model, Version: t.version, ExpectedOrders: report.Orders, FencingToken: t.version,
	})
	varLoads.Add(1)
	a.mu.Lock()
	a.ordered, a.accepted = a.Now(), target{}
	if err == nil {
		a.accepted = t
	}
	a.mu.Unlock()
	if err != nil {
		varLoadFaults.Add(1)
		a.setLoading(false)
		return eris.Wrapf(err, "order version %d of %s", t.version, t.model)
	}
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "running": report.Running, "waiting": report.Waiting,
	}).Info("load ordered")
	return nil
}

// verify reads back every staged piece, because staged data may turn bad, and stages again what does not match.
func (a *Agent) verify(ctx context.Context, t target) error {
	digests, ok := a.pieces.digests(t)
	if !ok {
		a.forget()
		return protocol.Errorf(protocol.CodeChanged, "pieces of version %d are not held", t.version)
	}
	for index, digest := range digests {
		data, err := a.staged(ctx, t.model, index)
		if err == nil && digest.Matches(data) {
			continue
		}
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			return err
		}
		held, ok := a.pieces.get(t, index)
		if !ok {
			a.forget()
			return protocol.Errorf(protocol.CodeChanged, "piece %d of version %d is not held", index, t.version)
		}
		varRestaged.Add(1)
		if err := a.stage(ctx, t.model, index, held); err != nil {
			return err
		}
	}
	return nil
}

// forget makes the agent fetch the version again.
func (a *Agent) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = target{}
}

// wants reports whether a version is still the one to bring in.
func (a *Agent) wants(t target) bool {
	view := a.View()
	wanted, ok := view.Wanted[t.model]
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	return !ok || spec == nil || a.targetVersion(wanted, t.model, spec.Layers) <= t.version
}

func (a *Agent) targetVersion(wanted fleet.Wanted, model core.Model, layers int) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	staged := int64(0)
	if a.complete.model == model {
		staged = a.complete.version
	}
	return rollout.Target(a.Config.Rollout, a.Now(), wanted, a.loadedOrLoading(model, layers), staged)
}

// carryingOut reports whether the worker is at an order, or may not show it in its report yet; the caller holds the lock.
func (a *Agent) carryingOut() bool {
	return a.report.Busy || a.Now().Sub(a.ordered) < a.Config.SettleTime
}

// loadedOrLoading returns the version that the worker has loaded or was ordered to load; the caller holds the lock. The pieces
// of the next version may come in while the worker still ends its requests before a load.
func (a *Agent) loadedOrLoading(model core.Model, layers int) int64 {
	loaded, _ := fleet.LoadedVersion(a.report.Models, model, layers)
	if a.accepted.model == model && a.carryingOut() {
		loaded = max(loaded, a.accepted.version)
	}
	return loaded
}

// State is the state of an Agent, for dumps.
type State struct {
	Answered bool
	Loading  bool
	Report   worker.Report
	Model    core.Model
	// Complete is the version whose pieces have all been staged.
	Complete int64
}

// State returns the agent's state.
func (a *Agent) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Answered: a.answered, Loading: a.loading, Report: a.report, Model: a.complete.model, Complete: a.complete.version,
	}
}
