package ingress

import (
	"strconv"
	"strings"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
)

const (
	// requiredLoadFigures is the number of figures that every load header has: running requests, waiting requests and slots.
	requiredLoadFigures = 3
	// usualSpeedPercent is the fourth figure of a load header while work takes as long as usual.
	usualSpeedPercent = 100
	// maxSpeedPercent bounds the fourth figure; a higher one is taken for malformed.
	maxSpeedPercent = 10_000
)

// parseLoad decodes a load header. A fourth figure is the present service time in percent of the usual one. It is ignored if it is
// malformed, as are all figures after it, so that a replica with a newer format still has a load.
func parseLoad(value string) (dispatch.Report, bool) {
	parts := strings.Split(value, ",")
	if len(parts) < requiredLoadFigures {
		return dispatch.Report{}, false
	}
	var numbers [requiredLoadFigures]int
	for i := range numbers {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > maxLoadNumber {
			return dispatch.Report{}, false
		}
		numbers[i] = n
	}
	report := dispatch.Report{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(parts) > requiredLoadFigures {
		report.CurrentPace = parseSpeed(parts[requiredLoadFigures])
	}
	return report, true
}

// parseSpeed returns the present service time as a multiple of the usual one, or 0 if the figure is malformed.
func parseSpeed(value string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(percent > 0 && percent <= maxSpeedPercent) {
		return 0
	}
	return percent / usualSpeedPercent
}
