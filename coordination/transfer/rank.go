package transfer

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// manifestIndex stands for the manifest in a ranking.
	manifestIndex = -1
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

// ManifestPeers returns up to limit peers to ask for the manifest, from offset on in an order that
// starts with the own region and differs between hosts, so that no host is asked by all others.
func ManifestPeers(self core.Host, hosts []core.Host, offset, limit int) []core.Host {
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
	var chosen []core.Host
	for i := range min(limit, len(peers)) {
		chosen = append(chosen, peers[(offset+i)%len(peers)])
	}
	return chosen
}

// eligible reports whether host may exchange chunks with self.
func eligible(self, host core.Host) bool {
	return host.Role == core.RoleAgent && host.Upstream == self.Upstream && host.State != core.HostLeaving
}
