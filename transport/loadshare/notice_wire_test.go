package loadshare

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
)

// TestNoticesFitIntoDatagrams guards against notices that are cut off because a datagram is longer than the buffer of its receiver, or
// that come out as others.
func TestNoticesFitIntoDatagrams(t *testing.T) {
	now := time.Unix(5000, 0)
	process := quarantine.Process{Host: netip.MustParseAddr("10.3.0.35"), Born: 1773693574193}
	key := quarantine.Key{Upstream: "nyzi65a", Part: "91bd3f06"}
	var parts []quarantine.Part
	for i := range maxNoticeParts {
		parts = append(parts, quarantine.Part(strings.Repeat("f", 30)+fmt.Sprintf("%02x", i)))
	}
	notices := []quarantine.Notice{
		{ID: 1 << 63, At: now.Add(-time.Second), Loss: &quarantine.Loss{Process: process, Upstream: "nyzi65a", Team: "gogo", Parts: parts}},
		quarantine.EndedNotice(now, process),
		{ID: 3, At: now.Add(-time.Hour), Sound: &key},
		{ID: 4, At: now.Add(-time.Minute), Quarantine: &quarantine.Quarantine{
			Key: key, Team: "gogo", Since: now.Add(-2 * time.Minute), Processes: 5, Round: 2,
		}},
	}
	for i := range 40 {
		notices = append(notices, quarantine.Notice{ID: uint64(100 + i), At: now, Loss: &quarantine.Loss{
			Process: process, Upstream: "nyzi65a", Team: "gogo", Parts: []quarantine.Part{"91bd3f06"},
		}})
	}
	digest := uint64(1<<64 - 1)
	datagrams, err := encodeDatagrams(now, notices, &digest)
	require.NoError(t, err)
	var decoded []quarantine.Notice
	for i, body := range datagrams {
		require.LessOrEqual(t, len(body), maxDatagramBytes)
		received, err := decodeMessage(body)
		require.NoError(t, err)
		require.Equal(t, i == len(datagrams)-1, received.Digest != nil)
		decoded = append(decoded, decodeNotices(now, received.Notices)...)
	}
	require.Equal(t, notices, decoded)
	for name, n := range map[string]quarantine.Notice{"loss": notices[10], "ended": notices[1], "sound": notices[2], "quarantine": notices[3]} {
		datagrams, err := encodeDatagrams(now, []quarantine.Notice{n}, nil)
		require.NoError(t, err)
		t.Logf("%s: %d bytes", name, len(datagrams[0]))
	}
}

// TestBadNoticesAreRejected guards against a datagram that makes hosts hold what no host has seen, or that ends the process.
func TestBadNoticesAreRejected(t *testing.T) {
	for name, body := range map[string]string{
		"unknown kind":   `{"k":[{"i":1,"k":"z"}]}`,
		"no host":        `{"k":[{"i":1,"k":"e"}]}`,
		"negative age":   `{"k":[{"i":1,"k":"s","u":"a","p":["x"],"a":-1}]}`,
		"endless age":    `{"k":[{"i":1,"k":"s","u":"a","p":["x"],"a":9223372036854775807}]}`,
		"two parts":      `{"k":[{"i":1,"k":"q","u":"a","p":["x","y"]}]}`,
		"empty part":     `{"k":[{"i":1,"k":"l","h":"10.0.0.1","u":"a","p":[""]}]}`,
		"huge round":     `{"k":[{"i":1,"k":"q","u":"a","p":["x"],"r":1000000}]}`,
		"negative count": `{"k":[{"i":1,"k":"q","u":"a","p":["x"],"n":-1}]}`,
	} {
		_, err := decodeMessage([]byte(body))
		require.Error(t, err, name)
	}
}
