package admission

import "github.com/guavatrestle/guavatrestle/state/core"

// Reason is the reason why a request was refused.
type Reason string

// Reasons for a refusal. In all of them the request was not run.
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

// closedReason returns the reason why the gate refuses every request, or ReasonNone.
func (g *Gate) closedReason() Reason {
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

func (g *Gate) refusalReason(request Request) Reason {
	if reason := g.closedReason(); reason != ReasonNone {
		return reason
	}
	if !g.servesVersion(request.Digest) {
		return ReasonVersion
	}
	if g.inFlight[g.report.BootID] >= g.limit() {
		return ReasonFull
	}
	return ReasonNone
}

// servesVersion reports whether the back end can serve requests for the version digest.
func (g *Gate) servesVersion(digest core.Digest) bool {
	if !g.cfg.Versioned {
		return digest == ""
	}
	return digest != "" && g.report.Complete && digest == g.report.Digest
}
