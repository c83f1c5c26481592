package transfer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// manifestIndex is the chunk index that stands for the manifest in a ranking.
	manifestIndex = -1
	// readerIndex stands for the choice of the hosts that fetch from the origin.
	readerIndex = -2
	// manifestFanOut is the number of children of a host in the manifest tree.
	manifestFanOut = 4
	// maxTurnShift caps the result of turnLimit at 2^30 hosts.
	maxTurnShift = 30
)

// score returns the rendezvous weight of a host for a chunk; the highest score ranks first.
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

// originRanksBefore is ranksBefore, except that hosts of the region nearest to the origin rank before all others.
func (c Config) originRanksBefore(digest core.Digest, index int, a, b core.Host) bool {
	nearA, nearB := a.Region == c.OriginRegion, b.Region == c.OriginRegion
	if nearA != nearB {
		return nearA
	}
	return ranksBefore(digest, index, a.ID, b.ID)
}

// turnLimit returns how many of the highest ranked hosts may fetch after the time waited. The number doubles with every
// interval, so the last of n hosts waits log2(n) intervals.
func turnLimit(waited, interval time.Duration) int {
	shift := min(int(waited/interval), maxTurnShift)
	if shift < 0 {
		return 1
	}
	return 1 << shift
}

// ManifestFromOrigin reports whether self fetches the manifest from the origin after the time waited. Hosts with a lower rank
// ask peers first.
func ManifestFromOrigin(cfg Config, self core.Host, hosts []core.Host, digest core.Digest, waited time.Duration) bool {
	if cfg.Strategy == StrategyDirect {
		return true
	}
	ahead := 0
	for _, host := range hosts {
		if host.ID != self.ID && eligible(self, host) && cfg.originRanksBefore(digest, manifestIndex, host, self) {
			ahead++
		}
	}
	return ahead < turnLimit(waited, cfg.TakeOver)
}

// laterManifestTurns divides the time waited after the first TakeOver. The number of hosts that read a manifest from the origin then stays
// at 4 for 5 TakeOver and at 8 for 9, so that an outage doesn't end with a request from every host.
const laterManifestTurns = 4

// ManifestReader is ManifestFromOrigin for origins whose outages should not end with requests from all hosts: two hosts begin, and four
// have their turn after TakeOver.
func ManifestReader(cfg Config, self core.Host, hosts []core.Host, digest core.Digest, waited time.Duration) bool {
	turns := cfg.TakeOver + min(waited, cfg.TakeOver) + max(waited-cfg.TakeOver, 0)/laterManifestTurns
	return ManifestFromOrigin(cfg, self, hosts, digest, turns)
}

// ManifestPeers returns the peers to ask for the manifest in the given attempt, counted from 0.
//
// The hosts of a region form a tree in ranked order. The first asks the host that ranks first of all regions, and each other
// host asks its parent. No host is asked by more than manifestFanOut others of its region, and the manifest reaches n hosts in
// about log(n) steps. Because a parent may be dead or slow, each attempt also asks one more peer, those of self's region first.
func ManifestPeers(cfg Config, self core.Host, hosts []core.Host, digest core.Digest, attempt int) []core.Host {
	peers := manifestCandidates(self, hosts)
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

// manifestCandidates returns the eligible hosts in an order that differs between hosts, those of self's region first.
func manifestCandidates(self core.Host, hosts []core.Host) []core.Host {
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

// manifestParent returns the parent of self in the manifest tree; the host that ranks first of all has none.
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
