package admission

import "github.com/guavatrestle/guavatrestle/state/core"

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal; all of them mean that the request was not run.
const (
	ReasonNone         Reason = ""
	ReasonFull         Reason = "full"
	ReasonVersion      Reason = "version"
	ReasonLeaving      Reason = "leaving"
	ReasonOutOfService Reason = "out_of_service"
	ReasonUnidentified Reason = "unidentified"
	ReasonLoading      Reason = "loading"
	ReasonUnconfigured Reason = "unconfigured"
)

// closed returns the reason for which the gate refuses every request, if there is one.
func (g *Gate) closed() Reason {
	switch {
	case g.leaving:
		return ReasonLeaving
	case !g.inService:
		return ReasonOutOfService
	case g.cfg.WarmLimit <= 0:
		return ReasonUnconfigured
	case g.loading:
		return ReasonLoading
	case !g.identified:
		return ReasonUnidentified
	default:
		return ReasonNone
	}
}

func (g *Gate) refusal(request Request) Reason {
	if reason := g.closed(); reason != ReasonNone {
		return reason
	}
	if !g.answers(request.Digest) {
		return ReasonVersion
	}
	if g.inFlight[g.report.BootID] >= g.limit() {
		return ReasonFull
	}
	return ReasonNone
}

// answers reports whether the back end answers requests for the version digest.
func (g *Gate) answers(digest core.Digest) bool {
	if !g.cfg.Versioned {
		return digest == ""
	}
	return digest != "" && g.report.Complete && digest == g.report.Digest
}
