package controller

import (
	"testing"
	"time"
)

// TestOneReadingAtATime guards against two readings of the state that overtake one another,
// and against one that is tried again without a pause.
func TestOneReadingAtATime(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	var s stateReader
	if !s.begin(now) || s.phase != readingGeneration || s.loaded() {
		t.Fatalf("no reading begins: %+v", s)
	}
	if s.begin(now) {
		t.Error("a second reading begins beside the first")
	}
	s.phase = readingJobs
	if s.fail(now); s.begin(now) || s.begin(now.Add(stateReadRetry-1)) {
		t.Error("tried again without a pause")
	}
	if !s.begin(now.Add(stateReadRetry)) {
		t.Error("not tried again")
	}
	if s.complete(7); !s.loaded() || s.revision != 7 || s.begin(now.Add(time.Minute)) {
		t.Errorf("after a complete reading: %+v", s)
	}
	if s.invalidate(); s.loaded() || !s.begin(now.Add(time.Minute)) {
		t.Errorf("after a watch that came too late: %+v", s)
	}
}
