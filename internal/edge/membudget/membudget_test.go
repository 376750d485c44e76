package membudget

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestBodiesWaitForRoom guards against bodies that together take more memory than there is.
func TestBodiesWaitForRoom(t *testing.T) {
	b := New(100)
	first, err := b.Acquire(t.Context(), 60)
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := b.Acquire(short, 60); !errors.Is(err, context.DeadlineExceeded) || b.Refused() != 1 {
		t.Errorf("more than the budget: %v, %d refused, want a timeout", err, b.Refused())
	}
	first()
	all, err := b.Acquire(t.Context(), 1000)
	if err != nil {
		t.Fatalf("a body larger than the budget gets none of it: %v", err)
	}
	all()
	if _, err := New(0).Acquire(t.Context(), 1<<40); err != nil {
		t.Errorf("without a limit: %v", err)
	}
}
