package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Guards against loads of all replicas at the end of the spread: a step for another model must not restart the time since which a
// version is ready, from which its turn follows.
func TestReadyTimeIsKeptInStepsForOtherModels(t *testing.T) {
	first, second := target{model: "first", version: 2}, target{model: "second", version: 5}
	load := rollout.Choice{Load: true}
	a := &Agent{staged: map[core.Model]int64{"first": 2, "second": 5}, choices: map[core.Model]rollout.Choice{"first": load, "second": load}}
	start := time.Unix(1000, 0)
	require.Equal(t, start, a.readySince(first, start))
	a.readySince(second, start.Add(time.Second))
	require.Equal(t, start, a.readySince(first, start.Add(2*time.Second)))
}

// Guards against a load before its turn: a version that is staged again, or was held in reserve, is ready anew.
func TestReadyTimeRestartsWithAnotherVersionOrChoice(t *testing.T) {
	older, newer := target{model: "m", version: 2}, target{model: "m", version: 3}
	a := &Agent{staged: map[core.Model]int64{"m": 2}, choices: map[core.Model]rollout.Choice{"m": {Load: true}}}
	start := time.Unix(1000, 0)
	a.readySince(older, start)
	a.staged["m"] = 3
	later := start.Add(time.Second)
	require.Equal(t, later, a.readySince(newer, later))
	a.choices["m"] = rollout.Choice{}
	a.readySince(newer, later)
	a.choices["m"] = rollout.Choice{Load: true}
	require.Equal(t, later.Add(time.Second), a.readySince(newer, later.Add(time.Second)))
}

// Guards against an order that replaces the only record of an unanswered one: the staged pieces of that model could then be replaced
// while the worker may still load them.
func TestModelWaitsForUnansweredOrderOfAnother(t *testing.T) {
	first, second := target{model: "first", version: 2}, target{model: "second", version: 5}
	a := &Agent{
		Dependencies: Dependencies{Now: time.Now},
		responding:   true, staged: map[core.Model]int64{"first": 2, "second": 5}, unanswered: loadOrder{target: first},
		choices: map[core.Model]rollout.Choice{"first": {Load: true}, "second": {Load: true}},
	}
	decide := func(t target) rollout.Action {
		state, _ := a.rolloutState(&fleet.View{}, fleet.Wanted{{Version: t.version}}, t, &fleet.EngineSpec{})
		return rollout.Decide(state)
	}
	require.Equal(t, rollout.ActionWait, decide(second))
	require.Equal(t, rollout.ActionLoad, decide(first), "the unanswered order is sent again")
	a.unanswered = loadOrder{}
	require.Equal(t, rollout.ActionLoad, decide(second))
}
