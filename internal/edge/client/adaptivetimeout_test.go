package client

import (
	"testing"
	"time"
)

// TestTimeoutFollowsAnswerTimes guards against a timeout that blocks callers on lost answers
// or gives up on a slow service: with quick answers, some of them lost, the timeout is its
// minimum; when the service has become slow it rises, after two calls in a row at the
// latest, and never above its maximum.
func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	timeout := NewAdaptiveTimeout(500*time.Millisecond, 2*time.Second)
	if got := timeout.current(); got != 2*time.Second {
		t.Errorf("timeout before the first answer = %v, want 2s", got)
	}
	for i := range 50 {
		timeout.recordAnswer(time.Duration(2+i%7) * time.Millisecond)
	}
	timeout.recordAnswer(300 * time.Millisecond) // a rare slow answer
	if got := timeout.current(); got != 500*time.Millisecond {
		t.Errorf("timeout after quick answers = %v, want 500ms", got)
	}
	for range 10 { // of concurrent calls
		timeout.recordTimeout(500 * time.Millisecond)
	}
	if got := timeout.current(); got != time.Second {
		t.Errorf("timeout after concurrent calls without an answer = %v, want 1s", got)
	}
	timeout.recordTimeout(time.Second)
	timeout.recordTimeout(2 * time.Second)
	if got := timeout.current(); got != 2*time.Second {
		t.Errorf("timeout after calls in a row without an answer = %v, want 2s", got)
	}
	for range 20 {
		timeout.recordAnswer(1600 * time.Millisecond)
		if got := timeout.current(); got < 1650*time.Millisecond || got > 2*time.Second {
			t.Errorf("timeout after slow answers = %v, want 1.65s to 2s", got)
		}
	}
	for range 60 {
		timeout.recordAnswer(5 * time.Millisecond)
	}
	if got := timeout.current(); got != 500*time.Millisecond {
		t.Errorf("timeout after quick answers again = %v, want 500ms", got)
	}
}
