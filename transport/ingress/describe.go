package ingress

import (
	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// dispatchRequest returns the description of the request for the balancer.
func (c *call) dispatchRequest() dispatch.Request {
	return c.describe(core.Model(c.r.Header.Get(c.h.Headers.Model)), c.h.Headers.Tokens(c.r.Header))
}

// describe returns the description of a request with a model and sizes.
func (c *call) describe(model core.Model, tokens headers.Tokens) dispatch.Request {
	request := dispatch.Request{
		Upstream:     c.upstream,
		RouteRegions: c.route.HomeRegions,
		TeamRegions:  teamRegions(c.team),
		Exclude:      c.tried,
		Late:         c.late,
		Priority:     c.priority(),
	}
	request.ObjectiveLeft, request.DeadlineLeft = c.timeLeft()
	spec := c.view.Configuration.Upstreams[c.upstream]
	if spec.Engine == nil {
		request.Once = !c.route.Repeatable()
		return request
	}
	request.Model = model
	request.Layers = spec.Engine.Layers
	request.PromptTokens, request.OutputTokens = tokens.Prompt, expectedOutput(tokens)
	if c.h.Config.OldVersionGrace > 0 {
		// Uses the current view, since a version may have become the target after the request arrived.
		wanted := c.h.View().Wanted[request.Model]
		request.MinVersion = wanted.Due(c.h.Now(), c.h.Config.OldVersionGrace)
		request.NextMinVersion = wanted.Due(c.h.Now(), c.h.Config.OldVersionIdleOnlyAfter)
	}
	return request
}

// expectedOutput returns the caller's estimate of the number of output tokens, or the maximum if there is none.
func expectedOutput(tokens headers.Tokens) int {
	switch {
	case tokens.OutputHint == 0:
		return tokens.MaxOutput
	case tokens.MaxOutput == 0:
		return tokens.OutputHint
	}
	return min(tokens.OutputHint, tokens.MaxOutput)
}
