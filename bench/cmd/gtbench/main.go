// Command gtbench runs guavatrestle processes against stand-ins and measures them.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "gtbench",
		Short:         "Run and measure guavatrestle against small stand-ins",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newDemoCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
