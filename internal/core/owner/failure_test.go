package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestMistakenJobIsTriedSparingly: a job fails everywhere. No machine is quarantined for it, few
// of its tasks are tried at once, and when it succeeds after all it runs as wide as any.
func TestMistakenJobIsTriedSparingly(t *testing.T) {
	var names wire.NameSet
	for i := range 6 {
		names = append(names, fmt.Sprintf("host-%06d", i+1))
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	renewLease(o)
	// One machine has an error against it already, and the first errors of the
	// mistaken job, before it is known for one, must not be the second.
	o.workers.machines[names[0]].failedTasks = map[string]bool{"wk-000009/1": true}
	mistaken := submitArray(o, "wk-000001", "standard", 40, 1, now)
	reason, maxAttempts := wire.ReasonError, 0
	seq := uint64(0)
	for s := range 160 {
		at := now.Add(time.Duration(s) * time.Second)
		beginCurrent(o, at)
		for _, name := range names {
			m := o.workers.machines[name]
			var tasks []wire.TaskStatus
			for _, key := range sortedAttempts(m) {
				tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: reason})
			}
			seq++
			sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: seq, Heartbeat: heartbeatOf(m, 1, seq, o.fencingToken(m), tasks...)})
		}
		for _, name := range names {
			if o.workers.machines[name].quarantined {
				t.Fatalf("%s is set aside for a mistaken job after %d s", name, s)
			}
		}
		tick(o, at.Add(200*time.Millisecond))
		if s > 10 && s < 70 {
			maxAttempts = max(maxAttempts, len(mistaken.attempts))
		}
		if s == 70 {
			if !mistaken.likelyFaulty() || maxAttempts == 0 || maxAttempts > maxFaultyJobAttempts {
				t.Fatalf("at most %d attempts at once, doubtful: %v", maxAttempts, mistaken.likelyFaulty())
			}
			reason = wire.ReasonDone
		}
	}
	if mistaken.doneCount < 20 {
		t.Errorf("%d tasks completed after the mistake was mended", mistaken.doneCount)
	}
}

// TestFailedJobIsTriedAgain: a task fails once on the only machine that has room. It is not
// tried there again at once, as the machine may be faulty, but before it has waited for 90 s.
func TestFailedJobIsTriedAgain(t *testing.T) {
	o, all, now := newBlock(t, 1)
	m := all[0]
	j := submitArray(o, "wk-000001", "standard", 1, 1, now)
	attempts, again := map[uint64]bool{}, time.Duration(0)
	for s := 1; s < 120 && again == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		beginCurrent(o, at)
		var tasks []wire.TaskStatus
		for _, key := range sortedAttempts(m) {
			if attempts[key.number] = true; len(attempts) > 1 {
				again = at.Sub(now)
			}
			tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: wire.ReasonError})
		}
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
		tick(o, at.Add(200*time.Millisecond))
	}
	if again < 50*time.Second || again > 90*time.Second {
		t.Errorf("%s is tried again on %s after %v (0s: never)", j.Record.ID, m.name, again)
	}
}
