//go:build race

package table

import (
	"bytes"
	"runtime"
	"slices"
	"sync"
)

// mutex is the lock of a table of rank R. It panics if a goroutine acquires locks out of order.
type mutex[R ranked] struct {
	mu sync.RWMutex
}

// Lock locks the table for writing.
func (m *mutex[R]) Lock() {
	locks.acquire(m.rank())
	m.mu.Lock()
}

// Unlock undoes Lock.
func (m *mutex[R]) Unlock() {
	m.mu.Unlock()
	locks.release(m.rank())
}

// RLock locks the table for reading.
func (m *mutex[R]) RLock() {
	locks.acquire(m.rank())
	m.mu.RLock()
}

// RUnlock undoes RLock.
func (m *mutex[R]) RUnlock() {
	m.mu.RUnlock()
	locks.release(m.rank())
}

func (*mutex[R]) rank() Rank {
	var r R
	return r.rank()
}

// locks records the table locks that each goroutine holds or waits for.
var locks = lockRecord{held: make(map[string][]Rank)}

type lockRecord struct {
	mu   sync.Mutex
	held map[string][]Rank
}

func (l *lockRecord) acquire(next Rank) {
	id := goroutineID()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.held[id] {
		CheckOrder(held, next)
	}
	l.held[id] = append(l.held[id], next)
}

func (l *lockRecord) release(rank Rank) {
	id := goroutineID()
	l.mu.Lock()
	defer l.mu.Unlock()
	ranks := l.held[id]
	if i := slices.Index(ranks, rank); i >= 0 {
		ranks = slices.Delete(ranks, i, i+1)
	}
	if len(ranks) == 0 {
		delete(l.held, id)
		return
	}
	l.held[id] = ranks
}

// goroutineID returns the goroutine's number, which the first line of its stack trace holds: "goroutine N [running]:".
func goroutineID() string {
	var trace [64]byte
	fields := bytes.Fields(trace[:runtime.Stack(trace[:], false)])
	return string(fields[1])
}
