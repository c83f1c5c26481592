// Command guavatrestle is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavatrestle/guavatrestle/transport/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := cli.Main(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, os.Getenv)
	stop()
	os.Exit(status)
}
