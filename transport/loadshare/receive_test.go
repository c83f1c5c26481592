package loadshare

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestBadDatagramEndsOnlyItself guards against a process that ends because of one malformed datagram or a panic in its handling, and
// against one that neither counts nor logs it.
func TestBadDatagramEndsOnlyItself(t *testing.T) {
	// Earlier runs of the test may have used up the log lines.
	rejectLog = newRejectLog()
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	log := logrus.NewEntry(logger)
	var from netip.AddrPort
	before, handled := varRejected.Value(), 0
	handle := func(message) { handled++ }
	handleDatagram(log, from, []byte("no JSON"), handle)
	handleDatagram(log, from, []byte(`{"r":{"n":-1}}`), handle)
	handleDatagram(log, from, []byte(`{"r":{"t":-0.5}}`), handle)
	handleDatagram(log, from, []byte(`{}`), func(message) { panic("injected by the test") })
	require.EqualValues(t, 4, varRejected.Value()-before)
	require.Equal(t, 4, bytes.Count(output.Bytes(), []byte("datagram rejected")))
	require.Zero(t, handled)
	handleDatagram(log, from, []byte(`{}`), handle)
	require.Equal(t, 1, handled)
}
