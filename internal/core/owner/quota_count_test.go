package owner

import (
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestReasonsWhyAttemptsCountNoLonger has an attempt stop counting in each way that a
// worker's heartbeat shows, and expects the reason to be counted.
func TestReasonsWhyAttemptsCountNoLonger(t *testing.T) {
	running := func(a *attempt) wire.TaskStatus {
		return wire.TaskStatus{Task: a.task, Attempt: a.number, State: wire.TaskRunning}
	}
	for _, c := range []struct {
		want uncountReason
		last func(m *machine, a *attempt) wire.Heartbeat
	}{
		{attemptReportedEnded, func(m *machine, a *attempt) wire.Heartbeat {
			return heartbeatOf(m, 1, 3, m.firstToken, wire.TaskStatus{Task: a.task, Attempt: a.number, State: wire.TaskEnded, Reason: wire.ReasonDone})
		}},
		{agentEpochOver, func(m *machine, _ *attempt) wire.Heartbeat { return heartbeatOf(m, 2, 1, m.firstToken) }},
	} {
		t.Run(c.want.String(), func(t *testing.T) {
			o, machines, now := newBlock(t, 1)
			m := machines[0]
			j := submitArray(o, "wk-000001", "urgent", 1, 1, now)
			now = now.Add(placeInterval)
			tick(o, now)
			a := j.attempts[0]
			sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 2, m.firstToken, running(a))})
			sendHeartbeat(o, now.Add(time.Millisecond), eventloop.HeartbeatRequest{Req: 3, Heartbeat: c.last(m, a)})
			counts := o.quota.counts
			if counts.counted[startWithoutLimit] != 1 || counts.uncounted[c.want] != 1 {
				t.Errorf("counted %v, no longer %v", counts.counted, counts.uncounted)
			}
		})
	}
}

// TestMissingAttemptCountsUntilReconciled guards against a list of tasks that is taken for proof though
// its worker has restarted: a copy of the start of what it lacks may still be executed.
func TestMissingAttemptCountsUntilReconciled(t *testing.T) {
	o, machines, now := newBlock(t, 1)
	m := machines[0]
	j := submitArray(o, "wk-000001", "urgent", 1, 1, now)
	now = now.Add(placeInterval)
	tick(o, now)
	a, token := j.attempts[0], m.firstToken
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 2, Heartbeat: heartbeatOf(m, 1, 2, token,
		wire.TaskStatus{Task: a.task, Attempt: a.number, State: wire.TaskRunning})})
	for sequence := range uint64(2) {
		sendHeartbeat(o, now.Add(time.Millisecond), eventloop.HeartbeatRequest{Req: 3, Heartbeat: heartbeatOf(m, 1, 3+sequence, token)})
		if j.attempts[0] != a || !a.counted || !m.needsReconciliation {
			t.Fatalf("an empty list under token %d, sequence %d, ends the attempt: counted %v", token, 3+sequence, a.counted)
		}
	}
	if o.fencingToken(m) <= token {
		t.Fatal("the token is not raised")
	}
	sendHeartbeat(o, now.Add(2*time.Millisecond), eventloop.HeartbeatRequest{Req: 4, Heartbeat: heartbeatOf(m, 1, 5, o.fencingToken(m))})
	if counts := o.quota.counts; j.attempts[0] == a || counts.uncounted[workerRestarted] != 1 || m.needsReconciliation {
		t.Errorf("an empty list under the raised token does not end the attempt: no longer counted %v", counts.uncounted)
	}
}
