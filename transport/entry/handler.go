package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	servicePrefix = "/services/"
	// maxKeyBytes bounds a caller's idempotency key.
	maxKeyBytes = 256
)

// Handler serves the HTTP API for callers.
type Handler struct {
	cfg       config.Entry
	tuning    Tuning
	self      core.Host
	settings  *table.Settings
	upstreams *table.Upstreams
	pool      *connPool
	retries   *retryBudget
	dispatch  *dispatcher
	claims    Claims
	now       func() time.Time
	log       *logrus.Entry

	// random is only used while the lock of upstreams is held.
	random *rand.Rand

	// closing is canceled by Close, which waits for the goroutines in background.
	closing    context.Context
	close      context.CancelFunc
	background sync.WaitGroup
}

// Dependencies holds the settings and dependencies of a Handler.
type Dependencies struct {
	Config    config.Entry
	Tuning    Tuning
	Self      core.Host
	Settings  *table.Settings
	Upstreams *table.Upstreams
	Claims    Claims
	// TLS is nil when agents are reached without TLS.
	TLS    TLSWrapper
	Random *rand.Rand
	Now    func() time.Time
	Log    *logrus.Entry
}

// NewHandler returns a Handler. Run must be running while it serves requests.
func NewHandler(p Dependencies) *Handler {
	closing, cancel := context.WithCancel(context.Background())
	return &Handler{
		closing:   closing,
		close:     cancel,
		cfg:       p.Config,
		tuning:    p.Tuning,
		self:      p.Self,
		settings:  p.Settings,
		upstreams: p.Upstreams,
		pool:      newConnPool(p.TLS),
		retries:   newRetryBudget(p.Tuning.Retry, rand.New(rand.NewPCG(p.Random.Uint64(), 0))),
		dispatch:  newDispatcher(),
		claims:    p.Claims,
		random:    rand.New(rand.NewPCG(p.Random.Uint64(), 1)),
		now:       p.Now,
		log:       p.Log,
	}
}

// Register adds the handlers of the API for callers to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.serveModel)
	mux.HandleFunc("POST /v1/completions", h.serveModel)
	mux.HandleFunc(servicePrefix, h.serveService)
}

// Close stops the background retries of claim results and closes idle connections. No request may be in flight or
// follow.
func (h *Handler) Close() {
	h.close()
	h.background.Wait()
	h.pool.retireExcept(nil)
}

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(w)
	c, err := h.parseModelCall(w, r, id)
	if err != nil {
		transport.WriteError(w, id, err)
		return
	}
	h.runUnclaimed(w, r, c)
}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	id := newRequestID(w)
	c, err := h.parseServiceCall(w, r, id)
	if err != nil {
		transport.WriteError(w, id, err)
		return
	}
	if c.key != "" && !c.repeatable {
		h.runClaimed(w, r, c)
		return
	}
	h.runUnclaimed(w, r, c)
}

// WithRequestID sets a request ID on every response of next, including those outside the API for callers.
func WithRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newRequestID(w)
		next.ServeHTTP(w, r)
	})
}

// newRequestID returns the request ID in the response header, and generates and sets one if there is none.
func newRequestID(w http.ResponseWriter) core.RequestID {
	if id := w.Header().Get(headerRequestID); id != "" {
		return core.RequestID(id)
	}
	id := core.RequestID(uuid.NewString())
	w.Header().Set(headerRequestID, string(id))
	return id
}
