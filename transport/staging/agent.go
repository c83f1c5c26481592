package staging

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Config holds the settings of an Agent.
type Config struct {
	Transfer config.Transfer
	Rollout  rollout.Config
	// ReportInterval is the time between two reads of the worker's report. A longer one delays load reports to entry
	// hosts and the start of rollout steps.
	ReportInterval time.Duration
	// ReportTimeout bounds one read of the worker's report.
	ReportTimeout time.Duration
	// OrderTimeout bounds one load order to the worker.
	OrderTimeout time.Duration
	// LoadNoticeDelay is the time between the notice to entry hosts that the worker takes no new requests and the load
	// order. A shorter one lets requests reach a worker that is about to load; a longer one leaves the worker unused.
	LoadNoticeDelay time.Duration
	// OrderReportDelay is the time that an accepted order may take to show in the worker's report. Until then the
	// worker counts as busy.
	OrderReportDelay time.Duration
	// MaxVerificationAge is the longest time from the start of the oldest read of a staged piece to the order that loads it. An
	// agent that was suspended in between verifies the pieces again. A shorter one than the verification takes prevents loads.
	MaxVerificationAge time.Duration
	// VerificationInterval is the time between two verifications of staged pieces that the worker may be about to load. A piece that
	// becomes corrupt may be loaded until it and the next verification are over.
	VerificationInterval time.Duration
	// MinWorkerAge is the time for which this process must have known a worker's process before it sends an order to it. An agent
	// that starts beside a younger worker knows from it that no earlier agent process has sent an order.
	MinWorkerAge time.Duration
	// LateOrderTimeout is the time for which the worker may still carry out an order that it has not answered. It bounds the
	// wait for an order of an earlier process on this host whose version can't be told, and for one that the worker rejects when
	// it is sent again.
	LateOrderTimeout time.Duration
	// RetryPause is the pause after a failed rollout step.
	RetryPause time.Duration
	// OriginReaders and GainPolls are those of transfer.Config. In a simulation of 58 hosts, 4 readers and 20 needed longer than 8, and one
	// poll per gained piece longer than 2.
	OriginReaders int
	GainPolls     int
	// CrossRegionSlots is the number of concurrent uploads to other regions in addition to the upload slots.
	CrossRegionSlots int
	// LinkShare is the share of the host's link that uploads of weights to peers may use; live requests have the
	// rest.
	LinkShare float64
}

// DefaultConfig returns the default settings of an Agent.
func DefaultConfig() Config {
	settings := config.DefaultTransfer()
	settings.DownloadSlots = 4
	settings.UploadSlots = 4
	settings.OriginSlots = 1
	settings.TakeOver = time.Second
	settings.ChunkTimeout = 3 * time.Second
	settings.Avoid = 700 * time.Millisecond
	settings.PollInterval = 200 * time.Millisecond
	settings.ControlBytesPerSecond = 40 << 10
	// The cap lets the readers reach an origin that has returned within 0.3 s.
	settings.RetryBase = 100 * time.Millisecond
	settings.RetryCap = 250 * time.Millisecond
	return Config{
		Transfer:         settings,
		Rollout:          rollout.DefaultConfig(),
		ReportInterval:   200 * time.Millisecond,
		ReportTimeout:    time.Second,
		OrderTimeout:     2 * time.Second,
		LoadNoticeDelay:  60 * time.Millisecond,
		OrderReportDelay: 800 * time.Millisecond,

		MinWorkerAge:       500 * time.Millisecond,
		MaxVerificationAge: 1500 * time.Millisecond,
		LateOrderTimeout:   15 * time.Second,

		VerificationInterval: time.Second,

		RetryPause: 300 * time.Millisecond,
		LinkShare:  0.95,

		OriginReaders: 8,
		GainPolls:     2,

		CrossRegionSlots: 3,
	}
}

// Dependencies holds the settings and dependencies of an Agent.
type Dependencies struct {
	Config Config
	// HostIP is the IP address of the host; ReplicaAddress is the address of its worker.
	HostIP         string
	ReplicaAddress string
	Upstream       core.Upstream
	Region         core.Region
	FailureDomain  core.FailureDomain
	Regions        map[core.FailureDomain]core.Region
	// PeerPort is the port on which every agent serves pieces to its peers.
	PeerPort int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; zero if unknown, which leaves uploads
	// unlimited.
	LinkBytesPerSecond float64

	Worker worker.Worker
	Origin worker.Origin
	View   func() *fleet.View
	// Publish sends a load report to entry hosts, immediately if urgent is true. StopReports ends the reports until
	// the next Publish.
	Publish     func(born int64, report dispatch.Report, urgent bool)
	StopReports func()
	// WorkerEnded, if set, is called when a process of the worker has ended. born is its start.
	WorkerEnded func(born int64)
	// Random is not used concurrently with itself.
	Random *rand.Rand
	Now    func() time.Time
	// WallClock returns the time of day, as workers state their start; nil means time.Now.
	WallClock func() time.Time
	Log       *logrus.Entry
}

// readyVersion is a version that has been staged and to be loaded since a time.
type readyVersion struct {
	version int64
	since   time.Time
}

// Agent stages the wanted model versions at the worker of its host and orders the worker to load them.
type Agent struct {
	Dependencies
	pieces   *pieceCache
	peers    *peerClient
	throttle *throttle

	mu sync.Mutex
	// report is the worker's last report, which was requested at reportedAt; responding is false if the last read failed.
	report     worker.Report
	reportedAt time.Time
	responding bool
	// endedBorn is the last process of the worker that WorkerEnded was called for.
	endedBorn int64
	// workerSeenAt is the time from which the worker's present process is known.
	workerSeenAt time.Time
	// loading is true from the load notice until the worker has loaded the version or has restarted, the order has
	// failed, or no load is due.
	loading bool
	// staged holds the version of each model whose pieces have all been staged since the worker's last start.
	staged map[core.Model]int64
	// ready holds the version of each model that is staged and to be loaded.
	ready map[core.Model]readyVersion
	// verifiedAt is the start of the oldest read of the last complete verification of staged pieces.
	verifiedAt time.Time
	// announced is the version of the last load notice; orderedAt is the time of the last answer to an order, or of the report
	// that showed that the worker had begun one.
	orderedAt time.Time
	announced target
	// accepted is the version of the last order, if the worker accepted it or its report shows that it has begun one since.
	accepted target
	// unanswered is the last order while the worker may still carry it out. It was first sent at unansweredSince and is sent
	// again at repeatAt, and then after repeatPause.
	unanswered      loadOrder
	unansweredSince time.Time
	repeatAt        time.Time
	repeatPause     time.Duration
	inherited       inheritedOrder
	// adopted is the unanswered order while only an earlier process may have sent it.
	adopted loadOrder
	// choices holds the last choice of each model, supplies what this host lacks of the versions that it has fetched.
	choices  map[core.Model]rollout.Choice
	supplies map[target]rollout.Supply
	// originFailedAt is the time from which the origin has not answered; zero if it does. originSilent is set if this is only inferred
	// from the lack of new pieces.
	originFailedAt time.Time
	originSilent   bool
	// originTriedAt is the time of the last request that the origin did not answer.
	originTriedAt time.Time
	// stagedPieces holds the pieces of each model that the worker's present process has accepted.
	stagedPieces map[core.Model]stagedPieces
	// lastIncomplete holds the last manifest of each source that was logged as incomplete.
	lastIncomplete map[manifestSource]incompleteManifest
	// running holds the fetches that run.
	running map[target]*versionFetch
	// fetching is the version whose pieces are being staged.
	fetching target
	// ahead is the version whose pieces are fetched into memory.
	ahead target
	wake  chan struct{}

	randomMu sync.Mutex
}

// randomBelow returns a random number in [0, n].
func (a *Agent) randomBelow(n int64) int64 {
	a.randomMu.Lock()
	defer a.randomMu.Unlock()
	return a.Random.Int64N(n + 1)
}

// forkRandom returns a source of random numbers for a concurrent user.
func (a *Agent) forkRandom() *rand.Rand {
	a.randomMu.Lock()
	defer a.randomMu.Unlock()
	return rand.New(rand.NewPCG(a.Random.Uint64(), a.Random.Uint64()))
}

// inUse reports whether the pieces of a version must be kept: it is being staged, or is staged and may be verified again.
func (a *Agent) inUse(t target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isStaged(t) || a.unanswered.target == t || a.fetching == t || a.ahead == t
}

// New returns an Agent.
func New(deps Dependencies) *Agent {
	if deps.WallClock == nil {
		deps.WallClock = time.Now
	}
	return &Agent{
		Dependencies: deps,
		pieces:       newPieceCache(),
		peers:        newPeerClient(),
		throttle:     newThrottle(deps.Config.Transfer.DownloadSlots),
		inherited: inheritedOrder{
			until: deps.Now().Add(deps.Config.LateOrderTimeout), startedAt: deps.WallClock().UnixMilli(),
		},
		wake: make(chan struct{}, 1),
	}
}

// Handler returns the handler that serves pieces to peers.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	uploads := transfer.NewUploadSlots(a.Config.Transfer.UploadSlots, a.Config.CrossRegionSlots)
	server := &peerServer{
		pieces: a.pieces, uploads: uploads, limiter: a.uploadLimiter(), uploadRate: a.LinkBytesPerSecond * a.Config.LinkShare, heard: a.recordPeer,
	}
	server.register(mux)
	return mux
}

// uploadLimiter returns the rate limiter of the bytes sent to peers.
func (a *Agent) uploadLimiter() *rate.Limiter {
	if a.LinkBytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, burstBytes)
	}
	return rate.NewLimiter(rate.Limit(a.LinkBytesPerSecond*a.Config.LinkShare), burstBytes)
}

// Wake makes Run start its next step without waiting for the pause to end.
func (a *Agent) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads the worker's report and carries out rollout steps until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { a.watchWorker(ctx) })
	loops.Go(func() { a.fetchAhead(ctx) })
	for ctx.Err() == nil {
		pause := a.Config.ReportInterval
		if err := a.step(ctx); err != nil && ctx.Err() == nil {
			a.Log.WithError(err).Warn("rollout step failed")
			pause = a.Config.RetryPause
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-time.After(pause):
		}
	}
	loops.Wait()
}

// State is a snapshot of an Agent for state dumps.
type State struct {
	Answered bool
	Loading  bool
	Report   worker.Report
	// Complete holds the version of each model whose pieces have all been staged.
	Complete map[core.Model]int64
	// Unanswered is the version of an order that the worker may still carry out; 0 means none.
	Unanswered int64
}

// State returns a snapshot of the agent.
func (a *Agent) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Answered: a.responding, Loading: a.loading, Report: a.report, Complete: maps.Clone(a.staged),
		Unanswered: a.unanswered.target.version,
	}
}
