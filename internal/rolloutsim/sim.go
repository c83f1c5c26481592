package rolloutsim

import (
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	regionCount = 3
	// localDelay is the one-way delay within a region.
	localDelay = 300 * time.Microsecond
	// sampleInterval is the time between two samples of the serving replicas.
	sampleInterval = 10 * time.Millisecond
	// samplesPerFigure is the number of samples per figure in Result.Serving.
	samplesPerFigure = 10
	// manifestBytesPerPiece is the size of a digest in a manifest.
	manifestBytesPerPiece = 67
)

// sim is a run of a scenario.
type sim struct {
	d  Deployment
	sc Scenario
	p  Policy

	net     network
	origin  *link
	regions [regionCount][regionCount]*link
	hosts   []*host
	list    []core.Host
	members []fleet.Member

	originActive int
	// requestsAt holds the times of the requests that reached the origin after its return.
	requestsAt []time.Duration
	result     Result
}

func regionName(region int) core.Region { return core.Region("r" + strconv.Itoa(region)) }

// Run plays a scenario.
func Run(d Deployment, sc Scenario, p Policy) Result {
	s := &sim{d: d, sc: sc, p: p, origin: &link{bytesPerSecond: d.OriginBytesPerSecond}}
	s.result = Result{
		HeldAt: map[int64]time.Duration{}, FirstHeldAt: map[int64]time.Duration{}, LoadedAt: map[int64]time.Duration{}, Lowest: 1,
	}
	s.p.Transfer.Strategy, s.p.Transfer.OriginRegion = transfer.StrategySwarm, regionName(0)
	for a := range regionCount {
		for b := range regionCount {
			s.regions[a][b] = &link{bytesPerSecond: d.RegionBytesPerSecond}
		}
	}
	for i := range d.Hosts {
		h := newHost(s, i)
		s.hosts, s.list = append(s.hosts, h), append(s.list, h.self)
		s.members = append(s.members, fleet.Member{Replica: fleet.Replica{
			ID: fleet.ReplicaID(h.self.ID), Upstream: "llm", Address: string(h.self.ID) + ":80", FailureDomain: h.self.FailureDomain,
		}})
	}
	for _, h := range s.hosts {
		s.net.after(time.Duration(h.random.Int64N(int64(planInterval))), func() { s.stepEvery(h) })
		if at, ok := sc.Restarts[h.index]; ok {
			s.net.after(at, h.restart)
		}
	}
	for _, at := range sc.WantedAt {
		for _, h := range s.hosts {
			delay := time.Duration(0)
			if sc.NewsDelay != nil {
				delay = sc.NewsDelay(h.index)
			}
			s.net.after(at+delay, h.step)
		}
	}
	for samples := 0; s.net.now < sc.Until; {
		s.net.advance()
		if s.net.now%sampleInterval == 0 {
			s.sample(samples)
			samples++
		}
	}
	s.countRequests()
	return s.result
}

// stepEvery steps an agent every planInterval. A step that only loads may come later by LoadPause.
func (s *sim) stepEvery(h *host) {
	h.step()
	s.net.after(planInterval, func() { s.stepEvery(h) })
}

func (s *sim) at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }
func (s *sim) time() time.Time                { return s.at(s.net.now) }

// wantedAt returns the versions that operators have set by a time.
func (s *sim) wantedAt(now time.Duration) fleet.Wanted {
	var wanted fleet.Wanted
	for i, at := range s.sc.WantedAt {
		if at <= now {
			wanted = wanted.With(fleet.WantedVersion{Version: int64(i) + 2, Since: s.at(at)})
		}
	}
	return wanted
}

func (s *sim) sample(samples int) {
	wanted, serving := s.wantedAt(s.net.now), 0
	for _, h := range s.hosts {
		if h.serves(wanted) {
			serving++
		}
	}
	share := float64(serving) / float64(len(s.hosts))
	s.result.Lowest = min(s.result.Lowest, share)
	if share < s.d.Demand {
		s.result.Shortage += sampleInterval
		s.result.LastShortage = s.net.now
	}
	if samples%samplesPerFigure == 0 {
		s.result.Serving = append(s.result.Serving, share)
	}
}

// reachable reports whether two regions are connected.
func (s *sim) reachable(a, b int) bool {
	return a == b || !s.sc.RegionCut.contains(s.net.now) || a != regionCount-1 && b != regionCount-1
}

// delay returns the one-way delay between two regions.
func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return localDelay
	}
	return s.d.RegionDelay
}

// path returns the links from a sender to a host.
func (s *sim) path(from *link, region int, to *host) []*link {
	if region == to.region {
		return []*link{from, to.down}
	}
	return []*link{from, s.regions[region][to.region], to.down}
}

// requestOrigin sends bytes of the origin to a host. done is called with false if the origin is away, and busy if it refuses.
func (s *sim) requestOrigin(h *host, bytes float64, done func(ok, busy bool)) {
	s.net.after(s.delay(0, h.region), func() {
		back := s.delay(0, h.region)
		answer := func(ok, busy bool) { s.net.after(back, func() { done(ok, busy) }) }
		cut := func() bool { return s.sc.OriginAway.contains(s.net.now) || !s.reachable(0, h.region) }
		if cut() {
			answer(false, false)
			return
		}
		if s.sc.OriginAway.To > 0 && s.net.now >= s.sc.OriginAway.To {
			s.requestsAt = append(s.requestsAt, s.net.now-s.sc.OriginAway.To)
		}
		if s.originActive >= s.d.OriginConnections {
			s.result.OriginRefusals++
			answer(false, true)
			return
		}
		s.originActive++
		s.net.send(bytes, s.path(s.origin, 0, h), cut, func(ok bool) {
			s.originActive--
			if ok {
				s.result.OriginCopies += bytes / float64(s.d.Pieces*s.d.PieceBytes)
			}
			answer(ok, false)
		})
	})
}

func (s *sim) countRequests() {
	const burst = 50 * time.Millisecond
	if len(s.requestsAt) > 0 {
		s.result.FirstRequestAfterOutage = s.requestsAt[0]
	}
	for i, first := range s.requestsAt {
		if first > time.Second {
			break
		}
		within := 0
		for _, other := range s.requestsAt[i:] {
			if other < first+burst {
				within++
			}
		}
		s.result.PeakRequestsAfterOutage = max(s.result.PeakRequestsAfterOutage, within)
	}
}

// noteHeld notes that a host holds all pieces of a version.
func (s *sim) noteHeld(version int64) {
	if _, ok := s.result.FirstHeldAt[version]; !ok {
		s.result.FirstHeldAt[version] = s.net.now
	}
	for _, h := range s.hosts {
		if !h.complete(version) && h.loaded < version {
			return
		}
	}
	if _, ok := s.result.HeldAt[version]; !ok {
		s.result.HeldAt[version] = s.net.now
	}
}
