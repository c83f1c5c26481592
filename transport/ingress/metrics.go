package ingress

import "expvar"

// Counters of the request path.
var (
	varRequests  = expvar.NewInt("ingress_requests")
	varServed    = expvar.NewInt("ingress_served")
	varRefused   = expvar.NewMap("ingress_refused")
	varAttempts  = expvar.NewInt("ingress_attempts")
	varRetries   = expvar.NewInt("ingress_retries")
	varResumed   = expvar.NewInt("ingress_streams_resumed")
	varCut       = expvar.NewInt("ingress_streams_cut")
	varAbandoned = expvar.NewInt("ingress_abandoned")
	varLogLost   = expvar.NewInt("ingress_log_lines_dropped")
)
