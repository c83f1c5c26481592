package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// watchSalt makes the order of watchers independent of other rendezvous orders.
const watchSalt = "watch"

// Rank returns the live hosts of a failure domain in rendezvous order for salt. Every process with the same view computes the
// same order, and a host that joins or leaves does not change the relative order of the others.
func Rank(hosts []core.Host, domain core.FailureDomain, salt string) []core.Host {
	var live []core.Host
	for _, host := range hosts {
		if host.FailureDomain == domain && host.State == core.HostLive {
			live = append(live, host)
		}
	}
	weight := func(h core.Host) uint64 { return xxhash.Sum64String(salt + "\x00" + string(h.ID)) }
	slices.SortFunc(live, func(a, b core.Host) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	return live
}

// WatchOrder returns the hosts of a failure domain in the order in which they become watchers.
func WatchOrder(hosts []core.Host, domain core.FailureDomain) []core.Host {
	return Rank(hosts, domain, watchSalt)
}

// Position returns the index of a host in an order, or -1.
func Position(order []core.Host, id core.HostID) int {
	return slices.IndexFunc(order, func(h core.Host) bool { return h.ID == id })
}

// IsWatcher reports whether a host watches the object API. The first watchers hosts of the order do. As many spares after them
// do too while one of the first is cut off from the platform.
func IsWatcher(order []core.Host, self core.HostID, watchers int, cutOff func(core.HostID) bool) bool {
	position := Position(order, self)
	first := min(watchers, len(order))
	if position < first {
		return position >= 0
	}
	for _, host := range order[:first] {
		if cutOff(host.ID) {
			return position < first+watchers
		}
	}
	return false
}

// WatchersOfSpare returns the watchers that a host probes if it is one of their spares, and none otherwise.
func WatchersOfSpare(order []core.Host, self core.HostID, watchers int) []core.Host {
	position := Position(order, self)
	first := min(watchers, len(order))
	if position < first || position >= first+watchers {
		return nil
	}
	return order[:first]
}

// Roots returns the hosts of a failure domain to which a document is pushed directly; they are the roots of the push trees.
func Roots(order []core.Host, fanout int) []core.Host {
	return order[:min(fanout, len(order))]
}

// Children returns the hosts to which the host at position forwards a pushed document. Together with the roots they form trees
// that reach every host of the order exactly once.
func Children(order []core.Host, position, fanout int) []core.Host {
	if position < 0 {
		return nil
	}
	start := min((position+1)*fanout, len(order))
	return order[start:min(start+fanout, len(order))]
}

// Sample returns up to n distinct hosts for which match reports true, in random order.
func Sample(hosts []core.Host, n int, random *rand.Rand, match func(core.Host) bool) []core.Host {
	var candidates []core.Host
	for _, host := range hosts {
		if match(host) {
			candidates = append(candidates, host)
		}
	}
	random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}
