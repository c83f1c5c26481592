package weights

import (
	"expvar"
	"sync/atomic"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// Process-wide counters, published at /debug/vars.
var (
	varOriginBytes          = expvar.NewInt("weights_origin_bytes")
	varSameRegionPeerBytes  = expvar.NewInt("weights_peer_bytes_same_region")
	varCrossRegionPeerBytes = expvar.NewInt("weights_peer_bytes_cross_region")
	varRejectedChunks       = expvar.NewInt("weights_rejected_chunks")
	varPolls                = expvar.NewInt("weights_polls")
	varBusyResponses        = expvar.NewInt("weights_busy_responses")
	varFailedFetches        = expvar.NewInt("weights_failed_fetches")
)

// Counters counts the bytes of chunks received and the chunks rejected.
type Counters struct {
	origin      atomic.Int64
	sameRegion  atomic.Int64
	crossRegion atomic.Int64
	rejected    atomic.Int64
}

// OriginBytes returns the number of bytes received from the weight source.
func (c *Counters) OriginBytes() int64 { return c.origin.Load() }

// PeerBytes returns the number of bytes received from peers.
func (c *Counters) PeerBytes() int64 { return c.sameRegion.Load() + c.crossRegion.Load() }

// RejectedChunks returns the number of chunks that did not match their hash.
func (c *Counters) RejectedChunks() int64 { return c.rejected.Load() }

func (c *Counters) addOriginBytes(n int) {
	c.origin.Add(int64(n))
	varOriginBytes.Add(int64(n))
}

func (c *Counters) addPeerBytes(n int, crossRegion bool) {
	if crossRegion {
		c.crossRegion.Add(int64(n))
		varCrossRegionPeerBytes.Add(int64(n))
		return
	}
	c.sameRegion.Add(int64(n))
	varSameRegionPeerBytes.Add(int64(n))
}

func (c *Counters) addRejectedChunk() {
	c.rejected.Add(1)
	varRejectedChunks.Add(1)
}

// countFetchOutcome counts a fetch that returned no chunk, by its outcome.
func countFetchOutcome(outcome transfer.Outcome) {
	switch outcome {
	case transfer.OutcomeBusy:
		varBusyResponses.Add(1)
	case transfer.OutcomeFailed, transfer.OutcomeMissing:
		varFailedFetches.Add(1)
	}
}
