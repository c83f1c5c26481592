package dispatch

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/enginemodel"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Balancer chooses a replica for each request. It is not safe for concurrent use.
type Balancer struct {
	cfg      Config
	random   *rand.Rand
	replicas map[fleet.ReplicaID]*replica
	groups   map[core.Upstream][]*replica
	specs    map[core.Upstream]fleet.UpstreamSpec
	// ranked has the upstreams whose routes have different priorities, with these.
	ranked  map[core.Upstream][]int
	notices map[fleet.ReplicaID]*notice
	// services holds what is known of the upstreams that are no engines.
	services map[core.Upstream]*service
	// models holds the models of the upstreams whose engines publish their figures.
	models map[core.Upstream]*enginemodel.Model
	// forecastError is the error of the last forecast that was compared with a response.
	forecastError    float64
	hasForecastError bool
	// candidates is the memory for the candidates of one Pick.
	candidates candidateSet
	// senders is the number of hosts that send to a replica in the last report that has one, 0 if there is none.
	senders int
	// outside holds the replicas from which this host requests no load reports.
	outside map[fleet.ReplicaID]bool
}

// NewBalancer returns a Balancer without replicas.
func NewBalancer(cfg Config, random *rand.Rand) *Balancer {
	return &Balancer{
		cfg: cfg, random: random, replicas: make(map[fleet.ReplicaID]*replica), notices: make(map[fleet.ReplicaID]*notice),
	}
}

// SetView replaces the set of replicas by the members of view. State is kept for a replica that is still the same process
// at the same address.
func (b *Balancer) SetView(view *fleet.View) {
	next := make(map[fleet.ReplicaID]*replica, len(view.Members))
	b.groups = make(map[core.Upstream][]*replica)
	b.specs = view.Configuration.Upstreams
	b.ranked = view.Configuration.RankedUpstreams()
	b.setServices()
	b.setModels()
	for _, member := range view.Members {
		current := b.replicas[member.ID]
		if current == nil || current.member.Born != member.Born || current.member.Address != member.Address {
			current = &replica{}
		}
		current.member, current.service, current.model = member, b.services[member.Upstream], b.models[member.Upstream]
		spec := b.specs[member.Upstream]
		current.figuresAge = b.figuresAge(spec.Engine)
		current.engine, current.coldRate = spec.Engine != nil, spec.ColdPerSecond
		next[member.ID] = current
		b.groups[member.Upstream] = append(b.groups[member.Upstream], current)
	}
	b.replicas = next
}

// RecordReport stores the load report of a replica that arrived at now. A report without models keeps the models and the
// fields sent with them from the previous report. It returns the change of the replica's request limit, nil if there is none.
func (b *Balancer) RecordReport(now time.Time, id fleet.ReplicaID, report Report) *LimitChange {
	r := b.replicas[id]
	if r == nil {
		return nil
	}
	fromAgent := report.Models != nil
	if !fromAgent {
		report.Models, report.Loading = r.report.Models, r.report.Loading
		report.Senders, report.Share, report.Requesters = r.report.Senders, r.report.Share, r.report.Requesters
		report.Demand = r.report.Demand
		report.Pace, report.RequestLimit = r.report.Pace, r.report.RequestLimit
		report.CacheUsed, report.CacheTotal = r.report.CacheUsed, r.report.CacheTotal
	}
	if report.Senders > 0 {
		b.senders = report.Senders
	}
	if !fromAgent && r.service != nil {
		r.service.recordHeader(&report)
	}
	if report.Leaving {
		b.markLeaving(now, id, r.member.Born)
	}
	r.recordCurrentPace(now, report.CurrentPace)
	r.report = report
	r.reportedAt, r.derived = now, derived{}
	if fromAgent {
		r.headroomDraw = b.random.Float64()
	}
	reportMadeAt := now.Add(-max(r.reportLag(&b.cfg), r.figuresAge))
	r.recentSends = slices.DeleteFunc(r.recentSends, func(s send) bool { return !s.at.After(reportMadeAt) })
	if !fromAgent {
		return nil
	}
	return b.recordReportedLimit(now, r, report.RequestLimit)
}

// Pick chooses the replica with the lowest score for a request and counts the request as sent to it. If all replicas that could
// serve the request want none for now, the verdict is VerdictHeldOff; if this host has used its part of the request limits of those
// that do, it is VerdictLimited. The choice then holds only the soonest end of that.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, Verdict) {
	if len(b.outside) > 0 && !request.inside {
		inside := request
		inside.inside = true
		choice, verdict := b.Pick(now, inside)
		if verdict != VerdictNoCandidate && !(verdict.allowsSpill() && b.spills(now, &inside)) {
			return choice, verdict
		}
	}
	group := b.groups[request.Upstream]
	baseline := baselineLatency(group)
	b.candidates.reset()
	var best candidate
	verdict := VerdictNoCandidate
	var waiting waitSummary
	avoidSilent := b.avoidsSilent(now, request.Upstream)
	for _, candidate := range group {
		o := b.obstacleOf(now, &request, candidate, avoidSilent)
		if o.verdict == VerdictNoCandidate {
			continue
		}
		verdict = VerdictFull
		if o.reason != "" {
			waiting.add(o.verdict, o.until)
			continue
		}
		if candidate.model != nil {
			b.addModelled(now, &request, candidate, &waiting)
			continue
		}
		score := b.score(now, candidate, baseline) + candidate.latePenalty(now, &request)
		if best.replica == nil || score < best.score {
			best.replica, best.score = candidate, score
		}
	}
	if chosen := b.chooseModelled(now, &request, &waiting); chosen != nil {
		best = *chosen
	}
	switch {
	case best.replica != nil:
		return b.assign(now, &request, &best), VerdictChosen
	case verdict == VerdictNoCandidate:
		return Choice{}, verdict
	}
	return Choice{HeldUntil: waiting.until}, waiting.verdict()
}

// waitSummary sums up why none of the replicas that could serve a request is chosen.
type waitSummary struct {
	full, limited bool
	// until is the soonest known time at which a replica takes a request; zero if one may do so at any moment.
	until time.Time
}

func (w *waitSummary) add(reason Verdict, until time.Time) {
	switch reason {
	case VerdictFull:
		w.full, w.until = true, time.Time{}
		return
	case VerdictLimited:
		w.limited = true
	}
	if !w.full && (w.until.IsZero() || until.Before(w.until)) {
		w.until = until
	}
}

func (w *waitSummary) verdict() Verdict {
	switch {
	case w.full:
		return VerdictFull
	case w.limited:
		return VerdictLimited
	default:
		return VerdictHeldOff
	}
}

func (b *Balancer) assign(now time.Time, request *Request, best *candidate) Choice {
	chosen := best.replica
	version, _ := chosen.loadedVersion(&b.cfg, now, request)
	choice := Choice{
		ID:      chosen.member.ID,
		Address: chosen.member.Address,
		Version: version,
		Load:    chosen.load(&b.cfg, now),
		born:    chosen.member.Born,

		modelled: best.modelled, forecast: best.forecast,
	}
	if chosen.permits != nil {
		chosen.permits.take(now)
		choice.sendBefore = now.Add(maxSendDelay)
	}
	if limit := b.statedLimit(chosen.member.ID, chosen.member.Born); limit != nil {
		limit.chosen++
	}
	chosen.recordSend(now, request)
	return choice
}

// Done records the outcome of a request that Pick assigned. latency is the time to the response or to its first event; 0
// means that there was none.
func (b *Balancer) Done(now time.Time, choice Choice, outcome Outcome, latency time.Duration) {
	r := b.replicas[choice.ID]
	if r == nil || r.member.Born != choice.born {
		return
	}
	r.recordOutcome(&b.cfg, now, outcome, latency)
	if outcome == OutcomeServed && latency > 0 && choice.modelled > 0 {
		b.recordForecast(r, choice, latency)
	}
}

// MarkCold records that a replica reported itself cold for the time remaining.
func (b *Balancer) MarkCold(now time.Time, id fleet.ReplicaID, remaining time.Duration) {
	if r := b.replicas[id]; r != nil {
		r.member.ColdUntil = later(r.member.ColdUntil, now.Add(remaining))
	}
}

// TrialReplica returns the replica of an upstream that all hosts use for a trial of the same subject, or an empty ID if there is none.
func (b *Balancer) TrialReplica(upstream core.Upstream, subject string) fleet.ReplicaID {
	var chosen fleet.ReplicaID
	highest := uint64(0)
	for _, r := range b.groups[upstream] {
		if !r.member.Usable() || b.isLeaving(r) {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(subject + "/" + string(r.member.ID)))
		if rank := hash.Sum64(); chosen == "" || rank > highest {
			chosen, highest = r.member.ID, rank
		}
	}
	return chosen
}

// Usable reports whether a replica may continue the requests that it already has.
func (b *Balancer) Usable(id fleet.ReplicaID) bool {
	r := b.replicas[id]
	return r != nil && r.member.Usable()
}

func (b *Balancer) inAllowedRegion(regions []core.Region, r *replica) bool {
	return len(regions) == 0 || slices.Contains(regions, b.cfg.Regions[r.member.FailureDomain])
}

// startsInTime reports whether a replica is expected to start a request while its loaded version is still allowed.
func (b *Balancer) startsInTime(now time.Time, request *Request, r *replica) bool {
	if request.Model == "" || request.NextMinVersion <= request.MinVersion {
		return true
	}
	version, _ := r.loadedVersion(&b.cfg, now, request)
	return version >= request.NextMinVersion || float64(r.load(&b.cfg, now)) < b.cfg.IdleShare*float64(r.slots())
}

// score returns the load of a replica as a share of its slots, plus penalties for distance, failures and slowness and a
// random jitter. Lower is better.
func (b *Balancer) score(now time.Time, r *replica, baseline float64) float64 {
	score := (r.expectedLoad(&b.cfg, now) + 1) / float64(r.slots())
	score += b.distancePenalty(r) + b.cfg.FailureWeight*r.failureRate
	score += b.slownessPenalty(r, baseline) + b.cfg.CurrentPaceWeight*(r.expectedCurrentPace(now)-1)
	return score + b.cfg.Jitter*b.random.Float64()
}

func (b *Balancer) distancePenalty(r *replica) float64 {
	switch {
	case r.member.FailureDomain == b.cfg.FailureDomain:
		return 0
	case b.cfg.Regions[r.member.FailureDomain] == b.cfg.Region:
		return b.cfg.DomainPenalty
	default:
		return b.cfg.RegionPenalty
	}
}

// slownessPenalty returns the penalty of a replica that responds more slowly than the others of its upstream.
func (b *Balancer) slownessPenalty(r *replica, baseline float64) float64 {
	excess := max(r.report.Pace, 1) - 1
	if baseline > 0 && r.avgLatency > 0 {
		excess = max(excess, r.avgLatency/baseline-b.cfg.SlowThreshold)
	}
	return min(max(excess, 0)*b.cfg.SlowWeight, b.cfg.SlowCap)
}

// baselineLatency returns the mean latency of the replicas in group without the slowest one, or 0 if fewer than two
// replicas have a latency.
func baselineLatency(group []*replica) float64 {
	sum, slowest, count := 0.0, 0.0, 0
	for _, r := range group {
		if r.avgLatency > 0 {
			sum += r.avgLatency
			slowest = max(slowest, r.avgLatency)
			count++
		}
	}
	if count < 2 {
		return 0
	}
	return (sum - slowest) / float64(count-1)
}
