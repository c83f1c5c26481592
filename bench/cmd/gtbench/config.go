package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/spread"
)

func newConfigCommand() *cobra.Command {
	var o options
	var cfg spread.Config
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Measure how long accepted settings take to be in force at every process, and what that costs",
		Example: "  gtbench config --processes 60 --changes 20 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			report, err := spread.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return errors.Join(o.print(cmd.OutOrStdout(), report), report.Check())
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.IntVar(&cfg.Processes, "processes", 60, "number of guavatrestled processes, two of them entries")
	flags.IntVar(&cfg.Domains, "domains", 3, "number of failure domains")
	flags.BoolVar(&cfg.InProcess, "inside", false, "run all processes inside gtbench and measure only their total use of resources")
	flags.DurationVar(&cfg.Outage, "outage", 3*time.Second, "duration of the object API outage in the last part; 0 skips this part")
	flags.IntVar(&cfg.Changes, "changes", 30, "number of changes measured in each part, such as before and after watchers are killed")
	flags.DurationVar(&cfg.Settle, "settle", 5*time.Second, "time between the start and the first measurement; 45s reaches the steady state")
	flags.DurationVar(&cfg.Quiet, "quiet", 6*time.Second, "duration of the cost measurement without changes")
	flags.DurationVar(&cfg.Busy, "busy", 6*time.Second, "duration of the cost measurement with changes")
	flags.Float64Var(&cfg.Rate, "rate", 2, "changes per second during the cost measurement with changes")
	return cmd
}
