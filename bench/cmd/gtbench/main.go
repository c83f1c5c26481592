// Command gtbench runs experiments on guavatrestle processes with stand-ins for the systems around them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "gtbench",
		Short:         "Run experiments on guavatrestle with stand-ins for the systems around it",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newDemoCommand(),
		newRolloutCommand(),
		newLoadCommand(),
		newDomainCommand(),
		newFairnessCommand(),
		newEntryCostCommand(),
		newAffinityCommand(),
		newConfigCommand(),
		newCapacityCommand(),
		newClaimsCommand(),
		newProxyCommand(),
		newSoakCommand(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
