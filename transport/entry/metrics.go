package entry

import "expvar"

// Counters of forwarded requests; varAttempts divided by varForwarded is the number of attempts per request.
var (
	varForwarded = expvar.NewInt("entry_requests_forwarded")
	varAttempts  = expvar.NewInt("entry_attempts")
	varRefusals  = expvar.NewInt("entry_agent_refusals")
)
