package entry

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// call is one caller's request on its way through the entry.
type call struct {
	id          core.RequestID
	team        core.Team
	model       core.Model
	route       routing.Request
	method      string
	path        string
	contentType string
	body        []byte
	deadline    time.Time
	// repeatable says that the call may be sent again after its first byte has left.
	repeatable bool
}
