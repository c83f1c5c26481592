package transfer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// manifestIndex stands for the manifest in a ranking.
	manifestIndex = -1
	// manifestFanOut is the number of hosts that ask one host for the manifest first.
	manifestFanOut = 4
	// maxCohortShift caps the size of a cohort at 2^30 hosts.
	maxCohortShift = 30
)

// score is the rendezvous weight of a host for a chunk; the highest score ranks first.
func score(digest core.Digest, index int, host core.HostID) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], digest...)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(index), 10)
	key = append(key, '/')
	key = append(key, host...)
	return xxhash.Sum64(key)
}

// ranksBefore reports whether host a ranks before host b for a chunk.
func ranksBefore(digest core.Digest, index int, a, b core.HostID) bool {
	scoreA, scoreB := score(digest, index, a), score(digest, index, b)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}

// originRanksBefore ranks hosts of the region nearest to the origin before all others.
func (c Config) originRanksBefore(digest core.Digest, index int, a, b core.Host) bool {
	nearA, nearB := a.Region == c.OriginRegion, b.Region == c.OriginRegion
	if nearA != nearB {
		return nearA
	}
	return ranksBefore(digest, index, a.ID, b.ID)
}

// cohort returns the number of hosts, from the top of a ranking, whose turn has come after the
// time waited. It doubles with every interval, so the last of n hosts waits log2(n) intervals.
func cohort(waited, interval time.Duration) int {
	shift := min(int(waited/interval), maxCohortShift)
	if shift < 0 {
		return 1
	}
	return 1 << shift
}

// ManifestFromOrigin reports whether self fetches the manifest from the origin after the time
// waited. Hosts ranked behind it ask peers first.
func ManifestFromOrigin(cfg Config, self core.Host, hosts []core.Host, digest core.Digest, waited time.Duration) bool {
	if cfg.Strategy == StrategyDirect {
		return true
	}
	before := 0
	for _, host := range hosts {
		if host.ID != self.ID && eligible(self, host) && cfg.originRanksBefore(digest, manifestIndex, host, self) {
			before++
		}
	}
	return before < cohort(waited, cfg.TakeOver)
}

// ManifestPeers returns the peers to ask for the manifest at an attempt, counted from 0.
//
// The hosts of a region form a tree in ranked order: the first asks the host that ranks first of all,
// and each other host asks its parent, so that no host is asked by more than manifestFanOut others and
// the manifest reaches n hosts in about log(n) steps. Each attempt asks one further peer too, in an
// order that starts with the own region, since a parent may be dead or slow.
func ManifestPeers(cfg Config, self core.Host, hosts []core.Host, digest core.Digest, attempt int) []core.Host {
	peers := manifestOrder(self, hosts)
	if len(peers) == 0 {
		return nil
	}
	chosen := []core.Host{}
	if parent, ok := manifestParent(cfg, self, peers, digest); ok {
		chosen = append(chosen, parent)
	}
	if other := peers[attempt%len(peers)]; len(chosen) == 0 || chosen[0].ID != other.ID {
		chosen = append(chosen, other)
	}
	return chosen
}

// manifestOrder returns the eligible hosts, those of the own region first, in an order that differs between hosts.
func manifestOrder(self core.Host, hosts []core.Host) []core.Host {
	var peers []core.Host
	for _, host := range hosts {
		if host.ID != self.ID && eligible(self, host) {
			peers = append(peers, host)
		}
	}
	sortBy(peers, func(a, b core.Host) bool {
		nearA, nearB := a.Region == self.Region, b.Region == self.Region
		if nearA != nearB {
			return nearA
		}
		return ranksBefore(core.Digest(self.ID), manifestIndex, a.ID, b.ID)
	})
	return peers
}

// manifestParent returns the host above self in the tree; the host that ranks first of all has none.
func manifestParent(cfg Config, self core.Host, peers []core.Host, digest core.Digest) (core.Host, bool) {
	before := func(a, b core.Host) bool { return cfg.originRanksBefore(digest, manifestIndex, a, b) }
	var ahead, regionAhead []core.Host
	for _, host := range peers {
		if !before(host, self) {
			continue
		}
		ahead = append(ahead, host)
		if host.Region == self.Region {
			regionAhead = append(regionAhead, host)
		}
	}
	if len(ahead) == 0 {
		return core.Host{}, false
	}
	if len(regionAhead) == 0 {
		return slices.MinFunc(ahead, func(a, b core.Host) int { return compareBy(a, b, before) }), true
	}
	sortBy(regionAhead, before)
	return regionAhead[(len(regionAhead)-1)/manifestFanOut], true
}

// eligible reports whether host may exchange chunks with self.
func eligible(self, host core.Host) bool {
	return host.Role == core.RoleAgent && host.Upstream == self.Upstream && host.State != core.HostLeaving
}
