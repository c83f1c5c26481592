//go:build !hostedonly

package main

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/transport/daemon"
)

// addOwnMode makes the command run a process of the product's own mode, with a YAML configuration.
func addOwnMode(cmd *cobra.Command) {
	var path string
	cmd.Example = "  guavatrestled --config agent.yaml"
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(*cobra.Command, []string) error {
		cfg, err := config.Load(path)
		if err != nil {
			return err
		}
		return run(cfg)
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "path of the YAML configuration")
	_ = cmd.MarkFlagRequired("config")
}

func run(cfg config.Config) error {
	ctx, stop := stopContext()
	defer stop()
	level, err := logrus.ParseLevel(cfg.LogLevel)
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetLevel(level)
	log := logger.WithFields(logrus.Fields{
		"role":           cfg.Role,
		"host":           cfg.Host,
		"failure_domain": cfg.FailureDomain,
	})
	return daemon.Run(ctx, cfg, log)
}
