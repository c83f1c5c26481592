// Package cli implements the operators' command line.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK = 0
	// exitFailure is the status of a command that the entry refused or that failed.
	exitFailure = 1
	// exitUsage is the status for an invalid command line or input file.
	exitUsage = 2
)

// Environment variables that supply the values of flags that are not set.
const (
	envServer = "GUAVATRESTLE_SERVER"
	envToken  = "GUAVATRESTLE_TOKEN"
)

// defaultTimeout bounds one call of the admin API.
const defaultTimeout = 10 * time.Second

// Streams are the standard streams of the command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// app holds what all commands share: streams, environment and global flags.
type app struct {
	Streams
	getenv  func(string) string
	server  string
	token   string
	ca      string
	json    bool
	timeout time.Duration
}

// operationError is an error that is not caused by the command line or by an input file.
type operationError struct{ err error }

// Error implements error.
func (e operationError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e operationError) Unwrap() error { return e.err }

// inputError is an error in the operator's input: a flag, an input file or standard input.
type inputError struct{ err error }

// Error implements error.
func (e inputError) Error() string { return e.err.Error() }

// Main runs the command line and returns its exit status.
func Main(ctx context.Context, args []string, streams Streams, getenv func(string) string) int {
	a := &app{Streams: streams, getenv: getenv}
	root := a.newRootCommand()
	root.SetArgs(args)
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(streams.Err, err)
	var operationErr operationError
	if errors.As(err, &operationErr) {
		return exitFailure
	}
	return exitUsage
}

func (a *app) newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "guavatrestle",
		Short: "Operate guavatrestle: settings, failure domains and rollouts",
		Example: `  guavatrestle --server https://entry-1:8443 status
  guavatrestle apply -f teams/litoral.yaml --dry-run
  guavatrestle domain out norte-a`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.server, "server", "", "base URL of an entry (default $"+envServer+")")
	flags.StringVar(&a.token, "token", "", "bearer token (default $"+envToken+")")
	flags.StringVar(&a.ca, "ca", "", "PEM file of the CA certificates that verify the entry's certificate (default the system's)")
	flags.BoolVar(&a.json, "json", false, "print JSON")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of one call of the admin API")
	root.AddCommand(
		a.applyCommand(), a.getCommand(), a.listCommand(), a.diffCommand(), a.historyCommand(),
		a.validateCommand(), a.retireCommand(), a.domainCommand(), a.rolloutCommand(), a.statusCommand(),
		a.dumpCommand(), a.explainPlacementCommand(), a.manifestCommand(), a.tokenCommand(), a.versionCommand(),
	)
	return root
}

// classifyErrors wraps the errors of a command in operationError, except those about its input.
func classifyErrors(command func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := command(cmd, args)
		var inputErr inputError
		if err == nil || errors.As(err, &inputErr) {
			return err
		}
		return operationError{err}
	}
}

// print writes value as JSON with --json, and otherwise calls text to write it as a table.
func (a *app) print(value any, text func(w io.Writer)) error {
	if a.json {
		encoder := json.NewEncoder(a.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}
