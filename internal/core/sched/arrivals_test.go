package sched

import (
	"testing"
	"time"
)

// TestArrivalRateForgetsOldWork guards against work that counts for longer than a minute.
func TestArrivalRateForgetsOldWork(t *testing.T) {
	var arrivals ArrivalCounter
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	arrivals.Add(now.Add(-2*time.Minute), 6000)
	arrivals.Add(now.Add(-30*time.Second), 600)
	arrivals.Add(now, 60)
	if got := arrivals.Rate(now); got != 11 {
		t.Errorf("Rate = %v processors, want 11", got)
	}
}
