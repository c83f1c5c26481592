package rollout

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// minOutage is the time that the origin is expected to stay unavailable when it has just failed; later it is as long as the outage
	// has lasted. A longer time loads superseded versions during short outages, a shorter one starts those loads so late that most
	// replicas load at the same time.
	minOutage = 3 * time.Second
	// fetchSlack is the ratio of the usual time of a fetch to the bound that follows from the links: 1.34 to 1.62 in simulations of 30 and
	// 58 hosts.
	fetchSlack = 1.6
	// minLoadSpread is the time over which the loads of an upstream are spread at least, so that most replicas serve while some load. With
	// less of it, a simulated succession of two versions left more than half of the replicas without service for 1.3 s.
	minLoadSpread = 1500 * time.Millisecond
	// loadCost is the time without service that counts as much as one additional load, during which other replicas serve.
	loadCost = 300 * time.Millisecond
	// switchMargin is the least gain in time of service for which a host leaves the version that it has chosen before. Forecasts vary by
	// about the time of a few pieces.
	switchMargin = 200 * time.Millisecond
	// minService is the shortest time for which a superseded version must be permitted to serve after its load.
	minService = time.Second
	// minHeadStart is the share of the fetch time by which a superseded version must have been wanted before the next one to be
	// completed although the next one is expected in time. It depends only on the times of both, so all hosts decide alike.
	minHeadStart = 0.5
)

// Links holds what is known of the links over which a version is fetched; 0 means unknown.
type Links struct {
	// Pieces and PieceBytes are the number and the size of the pieces of a version.
	Pieces     int
	PieceBytes int
	// OriginBytesPerSecond and HostBytesPerSecond are the bandwidths of the links of the origin and of the host.
	OriginBytesPerSecond float64
	HostBytesPerSecond   float64
	// OriginAwayFor is the time for which the origin has not answered; 0 if it answers.
	OriginAwayFor time.Duration
}

// FetchTime returns the time in which the slower link carries all pieces of a version, or usual if the links are unknown.
func (l Links) FetchTime(usual time.Duration) time.Duration {
	return max(l.transferTime(l.Pieces, l.OriginBytesPerSecond, usual), l.transferTime(l.Pieces, l.HostBytesPerSecond, usual))
}

// transferTime returns the time in which a link carries some pieces. Without its bandwidth, all pieces take the usual time.
func (l Links) transferTime(pieces int, bytesPerSecond float64, usual time.Duration) time.Duration {
	switch {
	case l.Pieces <= 0:
		return usual
	case l.PieceBytes <= 0 || bytesPerSecond <= 0:
		return usual * time.Duration(pieces) / time.Duration(l.Pieces)
	}
	return time.Duration(float64(pieces) * float64(l.PieceBytes) / bytesPerSecond * float64(time.Second))
}

// Supply is what a host lacks of a version.
type Supply struct {
	Version int64
	// Missing counts the pieces that the host lacks, Absent those of them that no peer is known to hold.
	Missing int
	Absent  int
}

// supply returns what the host lacks of a version; all pieces if nothing is known.
func (p Progress) supply(version int64) Supply {
	for _, s := range p.Supplies {
		if s.Version == version {
			return s
		}
	}
	if version == p.Staged {
		return Supply{Version: version}
	}
	return Supply{Version: version, Missing: max(p.Links.Pieces, 1), Absent: max(p.Links.Pieces, 1)}
}

// forecast estimates when a host can serve the versions that are wanted.
type forecast struct {
	cfg      Config
	now      time.Time
	wanted   fleet.Wanted
	progress Progress
}

// fetchedAfter returns the time until all pieces of a version are held.
func (f forecast) fetchedAfter(version int64) time.Duration {
	supply, links := f.progress.supply(version), f.progress.Links
	if supply.Missing == 0 {
		return 0
	}
	usual := f.cfg.FetchTime
	if links.Pieces <= 0 {
		// Nothing is known but that pieces are missing.
		return usual
	}
	fromOrigin := links.transferTime(supply.Absent, links.OriginBytesPerSecond, usual)
	toHost := links.transferTime(supply.Missing, links.HostBytesPerSecond, usual)
	took := time.Duration(float64(max(fromOrigin, toHost)) * fetchSlack)
	if supply.Absent > 0 && links.OriginAwayFor > 0 {
		took += max(links.OriginAwayFor, minOutage)
	}
	return took
}

// servedUntil returns the time until which a version may serve: the activation of the next newer one.
func (f forecast) servedUntil(version int64) time.Time {
	if version == 0 {
		return f.now
	}
	if next, ok := f.wanted.Pending(version); ok {
		return next.Since.Add(f.cfg.ActivationDelay)
	}
	return f.now.Add(time.Hour)
}

// direct returns the cost in time without service, or with less than minLoadSpread for the loads, if the newest version is loaded next
// and is fetched after the given time.
func (f forecast) direct(fetchedAfter time.Duration) time.Duration {
	readyAt := f.now.Add(fetchedAfter + f.cfg.LoadTime + minLoadSpread)
	return positive(readyAt.Sub(f.servedUntil(f.progress.Loaded)))
}

// via returns the cost if a superseded version is loaded before the newest, and false if the superseded one may not serve long enough.
func (f forecast) via(version int64) (time.Duration, bool) {
	fetched := f.fetchedAfter(version)
	readyAt := f.now.Add(fetched + f.cfg.LoadTime)
	until := f.servedUntil(version)
	if until.Sub(readyAt) < minService {
		return 0, false
	}
	newestFetched := max(fetched+f.fetchedAfter(f.wanted.Newest()), fetched+f.cfg.LoadTime)
	newestReadyAt := f.now.Add(newestFetched + f.cfg.LoadTime + minLoadSpread)
	gap := positive(readyAt.Add(minLoadSpread).Sub(f.servedUntil(f.progress.Loaded))) + positive(newestReadyAt.Sub(until))
	return gap + loadCost, true
}

// pays reports whether loading a superseded version before the newest returns the replica to service sooner.
func (f forecast) pays(version int64) (gain time.Duration, ok bool) {
	via, useful := f.via(version)
	gain = f.direct(f.fetchedAfter(f.wanted.Newest())) - via
	margin := switchMargin
	if f.progress.Chosen == version {
		margin = 0
	}
	return gain, useful && gain > margin
}

// isInsured reports whether a superseded version is completed although the newest is expected in time: its fetch had a head start,
// completing it costs no time of service beyond one load, and it may serve if the origin fails before it has sent the newest.
func (f forecast) isInsured(version fleet.WantedVersion) bool {
	next, _ := f.wanted.Pending(version.Version)
	headStart := next.Since.Sub(version.Since)
	if float64(headStart) < minHeadStart*float64(f.progress.Links.FetchTime(f.cfg.FetchTime)) {
		return false
	}
	via, useful := f.via(version.Version)
	return useful && via <= f.direct(f.fetchedAfter(f.wanted.Newest()))+loadCost
}

func positive(d time.Duration) time.Duration { return max(d, 0) }
