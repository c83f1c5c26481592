// Package daemon assembles and runs a guavatrestled process.
package daemon

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
	"github.com/guavatrestle/guavatrestle/transport/control"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/secure"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// process holds what both roles share.
type process struct {
	cfg      config.Config
	self     core.Host
	store    *platform.ObjectClient
	settings *table.Settings
	members  *table.Members
	control  *control.Node
	// credentials are nil without TLS.
	credentials *secure.Credentials
	random      *rand.Rand
	now         func() time.Time
	log         *logrus.Entry
	loops       sync.WaitGroup
}

// role is the part of a process that is specific to its role.
type role interface {
	// start starts the role's background loops, which end with ctx, and returns the handlers of its listeners.
	start(ctx context.Context) (control, data http.Handler)
	// leave prepares the role for the shutdown: an agent refuses new requests, an entry reports not ready and goes on serving
	// for the drain grace. It returns when the listeners may shut down or ctx ends.
	leave(ctx context.Context)
	// state returns the role's part of the state dump.
	state() any
	// ready reports whether the role can serve requests, and if not, why.
	ready() (bool, string)
}

// Run runs a guavatrestled process until ctx ends, then shuts it down gracefully.
func Run(ctx context.Context, cfg config.Config, log *logrus.Entry) error {
	p := newProcess(cfg, log)
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer p.loops.Wait()
	defer stopLoops()
	r, err := p.newRole()
	if err != nil {
		return err
	}
	controlHandler, dataHandler := r.start(loopCtx)
	p.startLoops(loopCtx)
	controlListener, err := p.listenControl(controlHandler)
	if err != nil {
		return err
	}
	dataListener, err := p.listenData(dataHandler)
	if err != nil {
		_ = controlListener.Shutdown(ctx)
		return err
	}
	log.WithField("control", controlListener.Addr()).WithField("data", dataListener.Addr()).Info("process started")
	<-ctx.Done()
	return p.shutdown(r, dataListener, controlListener)
}

func newProcess(cfg config.Config, log *logrus.Entry) *process {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &process{
		cfg: cfg,
		self: core.Host{
			ID:            cfg.Host,
			Incarnation:   core.Incarnation(uuid.NewString()),
			Role:          cfg.Role,
			Region:        cfg.Region,
			FailureDomain: cfg.FailureDomain,
			ControlAddr:   cfg.Listen.Control,
			DataAddr:      cfg.Listen.Data,
			State:         core.HostLive,
		},
		store:    platform.NewObjectClient(cfg.Platform.ObjectAPI, cfg.Platform.Namespace),
		settings: table.NewSettings(),
		members:  table.NewMembers(),
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      time.Now,
		log:      log,
	}
}

func (p *process) newRole() (role, error) {
	if err := p.loadCredentials(); err != nil {
		return nil, err
	}
	if p.cfg.Role == core.RoleAgent {
		p.self.Upstream = p.cfg.Agent.Upstream
		p.control = p.newControl()
		return newAgent(p)
	}
	p.control = p.newControl()
	return newEntry(p), nil
}

func (p *process) startLoops(ctx context.Context) {
	p.loops.Go(func() { p.control.Run(ctx) })
}

// shutdown announces that the process is leaving and closes the listeners after all requests in flight have ended.
func (p *process) shutdown(r role, data, controlListener *server.Listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.totalShutdownTimeout())
	defer cancel()
	p.log.Info("process is leaving")
	var announcement sync.WaitGroup
	announcement.Go(func() { p.control.Leave(ctx) })
	r.leave(ctx)
	announcement.Wait()
	err := data.Shutdown(ctx)
	if controlErr := controlListener.Shutdown(ctx); err == nil {
		err = controlErr
	}
	p.log.Info("process stopped")
	return err
}

// totalShutdownTimeout returns the shutdown timeout, plus the drain grace on an entry.
func (p *process) totalShutdownTimeout() time.Duration {
	if p.cfg.Entry == nil {
		return p.cfg.ShutdownTimeout
	}
	return p.cfg.ShutdownTimeout + p.cfg.Entry.DrainGrace
}

func (p *process) introspection(r role) server.Introspection {
	return server.Introspection{
		State: func() any {
			return State{
				Self:     p.self,
				Settings: redact(p.settings.Documents()),
				Members:  p.members.List(),
				Role:     r.state(),
			}
		},
		Ready: func() (bool, string) {
			if !p.settings.Loaded() {
				return false, "no configuration yet"
			}
			return r.ready()
		},
	}
}
