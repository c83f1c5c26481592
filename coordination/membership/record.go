// Package membership decides which hosts a process counts as members and which of them do what.
//
// A record about a host carries a stamp, and the record with the highest stamp wins everywhere. A host
// stamps records about itself; readers of the platform's host list stamp what the list changes.
package membership

import (
	"cmp"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// ListGracePeriod is the time for which the host list may disagree with a record before the list
	// wins. The list lags, so a disagreement is not yet a fault of the record.
	ListGracePeriod = 30 * time.Second
	// GoneRecordRetention is the time for which the record of a host that is gone is kept, so that an old copy
	// of its record does not bring it back.
	GoneRecordRetention = 10 * time.Minute
	// listStampStep is the step of stamps that readers of the host list give. Readers that see the
	// same change within a step give it the same stamp, so that it spreads once.
	listStampStep = 10 * time.Second
)

// Record is what is known about one host.
type Record struct {
	Host core.Host
	// Stamp is the time of the record in milliseconds, or one more than the stamp it replaces.
	Stamp uint64
	// Gone says that the host has left the host list.
	Gone bool
}

// newer reports whether r replaces other. Equal stamps fall back to an order that is the same everywhere.
func (r Record) newer(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Stamp, other.Stamp),
		cmp.Compare(r.finality(), other.finality()),
		cmp.Compare(r.Host.Incarnation, other.Host.Incarnation),
		cmp.Compare(r.Host.ControlAddr, other.Host.ControlAddr),
	) > 0
}

func (r Record) finality() int {
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

// stampAfter returns a stamp for now that replaces a record with stamp held.
func stampAfter(held uint64, now time.Time) uint64 {
	return max(uint64(now.UnixMilli()), held+1)
}

// listStamp returns the stamp that a reader of the host list gives.
func listStamp(held uint64, now time.Time) uint64 {
	return stampAfter(held, now.Truncate(listStampStep))
}
