package owner

import (
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestStartsNeedFreshness: the leader renews the block lease while this controller has not seen
// for long what was cancelled elsewhere. It must not start anything.
func TestStartsNeedFreshness(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		o, m, now := newOneMachine(t, false)
		at := now.Add(30 * time.Second)
		if fresh {
			o.ChangesKnown(o.view.LeaseVersion, at)
		}
		o.loop.Begin(at)
		renewLease(o)
		j := submitArray(o, "wk-000001", "standard", 1, 1, now)
		o.observe(m, &wire.Heartbeat{Machine: m.name, Endpoint: "e", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 5, Token: m.firstToken}, heartbeatReceived)
		starts := 0
		for _, e := range tick(o, at) {
			if d, ok := e.(eventloop.WorkerCommands); ok && len(d.Body.Commands) > 0 {
				starts++
				if d.Until.After(o.answerDeadline()) {
					t.Errorf("may be sent until %v, reports answered until %v", d.Until, o.answerDeadline())
				}
			}
		}
		if (starts > 0) != fresh || (len(j.attempts) > 0) != fresh {
			t.Errorf("fresh: %v, %d starts, %d attempts", fresh, starts, len(j.attempts))
		}
	}
}
