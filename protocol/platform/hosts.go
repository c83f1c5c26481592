package platform

import (
	"context"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// HostList is the platform's list of live and leaving hosts, which may lag behind their actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]core.Host, error)
}
