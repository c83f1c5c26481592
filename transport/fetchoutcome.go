package transport

import (
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// FetchOutcome tells a transfer.Planner how the fetch of a chunk ended.
func FetchOutcome(err error) transfer.Outcome {
	if err == nil {
		return transfer.OutcomeHeld
	}
	switch protocol.CodeOf(err) {
	case protocol.CodeMalformed:
		return transfer.OutcomeCorrupt
	case protocol.CodeRateLimited:
		return transfer.OutcomeBusy
	case protocol.CodeNotFound:
		return transfer.OutcomeMissing
	default:
		return transfer.OutcomeFailed
	}
}
