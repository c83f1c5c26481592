package staging

import (
	"expvar"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// Process-wide counters of the weight transfer, published at /debug/vars.
var (
	varPieces               = expvar.NewMap("staging_pieces")
	varManifests            = expvar.NewMap("staging_manifests")
	varOriginBytes          = expvar.NewInt("staging_origin_bytes")
	varPeerBytes            = expvar.NewInt("staging_peer_bytes")
	varCrossRegionBytes     = expvar.NewInt("staging_cross_region_bytes")
	varLoadOrders           = expvar.NewInt("staging_load_orders")
	varLoadOrdersRefused    = expvar.NewInt("staging_load_orders_refused")
	varLoadOrdersUnanswered = expvar.NewInt("staging_load_orders_unanswered")
	varLoadOrdersPutOff     = expvar.NewInt("staging_load_orders_put_off")
	varVersionChoices       = expvar.NewMap("staging_version_choices")
	varVerifications        = expvar.NewInt("staging_verifications")
	varPiecesRestaged       = expvar.NewInt("staging_pieces_restaged")
	varWritesUnanswered     = expvar.NewInt("staging_writes_unanswered")
)

// manifestSource is where a manifest came from; manifestFailed counts failed reads from the origin, manifestIncomplete the manifests of
// any source that were not accepted.
type manifestSource string

const (
	manifestOrigin manifestSource = "origin"
	manifestPeer   manifestSource = "peer"
	manifestCache  manifestSource = "cache"
	manifestFailed manifestSource = "failed"

	manifestIncomplete manifestSource = "incomplete"
)

func countManifest(source manifestSource, err error) {
	if err != nil {
		source = manifestFailed
	}
	varManifests.Add(string(source), 1)
}

func countPiece(fetch transfer.Fetch, outcome transfer.Outcome, bytes int) {
	varPieces.Add(string(outcome), 1)
	switch {
	case fetch.Source.IsOrigin():
		varOriginBytes.Add(int64(bytes))
	case fetch.CrossRegion:
		varCrossRegionBytes.Add(int64(bytes))
	default:
		varPeerBytes.Add(int64(bytes))
	}
}
