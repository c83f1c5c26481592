package admin

import (
	"maps"
	"slices"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// reasonNoHeartbeat is the reason for an agent in the host list whose status this entry has not received.
const reasonNoHeartbeat = "no response to heartbeats"

func (h *Handler) rollouts(call) (any, error) {
	tree := h.Settings.Tree()
	statuses := make(map[core.HostID]core.AgentStatus)
	for _, agent := range h.Upstreams.List() {
		statuses[agent.Host.ID] = agent
	}
	out := api.RolloutStatus{Upstreams: []api.UpstreamRollout{}}
	for _, name := range slices.Sorted(maps.Keys(tree.Upstreams)) {
		spec := tree.Upstreams[name]
		if spec.Kind == settings.KindModel {
			rollout := rolloutOf(name, spec, h.Members.List(), statuses)
			rollout.SecondsLeft = h.secondsLeft(rollout)
			out.Upstreams = append(out.Upstreams, rollout)
		}
	}
	return out, nil
}

// secondsLeft returns the estimated time until all hosts serve the target, or nil if there is no estimate yet.
func (h *Handler) secondsLeft(rollout api.UpstreamRollout) *float64 {
	h.estimatesMu.Lock()
	defer h.estimatesMu.Unlock()
	estimate, ok := h.estimates[rollout.Upstream]
	if !ok {
		estimate = &transfer.Estimate{}
		h.estimates[rollout.Upstream] = estimate
	}
	remaining, hasEstimate := estimate.Remaining(h.Now(), rollout.TargetDigest, rollout.Progress)
	if !hasEstimate {
		return nil
	}
	seconds := remaining.Seconds()
	return &seconds
}

func rolloutOf(name core.Upstream, spec settings.UpstreamSettings, hosts []core.Host, statuses map[core.HostID]core.AgentStatus) api.UpstreamRollout {
	out := api.UpstreamRollout{Upstream: name, Model: spec.Model}
	if spec.Target != nil {
		out.TargetVersion, out.TargetDigest = spec.Target.Version, spec.Target.Digest
		out.Withdrawn = spec.IsWithdrawn(spec.Target.Digest)
	}
	fetched := 0.0
	for _, host := range hosts {
		if host.Role != core.RoleAgent || host.Upstream != name {
			continue
		}
		out.Hosts++
		agent, reported := statuses[host.ID]
		out.OriginBytes += agent.OriginBytes
		if reported && out.TargetDigest != "" && agent.VersionDigest == out.TargetDigest {
			out.Complete++
			continue
		}
		fetched += fetchedShare(agent, out.TargetDigest)
		out.Behind = append(out.Behind, behindHost(host, agent, reported, out.TargetDigest))
	}
	if out.Hosts > 0 {
		out.Progress = (float64(out.Complete) + fetched) / float64(out.Hosts)
	}
	if spec.Target != nil && spec.Target.Size > 0 {
		out.OriginCopies = float64(out.OriginBytes) / float64(spec.Target.Size)
	}
	return out
}

// fetchedShare returns the fraction of the target's chunks that an agent holds. It is less than 1 even if the agent holds
// all chunks, because the agent does not serve the version yet.
func fetchedShare(agent core.AgentStatus, target core.Digest) float64 {
	if agent.TargetDigest != target || agent.ChunksTotal == 0 {
		return 0
	}
	return float64(agent.ChunksHeld) / float64(agent.ChunksTotal+1)
}

func behindHost(host core.Host, agent core.AgentStatus, reported bool, target core.Digest) api.BehindHost {
	out := api.BehindHost{
		Host:          host.ID,
		FailureDomain: host.FailureDomain,
		VersionDigest: agent.VersionDigest,
		ChunksHeld:    agent.ChunksHeld,
		ChunksTotal:   agent.ChunksTotal,
		Reason:        agent.BehindReason,
	}
	switch {
	case !reported:
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
