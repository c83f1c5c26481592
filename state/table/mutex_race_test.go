//go:build race

package table

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLockOutOfOrderPanics guards against two goroutines that lock two tables in different orders.
func TestLockOutOfOrderPanics(t *testing.T) {
	var settings mutex[rankSettings]
	var chunks mutex[rankChunks]
	chunks.RLock()
	require.Panics(t, settings.Lock, "settings come before chunks")
	require.Panics(t, chunks.RLock, "a table locked twice by one goroutine")
	chunks.RUnlock()

	settings.Lock()
	require.NotPanics(t, chunks.Lock)
	chunks.Unlock()
	settings.Unlock()
	require.Empty(t, locks.held)
}

// TestLocksOfOtherGoroutinesDoNotCount guards against a panic on locks that are held in parallel.
func TestLocksOfOtherGoroutinesDoNotCount(t *testing.T) {
	var settings mutex[rankSettings]
	var chunks mutex[rankChunks]
	chunks.Lock()
	var other sync.WaitGroup
	other.Go(func() {
		settings.Lock()
		defer settings.Unlock()
	})
	other.Wait()
	chunks.Unlock()
	require.Empty(t, locks.held)
}
