package transfer

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

// Release returns a slot.
func (u *UploadSlots) Release() { u.active-- }
