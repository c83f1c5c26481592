package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Guards against loads of all replicas at the end of the spread: a step for another model must not restart the time since which a
// version is ready, from which its turn follows.
func TestReadyTimeIsKeptInStepsForOtherModels(t *testing.T) {
	first, second := target{model: "first", version: 2}, target{model: "second", version: 5}
	load := rollout.Choice{Load: true}
	a := &Agent{staged: first, choices: map[core.Model]rollout.Choice{"first": load, "second": load}}
	start := time.Unix(1000, 0)
	require.Equal(t, start, a.readySince(first, start))
	a.readySince(second, start.Add(time.Second))
	require.Equal(t, start, a.readySince(first, start.Add(2*time.Second)))

	a.staged = second
	a.readySince(first, start.Add(3*time.Second))
	a.readySince(second, start.Add(3*time.Second))
	a.staged = first
	require.Equal(t, start, a.readySince(first, start.Add(4*time.Second)), "another model was staged meanwhile")
}

// Guards against a load before its turn: a version that is staged again, or was held in reserve, is ready anew.
func TestReadyTimeRestartsWithAnotherVersionOrChoice(t *testing.T) {
	older, newer := target{model: "m", version: 2}, target{model: "m", version: 3}
	a := &Agent{staged: older, choices: map[core.Model]rollout.Choice{"m": {Load: true}}}
	start := time.Unix(1000, 0)
	a.readySince(older, start)
	a.staged = newer
	later := start.Add(time.Second)
	require.Equal(t, later, a.readySince(newer, later))
	a.choices["m"] = rollout.Choice{}
	a.readySince(newer, later)
	a.choices["m"] = rollout.Choice{Load: true}
	require.Equal(t, later.Add(time.Second), a.readySince(newer, later.Add(time.Second)))
}
