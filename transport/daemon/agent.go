package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	protocolplatform "github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/server"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

const (
	// drainPoll is the time between looks at the requests in flight while the agent leaves.
	drainPoll = 20 * time.Millisecond
	// followInterval is the time between looks at the settings that the gate follows.
	followInterval = 200 * time.Millisecond
)

// agent is the agent role.
type agent struct {
	*process
	chunks  *table.Chunks
	engine  protocolplatform.Engine
	gate    *upstream.Gate
	monitor *upstream.Monitor
}

func newAgent(p *process) (*agent, error) {
	p.self.Upstream = p.cfg.Agent.Upstream
	engine, err := platform.NewEngineClient(p.cfg.Agent.Engine, http.DefaultTransport)
	if err != nil {
		return nil, err
	}
	a := &agent{process: p, chunks: table.NewChunks(), engine: engine}
	a.gate = upstream.NewGate(admission.Config{ColdLimit: 1, WarmLimit: 1}, p.now)
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
	service.ReportTransfer(parts.rollout)
	controlMux := http.NewServeMux()
	controlMux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(service))
	server.AddDebug(controlMux, a.introspection(a))
	dataMux := http.NewServeMux()
	dataMux.Handle("POST /call", upstream.NewHandler(a.gate, a.engine, a.now, a.log))
	dataMux.Handle("GET /chunks/{digest}/{index}", parts.handler)
	return controlMux, dataMux
}

// followSettings applies changed settings to the gate.
func (a *agent) followSettings(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		a.applySettings()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *agent) applySettings() {
	tree := a.settings.Tree()
	if spec, ok := tree.Upstreams[a.self.Upstream]; ok {
		a.gate.Configure(admission.Config{
			ColdLimit:         spec.ColdLimit,
			WarmLimit:         spec.WarmLimit,
			WarmupCompletions: spec.WarmupCompletions,
		})
	}
	a.gate.SetInService(tree.InService(a.self.FailureDomain))
}

func (a *agent) leave(ctx context.Context) {
	a.gate.SetLeaving()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for a.gate.Snapshot().InFlight > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *agent) state() any { return a.gate.Snapshot() }

func (a *agent) ready() (bool, string) {
	if a.gate.Snapshot().BootID == "" {
		return false, "the back end has not reported"
	}
	return true, ""
}
