package transport

import (
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// FetchOutcome maps the error of a chunk fetch to the outcome that a transfer.Planner expects.
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
