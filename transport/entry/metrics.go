package entry

import "expvar"

// Counters of the request path; attempts over forwarded is the number of tries per request.
var (
	varForwarded = expvar.NewInt("entry_requests_forwarded")
	varAttempts  = expvar.NewInt("entry_attempts")
	varRefusals  = expvar.NewInt("entry_agent_refusals")
)
