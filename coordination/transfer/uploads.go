package transfer

import "time"

// UploadSlots bounds the chunks that a host sends concurrently. A chunk sent to another region serves all hosts there, so some
// slots are reserved for it. It is not safe for concurrent use.
type UploadSlots struct {
	sameRegionLimit int
	totalLimit      int
	active          int
}

// NewUploadSlots returns UploadSlots with slots for all hosts and crossRegion more that only hosts of other regions can use.
func NewUploadSlots(slots, crossRegion int) *UploadSlots {
	return &UploadSlots{sameRegionLimit: slots, totalLimit: slots + crossRegion}
}

// TryAcquire acquires a slot and reports whether one was free.
func (u *UploadSlots) TryAcquire(crossRegion bool) bool {
	limit := u.sameRegionLimit
	if crossRegion {
		limit = u.totalLimit
	}
	if u.active >= limit {
		return false
	}
	u.active++
	return true
}

// busyChunks is the number of chunk times for which a host without a free upload slot sends peers away. With 1, peers repeated twice as many
// requests in a simulation of 58 hosts without getting the version sooner.
const busyChunks = 2

// BusyDelay returns the time for which a host without a free upload slot sends a peer away.
func BusyDelay(chunkBytes int, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(busyChunks * float64(chunkBytes) / bytesPerSecond * float64(time.Second))
}

// Release returns a slot.
func (u *UploadSlots) Release() { u.active-- }
