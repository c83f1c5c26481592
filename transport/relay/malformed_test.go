package relay_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/headtest"
	"github.com/guavatrestle/guavatrestle/transport/relay"
)

// TestMalformedAnswerOfARelayIsNotUsed guards against records, or an expired watch, that are believed although the head of the relay's
// response is malformed. The sound response must be used.
func TestMalformedAnswerOfARelayIsNotUsed(t *testing.T) {
	const records = `{"revision":2,"records":[{"name":"relayed","revision":2}]}`
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(records), records)
	list := func(t *testing.T, text string) (relayed bool, log *logtest.Hook) {
		t.Helper()
		logger, log := logtest.NewNullLogger()
		server := netip.MustParseAddrPort(headtest.Start(t, text).Address)
		source := relay.NewSource(relay.Config{
			Store: newStore(), Self: netip.MustParseAddr("127.0.21.9"), Port: int(server.Port()), Log: logrus.NewEntry(logger),
		})
		source.SetRelay(server.Addr())
		batch, err := source.List(t.Context(), kind, false)
		require.NoError(t, err)
		return batch.Relayed, log
	}
	relayed, _ := list(t, sound)
	require.True(t, relayed)
	for name, malformed := range headtest.Malformations {
		t.Run(name, func(t *testing.T) {
			relayed, log := list(t, malformed(sound))
			require.False(t, relayed)
			require.ErrorContains(t, log.LastEntry().Data[logrus.ErrorKey].(error), "malformed")
		})
	}
}
