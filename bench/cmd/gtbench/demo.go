package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	demoTeam       = "litoral"
	demoToken      = "litoral-token"
	demoModel      = "guava"
	demoUpstream   = "guava-llm"
	demoModelBytes = 8 << 20
	demoChunkBytes = 1 << 20
	demoTokens     = 20
	demoTimeout    = 30 * time.Second
)

var demoDomains = []core.FailureDomain{"centro-a", "norte-a", "sur-a"}

// demoReport is the summary that the demo prints.
type demoReport struct {
	Agents           int     `json:"agents"`
	ModelBytes       int     `json:"model_bytes"`
	OriginBytes      int64   `json:"origin_bytes"`
	SecondsToAll     float64 `json:"seconds_to_all"`
	AnsweredByTarget bool    `json:"answered_by_target"`
	StreamEvents     int     `json:"stream_events"`
}

func newDemoCommand() *cobra.Command {
	var binary string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Roll out a model version to three agents and answer a streamed request with it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := runDemo(cmd.Context(), binary)
			if err != nil {
				return err
			}
			return printDemo(cmd.OutOrStdout(), report, asJSON)
		},
	}
	cmd.Flags().StringVar(&binary, "binary", "bin/guavatrestled", "path of guavatrestled")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return cmd
}

func runDemo(ctx context.Context, binary string) (demoReport, error) {
	c, err := cluster.New(binary)
	if err != nil {
		return demoReport{}, err
	}
	defer c.Close()
	entry, err := c.StartEntry(ctx, "entry-1", demoDomains[0])
	if err != nil {
		return demoReport{}, err
	}
	for i, domain := range demoDomains {
		id := core.HostID(fmt.Sprintf("agent-%d", i+1))
		if _, err := c.StartAgent(ctx, id, domain, demoUpstream, engine.Config{Tokens: demoTokens, TokenDelay: 5 * time.Millisecond}); err != nil {
			return demoReport{}, err
		}
	}
	weights := bytes.Repeat([]byte("weights of the demo model version "), demoModelBytes/34+1)[:demoModelBytes]
	digest, err := c.Origin.Add(demoModel, "v1", weights, demoChunkBytes)
	if err != nil {
		return demoReport{}, err
	}
	if err := applyDemoSettings(ctx, entry, digest); err != nil {
		return demoReport{}, err
	}
	start := time.Now()
	if err := waitForVersion(ctx, entry, digest, len(demoDomains)); err != nil {
		return demoReport{}, err
	}
	report := demoReport{
		Agents:       len(demoDomains),
		ModelBytes:   demoModelBytes,
		OriginBytes:  c.Origin.BytesSent(),
		SecondsToAll: time.Since(start).Seconds(),
	}
	return report, checkDemoStream(ctx, entry, digest, &report)
}

func applyDemoSettings(ctx context.Context, entry *cluster.Process, digest core.Digest) error {
	upstream := settings.UpstreamSettings{
		Kind: settings.KindModel, Model: demoModel,
		Target:    &settings.VersionRef{Version: "v1", Digest: digest},
		ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 4,
	}
	team := settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(demoToken))},
		Limits:      settings.TeamLimits{RequestsPerSecond: 100, Burst: 100, QueueLength: 100},
		Weight:      1,
		Models:      []settings.ModelSettings{{Name: demoModel, Upstream: demoUpstream, VersionDigest: digest}},
	}
	if _, err := cluster.ApplyDocument(ctx, entry, settings.UpstreamPath(demoUpstream), 0, upstream); err != nil {
		return err
	}
	_, err := cluster.ApplyDocument(ctx, entry, settings.TeamPath(demoTeam), 0, team)
	return err
}

// waitForVersion waits until the rollout status shows the complete version on the given number of agents.
func waitForVersion(ctx context.Context, entry *cluster.Process, digest core.Digest, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	err := cluster.WaitFor(ctx, func() bool { return countComplete(ctx, entry, digest) >= agents })
	return eris.Wrapf(err, "version %s is not complete on all %d agents after %s", digest, agents, demoTimeout)
}

// countComplete returns the number of agents that hold the complete version, or 0 if the rollout status is unavailable.
func countComplete(ctx context.Context, entry *cluster.Process, digest core.Digest) int {
	status, err := cluster.ReadRollouts(ctx, entry)
	if err != nil {
		return 0
	}
	for _, upstream := range status.Upstreams {
		if upstream.Upstream == demoUpstream && upstream.TargetDigest == digest {
			return upstream.Complete
		}
	}
	return 0
}

// checkDemoStream sends a streamed request and records in report whether the version answered it completely.
func checkDemoStream(ctx context.Context, entry *cluster.Process, digest core.Digest, report *demoReport) error {
	client := caller.New(false)
	defer client.Close()
	out := client.Do(ctx, caller.StreamedCompletion(entry.URL(), demoToken, demoModel, "quote for a bunk ladder", demoTokens))
	report.AnsweredByTarget = out.Kind == caller.Succeeded && out.Digest == string(digest)
	if !report.AnsweredByTarget {
		return eris.Errorf("response is incomplete or not from the target version: %s: %s", out.Kind, out.Detail)
	}
	report.StreamEvents = demoTokens + 1
	return nil
}

func printDemo(out io.Writer, report demoReport, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	_, err := fmt.Fprintf(out, "Rolled out %d bytes to %d agents in %.2f s; the origin sent %d bytes.\n"+
		"The new version answered a streamed request completely, in %d events.\n",
		report.ModelBytes, report.Agents, report.SecondsToAll, report.OriginBytes, report.StreamEvents)
	return err
}
