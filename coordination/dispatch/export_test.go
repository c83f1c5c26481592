package dispatch

// NoticeCount returns the number of notices that are kept.
func (b *Balancer) NoticeCount() int { return len(b.notices) }
