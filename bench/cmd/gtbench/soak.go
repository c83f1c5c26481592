package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/soak"
)

// firstSoakNet is the second octet of the first loopback network; concurrent runs use consecutive ones.
const firstSoakNet = 91

func newSoakCommand() *cobra.Command {
	var o options
	var count, parallel int
	var logs string
	cfg := soak.DefaultConfig()
	cmd := &cobra.Command{
		Use:     "soak",
		Short:   "Run guavatrestle under overlapping faults and check its guarantees",
		Example: "  gtbench soak --seed 1 --count 50 --parallel 3 --logs /tmp/soak",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Binary = o.binary
			s := seedRunner{cfg: cfg, freeNets: make(chan int, parallel), logs: logs}
			for i := range parallel {
				s.freeNets <- firstSoakNet + i
			}
			pool := pond.NewPool(parallel)
			for i := range count {
				pool.SubmitErr(func() error { return s.runSeed(cmd, o.seed+uint64(i)) })
			}
			pool.StopAndWait()
			if s.failed > 0 {
				return eris.Errorf("%d of %d seeds violated a guarantee", s.failed, count)
			}
			return nil
		},
	}
	o.register(cmd)
	flags := cmd.Flags()
	flags.IntVar(&count, "count", 1, "number of consecutive seeds, starting at --seed")
	flags.IntVar(&parallel, "parallel", 1, "number of concurrent runs")
	flags.IntVar(&cfg.Faults, "faults", cfg.Faults, "number of faults in each run")
	flags.BoolVar(&cfg.CrashingPrompts, "crashing-prompts", false, "send prompts on which workers crash, beside the faults")
	flags.BoolVar(&cfg.Evacuations, "evacuations", false, "take failure domains out of service while the store withholds changes, beside the faults")
	flags.BoolVar(&cfg.RequestLimits, "request-limits", false, "make workers state request limits, beside the faults")
	flags.BoolVar(&cfg.EndlessResponses, "endless-responses", false, "make workers answer without end, beside the faults")
	flags.BoolVar(&cfg.MalformedResponses, "malformed-responses", false, "make workers answer with malformed responses, beside the faults")
	flags.BoolVar(&cfg.SuspendVerifications, "suspend-verifications", false, "suspend agents while they verify staged pieces, beside the faults")
	flags.BoolVar(&cfg.StandstillsAtVersions, "standstills-at-versions", false, "suspend agents and entries and kill entries around new versions, beside the faults")
	flags.IntVar(&cfg.SlowCallers, "slow-callers", 0, "number of callers that send bodies or read responses too slowly, beside the faults")
	flags.IntVar(&cfg.Entries, "entries", cfg.Entries, "number of entries")
	flags.IntVar(&cfg.Agents, "agents", cfg.Agents, "number of agents, each with an engine")
	flags.IntVar(&cfg.Callers, "callers", cfg.Callers, "number of concurrent callers")
	flags.BoolVar(&cfg.LoseAll, "lose-all", false, "end all processes and workers during a rollout, after the faults")
	flags.StringVar(&logs, "logs", os.TempDir(), "directory for the settings and logs of the runs")
	return cmd
}

// seedRunner runs the experiment for each seed and prints the results.
type seedRunner struct {
	cfg  soak.Config
	logs string
	// freeNets holds the second octets of the loopback networks that no run uses.
	freeNets chan int

	mu     sync.Mutex
	failed int
}

func (s *seedRunner) runSeed(cmd *cobra.Command, seed uint64) error {
	cfg := s.cfg
	cfg.Seed, cfg.LoopbackNet = seed, <-s.freeNets
	defer func() { s.freeNets <- cfg.LoopbackNet }()
	cfg.Dir = filepath.Join(s.logs, fmt.Sprint("soak-", seed))
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return eris.Wrap(err, "create directory for logs")
	}
	result, err := soak.Run(cmd.Context(), cfg)
	if err != nil {
		result.Broken = append(result.Broken, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(result.Broken) > 0 {
		s.failed++
	}
	return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
}
