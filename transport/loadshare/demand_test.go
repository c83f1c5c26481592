package loadshare

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestDemandOfAHostThatIsGoneIsDropped guards against slots that are reserved for the callers of a host that is gone or frozen.
func TestDemandOfAHostThatIsGoneIsDropped(t *testing.T) {
	now := bootclock.Time()
	host := func(age time.Duration, demand ...float64) requester {
		return requester{lastRequest: now.Add(-age), priorityDemand: demand}
	}
	r := &Reporter{
		now: bootclock.Time, census: reporting.NewCensus(),
		sink: RequestSink{EntryHostCounts: func(int, int) {}, Relays: func(map[core.FailureDomain]netip.Addr) {}},
		requesters: map[netip.AddrPort]requester{
			netip.MustParseAddrPort("10.0.0.1:1"): host(0, 7.2, 0, 1.1), netip.MustParseAddrPort("10.0.0.2:1"): host(time.Second, 0.3, 2),
			netip.MustParseAddrPort("10.0.0.3:1"): host(requestLifetime+time.Second, 50), netip.MustParseAddrPort("10.0.0.4:1"): host(0),
		},
	}
	require.Equal(t, []float64{57.5, 2, 1.1}, r.totalPriorityDemand())
	r.Send()
	require.Equal(t, []float64{7.5, 2, 1.1}, r.totalPriorityDemand())
}

// TestPriorityDemandIsSentAndChecked guards against totals that are lost on the way, against a longer message where there is only one
// priority, and against values that would reserve without bound.
func TestPriorityDemandIsSentAndChecked(t *testing.T) {
	body, err := encodeReport(1, dispatch.Report{Demand: []float64{7.5, 2}}, 9.5, 0, 0, nil)
	require.NoError(t, err)
	received, err := decodeMessage(body)
	require.NoError(t, err)
	require.Equal(t, []float64{7.5, 2}, received.Report.decode(1).Demand)
	body, err = encodeReport(1, dispatch.Report{}, 9.5, 0, 0, nil)
	require.NoError(t, err)
	require.NotContains(t, string(body), `"i"`)
	for _, bad := range []string{`{"p":[-1]}`, `{"p":[1e300]}`, `{"p":[1,1,1,1,1,1,1,1,1,1,1]}`, `{"r":{"i":[-1]}}`} {
		_, err := decodeMessage([]byte(bad))
		require.Error(t, err, bad)
	}
}
