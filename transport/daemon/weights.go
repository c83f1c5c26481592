package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/google/uuid"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/weights"
)

// weightTransfer holds the parts of an agent that transfer and activate model versions.
type weightTransfer struct {
	rollout *weights.Rollout
	handler *weights.ChunkHandler
	peers   *weights.PeerClient
	fetcher *weights.Fetcher
}

// run rolls out versions until ctx ends.
func (w weightTransfer) run(ctx context.Context) {
	defer w.peers.Close()
	w.rollout.Run(ctx)
}

// newWeightTransfer creates the weight transfer and the activation of an agent.
func (a *agent) newWeightTransfer() weightTransfer {
	cfg := *a.cfg.Agent
	a.chunks.SetLimit(cfg.ChunkMemoryBytes)
	limits := weights.NewLimits(cfg, func() bool { return a.gate.Snapshot().InFlight > 0 })
	peers := a.newPeerClient()
	counters := &weights.Counters{}
	fetcher := weights.NewFetcher(weights.FetcherDependencies{
		Self: a.self,
		Config: transfer.Config{
			Transfer: *cfg.Transfer, Strategy: transfer.Strategy(cfg.Strategy), OriginRegion: cfg.OriginRegion,
		},
		Source:   platform.NewWeightClient(a.cfg.Platform.WeightSource),
		Chunks:   a.chunks,
		Hosts:    a.members.List,
		Peers:    peers,
		Limits:   limits,
		Counters: counters,
		Random:   a.newRandom(),
		Now:      a.now,
		Log:      a.log,
	})
	rollout := weights.NewRollout(weights.RolloutDependencies{
		Self:         a.self,
		Config:       *cfg.Activation,
		Settings:     a.settings,
		Chunks:       a.chunks,
		Fetcher:      fetcher,
		Permits:      weights.NewPermits(a.store, a.self, cfg.Activation.LeaseTTL, uuid.NewString, a.now),
		Peers:        peers,
		Hosts:        a.members.List,
		Counters:     counters,
		Engine:       a.engine,
		Gate:         a.gate,
		Monitor:      a.monitor,
		StepInterval: cfg.PollInterval,
		Random:       a.newRandom(),
		Now:          a.now,
		Log:          a.log,
	})
	handler := weights.NewChunkHandler(a.chunks, limits, a.isWithdrawn, cfg.Transfer.UploadSlots, cfg.Transfer.ChunkTimeout)
	handler.SetPeerListener(fetcher)
	return weightTransfer{rollout: rollout, handler: handler, peers: peers, fetcher: fetcher}
}

func (a *agent) newPeerClient() *weights.PeerClient {
	if a.credentials == nil {
		return weights.NewPeerClient(a.self, a.chunks)
	}
	return weights.NewSecurePeerClient(a.self, a.chunks, a.peerTransport())
}

// newRandom returns an independent random source, seeded from that of the process.
func (a *agent) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(a.random.Uint64(), a.random.Uint64()))
}

// isWithdrawn reports whether a version of the upstream's model was withdrawn.
func (a *agent) isWithdrawn(digest core.Digest) bool {
	return a.settings.Tree().Upstreams[a.self.Upstream].IsWithdrawn(digest)
}
