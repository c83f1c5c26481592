//go:build race

package table

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLockOutOfOrderPanics guards against a deadlock of two goroutines that lock two tables in different orders.
func TestLockOutOfOrderPanics(t *testing.T) {
	var settings mutex[rankSettings]
	var chunks mutex[rankChunks]
	chunks.RLock()
	require.Panics(t, settings.Lock, "settings must be locked before chunks")
	require.Panics(t, chunks.RLock, "a goroutine must not lock a table twice")
	chunks.RUnlock()

	settings.Lock()
	require.NotPanics(t, chunks.Lock)
	chunks.Unlock()
	settings.Unlock()
	require.Empty(t, locks.held)
}

// TestLocksOfOtherGoroutinesDoNotCount guards against a panic when different goroutines hold locks in any order.
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
