//go:build !race

package table

import "sync"

// mutex is the lock of a table of rank R. Builds without the race detector do not check the lock order.
type mutex[R ranked] struct {
	sync.RWMutex
}
