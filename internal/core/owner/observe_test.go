package owner

import (
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestLateCopyProvesNothing: a controller that has just taken a machine over gets a copy of a
// heartbeat from before. It must not count as a sign of life, make room, or complete, fail or
// bind a task. The same holds for a copy that is older than the newest heartbeat known.
func TestLateCopyProvesNothing(t *testing.T) {
	for _, unreconciled := range []bool{true, false} {
		o, m, now := newOneMachine(t, unreconciled)
		j := submitArray(o, "wk-000001", "standard", 3, 1, now)
		tasks := []wire.TaskStatus{{Task: "wk-000001/0", Attempt: 5, State: wire.TaskEnded, Reason: wire.ReasonDone},
			{Task: "wk-000001/1", Attempt: 6, State: wire.TaskRunning}}
		lastHeartbeat := m.lastHeartbeat
		sendHeartbeat(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 90, m.firstToken-1, tasks...)})
		if m.lastHeartbeat != lastHeartbeat || m.agentEpoch != 0 || o.usable(m) || j.doneCount > 0 || len(j.attempts) > 0 || len(m.attempts) > 0 || m.needsReconciliation != unreconciled {
			t.Errorf("taken over: %v: the copy counted: %+v, %d done, %d attempts", unreconciled, m, j.doneCount, len(j.attempts))
		}
		sendHeartbeat(o, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 95, m.firstToken)})
		if !m.hasShownToken() || m.sequence != 95 || m.needsReconciliation {
			t.Fatalf("a report that shows the token does not count: %+v", m)
		}
		attempts := len(j.attempts)
		lastHeartbeat = m.lastHeartbeat
		sendHeartbeat(o, now.Add(3*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: heartbeatOf(m, 1, 94, m.firstToken, tasks...)})
		if m.lastHeartbeat != lastHeartbeat || j.doneCount > 0 || len(j.attempts) != attempts {
			t.Errorf("a copy of an older report counted: %+v, %d done", m, j.doneCount)
		}
		for _, e := range o.loop.Effects() {
			if r, ok := e.(eventloop.Reply); ok {
				if a := r.Body.(wire.HeartbeatAnswer); len(a.Commands) > 0 {
					t.Errorf("the copy is answered with %v", a.Commands)
				}
			}
		}
	}
}
