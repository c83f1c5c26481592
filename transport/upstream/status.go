package upstream

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// Service implements the Twirp service Agent.
type Service struct {
	host     core.Host
	settings *table.Settings
	chunks   *table.Chunks
	gate     *Gate
	transfer TransferReporter
	peers    PeerListener
}

// TransferReport is the part of a status response that describes the weight transfer.
type TransferReport struct {
	OriginBytes int64
	PeerBytes   int64
	// BehindReason is why the back end does not have the target version; empty when it has.
	BehindReason string
}

// TransferReporter reports on the weight transfer.
type TransferReporter interface {
	TransferReport() TransferReport
}

// PeerListener is notified of the chunks that another agent reports to hold.
type PeerListener interface {
	PeerHolds(host core.HostID, digest core.Digest, bitmap []byte)
}

// SetPeerListener sets the listener that Chunks notifies of the chunks that the requesting host holds. It must be
// called before the service is used.
func (s *Service) SetPeerListener(l PeerListener) { s.peers = l }

// SetTransferReporter sets the source of the transfer report in Status. It must be called before the service is used.
func (s *Service) SetTransferReporter(r TransferReporter) { s.transfer = r }

var _ wire.Agent = (*Service)(nil)

// NewService returns a Service.
func NewService(host core.Host, settings *table.Settings, chunks *table.Chunks, gate *Gate) *Service {
	return &Service{host: host, settings: settings, chunks: chunks, gate: gate}
}

// Status implements wire.Agent.
func (s *Service) Status(_ context.Context, request *wire.StatusRequest) (*wire.StatusResponse, error) {
	gate := s.gate.Snapshot()
	if gate.Leaving {
		defer s.gate.MarkNotified(core.HostID(request.GetHost()))
	}
	spec := s.settings.Tree().Upstreams[s.host.Upstream]
	response := &wire.StatusResponse{
		Host:        string(s.host.ID),
		Incarnation: string(s.host.Incarnation),
		Upstream:    string(s.host.Upstream),
		Model:       string(spec.Model),
		State:       stateToWire[gate.State],
		InFlight:    uint32(gate.InFlight),
		Limit:       uint32(gate.Limit),
		Leaving:     gate.Leaving,
		Grant:       s.gate.Offer(core.HostID(request.GetHost())),
	}
	if gate.Complete {
		response.VersionDigest = string(gate.Digest)
	}
	if spec.Target != nil {
		held, total := s.chunks.Progress(spec.Target.Digest)
		response.TargetDigest = string(spec.Target.Digest)
		response.ChunksHeld = uint32(held)
		response.ChunksTotal = uint32(total)
	}
	if s.transfer != nil {
		report := s.transfer.TransferReport()
		response.OriginBytes = uint64(report.OriginBytes)
		response.PeerBytes = uint64(report.PeerBytes)
		response.BehindReason = report.BehindReason
	}
	return response, nil
}

// Chunks implements wire.Agent.
func (s *Service) Chunks(_ context.Context, request *wire.ChunksRequest) (*wire.ChunksResponse, error) {
	digest := core.Digest(request.GetVersionDigest())
	if !digest.Valid() {
		return nil, twirp.InvalidArgumentError("version_digest", "is not a valid digest")
	}
	if s.settings.Tree().Upstreams[s.host.Upstream].IsWithdrawn(digest) {
		return &wire.ChunksResponse{}, nil
	}
	if s.peers != nil && len(request.GetBitmap()) > 0 {
		s.peers.PeerHolds(core.HostID(request.GetHost()), digest, request.GetBitmap())
	}
	response := &wire.ChunksResponse{Bitmap: s.chunks.Bitmap(digest)}
	if request.GetWantManifest() {
		_, response.Manifest, _ = s.chunks.Manifest(digest)
		response.Etag = s.chunks.ETag(digest)
	}
	return response, nil
}

var stateToWire = map[core.UpstreamState]wire.UpstreamState{
	core.UpstreamCold:    wire.UpstreamState_UPSTREAM_STATE_COLD,
	core.UpstreamWarming: wire.UpstreamState_UPSTREAM_STATE_WARMING,
	core.UpstreamWarm:    wire.UpstreamState_UPSTREAM_STATE_WARM,
}
