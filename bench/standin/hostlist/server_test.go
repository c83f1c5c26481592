package hostlist_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/standin/hostlist"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/platform"
)

// TestChangeLags guards against a host list that shows a change before its configured lag has passed.
func TestChangeLags(t *testing.T) {
	s := hostlist.New()
	web := httptest.NewServer(s.Handler())
	defer web.Close()
	client := platform.NewHostListClient(web.URL)
	host := core.Host{ID: "a", State: core.HostLive}
	s.Add(host)
	s.SetLag(time.Hour)
	s.SetState(host, core.HostLeaving)
	hosts, err := client.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []core.Host{host}, hosts)
}

// TestUnchangedListIsNotSentAgain guards against a stand-in that ignores entity tags, which would overstate the cost of
// watching a large list, and against one that returns 304 after a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	s := hostlist.New()
	web := httptest.NewServer(s.Handler())
	defer web.Close()
	client := platform.NewHostListClient(web.URL)
	for _, id := range []core.HostID{"a", "b"} {
		s.Add(core.Host{ID: id, State: core.HostLive})
		for range 2 {
			hosts, err := client.Hosts(t.Context())
			require.NoError(t, err)
			require.Equal(t, id, hosts[len(hosts)-1].ID)
		}
	}
	require.Equal(t, hostlist.Counts{Reads: 4, NotModified: 2}, s.Counts())
}
