package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestOutageIsNotTakenForRefusal lets an outage for all end. One controller is answered
// first; the others must not take themselves for isolated and give up their blocks in that
// moment.
func TestOutageIsNotTakenForRefusal(t *testing.T) {
	c, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}, Partitions: map[string]string{"free": "n0"}})
	c.state.lastAnswer = start
	for ms := 500; ms <= 16000; ms += 500 {
		c.Step(start.Add(time.Duration(ms)*time.Millisecond), eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", StateOk: ms < 4000 || ms > 10000}})
		if got, want := c.isolatedFromState(), ms > 10000+int(peerReachableFor.Milliseconds())+500; got != want {
			t.Errorf("isolated at %d ms: %v, want %v", ms, got, want)
		}
	}
}
