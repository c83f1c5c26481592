package transfer

// Uploads bounds the chunks that a host sends at once. A copy for another region serves all hosts there, so it gets slots that
// near hosts cannot fill. It is not safe for concurrent use.
type Uploads struct {
	near   int
	all    int
	active int
}

// NewUploads returns Uploads with slots for all hosts, and further ones for hosts of other regions.
func NewUploads(slots, crossRegion int) *Uploads {
	return &Uploads{near: slots, all: slots + crossRegion}
}

// Take takes a slot and reports whether there was one.
func (u *Uploads) Take(crossRegion bool) bool {
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
func (u *Uploads) Release() { u.active-- }
