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
	s.beginReadingJobs()
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

// TestOneWatchAtATime guards against a second watch beside the first, against one of a state
// that has not been read, and against one that is opened again without a pause.
func TestOneWatchAtATime(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	var s stateReader
	if s.openWatch(now) {
		t.Error("a watch is opened before the state has been read")
	}
	if s.complete(7); !s.openWatch(now) || !s.loaded() {
		t.Fatalf("after a complete reading: %+v", s)
	}
	if s.openWatch(now) || s.begin(now) {
		t.Errorf("a watch or a reading begins beside the open watch: %+v", s)
	}
	nextAt := now.Add(time.Second)
	if s.closeWatch(nextAt); !s.loaded() || s.openWatch(nextAt.Add(-1)) {
		t.Errorf("watched again without a pause: %+v", s)
	}
	if !s.openWatch(nextAt) {
		t.Error("not watched again")
	}
}
