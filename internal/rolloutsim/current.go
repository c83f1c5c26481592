package rolloutsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// Current returns the present decisions, with the transfer settings of the agents.
func Current(_ Deployment, settings transfer.Config, uploadShare float64, crossRegionSlots int, grace time.Duration) Policy {
	return Policy{
		Transfer: settings, Rollout: rollout.ConfigFor(grace),
		Next: rollout.NextVersion,
		EarliestLoad: func(in EarliestLoadInput) time.Time {
			return rollout.EarliestLoadTime(in.Config, rollout.Load{
				Wanted: in.Wanted, Loaded: in.Loaded, Version: in.Version, ReadyAt: in.ReadyAt, Members: in.Members,
				Upstream: "llm", Address: in.Address,
			})
		},
		UploadShare: uploadShare, CrossRegionSlots: crossRegionSlots, KeepVersions: 2,
		ManifestsFromPeers: true, ExchangeHeld: true, BusyRetryAfter: true,
	}
}
