package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// HostRefresher reads the host list into the members table at an interval.
type HostRefresher struct {
	list     platform.HostList
	members  *table.Members
	interval time.Duration
	log      *logrus.Entry
}

// NewHostRefresher returns a HostRefresher.
func NewHostRefresher(list platform.HostList, members *table.Members, interval time.Duration, log *logrus.Entry) *HostRefresher {
	return &HostRefresher{list: list, members: members, interval: interval, log: log}
}

// Run refreshes until ctx ends; a failed read keeps the hosts known.
func (r *HostRefresher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := r.list.Hosts(ctx)
		if err != nil {
			r.log.WithError(err).Warn("read the host list")
		} else {
			r.members.Replace(hosts)
		}
		pause(ctx, r.interval)
	}
}
