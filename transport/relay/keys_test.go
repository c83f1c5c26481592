package relay_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/relay"
)

// fixedTransport answers every call with the same body.
type fixedTransport string

func (f fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(f)))}, nil
}

func storeWithConfiguration(configuration fleet.Configuration) *store {
	s := newStore()
	s.records["main"] = feed.Record{Name: "main", Revision: 1, Value: &configuration}
	return s
}

func configurationOf(t *testing.T, batch feed.Batch) *fleet.Configuration {
	t.Helper()
	require.Len(t, batch.Records, 1)
	require.NoError(t, batch.Records[0].Err)
	return batch.Records[0].Value.(*fleet.Configuration)
}

// Guards against a host that requires no keys because its relay passes an empty list of teams on as if there were none, or the reverse.
func TestRelayPassesOnWhetherKeysAreOptional(t *testing.T) {
	for name, sent := range map[string]fleet.Configuration{
		"empty list": {Version: 7, Teams: []fleet.Team{}},
		"no list":    {Version: 7, KeysOptional: true},
		"teams":      {Version: 7, Teams: []fleet.Team{{Name: "blue", Keys: []string{"key"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := storeWithConfiguration(sent)
			list := hosts(t, s, "127.0.24.1", "127.0.24.2")
			_, err := list[0].List(t.Context(), feed.KindConfiguration, false)
			require.NoError(t, err)
			list[1].SetRelay(list[0].addr)
			batch, err := list[1].List(t.Context(), feed.KindConfiguration, false)
			require.NoError(t, err)
			require.True(t, batch.Relayed)
			require.Equal(t, sent.KeysOptional, configurationOf(t, batch).KeysOptional)
			require.Len(t, configurationOf(t, batch).Teams, len(sent.Teams))
		})
	}
}

// Guards against a host that is open to everybody, or closed to everybody, or keeps revoked keys, because a relay of an earlier version
// doesn't tell an empty list of teams from a missing one. The host reads the store itself.
func TestListOfTeamsFromAnEarlierRelayIsNotTrustedWhenEmpty(t *testing.T) {
	const head = `{"revision":1,"era":0,"held_ms":0,"age_ms":1,"records":[{"name":"main","revision":1,"value":{"Version":7,"Teams":`
	for name, test := range map[string]struct {
		teams   string
		brief   bool
		relayed bool
	}{
		"null":           {teams: `null`},
		"empty":          {teams: `[]`},
		"teams":          {teams: `[{"Name":"blue","Keys":["key"]}]`, relayed: true},
		"null for agent": {teams: `null`, brief: true, relayed: true},
	} {
		for _, watch := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := storeWithConfiguration(fleet.Configuration{Version: 7, KeysOptional: true})
				s.changes = []feed.Record{s.records["main"]}
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				source := relay.NewSource(relay.Config{
					Store: s, Self: netip.MustParseAddr("127.0.24.4"), Port: 1, Brief: test.brief, Log: logrus.NewEntry(logger),
				})
				source.SkipPatience()
				source.SetTransport(fixedTransport(head + test.teams + `}}]}`))
				source.SetRelay(netip.MustParseAddr("127.0.24.3"))
				read := func() (feed.Batch, error) { return source.List(t.Context(), feed.KindConfiguration, false) }
				if watch {
					read = func() (feed.Batch, error) { return source.Watch(t.Context(), feed.KindConfiguration, 0, 0) }
				}
				batch, err := read()
				require.NoError(t, err)
				require.Equal(t, test.relayed, batch.Relayed)
				require.Equal(t, !test.relayed, configurationOf(t, batch).KeysOptional)
			})
		}
	}
}
