package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport/hosted"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
	"github.com/guavatrestle/guavatrestle/transport/staging"
)

const (
	// keyLifeShare is the share of the platform's bound for revoked keys that the age of the configuration may take; the age
	// counts from a time at which the store still had that configuration, so the rest only covers the check itself.
	keyLifeShare = 0.94
	// readyLifeShare is the share after which the host sends new callers elsewhere.
	readyLifeShare = 0.7
	// activateShare is the share of the platform's bound after which only the newest version of a model is used.
	activateShare = 0.85
	// activateSoonShare is the share after which older versions get only requests that begin at once; under load a request
	// waits for about a second.
	activateSoonShare = 0.79
	// beginShare is the share after which a request that still waits at a replica with an older version is taken back; the rest
	// is for the way to the replica.
	beginShare = 0.95
	// heapGrowth is the growth of the heap in percent at which garbage is collected; 100 took a third more memory, 25 takes 7 %
	// more processor time.
	heapGrowth = 25
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The platform may announce changed settings; those that a process uses do not change while it runs.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(heapGrowth)
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := logger.WithFields(logrus.Fields{
		"role": role, "host": settings.Host, "failure_domain": settings.FailureDomain,
	})
	if role == core.RoleEntry {
		return hosted.RunEntry(ctx, entryParts(settings, log))
	}
	return hosted.RunAgent(ctx, agentParts(settings, log))
}

func hostOf(settings platform.Settings) hosted.Host {
	return hosted.Host{
		ID:            settings.Host,
		Address:       settings.Address,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Regions:       settings.Regions,
		PeerPort:      settings.PeerPort,

		LinkBytesPerSecond: settings.LinkBytesPerSecond,

		ShutdownTimeout: settings.Bounds.ShutdownTimeout,
	}
}

func entryParts(settings platform.Settings, log *logrus.Entry) hosted.EntryParts {
	cfg := ingress.DefaultConfig()
	cfg.Dispatch.Region = settings.Region
	cfg.Dispatch.FailureDomain = settings.FailureDomain
	cfg.Dispatch.Regions = settings.Regions
	cfg.MaxKeyAge = share(settings.Bounds.RevokedKeyTimeout, keyLifeShare)
	cfg.MaxReadyAge = share(settings.Bounds.RevokedKeyTimeout, readyLifeShare)
	cfg.OldVersionGrace = share(settings.Bounds.ActivationTimeout, activateShare)
	cfg.OldVersionIdleOnlyAfter = share(settings.Bounds.ActivationTimeout, activateSoonShare)
	cfg.OldVersionCancelAfter = share(settings.Bounds.ActivationTimeout, beginShare)
	return hosted.EntryParts{
		Host:         hostOf(settings),
		CallerListen: settings.CallerListen,
		ReadyListen:  settings.ReadyListen,
		ReadyPath:    platform.ReadinessPath,
		Source:       platform.NewStore(settings.StoreAddress),
		Headers:      platform.Headers(),
		RetryAfter:   platform.FormatRetryAfter,
		Ingress:      cfg,
		Random:       newRandom(),
		Log:          log,
	}
}

func agentParts(settings platform.Settings, log *logrus.Entry) hosted.AgentParts {
	cfg := staging.DefaultConfig()
	cfg.Rollout = rollout.ConfigFor(share(settings.Bounds.ActivationTimeout, activateShare))
	return hosted.AgentParts{
		Host:     hostOf(settings),
		Replica:  settings.ReplicaAddress,
		Upstream: settings.Upstream,
		Source:   platform.NewStore(settings.StoreAddress),
		Worker:   platform.NewWorker(settings.ReplicaAddress),
		Origin:   platform.NewOrigin(),
		Staging:  cfg,
		Random:   newRandom(),
		Log:      log,
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func share(bound time.Duration, part float64) time.Duration {
	return time.Duration(float64(bound) * part)
}
