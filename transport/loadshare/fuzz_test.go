package loadshare

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// FuzzMessage guards against a datagram that ends the process or yields values out of range: ages, counts and shares that are negative
// or overflow.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"r":{"b":1,"n":2,"w":3,"s":4,"m":[{"n":"m","v":1,"l":2}],"f":5,"e":6,"p":1.5,"v":[{"n":"m","v":2,"a":30}],"x":1}}`))
	f.Add([]byte(`{"r":{"n":-1,"w":-9223372036854775808,"s":-4,"f":-5,"x":-1,"e":5e-324,"p":-1,"m":[{"l":-7}]}}`))
	f.Add([]byte(`{"v":[{"n":"m","v":1,"a":9223372036854775807},{"n":"m","v":1,"a":-9223372036854775808}],"e":1e308}`))
	f.Add([]byte(`{"r":null,"r":{"n":1},"z":{"a":"::1","b":""},"y":true}`))
	f.Add([]byte(`{"r":{"m":null,"v":null}}`))
	f.Add([]byte(`{"g":18446744073709551615,"k":[{"i":1,"k":"l","a":5,"h":"10.0.0.1","b":2,"u":"llm","p":["aa"],"t":"x"},{"i":2,"k":"e","h":"10.0.0.1"}]}`))
	f.Add([]byte(`{"k":[{"i":3,"k":"s","u":"llm","p":["aa"],"a":7},{"i":4,"k":"q","u":"llm","p":["aa"],"s":9,"n":5,"r":64,"x":true}]}`))
	f.Add([]byte(`{"r":{"t":1.7,"f":8,"e":1e308}}`))
	f.Add([]byte(`{"r":{"c":-1,"o":9223372036854775807}}`))
	f.Add([]byte(`{"c":true,"i":334,"h":true,"o":7,"b":true,"t":111,"n":[{"d":"a","n":22,"a":900}],"z":{"a":"10.0.0.1"},"d":"a"}`))
	f.Add([]byte(`{"l":"CgAAAQ==","w":true,"n":[{"d":"a","n":-1,"a":-5}],"t":-1,"r":{"h":-1,"c":-9}}`))
	f.Add([]byte(`{"q":5,"a":{"q":4294967295000,"v":[{"n":"m","v":2,"a":1200,"s":700}]}}`))
	f.Add([]byte(`{"q":-9223372036854775808,"a":{"q":9223372036854775807,"v":[{"n":"m","v":2,"a":9223372036854775807,"s":-1}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		received, err := decodeMessage(data)
		if err != nil {
			return
		}
		now := time.Unix(1<<32, 0)
		ledger := quarantine.NewLedger(quarantine.DefaultConfig())
		for _, n := range decodeNotices(now, received.Notices) {
			require.False(t, n.At.After(now), "time of a notice")
			ledger.Add(now, n)
		}
		if received.Times != nil {
			received.Times.deliverTimes(now, netip.Addr{}, func(_ netip.Addr, _ core.Model, told fleet.WantedVersion) {
				require.False(t, told.Until.After(now), "time of a version")
				require.False(t, told.Since.After(told.Until), "bounds of the time of a version")
			})
		}
		if received.Report == nil {
			return
		}
		report := received.Report.decode(1)
		require.GreaterOrEqual(t, report.Running, 0)
		require.GreaterOrEqual(t, report.Waiting, 0)
		require.GreaterOrEqual(t, report.Slots, 0)
		require.GreaterOrEqual(t, report.Senders, 0)
		require.GreaterOrEqual(t, report.Pace, 0.0)
		require.True(t, report.CacheUsed >= 0 && report.CacheTotal >= 0)
		require.True(t, report.Share >= 0 && report.Share <= 1, "share %f", report.Share)
		for _, model := range report.Models {
			require.GreaterOrEqual(t, model.Layers, -1)
		}
	})
}
