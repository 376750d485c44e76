package client

import (
	"context"
	"sync"
	"time"
)

// AdaptiveTimeout is how long an answer is waited for before the call counts as one
// without: the retransmission timeout of RFC 6298 over the times that answers took. A lost
// answer then holds its caller up for half a second, and a service that has become slow is
// waited for. A caller without an answer reads again what is there; how long it waited
// says nothing about whether the call was, or will be, executed.
//
// It is safe for concurrent use.
type AdaptiveTimeout struct {
	shortest, longest time.Duration

	mu        sync.Mutex
	smoothed  time.Duration // round-trip time; 0: no answer yet
	deviation time.Duration // mean deviation of the round-trip time
	timeout   time.Duration
}

// NewAdaptiveTimeout returns the timeout for a service that has not answered yet. It is
// never shorter than shortest nor longer than longest.
func NewAdaptiveTimeout(shortest, longest time.Duration) *AdaptiveTimeout {
	return &AdaptiveTimeout{shortest: shortest, longest: longest, timeout: longest}
}

// current returns how long the next call waits.
func (a *AdaptiveTimeout) current() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.timeout
}

// recordAnswer records an answer that took so long.
func (a *AdaptiveTimeout) recordAnswer(roundTrip time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.smoothed == 0 {
		a.smoothed, a.deviation = roundTrip, roundTrip/2
	} else {
		a.deviation += ((a.smoothed - roundTrip).Abs() - a.deviation) / 4
		a.smoothed += (roundTrip - a.smoothed) / 8
	}
	a.timeout = min(a.longest, max(a.shortest, a.smoothed+4*a.deviation))
}

// recordTimeout records a call without an answer in the time that it was given. Of several
// calls at once only the first makes the others wait longer.
func (a *AdaptiveTimeout) recordTimeout(after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if after >= a.timeout {
		a.timeout = min(a.longest, 2*a.timeout)
	}
}

// Call calls f with as much time as answers take. f returns the HTTP status of the answer,
// 0 if there was none.
func (a *AdaptiveTimeout) Call(ctx context.Context, f func(context.Context) (int, error)) (int, error) {
	timeout, sent := a.current(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := f(ctx)
	switch {
	case status != 0:
		a.recordAnswer(time.Since(sent))
	case ctx.Err() != nil:
		a.recordTimeout(timeout)
	}
	return status, err
}
