package ingress

// outcome is how a request ended. Each request counts in the metric of exactly one.
type outcome uint8

const (
	// outcomeAborted is the outcome of a request that ended without another one, because its handler panicked.
	outcomeAborted outcome = iota
	// outcomeServed means that a replica's complete response with a status below 500 was passed to the caller.
	outcomeServed
	// outcomeFailed means that a replica's complete response with a status of 500 or more was passed to the caller.
	outcomeFailed
	// outcomeRefused means that the entry answered with an error of its own.
	outcomeRefused
	// outcomeCut means that the entry aborted a stream that had started.
	outcomeCut
	// outcomeAbandoned means that the caller disconnected before the response was complete.
	outcomeAbandoned
)

// outcomeNames are the keys under which the metrics publish the outcomes.
var outcomeNames = [...]string{
	outcomeAborted:   "aborted",
	outcomeServed:    "served",
	outcomeFailed:    "failed",
	outcomeRefused:   "refused",
	outcomeCut:       "cut",
	outcomeAbandoned: "abandoned",
}

// countOutcome counts a request that has ended and records its latency.
func (c *call) countOutcome() {
	latency := c.responseLatency
	if c.outcome != outcomeServed {
		latency = c.h.Now().Sub(c.arrived)
	}
	outcomes.record(c.upstream, c.outcome, latency)
	switch c.outcome {
	case outcomeServed:
		varServed.Add(1)
	case outcomeFailed:
		varFailed.Add(1)
	case outcomeRefused:
		varRefused.Add(c.refusalCode, 1)
	case outcomeCut:
		varStreamsCut.Add(1)
	case outcomeAbandoned:
		varAbandoned.Add(1)
	case outcomeAborted:
		varAborted.Add(1)
	}
}
