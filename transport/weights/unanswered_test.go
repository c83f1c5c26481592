package weights

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// lateEngine receives the whole of an order, doesn't answer it and has not begun it yet.
type lateEngine struct{ *memoryEngine }

func (e lateEngine) Load(context.Context, platform.LoadOrder) error {
	return protocol.Errorf(protocol.CodeOutcomeUnknown, "send load order")
}

// TestPermitIsKeptWhileALoadOrderIsUnanswered guards against more engines that load at the same time than permits allow: the
// engine may still begin a load whose order was not answered, and this host serves the old version until then.
func TestPermitIsKeptWhileALoadOrderIsUnanswered(t *testing.T) {
	s := newAgentFixture()
	s.engine.status.Digest, s.engine.status.Complete = "old", true
	s.rollout.deps.Monitor.Poll(t.Context())
	s.rollout.deps.Engine = lateEngine{s.engine}
	s.rollout.deps.Fetcher.deps.Config.Strategy = transfer.StrategyDirect
	s.spec.Target = &settings.VersionRef{Version: "v1", Digest: s.publish("v1", []byte("contents"))}
	s.applySpec()
	require.Equal(t, protocol.CodeOutcomeUnknown, protocol.CodeOf(s.rollout.step(t.Context())))
	require.True(t, s.rollout.engineServes("old"))
	var permit activation.Permit
	require.NoError(t, json.Unmarshal(s.store.object.Spec, &permit))
	require.Len(t, permit.Leases, 1, "another host may load while the engine may still begin this load")
}
