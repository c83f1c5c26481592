package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzReplicaHeaders guards against headers of a replica whose numbers overflow, so that a full replica looks idle or a cold one warm.
func FuzzReplicaHeaders(f *testing.F) {
	f.Add("1, 2,16", "1500")
	f.Add("9223372036854775807,9223372036854775807,1", "9223372036854775807")
	f.Add("-1,0,0", "-5")
	f.Add("1,2,3,4", "1e9")
	f.Add("99999999999999999999,0,0", "9223372036854776")
	f.Fuzz(func(t *testing.T, load, cold string) {
		if report, ok := parseLoad(load); ok {
			for _, n := range []int{report.Running, report.Waiting, report.Slots, report.Running + report.Waiting} {
				require.GreaterOrEqual(t, n, 0)
			}
		}
		if remaining, ok := parseColdRemaining(cold); ok {
			require.Greater(t, remaining, time.Duration(0))
			require.LessOrEqual(t, remaining, maxDeadline)
		}
	})
}
