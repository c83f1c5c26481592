package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	protocolplatform "github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/server"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// agent implements the agent role.
type agent struct {
	*process
	chunks          *table.Chunks
	engine          protocolplatform.Engine
	engineTransport *upstream.Transport
	gate            *upstream.Gate
	monitor         *upstream.Monitor
}

func newAgent(p *process) (*agent, error) {
	a := &agent{process: p, chunks: table.NewChunks(), gate: upstream.NewGate(admission.Config{}, p.now)}
	a.engineTransport = upstream.NewTransport(a.gate)
	engine, err := platform.NewEngineClient(p.cfg.Agent.Engine, a.engineTransport)
	if err != nil {
		return nil, err
	}
	a.engine = engine
	a.monitor = upstream.NewMonitor(engine, a.gate, p.cfg.Agent.PollInterval, p.log)
	return a, nil
}

func (a *agent) start(ctx context.Context) (controlHandler, dataHandler http.Handler) {
	a.loops.Go(func() { a.monitor.Run(ctx) })
	a.loops.Go(func() { a.watchSettings(ctx) })
	transfer := a.newWeightTransfer()
	if a.cfg.Platform.WeightSource != "" {
		a.loops.Go(func() { transfer.run(ctx) })
	}
	service := upstream.NewService(a.self, a.settings, a.chunks, a.gate)
	service.SetTransferReporter(transfer.rollout)
	service.SetPeerListener(transfer.fetcher)
	controlMux := http.NewServeMux()
	controlMux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(service))
	a.registerControl(controlMux)
	server.AddDebug(controlMux, a.introspection(a))
	dataMux := http.NewServeMux()
	dataMux.Handle("POST /call", upstream.NewHandler(upstream.HandlerDependencies{
		Gate:                a.gate,
		Monitor:             a.monitor,
		Engine:              a.engine,
		Timing:              a.callTiming(),
		DropIdleConnections: a.engineTransport.CloseIdleConnections,
		Log:                 a.log,
	}))
	dataMux.Handle("GET /chunks/{digest}/{index}", transfer.handler)
	return controlMux, dataMux
}

// callTiming returns the time limits for a response of the back end that makes no progress.
func (a *agent) callTiming() upstream.Timing {
	timing := upstream.DefaultTiming()
	timing.ProgressTimeout = a.cfg.Agent.ProgressTimeout
	timing.SuspectTimeout = min(timing.SuspectTimeout, timing.ProgressTimeout)
	return timing
}

// watchSettings applies each change of the settings to the gate as soon as it is merged.
func (a *agent) watchSettings(ctx context.Context) {
	for {
		view := a.settings.View()
		if view.Loaded {
			a.applySettings(view.Tree)
		}
		select {
		case <-ctx.Done():
			return
		case <-view.Changed:
		}
	}
}

// applySettings updates the gate from the settings. It sets whether the failure domain is in service before it sets the
// limits, so that no request is admitted in between. Without settings for its upstream the agent admits no requests.
func (a *agent) applySettings(tree *settings.Tree) {
	a.gate.SetInService(tree.InService(a.self.FailureDomain))
	spec, ok := tree.Upstreams[a.self.Upstream]
	if !ok {
		a.gate.Configure(admission.Config{})
		return
	}
	a.gate.Configure(admission.Config{
		ColdLimit:         spec.ColdLimit,
		WarmLimit:         spec.WarmLimit,
		WarmupCompletions: spec.WarmupCompletions,
		Versioned:         spec.Kind == settings.KindModel,
		MaxReportAge:      a.maxReportAge(),
	})
}

// maxReportAge returns the age beyond which a status report of the back end is not used. It allows for one slow status
// read and one missed one.
func (a *agent) maxReportAge() time.Duration {
	return platform.StatusTimeout + 2*a.cfg.Agent.PollInterval
}

func (a *agent) leave(ctx context.Context) {
	a.gate.Drain(ctx)
	a.engineTransport.CloseIdleConnections()
}

func (a *agent) state() any { return a.gate.Snapshot() }

func (a *agent) ready() (bool, string) {
	if a.gate.Snapshot().BootID == "" {
		return false, "no status report from the back end yet"
	}
	return true, ""
}
