package main

import (
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/affinity"
	"github.com/guavatrestle/guavatrestle/bench/domain"
	"github.com/guavatrestle/guavatrestle/bench/entrycost"
	"github.com/guavatrestle/guavatrestle/bench/fairness"
)

func newLoadCommand() *cobra.Command {
	cfg := domain.Config{KeepInService: true, Warmup: 3 * time.Second}
	cmd := newTrafficCommand(&cfg)
	cmd.Use = "load"
	cmd.Short = "Measure requests under steady load with random arrivals"
	cmd.Example = "  gtbench load --rate 240 --duration 15s --json"
	cmd.Flags().Float64Var(&cfg.RestartShare, "restart-share", 0, "share of the engines that restart at once after --duration")
	cmd.Flags().DurationVar(&cfg.During, "restarted", 10*time.Second, "duration of the load after the restart")
	cmd.Flags().DurationVar(&cfg.Before, "duration", 15*time.Second, "duration of the load after the warm-up")
	return cmd
}

func newDomainCommand() *cobra.Command {
	cfg := domain.Config{Warmup: 3 * time.Second}
	cmd := newTrafficCommand(&cfg)
	cmd.Use = "domain"
	cmd.Short = "Measure service under steady load while a failure domain is taken out of service and put back"
	cmd.Example = "  gtbench domain --json"
	flags := cmd.Flags()
	flags.DurationVar(&cfg.Before, "before", 6*time.Second, "duration before the failure domain is taken out of service")
	flags.DurationVar(&cfg.During, "during", 8*time.Second, "duration for which the failure domain is out of service")
	flags.DurationVar(&cfg.After, "after", 10*time.Second, "duration after the return of the failure domain")
	flags.IntVar(&cfg.DomainIndex, "domain", 0, "index of the failure domain, 0 to 2; the entries are in 0 and 1")
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
	cmd.Flags().Float64Var(&cfg.Rate, "rate", 240, "mean number of requests per second")
	cmd.Flags().StringVar(&cfg.Policy, "policy", "", "routing policy of the entries: grants, two_choices or least_in_flight")
	cmd.Flags().IntVar(&cfg.Workers, "workers", 10, "number of workers")
	return cmd
}

func newFairnessCommand() *cobra.Command {
	var o options
	var cfg fairness.Config
	cmd := &cobra.Command{
		Use:   "fairness",
		Short: "Measure a small team's latency alone and under a large team's burst",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			report, err := fairness.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), report)
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.Float64Var(&cfg.SmallRate, "small-rate", 20, "mean number of requests per second of the small team")
	flags.Float64Var(&cfg.LargeRate, "large-rate", 1200, "mean number of requests per second of the large team's burst")
	flags.DurationVar(&cfg.Warmup, "warmup", 5*time.Second, "duration of the load before the measurement")
	flags.DurationVar(&cfg.Alone, "alone", 10*time.Second, "duration of the load of the small team alone")
	flags.DurationVar(&cfg.Burst, "burst", 10*time.Second, "duration of the burst")
	return cmd
}

func newEntryCostCommand() *cobra.Command {
	var o options
	var cfg entrycost.Config
	cmd := &cobra.Command{
		Use:   "entrycost",
		Short: "Compare latency and processor time of the entry with those of a plain reverse proxy",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			cfg.Binary, cfg.Seed, cfg.ProxyBinary = o.binary, o.seed, self
			report, err := entrycost.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), report)
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.Float64Var(&cfg.Rate, "rate", 300, "mean number of requests per second on each path")
	flags.DurationVar(&cfg.Warmup, "warmup", 2*time.Second, "duration of the load before the measurement")
	flags.DurationVar(&cfg.Measure, "measure", 15*time.Second, "duration of the measurement")
	return cmd
}

func newAffinityCommand() *cobra.Command {
	var o options
	var cfg affinity.Config
	cmd := &cobra.Command{
		Use:   "affinity",
		Short: "Measure the engines' prompt caches under requests that share prefixes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary, cfg.Seed = o.binary, o.seed
			report, err := affinity.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return o.print(cmd.OutOrStdout(), report)
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.Float64Var(&cfg.Rate, "rate", 300, "mean number of requests per second")
	flags.IntVar(&cfg.Prefixes, "prefixes", 100, "number of different prompt prefixes")
	flags.IntVar(&cfg.PrefixBytes, "prefix-bytes", 300, "length of a prefix in bytes; below 256 the entry does not route by prefix")
	flags.DurationVar(&cfg.Warmup, "warmup", 4*time.Second, "duration of the load before the measurement")
	flags.DurationVar(&cfg.Measure, "measure", 10*time.Second, "duration of the measurement")
	return cmd
}

func newProxyCommand() *cobra.Command {
	var listen, target string
	cmd := &cobra.Command{
		Use:    "proxy",
		Short:  "Run the reverse proxy that entrycost uses as its baseline",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return entrycost.ServeProxy(cmd.Context(), listen, target)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "address to listen on")
	cmd.Flags().StringVar(&target, "target", "", "base URL to which requests are forwarded")
	return cmd
}
