package staging

import (
	"context"
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
	// ReportInterval is the time between two reads of the worker's report.
	ReportInterval time.Duration
	// ReportTimeout bounds one read of the worker's report.
	ReportTimeout time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// LoadNoticeDelay is the time between the notice to entry hosts that the worker takes no new work and the order to load.
	LoadNoticeDelay time.Duration
	// OrderReportDelay is the time that an accepted order has to show in the worker's report.
	OrderReportDelay time.Duration
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
		Transfer:         settings,
		Rollout:          rollout.DefaultConfig(),
		ReportInterval:   200 * time.Millisecond,
		ReportTimeout:    time.Second,
		OrderTimeout:     2 * time.Second,
		LoadNoticeDelay:  60 * time.Millisecond,
		OrderReportDelay: 800 * time.Millisecond,
		RetryPause:       300 * time.Millisecond,
		LinkShare:        0.85,

		CrossRegionSlots: 3,
	}
}

// Parts are the parts that an Agent works with.
type Parts struct {
	Config Config
	// HostIP is the IP number of the host, Replica the address of its worker.
	HostIP         string
	ReplicaAddress string
	Upstream       core.Upstream
	Region         core.Region
	FailureDomain  core.FailureDomain
	Regions        map[core.FailureDomain]core.Region
	// PeerPort is the port on which every agent gives pieces to its peers.
	PeerPort int
	// LinkBytesPerSecond is the bandwidth of the host's link in each direction; zero means that it is not known.
	LinkBytesPerSecond float64

	Worker worker.Worker
	Origin worker.Origin
	View   func() *fleet.View
	// Publish sends a load report to entry hosts; urgent sends it at once. Silence stops the reports.
	Publish     func(born int64, report dispatch.Report, urgent bool)
	StopReports func()
	Random      *rand.Rand
	Now         func() time.Time
	Log         *logrus.Entry
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
	uploads := transfer.NewUploadSlots(a.Config.Transfer.UploadSlots, a.Config.CrossRegionSlots)
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
