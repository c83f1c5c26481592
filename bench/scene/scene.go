// Package scene sets up the cluster that several experiments share: entries, workers of one model, plain services
// and teams.
package scene

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/bench/standin/service"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// Model is the model that all workers serve.
	Model = "guava"
	// WorkerUpstream is the upstream of the model's workers.
	WorkerUpstream = core.Upstream("guava-llm")
	// BookingUpstream is the upstream of the plain service.
	BookingUpstream = core.Upstream("pedidos")

	modelBytes   = 1 << 20
	chunkBytes   = 256 << 10
	readyTimeout = 20 * time.Second
	// serviceDelay is the time that a booking takes.
	serviceDelay = 5 * time.Millisecond
	// serviceLimit is the number of bookings that a service bears at once.
	serviceLimit = 64
)

// Domains are the failure domains, one per region.
var Domains = []core.FailureDomain{"centro-a", "norte-a", "sur-a"}

// Team is one team of a scene.
type Team struct {
	Name   core.Team
	Limits settings.TeamLimits
	Weight int
}

// Token returns the team's bearer token.
func (t Team) Token() string { return string(t.Name) + "-token" }

// Spec is what a scene consists of; processes are spread over the failure domains in turn.
type Spec struct {
	Binary   string
	Entries  int
	Workers  int
	Services int
	Engine   engine.Config
	Teams    []Team
	// Policy is the entries' routing policy; empty means the default.
	Policy string
	// Options change the configuration of every process.
	Options []cluster.Option
}

// Scene is a running cluster in which every entry sees every worker with the model complete.
type Scene struct {
	*cluster.Cluster
	Entries  []*cluster.Process
	Workers  []*cluster.Process
	Services []*cluster.Process
	spec     Spec
	digest   core.Digest
}

// New starts a scene.
func New(ctx context.Context, spec Spec) (*Scene, error) {
	c, err := cluster.New(spec.Binary)
	if err != nil {
		return nil, err
	}
	s := &Scene{
		Cluster:  c,
		Entries:  make([]*cluster.Process, spec.Entries),
		Workers:  make([]*cluster.Process, spec.Workers),
		Services: make([]*cluster.Process, spec.Services),
		spec:     spec,
	}
	if err := s.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

func (s *Scene) start(ctx context.Context) error {
	if err := s.startProcesses(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err := cluster.WaitFor(ctx, func() bool { return s.complete(ctx) })
	return eris.Wrap(err, "entries do not see all workers with the model")
}

func (s *Scene) startProcesses(ctx context.Context) error {
	total := len(s.Entries) + len(s.Workers) + len(s.Services)
	return cluster.ForEachParallel(total, func(i int) error {
		var err error
		if i < len(s.Entries) {
			options := append(slices.Clone(s.spec.Options), s.policy)
			s.Entries[i], err = s.StartEntry(ctx, name("entry", i), domain(i), options...)
			return err
		}
		i -= len(s.Entries)
		if i < len(s.Workers) {
			s.Workers[i], err = s.StartAgent(ctx, name("worker", i), domain(i), WorkerUpstream, s.spec.Engine, s.spec.Options...)
			return err
		}
		i -= len(s.Workers)
		s.Services[i], err = s.StartService(ctx, name("service", i), domain(i), BookingUpstream, service.Config{Delay: serviceDelay}, s.spec.Options...)
		return err
	})
}

func (s *Scene) policy(cfg *config.Config) { cfg.Entry.RoutingPolicy = s.spec.Policy }

func (s *Scene) configure(ctx context.Context) error {
	body := bytes.Repeat([]byte("guava weights "), modelBytes/14+1)[:modelBytes]
	digest, err := s.Origin.Add(Model, "v1", body, chunkBytes)
	if err != nil {
		return err
	}
	s.digest = digest
	for _, worker := range s.Workers {
		worker.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	if err := s.applyUpstreams(ctx); err != nil {
		return err
	}
	for _, team := range s.spec.Teams {
		if _, err := cluster.ApplyDocument(ctx, s.Entries[0], settings.TeamPath(team.Name), 0, s.teamSettings(team)); err != nil {
			return err
		}
	}
	return nil
}

// applyUpstreams creates the upstreams' documents, which must exist before a team's document names them.
func (s *Scene) applyUpstreams(ctx context.Context) error {
	documents := map[core.Upstream]settings.UpstreamSettings{
		WorkerUpstream: {
			Kind: settings.KindModel, Model: Model, Target: &settings.VersionRef{Version: "v1", Digest: s.digest},
			ColdLimit: s.spec.Engine.ColdLimit, WarmLimit: s.spec.Engine.WarmLimit,
			WarmupCompletions: s.spec.Engine.WarmupCompletions,
		},
		BookingUpstream: {Kind: settings.KindService, ColdLimit: serviceLimit, WarmLimit: serviceLimit},
	}
	for name, document := range documents {
		if _, err := cluster.ApplyDocument(ctx, s.Entries[0], settings.UpstreamPath(name), 0, document); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scene) teamSettings(team Team) settings.TeamSettings {
	return settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(team.Token()))},
		Limits:      team.Limits,
		Weight:      team.Weight,
		Models:      []settings.ModelSettings{{Name: Model, Upstream: WorkerUpstream, VersionDigest: s.digest}},
		Services:    []settings.ServiceSettings{{Upstream: BookingUpstream}},
	}
}

func (s *Scene) complete(ctx context.Context) bool {
	for _, entry := range s.Entries {
		seen, err := entry.ReadAgentStatuses(ctx)
		if err != nil || len(seen) < len(s.Workers)+len(s.Services) || !s.knowsTeams(ctx, entry) {
			return false
		}
		for _, worker := range s.Workers {
			if seen[worker.Host.ID].VersionDigest != s.digest {
				return false
			}
		}
	}
	return true
}

func (s *Scene) knowsTeams(ctx context.Context, entry *cluster.Process) bool {
	state, err := entry.ReadState(ctx)
	return err == nil && len(state.Settings) >= len(s.spec.Teams)+2
}

// StreamedCompletion returns a streamed completion number n of a team.
func (s *Scene) StreamedCompletion(base string, team Team, n int) caller.Request {
	return caller.StreamedCompletion(base, team.Token(), Model, fmt.Sprintf("%s quote %d", team.Name, n), s.spec.Engine.Tokens)
}

// Booking returns booking number n of a team.
func (s *Scene) Booking(base string, team Team, n int) caller.Request {
	return caller.Booking(base, team.Token(), string(BookingUpstream), fmt.Sprintf("%s booking %d", team.Name, n))
}

// ColdOverload returns the requests above what cold engines bear.
func (s *Scene) ColdOverload() int {
	n := 0
	for _, worker := range s.Workers {
		n += worker.Engine.Counts().ColdOverload
	}
	return n
}

// DuplicatedBookings returns the bookings that ran more than once.
func (s *Scene) DuplicatedBookings() int {
	runs := make(map[string]int)
	for _, p := range s.Services {
		for booking, n := range p.Service.Runs().ByBooking {
			runs[booking] += n
		}
	}
	duplicated := 0
	for _, n := range runs {
		if n > 1 {
			duplicated++
		}
	}
	return duplicated
}

func name(kind string, i int) core.HostID { return core.HostID(fmt.Sprintf("%s-%d", kind, i)) }

func domain(i int) core.FailureDomain { return Domains[i%len(Domains)] }
