package rolloutsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	earlierGraceShare  = 0.85
	earlierFetchTime   = 3500 * time.Millisecond
	earlierUploadShare = 0.85
)

// Earlier returns the decisions of 57e928e: the newest version unless a timer keeps an older one, one version in memory, manifests from
// the origin, and the end of the old weights after a share of the bound.
func Earlier(d Deployment) Policy {
	settings := config.DefaultTransfer()
	settings.DownloadSlots, settings.UploadSlots, settings.OriginSlots = 4, 3, 1
	settings.TakeOver, settings.ChunkTimeout, settings.Avoid = time.Second, 3*time.Second, 700*time.Millisecond
	settings.PollInterval, settings.ControlBytesPerSecond = 200*time.Millisecond, 40<<10
	settings.RetryBase, settings.RetryCap = 150*time.Millisecond, time.Second
	cfg := rollout.DefaultConfig()
	cfg.ActivationDelay = time.Duration(float64(d.ActivationTimeout) * earlierGraceShare)
	cfg.FirstLoadDelay, cfg.LastLoadDelay = min(3*time.Second, cfg.ActivationDelay/2), cfg.ActivationDelay-100*time.Millisecond
	return Policy{
		Transfer: transfer.Config{Transfer: settings}, Rollout: cfg, Next: earlierNext, EarliestLoad: earlierLoad,
		UploadShare: earlierUploadShare, CrossRegionSlots: 3, KeepVersions: 1,
		ThrottlePoll: 20 * time.Millisecond, ThrottleOrigin: true, LoadPause: reportInterval, RetryPause: 300 * time.Millisecond,
	}
}

// earlierNext is the earlier choice of the version to fetch and load.
func earlierNext(cfg rollout.Config, now time.Time, wanted fleet.Wanted, p rollout.Progress) rollout.Choice {
	newest := rollout.Choice{Version: wanted.Newest(), Load: true}
	pending, ok := wanted.Pending(p.Loaded)
	if !ok || pending.Version == newest.Version {
		return newest
	}
	next, _ := wanted.Pending(pending.Version)
	keep := next.Since.Sub(pending.Since) >= earlierFetchTime/2 && now.Before(pending.Since.Add(earlierFetchTime))
	if pending.Version == p.Staged {
		activatesAt := pending.Since.Add(cfg.ActivationDelay)
		keep = activatesAt.After(now) && activatesAt.Before(now.Add(earlierFetchTime+cfg.LoadTime))
	}
	if keep {
		return rollout.Choice{Version: pending.Version, Load: true}
	}
	return newest
}

// earlierLoad is the earlier time of a load: spread from FirstLoadDelay to LastLoadDelay, or over 2.2 s for a superseded version.
func earlierLoad(in EarliestLoadInput) time.Time {
	next, _ := in.Wanted.Pending(in.Loaded)
	const supersededSpread = 2200 * time.Millisecond
	spread := in.Config.LastLoadDelay - in.Config.FirstLoadDelay
	if next.Version != in.Wanted.Newest() {
		spread = min(spread, supersededSpread)
	}
	rank := rollout.RelativeRank(next.Version, in.Members, "llm", in.Address)
	return next.Since.Add(in.Config.FirstLoadDelay + time.Duration(rank*float64(spread)))
}
