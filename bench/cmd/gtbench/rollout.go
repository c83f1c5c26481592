package main

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/rollout"
)

func newRolloutCommand() *cobra.Command {
	var o options
	var cfg rollout.Config
	cmd := &cobra.Command{
		Use:     "rollout",
		Short:   "Measure the distribution of a model version to many hosts over links of limited bandwidth",
		Example: "  gtbench rollout --agents 24 --strategy swarm --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			if cfg.KilledAgents > 0 && cfg.Agents > cfg.MaxProcesses {
				return eris.Errorf("--kill requires agents that run as separate processes, at most %d", cfg.MaxProcesses)
			}
			report, err := rollout.Run(cmd.Context(), cfg)
			if report.Agents == 0 {
				return err
			}
			return errors.Join(err, o.print(cmd.OutOrStdout(), report), checkRollout(report))
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.IntVar(&cfg.Agents, "agents", 24, "number of agents")
	flags.IntVar(&cfg.MaxProcesses, "processes", rollout.DefaultMaxProcesses, "largest number of agents that run as separate processes; with more agents, all run inside gtbench")
	flags.Int64Var(&cfg.ModelBytes, "model-bytes", 8<<20, "size of the model in bytes")
	flags.StringVar(&cfg.Strategy, "strategy", "swarm", "how agents fetch weights: direct or swarm")
	flags.DurationVar(&cfg.TargetTime, "target", 4*time.Second, "time in which the links can carry a fixed number of copies; a longer time makes the links slower")
	flags.DurationVar(&cfg.RegionDelay, "region-delay", 2*time.Millisecond, "one-way delay between regions")
	flags.Int64Var(&cfg.CorruptResponses, "corrupt", 2, "number of the origin's responses that arrive corrupted")
	flags.IntVar(&cfg.KilledAgents, "kill", 0, "number of agents that are killed and replaced mid-run; agents must run as separate processes")
	flags.DurationVar(&cfg.OriginOutage, "outage", 0, "duration of an outage of the origin mid-run")
	flags.DurationVar(&cfg.Timeout, "limit", 40*time.Second, "time after which an incomplete rollout ends")
	return cmd
}

func checkRollout(r rollout.Report) error {
	if r.MixedActivations != 0 {
		return eris.Errorf("%d activations of partial or mixed weights", r.MixedActivations)
	}
	return nil
}
