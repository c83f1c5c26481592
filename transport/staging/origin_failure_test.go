package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Guards against an outage that a host expects to last for hours because it has not asked the origin again since one failed request:
// peers brought the other pieces.
func TestFailureOfOriginEndsWithoutAnotherRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &Agent{Dependencies: Dependencies{Now: func() time.Time { return now }, View: func() *fleet.View { return &fleet.View{} }}}
	away := func() time.Duration { return a.links(&fleet.EngineSpec{}).OriginAwayFor }
	failure := protocol.Errorf(protocol.CodeUnavailable, "no answer")
	a.noteOrigin(failure)
	now = now.Add(4 * time.Second)
	a.noteOrigin(failure)
	now = now.Add(4 * time.Second)
	require.Equal(t, 8*time.Second, away(), "an outage that goes on keeps its start")
	now = now.Add(time.Second)
	require.Zero(t, away())
}

// Guards against an outage that counts as ended because this host no longer asks the origin, while known hosts gain no pieces either.
func TestFailureOfOriginGoesOnWithoutNewPieces(t *testing.T) {
	now := time.Unix(1000, 0)
	a := &Agent{Dependencies: Dependencies{Now: func() time.Time { return now }, View: func() *fleet.View { return &fleet.View{} }}}
	a.noteOrigin(protocol.Errorf(protocol.CodeUnavailable, "no answer"))
	now = now.Add(6 * time.Second)
	a.noteSupply(target{model: "m", version: 2}, 3, 3, 6*time.Second)
	require.Equal(t, 6*time.Second, a.links(&fleet.EngineSpec{}).OriginAwayFor)
}
