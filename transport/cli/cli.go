// Package cli is the operators' command line.
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
	// exitFailure is the status of a command that was refused or could not be carried out.
	exitFailure = 1
	// exitUsage is the status for a wrong command line or a bad file.
	exitUsage = 2
)

// Environment variables that stand in for flags.
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

// app is what the commands share.
type app struct {
	Streams
	getenv  func(string) string
	server  string
	token   string
	json    bool
	timeout time.Duration
}

// failure is an error that is not a fault of the command line or of a file.
type failure struct{ err error }

// Error implements error.
func (f failure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f failure) Unwrap() error { return f.err }

// badInput is a fault of a file that the operator gave.
type badInput struct{ err error }

// Error implements error.
func (b badInput) Error() string { return b.err.Error() }

// Main runs the command line and returns its exit status.
func Main(ctx context.Context, args []string, streams Streams, getenv func(string) string) int {
	a := &app{Streams: streams, getenv: getenv}
	root := a.root()
	root.SetArgs(args)
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(streams.Err, err)
	var f failure
	if errors.As(err, &f) {
		return exitFailure
	}
	return exitUsage
}

func (a *app) root() *cobra.Command {
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
	flags.BoolVar(&a.json, "json", false, "print JSON")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of one call")
	root.AddCommand(
		a.applyCommand(), a.getCommand(), a.listCommand(), a.diffCommand(), a.historyCommand(),
		a.validateCommand(), a.retireCommand(), a.domainCommand(), a.rolloutCommand(), a.statusCommand(),
		a.dumpCommand(), a.manifestCommand(), a.tokenCommand(), a.versionCommand(),
	)
	return root
}

// run marks the errors of a command as failures, except those about its input.
func run(f func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		err := f(cmd, args)
		var input badInput
		if err == nil || errors.As(err, &input) {
			return err
		}
		return failure{err}
	}
}

// print writes value as JSON, or lets text write it for people.
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
