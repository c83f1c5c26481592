package fleet

// RequestLimit is what a replica says about the request rate that it takes from all hosts together. The zero value means that it
// states no limit.
type RequestLimit struct {
	Stated bool
	// PerSecond is the rate in requests per second; 0 means that the replica wants none.
	PerSecond float64
	// Malformed is true if the replica states a value that can't be read. That neither sets nor ends a limit.
	Malformed bool
}
