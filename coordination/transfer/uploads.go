package transfer

// UploadSlots bounds the chunks that a host sends at once. A copy for another region serves all hosts there, so it gets slots that
// near hosts cannot fill. It is not safe for concurrent use.
type UploadSlots struct {
	near   int
	all    int
	active int
}

// NewUploadSlots returns Uploads with slots for all hosts, and further ones for hosts of other regions.
func NewUploadSlots(slots, crossRegion int) *UploadSlots {
	return &UploadSlots{near: slots, all: slots + crossRegion}
}

// TryAcquire takes a slot and reports whether there was one.
func (u *UploadSlots) TryAcquire(crossRegion bool) bool {
	limit := u.near
	if crossRegion {
		limit = u.all
	}
	if u.active >= limit {
		return false
	}
	u.active++
	return true
}

// Release gives a slot back.
func (u *UploadSlots) Release() { u.active-- }
