// Package membership maintains the member hosts as seen by one process and assigns roles such as watcher to them.
//
// A record about a host carries a stamp, and the record with the highest stamp wins on every host. A host stamps records about
// itself; processes that read the platform's host list stamp the changes that it shows.
package membership

import (
	"cmp"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// ListGracePeriod is the time for which the host list may disagree with a record before the list wins. The list lags, so
	// the record may be the newer of the two.
	ListGracePeriod = 30 * time.Second
	// GoneRecordRetention is the time for which the record of a host that is gone is kept, so that an older record that arrives
	// late does not add the host again.
	GoneRecordRetention = 10 * time.Minute
	// listStampStep is the resolution of stamps for changes in the host list. Processes that read the same change within one
	// step give it the same stamp, so that it is distributed only once.
	listStampStep = 10 * time.Second
)

// Record is the state of one host as of a stamp.
type Record struct {
	Host core.Host
	// Stamp is the time of the record in Unix milliseconds, or one more than the stamp it replaces if that is higher.
	Stamp uint64
	// Gone is set when the host has been removed from the host list.
	Gone bool
}

// supersedes reports whether r replaces other. Equal stamps are ordered by fields, so that every process decides alike.
func (r Record) supersedes(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Stamp, other.Stamp),
		cmp.Compare(r.lifecycleRank(), other.lifecycleRank()),
		cmp.Compare(r.Host.Incarnation, other.Host.Incarnation),
		cmp.Compare(r.Host.ControlAddr, other.Host.ControlAddr),
	) > 0
}

func (r Record) lifecycleRank() int {
	switch {
	case r.Gone:
		return 2
	case r.Host.State == core.HostLeaving:
		return 1
	default:
		return 0
	}
}

func (r Record) expired(now time.Time) bool {
	return r.Gone && now.Sub(time.UnixMilli(int64(r.Stamp))) > GoneRecordRetention
}

// stampAfter returns a stamp for now that is higher than previous.
func stampAfter(previous uint64, now time.Time) uint64 {
	return max(uint64(now.UnixMilli()), previous+1)
}

// listStamp returns the stamp for a change that the host list shows at now.
func listStamp(previous uint64, now time.Time) uint64 {
	return stampAfter(previous, now.Truncate(listStampStep))
}
