package claims

import (
	"context"
	"encoding/hex"

	"github.com/twitchtv/twirp"

	"github.com/guavatrestle/guavatrestle/coordination/claims"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
)

// Server implements the Twirp service Claims on the entry that owns a shard. It never forwards a record, so that two
// entries that disagree about the owner do not forward it to each other endlessly.
type Server struct {
	service *Service
}

var _ wire.Claims = (*Server)(nil)

// NewServer returns a Server that appends records with service.
func NewServer(service *Service) *Server { return &Server{service: service} }

// Claim implements wire.Claims.
func (s *Server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	response := s.service.appendLocally(ctx, claims.Record{
		Op:          claims.OpClaim,
		Key:         keyFromWire(r.GetKeyHash()),
		Nonce:       claims.Nonce(r.GetNonce()),
		At:          r.GetAtUnixMillis(),
		Fingerprint: hex.EncodeToString(r.GetFingerprint()),
		Holder:      core.HostID(r.GetHolder()),
		Deadline:    r.GetDeadlineUnixMillis(),
	})
	if response.err != nil {
		return nil, twirp.NewError(twirp.Unavailable, response.err.Error())
	}
	return &wire.ClaimResponse{Outcome: outcomeToWire[response.outcome], Answer: resultToWire(&response.result)}, nil
}

// Settle implements wire.Claims.
func (s *Server) Settle(ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	op, ok := opFromWire[r.GetOutcome()]
	if !ok {
		return nil, twirp.InvalidArgumentError("outcome", "does not settle a claim")
	}
	record := claims.Record{Op: op, Key: keyFromWire(r.GetKeyHash()), Nonce: claims.Nonce(r.GetNonce()), At: r.GetAtUnixMillis()}
	if op == claims.OpDone {
		result := resultFromWire(r.GetAnswer()).Bounded()
		record.Result = &result
	}
	if response := s.service.appendLocally(ctx, record); response.err != nil {
		return nil, twirp.NewError(twirp.Unavailable, response.err.Error())
	}
	return &wire.SettleResponse{}, nil
}

// forwardToOwner calls the owner of a record's shard to append the record.
func (s *Service) forwardToOwner(ctx context.Context, owner core.Host, r claims.Record) appendResult {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.OwnerTimeout)
	defer cancel()
	client := wire.NewClaimsProtobufClient("http://"+owner.ControlAddr, transport.BoundResponses(s.client))
	key, _ := hex.DecodeString(string(r.Key))
	if r.Op != claims.OpClaim {
		_, err := client.Settle(ctx, &wire.SettleRequest{
			KeyHash: key, Nonce: string(r.Nonce), Outcome: opToWire[r.Op], Answer: resultToWire(r.Result), AtUnixMillis: r.At,
		})
		return appendResult{err: err}
	}
	fingerprint, _ := hex.DecodeString(r.Fingerprint)
	response, err := client.Claim(ctx, &wire.ClaimRequest{
		KeyHash: key, Nonce: string(r.Nonce), Holder: string(r.Holder), Fingerprint: fingerprint,
		AtUnixMillis: r.At, DeadlineUnixMillis: r.Deadline,
	})
	if err != nil {
		return appendResult{err: err}
	}
	outcome, ok := outcomeFromWire[response.GetOutcome()]
	if !ok {
		return appendResult{err: protocol.Errorf(protocol.CodeMalformed, "owner returned claim outcome %s", response.GetOutcome())}
	}
	return appendResult{outcome: outcome, result: resultFromWire(response.GetAnswer())}
}

func keyFromWire(hash []byte) claims.Key { return claims.Key(hex.EncodeToString(hash)) }

func resultToWire(r *claims.Result) *wire.RecordedAnswer {
	if r == nil {
		return nil
	}
	return &wire.RecordedAnswer{Status: uint32(r.Status), ContentType: r.ContentType, Body: r.Body, BodyOmitted: r.BodyOmitted}
}

func resultFromWire(r *wire.RecordedAnswer) claims.Result {
	return claims.Result{Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody(), BodyOmitted: r.GetBodyOmitted()}
}

var (
	outcomeToWire = map[claims.Outcome]wire.ClaimOutcome{
		claims.Granted:    wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED,
		claims.InProgress: wire.ClaimOutcome_CLAIM_OUTCOME_IN_PROGRESS,
		claims.Done:       wire.ClaimOutcome_CLAIM_OUTCOME_DONE,
		claims.Unknown:    wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN,
		claims.Mismatch:   wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH,
	}
	outcomeFromWire = inverse(outcomeToWire)
	opToWire        = map[claims.Op]wire.ClaimOutcome{
		claims.OpDone:    wire.ClaimOutcome_CLAIM_OUTCOME_DONE,
		claims.OpUnknown: wire.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN,
		claims.OpRelease: wire.ClaimOutcome_CLAIM_OUTCOME_RELEASED,
	}
	opFromWire = inverse(opToWire)
)

func inverse[A, B comparable](m map[A]B) map[B]A {
	out := make(map[B]A, len(m))
	for a, b := range m {
		out[b] = a
	}
	return out
}
