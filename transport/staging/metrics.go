package staging

import (
	"expvar"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// Counters of the weight transfer.
var (
	varPieces      = expvar.NewMap("staging_pieces")
	varOriginBytes = expvar.NewInt("staging_origin_bytes")
	varPeerBytes   = expvar.NewInt("staging_peer_bytes")
	varRegionBytes = expvar.NewInt("staging_cross_region_bytes")
	varLoads       = expvar.NewInt("staging_load_orders")
	varLoadFaults  = expvar.NewInt("staging_load_orders_refused")
	varRestaged    = expvar.NewInt("staging_pieces_restaged")
)

func countPiece(fetch transfer.Fetch, outcome transfer.Outcome, bytes int) {
	varPieces.Add(string(outcome), 1)
	switch {
	case fetch.Source.IsOrigin():
		varOriginBytes.Add(int64(bytes))
	case fetch.CrossRegion:
		varRegionBytes.Add(int64(bytes))
	default:
		varPeerBytes.Add(int64(bytes))
	}
}
