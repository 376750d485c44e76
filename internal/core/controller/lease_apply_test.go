package controller

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/wire"
)

// TestClockBehindPredecessor starts a process whose clock stands lower than its
// predecessor's, as may be when it is back within a moment: the lease value names
// a block of a later process. It has to outgrow that one, or nobody hears it.
func TestClockBehindPredecessor(t *testing.T) {
	c, _ := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 20}}})
	if got := c.blockLease.Incarnation(); got <= 20 || c.blockLease.Held() {
		t.Errorf("incarnation %d, holds a block: %v", got, c.blockLease.Held())
	}
}
