package admin

import (
	"maps"
	"slices"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// reasonNoHeartbeat is shown for an agent in the host list that does not answer this entry.
const reasonNoHeartbeat = "no response to heartbeats"

func (h *Handler) rollouts(call) (any, error) {
	tree := h.Settings.Tree()
	seen := make(map[core.HostID]core.AgentStatus)
	for _, agent := range h.Upstreams.List() {
		seen[agent.Host.ID] = agent
	}
	out := api.RolloutStatus{Upstreams: []api.UpstreamRollout{}}
	for _, name := range slices.Sorted(maps.Keys(tree.Upstreams)) {
		spec := tree.Upstreams[name]
		if spec.Kind == settings.KindModel {
			rollout := rolloutOf(name, spec, h.Members.List(), seen)
			rollout.SecondsLeft = h.secondsLeft(rollout)
			out.Upstreams = append(out.Upstreams, rollout)
		}
	}
	return out, nil
}

// secondsLeft returns the estimated time until all hosts serve the target, or nil when it is not known.
func (h *Handler) secondsLeft(rollout api.UpstreamRollout) *float64 {
	h.estimatesMu.Lock()
	defer h.estimatesMu.Unlock()
	estimate, ok := h.estimates[rollout.Upstream]
	if !ok {
		estimate = &transfer.Estimate{}
		h.estimates[rollout.Upstream] = estimate
	}
	left, known := estimate.Remaining(h.Now(), rollout.TargetDigest, rollout.Progress)
	if !known {
		return nil
	}
	seconds := left.Seconds()
	return &seconds
}

func rolloutOf(name core.Upstream, spec settings.UpstreamSettings, hosts []core.Host, seen map[core.HostID]core.AgentStatus) api.UpstreamRollout {
	out := api.UpstreamRollout{Upstream: name, Model: spec.Model}
	if spec.Target != nil {
		out.TargetVersion, out.TargetDigest = spec.Target.Version, spec.Target.Digest
		out.Withdrawn = spec.IsWithdrawn(spec.Target.Digest)
	}
	held := 0.0
	for _, host := range hosts {
		if host.Role != core.RoleAgent || host.Upstream != name {
			continue
		}
		out.Hosts++
		agent, ok := seen[host.ID]
		out.OriginBytes += agent.OriginBytes
		if ok && out.TargetDigest != "" && agent.VersionDigest == out.TargetDigest {
			out.Complete++
			continue
		}
		held += shareHeld(agent, out.TargetDigest)
		out.Behind = append(out.Behind, behind(host, agent, ok, out.TargetDigest))
	}
	if out.Hosts > 0 {
		out.Progress = (float64(out.Complete) + held) / float64(out.Hosts)
	}
	if spec.Target != nil && spec.Target.Size > 0 {
		out.OriginCopies = float64(out.OriginBytes) / float64(spec.Target.Size)
	}
	return out
}

// shareHeld returns the share of the target's chunks that an agent holds. A host that does not serve the version counts
// less than 1 even when it holds all of it.
func shareHeld(agent core.AgentStatus, target core.Digest) float64 {
	if agent.TargetDigest != target || agent.ChunksTotal == 0 {
		return 0
	}
	return float64(agent.ChunksHeld) / float64(agent.ChunksTotal+1)
}

func behind(host core.Host, agent core.AgentStatus, heard bool, target core.Digest) api.BehindHost {
	out := api.BehindHost{
		Host:          host.ID,
		FailureDomain: host.FailureDomain,
		VersionDigest: agent.VersionDigest,
		ChunksHeld:    agent.ChunksHeld,
		ChunksTotal:   agent.ChunksTotal,
		Reason:        agent.BehindReason,
	}
	switch {
	case !heard:
		out.Reason = reasonNoHeartbeat
	case target == "":
		out.Reason = "the upstream has no target version"
	case out.Reason != "":
	case agent.TargetDigest != target:
		out.Reason = "has not taken up the target version"
	case agent.ChunksTotal > 0 && agent.ChunksHeld == agent.ChunksTotal:
		out.Reason = "fetched, waits for activation"
	default:
		out.Reason = "fetching"
	}
	return out
}
