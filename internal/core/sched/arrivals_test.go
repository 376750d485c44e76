package sched

import (
	"testing"
	"time"
)

// TestInflow expects work to count for a minute, and not for longer.
func TestInflow(t *testing.T) {
	var f ArrivalCounter
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	f.Add(now.Add(-2*time.Minute), 6000)
	f.Add(now.Add(-30*time.Second), 600)
	f.Add(now, 60)
	if got := f.Rate(now); got != 11 {
		t.Errorf("%v processors, want 11", got)
	}
}
