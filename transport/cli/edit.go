package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const fileUsage = "settings file, or directory of .yaml files; - reads standard input (repeatable)"

func (a *app) applyCommand() *cobra.Command {
	var files []string
	var dryRun, baseCurrent bool
	cmd := &cobra.Command{
		Use:   "apply -f FILE...",
		Short: "Apply the documents in settings files",
		Long: `Sends each document in the files. base_version in a document names the version that the edit is based on;
without it the path must be new or retired. If the document has changed since that version, it is not
written and the differences are shown.`,
		Example: `  guavatrestle apply -f teams/litoral.yaml --dry-run
  guavatrestle apply -f failure-domains.yaml -f upstreams.yaml -f teams.yaml
  guavatrestle get /teams/litoral --yaml > litoral.yaml; guavatrestle apply -f litoral.yaml`,
		Args: cobra.NoArgs,
		RunE: classifyErrors(func(cmd *cobra.Command, _ []string) error {
			results, err := a.applyFiles(cmd.Context(), files, dryRun, baseCurrent)
			if printErr := a.print(results, func(w io.Writer) { printResults(w, results) }); err == nil {
				err = printErr
			}
			return err
		}),
	}
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, fileUsage)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check and show the changes without writing")
	cmd.Flags().BoolVar(&baseCurrent, "base-current", false, "base the edits on the current versions and ignore base_version in the files")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// applyFiles sends the documents in the files in order and stops at the first refusal.
func (a *app) applyFiles(ctx context.Context, files []string, dryRun, baseCurrent bool) ([]api.ApplyResult, error) {
	documents, err := a.readFiles(files)
	if err != nil {
		return nil, err
	}
	results := []api.ApplyResult{}
	for _, d := range documents {
		if baseCurrent {
			if d.baseVersion, err = a.currentVersion(ctx, d.Path); err != nil {
				return results, err
			}
		}
		var result api.ApplyResult
		request := api.ApplyRequest{BaseVersion: d.baseVersion, Body: d.Body, DryRun: dryRun}
		if err := a.call(ctx, http.MethodPut, "/settings"+d.Path, request, &result); err != nil {
			return results, withPositions(d, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// withPositions converts a refusal that lists problems into an inputError with the position of each in the file.
func withPositions(d fileDocument, err error) error {
	var refusal *refusalError
	if errors.As(err, &refusal) && len(refusal.Problems) > 0 {
		return inputError{errors.New(strings.Join(d.formatProblems(refusal.Problems), "\n"))}
	}
	return err
}

func (a *app) currentVersion(ctx context.Context, path string) (uint64, error) {
	var doc settings.Document
	err := a.call(ctx, http.MethodGet, "/settings"+path, nil, &doc)
	var refusal *refusalError
	if errors.As(err, &refusal) && refusal.status == http.StatusNotFound {
		return 0, nil
	}
	return doc.Version, err
}

func printResults(w io.Writer, results []api.ApplyResult) {
	for _, r := range results {
		outcome := "accepted"
		if r.DryRun {
			outcome = "would be accepted"
		}
		fmt.Fprintf(w, "%s\tversion %d\t%s\n", r.Path, r.Version, outcome)
		for _, line := range changeLines("", r.Changes) {
			fmt.Fprintln(w, line)
		}
	}
}

// changeLines returns one line per change, after a line with the title; without changes it returns nil.
func changeLines(title string, changes []settings.Change) []string {
	var lines []string
	if title != "" && len(changes) > 0 {
		lines = append(lines, title+":")
	}
	for _, c := range changes {
		lines = append(lines, fmt.Sprintf("  %s: %s -> %s", formatField(c.Field), formatValue(c.From), formatValue(c.To)))
	}
	return lines
}

func formatField(field string) string {
	if field == "" {
		return "(whole body)"
	}
	return field
}

func formatValue(value []byte) string {
	if len(value) == 0 {
		return "(none)"
	}
	return string(value)
}

func (a *app) validateCommand() *cobra.Command {
	var files []string
	cmd := &cobra.Command{
		Use:     "validate -f FILE...",
		Short:   "Check settings files offline, each document and the references between them",
		Example: `  guavatrestle validate -f failure-domains.yaml -f upstreams.yaml -f teams.yaml`,
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(*cobra.Command, []string) error {
			documents, err := a.readFiles(files)
			if err != nil {
				return err
			}
			if err := checkDocuments(documents); err != nil {
				return err
			}
			result := map[string]int{"documents": len(documents)}
			return a.print(result, func(w io.Writer) { fmt.Fprintf(w, "%d documents are valid\n", len(documents)) })
		}),
	}
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, fileUsage)
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func (a *app) retireCommand() *cobra.Command {
	var base uint64
	var dryRun bool
	cmd := &cobra.Command{
		Use:     "retire PATH",
		Short:   "Retire a team, an upstream or a failure domain",
		Example: `  guavatrestle retire /teams/litoral --base 7`,
		Args:    cobra.ExactArgs(1),
		RunE: classifyErrors(func(cmd *cobra.Command, args []string) error {
			var err error
			if base == 0 {
				if base, err = a.currentVersion(cmd.Context(), args[0]); err != nil {
					return err
				}
			}
			query := "?base_version=" + strconv.FormatUint(base, 10) + "&dry_run=" + strconv.FormatBool(dryRun)
			var result api.ApplyResult
			if err := a.call(cmd.Context(), http.MethodDelete, "/settings"+args[0]+query, nil, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) { printResults(w, []api.ApplyResult{result}) })
		}),
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "version to retire (default the current one)")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check without writing")
	return cmd
}

func (a *app) domainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "domain",
		Short:   "Take a failure domain out of service or bring it back",
		Example: "  guavatrestle domain out norte-a\n  guavatrestle domain in norte-a",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		a.domainStateCommand(settings.FailureDomainOut, "Take a failure domain out of service"),
		a.domainStateCommand(settings.FailureDomainIn, "Bring a failure domain back into service"),
	)
	return cmd
}

func (a *app) domainStateCommand(state settings.FailureDomainState, short string) *cobra.Command {
	return &cobra.Command{
		Use:     string(state) + " NAME",
		Short:   short,
		Example: "  guavatrestle domain " + string(state) + " norte-a",
		Args:    cobra.ExactArgs(1),
		RunE: classifyErrors(func(cmd *cobra.Command, args []string) error {
			var result api.ApplyResult
			path := "/failure-domains/" + args[0] + "/state"
			if err := a.call(cmd.Context(), http.MethodPost, path, api.FailureDomainChange{State: state}, &result); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) { printResults(w, []api.ApplyResult{result}) })
		}),
	}
}
