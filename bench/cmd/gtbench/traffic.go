package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/domain"
)

func newLoadCommand() *cobra.Command {
	cfg := domain.Config{Stay: true, Warmup: 3 * time.Second}
	cmd := newTrafficCommand(&cfg)
	cmd.Use = "load"
	cmd.Short = "Measure callers' requests under steady load with random arrivals"
	cmd.Example = "  gtbench load --rate 120 --duration 15s --json"
	cmd.Flags().DurationVar(&cfg.Before, "duration", 15*time.Second, "time under load after the warm-up")
	return cmd
}

func newDomainCommand() *cobra.Command {
	cfg := domain.Config{Warmup: 3 * time.Second}
	cmd := newTrafficCommand(&cfg)
	cmd.Use = "domain"
	cmd.Short = "Measure service while a failure domain leaves and returns under steady load"
	cmd.Example = "  gtbench domain --json"
	flags := cmd.Flags()
	flags.DurationVar(&cfg.Before, "before", 6*time.Second, "time before the failure domain leaves")
	flags.DurationVar(&cfg.During, "during", 8*time.Second, "time for which it is out of service")
	flags.DurationVar(&cfg.After, "after", 10*time.Second, "time after its return")
	flags.IntVar(&cfg.Domain, "domain", 0, "index of the failure domain, 0 to 2; entries are in 0 and 1")
	return cmd
}

func newTrafficCommand(cfg *domain.Config) *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			report, err := domain.Run(cmd.Context(), *cfg)
			if report.Requests == 0 {
				return err
			}
			return errors.Join(err, o.print(cmd.OutOrStdout(), report), report.Check())
		},
	}
	o.register(cmd)
	cmd.Flags().Float64Var(&cfg.Rate, "rate", 120, "mean requests a second")
	cmd.Flags().IntVar(&cfg.Workers, "workers", 10, "number of workers")
	return cmd
}
