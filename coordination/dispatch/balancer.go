package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/limits"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Balancer chooses replicas. It is not safe for concurrent use.
type Balancer struct {
	cfg      Config
	random   *rand.Rand
	replicas map[fleet.ReplicaID]*replica
	groups   map[core.Upstream][]*replica
	specs    map[core.Upstream]fleet.UpstreamSpec
}

// NewBalancer returns a Balancer that knows no replica.
func NewBalancer(cfg Config, random *rand.Rand) *Balancer {
	return &Balancer{cfg: cfg, random: random, replicas: make(map[fleet.ReplicaID]*replica)}
}

// SetView takes the replicas of a view and forgets those that are gone.
func (b *Balancer) SetView(view *fleet.View) {
	next := make(map[fleet.ReplicaID]*replica, len(view.Members))
	b.groups = make(map[core.Upstream][]*replica)
	b.specs = view.Configuration.Upstreams
	for _, member := range view.Members {
		known := b.replicas[member.ID]
		if known == nil || known.member.Born != member.Born || known.member.Address != member.Address {
			known = &replica{}
		}
		known.member = member
		next[member.ID] = known
		b.groups[member.Upstream] = append(b.groups[member.Upstream], known)
	}
	b.replicas = next
}

// RecordReport takes the load that a replica reported at now.
func (b *Balancer) RecordReport(now time.Time, id fleet.ReplicaID, report Report) {
	known := b.replicas[id]
	if known == nil {
		return
	}
	if report.Models == nil {
		report.Models, report.Loading, report.Senders = known.report.Models, known.report.Loading, known.report.Senders
		report.Pace = known.report.Pace
	}
	known.report = report
	known.reported = now
	from := now.Add(-b.cfg.ReportLag)
	known.sends = slices.DeleteFunc(known.sends, func(at time.Time) bool { return !at.After(from) })
}

// Pick chooses a replica for a request and counts the request as sent to it.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, Verdict) {
	group := b.groups[request.Upstream]
	usual := usualLatency(group)
	var best *replica
	bestScore := 0.0
	verdict := VerdictNoCandidate
	for _, candidate := range group {
		if !b.eligible(now, &request, candidate) {
			continue
		}
		verdict = VerdictFull
		if !b.hasRoom(now, candidate) || !b.beginsInTime(now, &request, candidate) {
			continue
		}
		score := b.score(now, candidate, usual)
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	if best == nil {
		return Choice{}, verdict
	}
	return b.take(now, &request, best), VerdictChosen
}

func (b *Balancer) take(now time.Time, request *Request, chosen *replica) Choice {
	version, _ := chosen.version(&b.cfg, now, request)
	choice := Choice{
		ID:      chosen.member.ID,
		Address: chosen.member.Address,
		Version: version,
		Load:    chosen.load(&b.cfg, now),
		run:     chosen.member.Born,
	}
	if chosen.cold != nil && now.Before(chosen.member.ColdUntil) {
		chosen.cold.Take(now)
	}
	chosen.sent(now)
	return choice
}

// Done takes the end of a request that Pick placed. latency is the time to the answer or to the first event; 0 means that
// there was none.
func (b *Balancer) Done(now time.Time, choice Choice, outcome Outcome, latency time.Duration) {
	known := b.replicas[choice.ID]
	if known == nil || known.member.Born != choice.run {
		return
	}
	known.done(&b.cfg, now, outcome, latency)
}

// MarkCold records that a replica says it is cold for the given time.
func (b *Balancer) MarkCold(now time.Time, id fleet.ReplicaID, remaining time.Duration) {
	if known := b.replicas[id]; known != nil {
		known.member.ColdUntil = latest(known.member.ColdUntil, now.Add(remaining))
	}
}

// Usable reports whether a replica that has a request may still get the rest of its work.
func (b *Balancer) Usable(id fleet.ReplicaID) bool {
	known := b.replicas[id]
	return known != nil && known.member.Usable()
}

// eligible reports whether a replica may serve a request, whether or not it has room now.
func (b *Balancer) eligible(now time.Time, request *Request, r *replica) bool {
	switch {
	case !r.member.Usable(), r.moved:
		return false
	case slices.Contains(request.Exclude, r.member.ID):
		return false
	case !b.allowedRegion(request.RouteRegions, r), !b.allowedRegion(request.TeamRegions, r):
		return false
	case request.Model == "":
		return true
	}
	version, ok := r.version(&b.cfg, now, request)
	return ok && version >= request.MinVersion
}

func (b *Balancer) allowedRegion(regions []core.Region, r *replica) bool {
	return len(regions) == 0 || slices.Contains(regions, b.cfg.Regions[r.member.FailureDomain])
}

func (b *Balancer) hasRoom(now time.Time, r *replica) bool {
	switch {
	case now.Before(r.outUntil), r.probing(&b.cfg):
		return false
	case r.report.Loading && r.fresh(&b.cfg, now):
		return false
	case r.load(&b.cfg, now) >= r.slots()+b.cfg.Overcommit:
		return false
	case r.rushed(&b.cfg, now):
		return false
	}
	return b.coldRoom(now, r)
}

// beginsInTime reports whether a replica with an older version begins on a request before that version is refused.
func (b *Balancer) beginsInTime(now time.Time, request *Request, r *replica) bool {
	if request.Model == "" || request.NextMinVersion <= request.MinVersion {
		return true
	}
	version, _ := r.version(&b.cfg, now, request)
	return version >= request.NextMinVersion || float64(r.load(&b.cfg, now)) < b.cfg.IdleShare*float64(r.slots())
}

// coldRoom reports whether this host's share of a cold replica's rate allows one more request.
func (b *Balancer) coldRoom(now time.Time, r *replica) bool {
	if !now.Before(r.member.ColdUntil) {
		r.cold = nil
		return true
	}
	rate := b.specs[r.member.Upstream].ColdPerSecond
	if rate <= 0 {
		return true
	}
	senders := b.cfg.DefaultSenders
	if r.fresh(&b.cfg, now) && r.report.Senders > 0 {
		senders = r.report.Senders
	}
	share := rate * b.cfg.ColdShare / float64(senders)
	if r.cold == nil {
		r.cold, r.coldRate = limits.NewBucket(now, share, int(b.cfg.ColdBurst)), share
	}
	if share != r.coldRate {
		r.cold.Configure(now, share, int(b.cfg.ColdBurst))
		r.coldRate = share
	}
	return r.cold.Ready(now)
}

// score is the load of a replica as a share of its slots, with penalties for distance, failures and slowness.
func (b *Balancer) score(now time.Time, r *replica, usual float64) float64 {
	score := float64(r.load(&b.cfg, now)+1) / float64(r.slots())
	score += b.distance(r) + b.cfg.FailureWeight*r.failing
	score += b.slowness(r, usual)
	return score + b.cfg.Jitter*b.random.Float64()
}

func (b *Balancer) distance(r *replica) float64 {
	switch {
	case r.member.FailureDomain == b.cfg.FailureDomain:
		return 0
	case b.cfg.Regions[r.member.FailureDomain] == b.cfg.Region:
		return b.cfg.DomainPenalty
	default:
		return b.cfg.RegionPenalty
	}
}

// slowness is the penalty of a replica whose answers take longer than those of its group.
func (b *Balancer) slowness(r *replica, usual float64) float64 {
	slow := max(r.report.Pace, 1) - 1
	if usual > 0 && r.latency > 0 {
		slow = max(slow, r.latency/usual-b.cfg.SlowThreshold)
	}
	return min(max(slow, 0)*b.cfg.SlowWeight, b.cfg.SlowCap)
}

// usualLatency returns the mean latency of a group, without its slowest replica.
func usualLatency(group []*replica) float64 {
	sum, slowest, count := 0.0, 0.0, 0
	for _, r := range group {
		if r.latency > 0 {
			sum += r.latency
			slowest = max(slowest, r.latency)
			count++
		}
	}
	if count < 2 {
		return 0
	}
	return (sum - slowest) / float64(count-1)
}

// State is what a Balancer knows about a replica, for dumps.
type State struct {
	ID       fleet.ReplicaID
	Upstream core.Upstream
	InFlight int
	Load     int
	Failing  float64
	// Latency is the moving average of the time to the first event, in seconds.
	Latency  float64
	OutUntil time.Time
	Moved    bool
	Report   Report
	Reported time.Time
}

// States returns what the Balancer knows about every replica, in the order of their IDs.
func (b *Balancer) States(now time.Time) []State {
	var states []State
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		r := b.replicas[id]
		states = append(states, State{
			ID:       id,
			Upstream: r.member.Upstream,
			InFlight: r.inFlight,
			Load:     r.load(&b.cfg, now),
			Failing:  r.failing,
			Latency:  r.latency,
			OutUntil: r.outUntil,
			Moved:    r.moved,
			Report:   r.report,
			Reported: r.reported,
		})
	}
	return states
}
