package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/capacity"
	"github.com/guavatrestle/guavatrestle/bench/claimload"
)

func newCapacityCommand() *cobra.Command {
	var o options
	var cfg capacity.Config
	cmd := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure what an entry and an agent use when idle, per request and per relayed event",
		Example: "  gtbench capacity --agents 8 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			report, err := capacity.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), report)
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.IntVar(&cfg.Agents, "agents", 2, "number of agents behind the entry")
	flags.DurationVar(&cfg.Idle, "idle", 8*time.Second, "duration of the measurement without requests")
	flags.DurationVar(&cfg.Warmup, "warmup", 4*time.Second, "duration of the load before each measurement with requests")
	flags.DurationVar(&cfg.Measure, "measure", 5*time.Second, "duration of each of the three measurements with requests")
	flags.DurationVar(&cfg.PollInterval, "poll", 500*time.Millisecond, "interval at which an agent reads its engine's status")
	flags.DurationVar(&cfg.StatusInterval, "status", time.Second, "interval between heartbeats of the entry")
	return cmd
}

func newClaimsCommand() *cobra.Command {
	var o options
	var cfg claimload.Config
	cmd := &cobra.Command{
		Use:     "claims",
		Short:   "Measure claims and their writes to the object API at a given rate of requests",
		Example: "  gtbench claims --rate 2000 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Seed = o.seed
			report, err := claimload.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), report)
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.IntVar(&cfg.Entries, "entries", 3, "number of entries that make claims")
	flags.Float64Var(&cfg.Rate, "rate", 1000, "claimed requests per second, over all entries")
	flags.DurationVar(&cfg.Duration, "duration", 10*time.Second, "duration of the load")
	flags.DurationVar(&cfg.Deadline, "deadline", 5*time.Second, "time allowed for the claim of a request")
	flags.IntVar(&cfg.ResultBytes, "result-bytes", 64, "size in bytes of the recorded results")
	flags.Float64Var(&cfg.ReadsPerSecond, "reads", 2000, "reads per second that the object API allows")
	flags.Float64Var(&cfg.WritesPerSecond, "writes", 400, "writes per second that the object API allows")
	return cmd
}
