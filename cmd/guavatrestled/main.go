// Command guavatrestled runs one guavatrestle process with the role that its configuration names.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit status after any error.
const exitFailure = 2

func main() {
	cmd := newCommand()
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func newCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "guavatrestled",
		Short:         "Run a guavatrestle process",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	addOwnMode(cmd)
	cmd.AddCommand(newHostedCommand())
	return cmd
}
