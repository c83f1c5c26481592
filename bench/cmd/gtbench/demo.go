package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

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
	demoBytes      = 8 << 20
	demoChunkBytes = 1 << 20
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
			report, err := runDemo(binary)
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

func runDemo(binary string) (demoReport, error) {
	c, err := cluster.New(binary)
	if err != nil {
		return demoReport{}, err
	}
	defer c.Close()
	entry, err := c.Entry("entry-1", demoDomains[0])
	if err != nil {
		return demoReport{}, err
	}
	for i, domain := range demoDomains {
		id := core.HostID(fmt.Sprintf("agent-%d", i+1))
		if _, err := c.Agent(id, domain, demoUpstream, engine.Config{Tokens: 20, TokenDelay: 5 * time.Millisecond}); err != nil {
			return demoReport{}, err
		}
	}
	body := bytes.Repeat([]byte("weights of the demo model version "), demoBytes/34+1)[:demoBytes]
	digest, err := c.Origin.Add(demoModel, "v1", body, demoChunkBytes)
	if err != nil {
		return demoReport{}, err
	}
	if err := applyDemoSettings(entry, digest); err != nil {
		return demoReport{}, err
	}
	start := time.Now()
	if err := waitForVersion(entry, digest, len(demoDomains)); err != nil {
		return demoReport{}, err
	}
	report := demoReport{
		Agents:       len(demoDomains),
		ModelBytes:   demoBytes,
		OriginBytes:  c.Origin.BytesSent(),
		SecondsToAll: time.Since(start).Seconds(),
	}
	return report, streamDemo(entry, digest, &report)
}

func applyDemoSettings(entry *cluster.Process, digest core.Digest) error {
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
	if _, err := cluster.Apply(entry, settings.UpstreamPath(demoUpstream), 0, upstream); err != nil {
		return err
	}
	_, err := cluster.Apply(entry, settings.TeamPath(demoTeam), 0, team)
	return err
}

// waitForVersion waits until the entry sees the version complete on all agents.
func waitForVersion(entry *cluster.Process, digest core.Digest, agents int) error {
	for end := time.Now().Add(demoTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + entry.Host.ControlAddr + "/debug/state")
		if err != nil {
			return eris.Wrap(err, "read state dump")
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return eris.Wrap(err, "read state dump")
		}
		if strings.Count(string(body), `"version_digest":"`+string(digest)) >= agents {
			return nil
		}
	}
	return eris.Errorf("version %s is not on all %d agents after %s", digest, agents, demoTimeout)
}

func streamDemo(entry *cluster.Process, digest core.Digest, report *demoReport) error {
	body := `{"model":"` + demoModel + `","prompt":"quote for a bunk ladder","stream":true}`
	request, err := http.NewRequest(http.MethodPost, entry.URL()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+demoToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	report.StreamEvents = strings.Count(string(answer), "data: ")
	report.AnsweredByTarget = strings.Contains(string(answer), string(digest)) && strings.HasSuffix(string(answer), "data: [DONE]\n\n")
	if !report.AnsweredByTarget {
		return eris.Errorf("response with status %d is not whole or not from the target version: %s", response.StatusCode, answer)
	}
	return nil
}

func printDemo(out io.Writer, r demoReport, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	_, err := fmt.Fprintf(out, "Rolled out %d bytes to %d agents in %.2f s; the origin sent %d bytes.\n"+
		"A streamed request was answered whole by the new version in %d events.\n",
		r.ModelBytes, r.Agents, r.SecondsToAll, r.OriginBytes, r.StreamEvents)
	return err
}
