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

// agent is the agent role.
type agent struct {
	*process
	chunks  *table.Chunks
	engine  protocolplatform.Engine
	calls   *upstream.Transport
	gate    *upstream.Gate
	monitor *upstream.Monitor
}

func newAgent(p *process) (*agent, error) {
	a := &agent{process: p, chunks: table.NewChunks(), gate: upstream.NewGate(admission.Config{}, p.now)}
	a.calls = upstream.NewTransport(a.gate)
	engine, err := platform.NewEngineClient(p.cfg.Agent.Engine, a.calls)
	if err != nil {
		return nil, err
	}
	a.engine = engine
	a.monitor = upstream.NewMonitor(engine, a.gate, p.cfg.Agent.PollInterval, p.log)
	return a, nil
}

func (a *agent) start(ctx context.Context) (controlHandler, dataHandler http.Handler) {
	a.loops.Go(func() { a.monitor.Run(ctx) })
	a.loops.Go(func() { a.followSettings(ctx) })
	parts := a.newWeights()
	if a.cfg.Platform.WeightSource != "" {
		a.loops.Go(func() { parts.run(ctx) })
	}
	service := upstream.NewService(a.self, a.settings, a.chunks, a.gate)
	service.SetTransferReporter(parts.rollout)
	service.SetPeerListener(parts.fetcher)
	controlMux := http.NewServeMux()
	controlMux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(service))
	a.registerControl(controlMux)
	server.AddDebug(controlMux, a.introspection(a))
	dataMux := http.NewServeMux()
	dataMux.Handle("POST /call", upstream.NewHandler(upstream.HandlerParts{
		Gate:                a.gate,
		Monitor:             a.monitor,
		Engine:              a.engine,
		Timing:              a.callTiming(),
		DropIdleConnections: a.calls.CloseIdleConnections,
		Log:                 a.log,
	}))
	dataMux.Handle("GET /chunks/{digest}/{index}", parts.handler)
	return controlMux, dataMux
}

// callTiming returns the times that bound a quiet response of the back end.
func (a *agent) callTiming() upstream.Timing {
	timing := upstream.DefaultTiming()
	timing.ProgressTimeout = a.cfg.Agent.ProgressTimeout
	timing.SuspectTimeout = min(timing.SuspectTimeout, timing.ProgressTimeout)
	return timing
}

// followSettings applies each change of the settings to the gate at once.
func (a *agent) followSettings(ctx context.Context) {
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

// applySettings closes the gate before it opens it, so that no request slips in between. Without a document of its
// upstream the agent admits nothing.
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

// maxReportAge allows for one slow status read and one missed one.
func (a *agent) maxReportAge() time.Duration {
	return platform.StatusTimeout + 2*a.cfg.Agent.PollInterval
}

func (a *agent) leave(ctx context.Context) {
	a.gate.Drain(ctx)
	a.calls.CloseIdleConnections()
}

func (a *agent) state() any { return a.gate.Snapshot() }

func (a *agent) ready() (bool, string) {
	if a.gate.Snapshot().BootID == "" {
		return false, "the back end has not reported"
	}
	return true, ""
}
