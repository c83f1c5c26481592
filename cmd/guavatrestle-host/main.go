// Command guavatrestle-host runs one process on the users' platform. It does the same as "guavatrestled hosted" without the code of the
// product's own mode, whose pages would stay in memory.
package main

import (
	"fmt"
	"os"

	"github.com/guavatrestle/guavatrestle/cmd/internal/hostcmd"
)

// exitFailure is the exit status after any error.
const exitFailure = 2

func main() {
	cmd := hostcmd.New()
	cmd.Use = "guavatrestle-host {entry|agent}"
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}
