package quarantine

// PartCount returns the number of parts that the detector remembers.
func (d *Detector) PartCount() int { return len(d.parts) }
