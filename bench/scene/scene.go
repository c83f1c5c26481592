// Package scene sets up the cluster that several experiments use: entries, workers of one model, booking services and
// teams.
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
	// BookingUpstream is the upstream of the booking services.
	BookingUpstream = core.Upstream("pedidos")

	modelBytes   = 1 << 20
	chunkBytes   = 256 << 10
	readyTimeout = 20 * time.Second
	// bookingDelay is the processing time of a booking.
	bookingDelay = 5 * time.Millisecond
	// bookingLimit is the number of concurrent bookings allowed at a service.
	bookingLimit = 64
)

// Domains are the failure domains, one per region.
var Domains = []core.FailureDomain{"centro-a", "norte-a", "sur-a"}

// Team describes a team in the settings of a scene.
type Team struct {
	Name   core.Team
	Limits settings.TeamLimits
	Weight int
}

// Token returns the team's bearer token.
func (t Team) Token() string { return string(t.Name) + "-token" }

// Spec describes a scene. Processes of each kind are assigned to the failure domains in turn.
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

// Scene is a running cluster. When New returns it, every entry sees every worker with the complete model.
type Scene struct {
	*cluster.Cluster
	Entries  []*cluster.Process
	Workers  []*cluster.Process
	Services []*cluster.Process
	spec     Spec
	digest   core.Digest
}

// New starts a scene and waits until it is ready.
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
	err := cluster.WaitFor(ctx, func() bool { return s.allEntriesReady(ctx) })
	return eris.Wrap(err, "entries do not see all workers with the target version")
}

func (s *Scene) startProcesses(ctx context.Context) error {
	total := len(s.Entries) + len(s.Workers) + len(s.Services)
	return cluster.ForEachParallel(total, func(i int) error {
		var err error
		if i < len(s.Entries) {
			options := append(slices.Clone(s.spec.Options), s.setPolicy)
			s.Entries[i], err = s.StartEntry(ctx, hostID("entry", i), domainAt(i), options...)
			return err
		}
		i -= len(s.Entries)
		if i < len(s.Workers) {
			s.Workers[i], err = s.StartAgent(ctx, hostID("worker", i), domainAt(i), WorkerUpstream, s.spec.Engine, s.spec.Options...)
			return err
		}
		i -= len(s.Workers)
		s.Services[i], err = s.StartService(ctx, hostID("service", i), domainAt(i), BookingUpstream, service.Config{Delay: bookingDelay}, s.spec.Options...)
		return err
	})
}

func (s *Scene) setPolicy(cfg *config.Config) { cfg.Entry.RoutingPolicy = s.spec.Policy }

func (s *Scene) configure(ctx context.Context) error {
	weights := bytes.Repeat([]byte("guava weights "), modelBytes/14+1)[:modelBytes]
	digest, err := s.Origin.Add(Model, "v1", weights, chunkBytes)
	if err != nil {
		return err
	}
	s.digest = digest
	for _, worker := range s.Workers {
		worker.Engine.ExpectContent(digest, core.DigestOf(weights))
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

// applyUpstreams creates the settings documents of the upstreams, which must exist before a team's document refers to
// them.
func (s *Scene) applyUpstreams(ctx context.Context) error {
	documents := map[core.Upstream]settings.UpstreamSettings{
		WorkerUpstream: {
			Kind: settings.KindModel, Model: Model, Target: &settings.VersionRef{Version: "v1", Digest: s.digest},
			ColdLimit: s.spec.Engine.ColdLimit, WarmLimit: s.spec.Engine.WarmLimit,
			WarmupCompletions: s.spec.Engine.WarmupCompletions,
		},
		BookingUpstream: {Kind: settings.KindService, ColdLimit: bookingLimit, WarmLimit: bookingLimit},
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

// allEntriesReady reports whether every entry has all settings and sees all agents, the workers with the target
// version.
func (s *Scene) allEntriesReady(ctx context.Context) bool {
	for _, entry := range s.Entries {
		seen, err := entry.ReadAgentStatuses(ctx)
		if err != nil || len(seen) < len(s.Workers)+len(s.Services) || !s.hasAllSettings(ctx, entry) {
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

// hasAllSettings reports whether an entry has the settings documents of all teams and of both upstreams.
func (s *Scene) hasAllSettings(ctx context.Context, entry *cluster.Process) bool {
	state, err := entry.ReadState(ctx)
	return err == nil && len(state.Settings) >= len(s.spec.Teams)+2
}

// StreamedCompletion returns request number n of a team for a streamed completion.
func (s *Scene) StreamedCompletion(base string, team Team, n int) caller.Request {
	return caller.StreamedCompletion(base, team.Token(), Model, fmt.Sprintf("%s quote %d", team.Name, n), s.spec.Engine.Tokens)
}

// Booking returns request number n of a team to the booking service.
func (s *Scene) Booking(base string, team Team, n int) caller.Request {
	return caller.Booking(base, team.Token(), string(BookingUpstream), fmt.Sprintf("%s booking %d", team.Name, n))
}

// ColdOverload returns the number of requests that exceeded the limit of a cold engine.
func (s *Scene) ColdOverload() int {
	n := 0
	for _, worker := range s.Workers {
		n += worker.Engine.Counts().ColdOverload
	}
	return n
}

// DuplicatedBookings returns the number of bookings that ran more than once.
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

func hostID(kind string, i int) core.HostID { return core.HostID(fmt.Sprintf("%s-%d", kind, i)) }

func domainAt(i int) core.FailureDomain { return Domains[i%len(Domains)] }
