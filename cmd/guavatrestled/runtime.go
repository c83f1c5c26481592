package main

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"
)

const (
	// gcPercent is the heap growth in percent that triggers a garbage collection; 100 takes a third more memory, 25 takes 7 %
	// more processor time.
	gcPercent = 25
	// memoryLimitShare is the share of the memory limit above which garbage is collected whatever gcPercent says. The rest covers what the
	// runtime doesn't count: the pages of the program (15 MB) and the socket buffers.
	memoryLimitShare = 0.75
)

// setRuntimeLimits sets when garbage is collected in a process that may use memoryBytes; 0 means unknown.
func setRuntimeLimits(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryBytes)))
	}
}

// stopContext returns a context that is done at the first signal to stop. Further signals do not interrupt the stop.
func stopContext() (context.Context, context.CancelFunc) {
	// Without this SIGHUP would end the process at once. The settings that a process reads from files do not change while it runs.
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
