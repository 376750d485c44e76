package blocklease

import (
	"testing"
	"time"

	"fawncove/internal/wire"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// TestLeaseCountsFromSending guards against a holder that counts its lease from
// when it saw the value: the leader counts from its write, which may have been
// seen half a minute late, after the successor's first starts.
func TestLeaseCountsFromSending(t *testing.T) {
	h := New(7, 20*time.Second)
	n := h.RecordRenewal(start)
	h.Renewed(wire.Block{Grant: 5, Incarnation: 7, Renewal: n})
	for _, c := range []struct {
		at  time.Duration
		may bool
	}{{0, true}, {19 * time.Second, true}, {20 * time.Second, false}, {time.Minute, false}} {
		if got := h.MayStart(start.Add(c.at)); got != c.may {
			t.Errorf("%v after it was sent: may start %v", c.at, got)
		}
	}
	h.Renewed(wire.Block{Grant: 5, Incarnation: 7, Renewal: n + 9}) // never sent by this process
	if h.MayStart(start.Add(30 * time.Second)) {
		t.Error("a renewal that was never sent prolongs the right")
	}
	later := h.RecordRenewal(start.Add(10 * time.Second))
	h.Renewed(wire.Block{Grant: 5, Incarnation: 7, Renewal: later})
	h.Renewed(wire.Block{Grant: 5, Incarnation: 7, Renewal: n})
	if !h.MayStart(start.Add(25 * time.Second)) {
		t.Error("an older renewal shortens the right")
	}
}

// TestTokensAndAttemptsAreNeverReused expects tokens and attempts to rise with every
// grant, however many were used under the one before.
func TestTokensAndAttemptsAreNeverReused(t *testing.T) {
	h := New(7, 20*time.Second)
	last := uint64(0)
	for grant := wire.Grant(1 << 16); grant < 1<<16+3; grant++ {
		h.Renewed(wire.Block{Grant: grant, Incarnation: 7})
		if uint64(h.Token(0)) <= last {
			t.Fatalf("token %d after attempt %d", h.Token(0), last)
		}
		for range 1000 {
			a := h.Attempt()
			if a <= last {
				t.Fatalf("attempt %d after %d", a, last)
			}
			last = a
		}
		h.Renewed(wire.Block{Grant: grant, Incarnation: 7}) // the same value again
	}
}

// TestReleasedBlockLeavesNoRight expects that a block that was lost leaves no right,
// no reservation, and no renewal that a later value could honour.
func TestReleasedBlockLeavesNoRight(t *testing.T) {
	h := New(7, 20*time.Second)
	n := h.RecordRenewal(start)
	h.Renewed(wire.Block{Grant: 5, Incarnation: 7, Renewal: n})
	h.Reserve(h.NextRenewal(), "red", wire.Share{CPUs: 3})
	old := h.RecordRenewal(start)
	if got := h.UsableShare("red", wire.Share{CPUs: 10}); got.CPUs != 3 {
		t.Errorf("%d processors though 3 were reserved", got.CPUs)
	}
	h.Release()
	h.RaiseIncarnationAbove(h.Incarnation())
	if h.Held() || h.MayStart(start) || h.Incarnation() != 8 {
		t.Errorf("held %v, may start %v, incarnation %d", h.Held(), h.MayStart(start), h.Incarnation())
	}
	h.Renewed(wire.Block{Grant: 6, Incarnation: 8, Renewal: old})
	if h.MayStart(start) {
		t.Error("a renewal of the lost block counts for the new one")
	}
	if got := h.UsableShare("red", wire.Share{CPUs: 10}); got.CPUs != 10 {
		t.Errorf("%d processors of a new share of 10", got.CPUs)
	}
}
