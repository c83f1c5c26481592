package headers

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// maxDecimalLength bounds the length of a rate in a header. It keeps every rate finite.
const maxDecimalLength = 32

var decimal = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// RequestLimit decodes the header with a back end's limit on its request rate, a decimal number of requests per second. Of several
// values it returns the lowest.
func RequestLimit(h http.Header, name string) fleet.RequestLimit {
	var limit fleet.RequestLimit
	for _, text := range h[name] {
		perSecond, ok := parseDecimal(strings.TrimSpace(text))
		if !ok {
			return fleet.RequestLimit{Malformed: true}
		}
		if !limit.Stated || perSecond < limit.PerSecond {
			limit = fleet.RequestLimit{Stated: true, PerSecond: perSecond}
		}
	}
	return limit
}

// parseDecimal decodes a number of at least 0 without sign and exponent.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxDecimalLength || !decimal.MatchString(text) {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}
