// Package membudget bounds the memory that bodies from outside take while they are read,
// decoded and answered, however many arrive at once. Who finds no room waits for it.
package membudget

import (
	"context"
	"fmt"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget is an amount of memory that bodies share. It may be used by several goroutines.
type Budget struct {
	capacity int64
	room     *semaphore.Weighted // nil: not limited
	refused  atomic.Int64
}

// New returns a budget of so many bytes; 0 means no limit.
func New(capacity int64) *Budget {
	b := &Budget{capacity: capacity}
	if capacity > 0 {
		b.room = semaphore.NewWeighted(capacity)
	}
	return b
}

// Acquire waits until there is room for so many bytes, and returns what frees them, which must
// be called once. What takes more than the whole budget waits until it has all of it. The error
// is that of ctx, which ended before there was room.
func (b *Budget) Acquire(ctx context.Context, bytes int) (release func(), err error) {
	if b.room == nil || bytes <= 0 {
		return func() {}, nil
	}
	n := min(int64(bytes), b.capacity)
	if err := b.room.Acquire(ctx, n); err != nil {
		b.refused.Add(1)
		return nil, fmt.Errorf("memory for %d bytes: %w", bytes, err)
	}
	return func() { b.room.Release(n) }, nil
}

// Refused returns how often there was no room in time.
func (b *Budget) Refused() int { return int(b.refused.Load()) }
