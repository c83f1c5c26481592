//go:build !race

package table

import "sync"

// mutex is the lock of a table of rank R. Without the race detector it doesn't check the lock order.
type mutex[R ranked] struct {
	sync.RWMutex
}
