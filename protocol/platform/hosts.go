package platform

import (
	"context"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]core.Host, error)
}
