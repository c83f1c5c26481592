package ingress

import (
	"net/http"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport"
)

// checkTokens returns an error for a request that no engine of the upstream can hold with its prompt and the most output that it allows.
// An engine ends when the requests that it holds exceed its memory.
func (c *call) checkTokens() *transport.Error {
	engine := c.view.Configuration.Upstreams[c.upstream].Engine
	if engine == nil || engine.Performance == nil || engine.Performance.CacheTokens <= 0 {
		return nil
	}
	limit := engine.Performance.CacheTokens
	tokens := c.h.Headers.Tokens(c.r.Header)
	if tokens.Prompt <= limit && tokens.MaxOutput <= limit-tokens.Prompt {
		return nil
	}
	// No replica will have room for it before its deadline.
	c.heldUntil = c.deadline
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeTooManyTokens, api.RunNotRun,
		"%d prompt tokens and up to %d output tokens exceed the %d that an engine of %s holds", tokens.Prompt, tokens.MaxOutput, limit, c.upstream)
}
