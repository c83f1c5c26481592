// Command gtbench runs guavatrestle processes against stand-ins and measures them.
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
		Short:         "Run and measure guavatrestle against small stand-ins",
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
