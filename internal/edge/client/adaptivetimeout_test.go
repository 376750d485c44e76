package client

import (
	"testing"
	"time"
)

// TestPatienceFollowsTheAnswers: quick answers that are lost now and then hold up for
// the least time only; a service that has become slow is waited for, at the latest
// after two calls in a row, and not for longer than users wait.
func TestPatienceFollowsTheAnswers(t *testing.T) {
	p := NewAdaptiveTimeout(500*time.Millisecond, 2*time.Second)
	if got := p.current(); got != 2*time.Second {
		t.Errorf("before the first answer: %v", got)
	}
	for i := range 50 {
		p.recordAnswer(time.Duration(2+i%7) * time.Millisecond)
	}
	p.recordAnswer(300 * time.Millisecond) // as happens now and then
	if got := p.current(); got != 500*time.Millisecond {
		t.Errorf("quick answers: %v", got)
	}
	for range 10 { // that were under way at once
		p.recordTimeout(500 * time.Millisecond)
	}
	if got := p.current(); got != time.Second {
		t.Errorf("calls without an answer, at once: %v", got)
	}
	p.recordTimeout(time.Second)
	p.recordTimeout(2 * time.Second)
	if got := p.current(); got != 2*time.Second {
		t.Errorf("calls without an answer, one after the other: %v", got)
	}
	for range 20 {
		p.recordAnswer(1600 * time.Millisecond)
		if got := p.current(); got < 1650*time.Millisecond || got > 2*time.Second {
			t.Errorf("slow answers: %v", got)
		}
	}
	for range 60 {
		p.recordAnswer(5 * time.Millisecond)
	}
	if got := p.current(); got != 500*time.Millisecond {
		t.Errorf("quick again: %v", got)
	}
}
