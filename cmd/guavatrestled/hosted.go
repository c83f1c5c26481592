package main

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/hosted"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

const (
	// maxKeyAgeShare is the share of RevokedKeyTimeout up to which API keys of an aging configuration are accepted. The age
	// counts from a time at which the store still had that configuration, so the rest only covers the check itself.
	maxKeyAgeShare = 0.94
	// maxReadyAgeShare is the share of RevokedKeyTimeout after which the host reports not ready, so that new callers go
	// elsewhere.
	maxReadyAgeShare = 0.7
	// retryBurstShare is the share of RetryBurst that the bursts of all hosts together may use.
	retryBurstShare = 0.75
)

// newHostedCommand returns the command that runs a process with the settings that the platform gives it.
func newHostedCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "hosted {entry|agent}",
		Short:     "Run a process on the users' platform, with the platform's settings",
		Example:   "  " + platform.EnvSettings + "=/etc/guavatrestle/local.conf guavatrestled hosted entry",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{string(core.RoleEntry), string(core.RoleAgent)},
		RunE: func(_ *cobra.Command, args []string) error {
			settings, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			return runHosted(core.Role(args[0]), settings)
		},
	}
}

func runHosted(role core.Role, settings platform.Settings) error {
	ctx, stop := stopContext()
	defer stop()
	setRuntimeLimits(settings.MemoryBytes)
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := logger.WithFields(logrus.Fields{
		"role": role, "host": settings.Host, "failure_domain": settings.FailureDomain,
	})
	if role == core.RoleEntry {
		return hosted.RunEntry(ctx, entryDependencies(settings, log))
	}
	return hosted.RunAgent(ctx, agentDependencies(settings, log))
}

func newHost(settings platform.Settings) hosted.Host {
	return hosted.Host{
		ID:            settings.Host,
		Address:       settings.Address,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Regions:       settings.Regions,
		PeerPort:      settings.PeerPort,

		LinkBytesPerSecond: settings.LinkBytesPerSecond,
		MemoryBytes:        settings.MemoryBytes,

		ShutdownTimeout: settings.Bounds.ShutdownTimeout,
	}
}

func entryDependencies(settings platform.Settings, log *logrus.Entry) hosted.EntryDependencies {
	cfg := ingress.DefaultConfig()
	cfg.Dispatch.Region = settings.Region
	cfg.Dispatch.FailureDomain = settings.FailureDomain
	cfg.Dispatch.Regions = settings.Regions
	cfg.RetryBurstTotal = retryBurstShare * settings.Bounds.RetryBurst
	cfg.RequireKeys = settings.KeysRequired
	cfg.MaxKeyAge = scaleDuration(settings.Bounds.RevokedKeyTimeout, maxKeyAgeShare)
	cfg.MaxReadyAge = scaleDuration(settings.Bounds.RevokedKeyTimeout, maxReadyAgeShare)
	end := endOfOldVersion(settings.Bounds.ActivationTimeout)
	cfg.OldVersionIdleOnlyAfter, cfg.OldVersionGrace, cfg.OldVersionCancelAfter = end.idleOnly, end.grace, end.cancel
	account := newAccount(settings)
	return hosted.EntryDependencies{
		Host:         newHost(settings),
		CallerListen: settings.CallerListen,
		ReadyListen:  settings.ReadyListen,
		ReadyPath:    platform.ReadinessPath,
		Source:       platform.NewStore(settings.StoreAddress).CountResponses(account),
		Held:         account,
		Headers:      platform.Headers(),
		RetryAfter:   platform.FormatRetryAfter,
		Ingress:      cfg,
		WatchDelay:   settings.MemoryBytes > 0, // other settings say nothing about the size of the host
		Random:       newRandom(),
		Log:          log,
	}
}

func agentDependencies(settings platform.Settings, log *logrus.Entry) hosted.AgentDependencies {
	cfg := staging.DefaultConfig()
	cfg.Rollout = rollout.ConfigFor(endOfOldVersion(settings.Bounds.ActivationTimeout).grace)
	account := newAccount(settings)
	return hosted.AgentDependencies{
		Host:     newHost(settings),
		Replica:  settings.ReplicaAddress,
		Upstream: settings.Upstream,
		Source:   platform.NewStore(settings.StoreAddress).CountResponses(account),
		Held:     account,
		Worker:   platform.NewWorker(settings.ReplicaAddress),
		Origin:   platform.NewOrigin(),
		Staging:  cfg,
		Random:   newRandom(),
		Log:      log,
	}
}

// newAccount returns the account of the bytes that a process holds for others.
func newAccount(settings platform.Settings) *held.Account {
	return held.New(holding.ConfigFor(settings.MemoryBytes), time.Now)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
