package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Explanation says where Pick would send a request.
type Explanation struct {
	Verdict Verdict
	// Certain is false if the verdict depends on the phase of permits that is not drawn yet. Verdict then supposes that there are permits.
	Certain bool
	// HeldUntil is set as in Choice.
	HeldUntil time.Time
	// Likely is the replica with the highest probability, empty if none is chosen.
	Likely fleet.ReplicaID
	// Replicas has all replicas of the upstream.
	Replicas []ReplicaExplanation
}

// ReplicaExplanation says why a replica can't take a request, or how it is rated.
type ReplicaExplanation struct {
	ID            fleet.ReplicaID
	FailureDomain core.FailureDomain
	// Reason is why the replica takes no request now, empty if it may be chosen. Until is the known end of that, or zero.
	Reason Reason
	Until  time.Time
	Load   int
	Slots  int
	// ReportAge is the age of the last load report; HasReport is false if there is none.
	HasReport bool
	ReportAge time.Duration
	// Score is lower for a better replica and has no random jitter. It and the following are set only if the replica may be chosen.
	Score float64
	// FirstEvent is the expected time to the first event and Miss the probability to miss the objective, 0 without a model.
	FirstEvent time.Duration
	Miss       float64
	// NoRoom is true if the replica's cache has no room for the request.
	NoRoom bool
	// PhaseUnknown is true if the replica takes a limited rate and the phase of this host's permits is not drawn yet.
	PhaseUnknown bool
	// Probability is the one with which the replica is chosen, if there are permits where PhaseUnknown is set.
	Probability float64
}

// explainer collects the explanation of a request for the replicas of one upstream.
type explainer struct {
	Explanation
	// rated holds the replicas that may be chosen, and index their places in Replicas.
	rated []candidate
	index []int
	// waiting sums up why the others are not chosen, withoutPermits the same if no permit of an unknown phase can be used.
	waiting, withoutPermits waitSummary
	eligible, drawn         bool
}

// zeroSource makes the Float64 of a rand.Rand 0: scores have no jitter, and permits of an unknown phase can be used.
type zeroSource struct{}

// Uint64 implements rand.Source.
func (zeroSource) Uint64() uint64 { return 0 }

// Explain says where Pick would send a request now, and why. It changes no state and draws no random number.
func (b *Balancer) Explain(now time.Time, request Request) Explanation {
	if len(b.outside) == 0 || request.inside {
		return b.copyOf(request.Upstream).explain(now, &request)
	}
	inside := request
	inside.inside = true
	first := b.copyOf(request.Upstream).explain(now, &inside)
	spills := b.copyOf(request.Upstream).spills(now, &inside)
	switch {
	case first.Verdict == VerdictNoCandidate, first.Certain && first.Verdict.allowsSpill() && spills:
		return b.copyOf(request.Upstream).explain(now, &request)
	case !first.Certain && spills:
		// Without permits the replicas outside may be used.
		all := b.copyOf(request.Upstream).explain(now, &request)
		for i := range first.Replicas {
			if first.Replicas[i].Reason == ReasonOutside {
				first.Replicas[i] = all.Replicas[i]
				first.Replicas[i].Probability = 0
			}
		}
	}
	return first
}

// copyOf returns a copy of the balancer with the replicas of an upstream, on which predicates may keep what they derive.
func (b *Balancer) copyOf(upstream core.Upstream) *Balancer {
	c := *b
	c.random, c.candidates = rand.New(zeroSource{}), candidateSet{}
	group := make([]*replica, 0, len(b.groups[upstream]))
	for _, r := range b.groups[upstream] {
		copied := *r
		if r.permits != nil {
			p := *r.permits
			copied.permits = &p
		}
		group = append(group, &copied)
	}
	c.groups = map[core.Upstream][]*replica{upstream: group}
	return &c
}

// explain explains a request without regard to SetOutside. The balancer must be a copy.
func (b *Balancer) explain(now time.Time, request *Request) Explanation {
	group := b.groups[request.Upstream]
	baseline, avoidSilent := baselineLatency(group), b.avoidsSilent(now, request.Upstream)
	e := explainer{Explanation: Explanation{Replicas: make([]ReplicaExplanation, 0, len(group))}}
	for _, r := range group {
		hadPermits := r.permits != nil
		o := b.obstacleOf(now, request, r, avoidSilent)
		row := ReplicaExplanation{
			ID: r.member.ID, FailureDomain: r.member.FailureDomain, Reason: o.reason, Until: o.until,
			Load: r.load(&b.cfg, now), Slots: r.slots(), HasReport: !r.reportedAt.IsZero(),
			PhaseUnknown: o.reason == "" && !hadPermits && r.permits != nil,
		}
		if row.HasReport {
			row.ReportAge = now.Sub(r.reportedAt)
		}
		if o.reason == "" {
			o = b.explainRated(now, request, r, baseline, &e, &row)
		}
		without := o
		if row.PhaseUnknown {
			without = b.withoutPermit(now, r)
		}
		e.addObstacles(o, without)
		e.Replicas = append(e.Replicas, row)
	}
	e.conclude()
	b.setProbabilities(&e)
	return e.Explanation
}

// explainRated rates a replica that can take a request, and returns what may still keep it from being chosen.
func (b *Balancer) explainRated(
	now time.Time, request *Request, r *replica, baseline float64, e *explainer, row *ReplicaExplanation,
) obstacle {
	var c candidate
	if r.model != nil {
		c = b.modelledCandidate(now, request, r)
	} else {
		c = candidate{replica: r, score: b.score(now, r, baseline) + r.latePenalty(now, request)}
	}
	row.Score, row.FirstEvent, row.Miss, row.NoRoom = c.score, c.forecast, c.miss, c.noRoom
	if c.queues {
		row.Reason = ReasonQueue
		return obstacle{reason: ReasonQueue, verdict: VerdictFull}
	}
	e.rated, e.index = append(e.rated, c), append(e.index, len(e.Replicas))
	e.drawn = e.drawn || !row.PhaseUnknown
	return obstacle{}
}

// addObstacles adds what keeps a replica from being chosen, and what does so without a permit of an unknown phase.
func (e *explainer) addObstacles(with, without obstacle) {
	if with.verdict == VerdictNoCandidate {
		return
	}
	e.eligible = true
	if with.reason != "" {
		e.waiting.add(with.verdict, with.until)
	}
	if without.reason != "" {
		e.withoutPermits.add(without.verdict, without.until)
	}
}

// conclude sets the verdict.
func (e *explainer) conclude() {
	e.Certain = true
	switch {
	case !e.eligible:
		e.Verdict = VerdictNoCandidate
	case len(e.rated) > 0:
		e.Verdict, e.Certain = VerdictChosen, e.drawn
	default:
		e.Verdict, e.HeldUntil = e.waiting.verdict(), e.waiting.until
		e.Certain = e.Verdict == e.withoutPermits.verdict()
	}
}
