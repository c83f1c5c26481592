// Command guavatrestled runs one guavatrestle process with the role that its configuration names.
package main

import (
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/cmd/internal/hostcmd"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/transport/daemon"
)

// exitFailure is the exit status after any error.
const exitFailure = 2

func main() {
	cmd := newCommand()
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func newCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "guavatrestled",
		Short:         "Run a guavatrestle process",
		Example:       "  guavatrestled --config agent.yaml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			return run(cfg)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", "", "path of the YAML configuration")
	_ = cmd.MarkFlagRequired("config")
	cmd.AddCommand(hostcmd.New())
	return cmd
}

func run(cfg config.Config) error {
	ctx, stop := hostcmd.StopContext()
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
