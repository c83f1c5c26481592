package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

func (a *app) getCommand() *cobra.Command {
	var asYAML bool
	cmd := &cobra.Command{
		Use:   "get PATH",
		Short: "Show a document",
		Long: `Shows a document. Placeholders replace the token hashes, and apply accepts them in place of the hashes.
With --yaml the output is a settings file whose base_version is the version shown.`,
		Example: `  guavatrestle get /teams/litoral
  guavatrestle get /failure-domains/norte-a --yaml > norte-a.yaml`,
		Args: cobra.ExactArgs(1),
		RunE: classifyErrors(func(cmd *cobra.Command, args []string) error {
			var doc settings.Document
			if err := a.call(cmd.Context(), http.MethodGet, "/settings"+args[0], nil, &doc); err != nil {
				return err
			}
			if asYAML {
				return a.printSettingsFile(doc)
			}
			return a.print(doc, func(w io.Writer) { printDocument(w, doc) })
		}),
	}
	cmd.Flags().BoolVar(&asYAML, "yaml", false, "print a settings file")
	return cmd
}

func (a *app) printSettingsFile(doc settings.Document) error {
	output := envelope{Path: doc.Path, BaseVersion: doc.Version}
	if err := json.Unmarshal(doc.Body, &output.Body); err != nil {
		return fmt.Errorf("decode body of %s: %w", doc.Path, err)
	}
	body, err := yaml.Marshal(output)
	if err != nil {
		return fmt.Errorf("encode %s: %w", doc.Path, err)
	}
	_, err = a.Out.Write(body)
	return err
}

func printDocument(w io.Writer, doc settings.Document) {
	fmt.Fprintf(w, "%s\tversion %d\n", doc.Path, doc.Version)
	if doc.Tombstone {
		fmt.Fprintln(w, "retired")
		return
	}
	var body any
	_ = json.Unmarshal(doc.Body, &body)
	text, _ := json.MarshalIndent(body, "", "  ")
	fmt.Fprintln(w, string(text))
}

func (a *app) listCommand() *cobra.Command {
	var retired bool
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the documents in force at the entry",
		Example: "  guavatrestle list --retired",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			var list api.DocumentList
			if err := a.call(cmd.Context(), http.MethodGet, fmt.Sprintf("/settings?retired=%t", retired), nil, &list); err != nil {
				return err
			}
			return a.print(list, func(w io.Writer) {
				for _, doc := range list.Documents {
					fmt.Fprintf(w, "%s\t%d\t%s\n", doc.Path, doc.Version, retiredLabel(doc.Tombstone))
				}
			})
		}),
	}
	cmd.Flags().BoolVar(&retired, "retired", false, "include retired paths")
	return cmd
}

func retiredLabel(tombstone bool) string {
	if tombstone {
		return "retired"
	}
	return ""
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history PATH",
		Short:   "Show who wrote each version of a document, and when",
		Example: "  guavatrestle history /teams/litoral --json",
		Args:    cobra.ExactArgs(1),
		RunE: classifyErrors(func(cmd *cobra.Command, args []string) error {
			var history api.History
			if err := a.call(cmd.Context(), http.MethodGet, "/history"+args[0], nil, &history); err != nil {
				return err
			}
			return a.print(history, func(w io.Writer) {
				for _, r := range history.Revisions {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Version, r.At.Format(time.RFC3339), r.Who, r.RequestID, retiredLabel(r.Tombstone))
				}
			})
		}),
	}
}

func (a *app) diffCommand() *cobra.Command {
	var from, to uint64
	var files []string
	cmd := &cobra.Command{
		Use:   "diff (PATH | -f FILE...)",
		Short: "Compare two versions of a document, or files with the current versions",
		Example: `  guavatrestle diff /teams/litoral --from 3 --to 5
  guavatrestle diff -f teams/litoral.yaml`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 1) == (len(files) > 0) {
				return fmt.Errorf("either PATH or -f FILE is required, and not both")
			}
			if len(files) > 0 {
				return classifyErrors(func(cmd *cobra.Command, _ []string) error { return a.diffFiles(cmd, files) })(cmd, args)
			}
			return classifyErrors(func(cmd *cobra.Command, args []string) error { return a.diffVersions(cmd, args[0], from, to) })(cmd, args)
		},
	}
	cmd.Flags().Uint64Var(&from, "from", 0, "older version (default the one before --to)")
	cmd.Flags().Uint64Var(&to, "to", 0, "newer version (default the current one)")
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, fileUsage)
	return cmd
}

func (a *app) diffFiles(cmd *cobra.Command, files []string) error {
	results, err := a.applyFiles(cmd.Context(), files, true, true)
	if err != nil {
		return err
	}
	return a.print(results, func(w io.Writer) { printResults(w, results) })
}

func (a *app) diffVersions(cmd *cobra.Command, path string, from, to uint64) error {
	query := "?"
	if from > 0 {
		query += fmt.Sprintf("from=%d&", from)
	}
	if to > 0 {
		query += fmt.Sprintf("to=%d", to)
	}
	var diff api.DiffResult
	if err := a.call(cmd.Context(), http.MethodGet, "/diff"+path+query, nil, &diff); err != nil {
		return err
	}
	return a.print(diff, func(w io.Writer) {
		fmt.Fprintf(w, "%s\tversion %d -> %d\n", diff.Path, diff.From, diff.To)
		for _, line := range changeLines("", diff.Changes) {
			fmt.Fprintln(w, line)
		}
	})
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Summarise an entry's view of settings, hosts and agents",
		Example: "  guavatrestle status --json",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			var status api.Status
			if err := a.call(cmd.Context(), http.MethodGet, "/status", nil, &status); err != nil {
				return err
			}
			return a.print(status, func(w io.Writer) { printStatus(w, status) })
		}),
	}
}

func printStatus(w io.Writer, s api.Status) {
	fmt.Fprintf(w, "entry\t%s\n", s.Host)
	fmt.Fprintf(w, "settings loaded\t%t\n", s.SettingsLoaded)
	fmt.Fprintf(w, "documents\t%d\n", s.Documents)
	for _, state := range slices.Sorted(maps.Keys(s.Members)) {
		fmt.Fprintf(w, "hosts %s\t%d\n", state, s.Members[state])
	}
	for _, name := range slices.Sorted(maps.Keys(s.FailureDomains)) {
		fmt.Fprintf(w, "failure domain %s\t%s\n", name, s.FailureDomains[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Agents)) {
		for _, state := range slices.Sorted(maps.Keys(s.Agents[name])) {
			fmt.Fprintf(w, "upstream %s %s\t%d\n", name, state, s.Agents[name][state])
		}
	}
}

func (a *app) rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "rollout",
		Short:   "Show the rollout of model versions",
		Example: "  guavatrestle rollout status",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "status",
		Short:   "Show per upstream how many hosts serve the target version, and why others do not",
		Example: "  guavatrestle rollout status --json",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			var status api.RolloutStatus
			if err := a.call(cmd.Context(), http.MethodGet, "/rollouts", nil, &status); err != nil {
				return err
			}
			return a.print(status, func(w io.Writer) { printRollouts(w, status) })
		}),
	})
	return cmd
}

func formatTimeLeft(seconds *float64) string {
	if seconds == nil {
		return "time left unknown"
	}
	remaining := time.Duration(*seconds * float64(time.Second))
	return remaining.Round(time.Second).String() + " left"
}

func printRollouts(w io.Writer, status api.RolloutStatus) {
	for _, u := range status.Upstreams {
		fmt.Fprintf(w, "%s\t%s %s\t%d of %d hosts complete\t%.0f %% done, %s\torigin %d bytes (%.2f copies)\n",
			u.Upstream, u.Model, u.TargetVersion, u.Complete, u.Hosts, u.Progress*100, formatTimeLeft(u.SecondsLeft), u.OriginBytes, u.OriginCopies)
		for _, b := range u.Behind {
			fmt.Fprintf(w, "  %s\t%s\t%d/%d chunks\t%s\n", b.Host, b.FailureDomain, b.ChunksHeld, b.ChunksTotal, b.Reason)
		}
	}
}

func (a *app) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "dump",
		Short:   "Print the full state of an entry as JSON, without secrets",
		Example: "  guavatrestle dump > dump.json",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			var dump api.Dump
			if err := a.call(cmd.Context(), http.MethodGet, "/dump", nil, &dump); err != nil {
				return err
			}
			a.json = true
			return a.print(dump, nil)
		}),
	}
}
