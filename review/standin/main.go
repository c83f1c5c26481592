// Command standin runs the cases of the review that are scripts. It holds small stand-ins for the platform's store, its workers, the
// origin of weights and clients, and starts the programs of the system as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
)

// dir is the temporary folder of the run.
var dir string

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	var err error
	dir, err = os.MkdirTemp("", "review-")
	check(err)
	run := map[string]func(dir string, r *record, trouble string) bool{"cold": runCold, "spoilt": runSpoilt}[os.Args[1]]
	if run == nil {
		cannotRun("no case %q", os.Args[1])
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		cannotRun("stopped by a signal")
	}()
	trouble := os.Getenv("TROUBLE")
	broken := run(dir, newRecord(os.Args[2]), trouble)
	stopAll()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(statusBroken)
	}
	fmt.Println("the rule held")
	os.Exit(statusHeld)
}
