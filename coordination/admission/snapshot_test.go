package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestGateWithoutLimitsIsCold guards against a back end that is reported warm before its limits are configured.
func TestGateWithoutLimitsIsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := admission.New(admission.Config{})
	gate.Observe(now, admission.Report{BootID: "a", Digest: version, Complete: true, ReadAt: now})
	require.Equal(t, core.UpstreamCold, gate.Snapshot(now).State)
	gate.Configure(admission.Config{ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmupCompletions})
	require.Equal(t, core.UpstreamCold, gate.Snapshot(now).State)
}
