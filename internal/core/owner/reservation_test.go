package owner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestOverdueJobBegins: a machine is busy with small urgent tasks that never stop coming. An idle
// job that needs all of it must begin within the stated bound and a task's time, and not before
// its turn.
func TestOverdueJobBegins(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	submitArray(o, "wk-000002", "urgent", 2000, 1, now)
	wide := submitArray(o, "wk-000001", "idle", 1, 4, now)
	begun := time.Duration(0)
	ends := map[string]time.Time{}
	for s := 0; s < 200 && begun == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		beginCurrent(o, at)
		var tasks []wire.TaskStatus
		for _, key := range sortedAttempts(m) {
			x := wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskRunning}
			if ends[key.task].IsZero() { // staggered, so that they never end together
				ends[key.task] = at.Add(time.Duration(4+len(ends)%4) * time.Second)
			}
			if !at.Before(ends[key.task]) {
				x.State, x.Reason = wire.TaskEnded, wire.ReasonDone
			}
			tasks = append(tasks, x)
		}
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, uint64(s+1), m.firstToken, tasks...)})
		tick(o, at.Add(200*time.Millisecond))
		if wide.started {
			begun = at.Sub(now)
		}
	}
	if bound := o.overdueAfter(); begun < bound || begun > bound+10*time.Second {
		t.Errorf("began after %v, the bound is %v and a task's time", begun, bound)
	}
}

// TestRoomIsKeptWhereItCanCome: an overdue job needs a whole machine. One runs a daemon, which
// never ends, and has most room; on the other tasks come and go. With the first one reserved the
// job would wait for ever, beside room that no other job gets.
func TestRoomIsKeptWhereItCanCome(t *testing.T) {
	for offset := range 8 { // of the moments at which the tasks beside it end
		o, all, now := newBlock(t, 2)
		replica := submitArray(o, "wk-000001", "production", 1, 1, now)
		replica.Record.Shape = wire.Daemon
		o.bind(replica, all[0])
		submitArray(o, "wk-000002", "urgent", 3000, 1, now)
		wide := submitArray(o, "wk-000003", "idle", 1, 4, now)
		ends := map[string]time.Time{}
		begun := time.Duration(0)
		for s := 1; s < 120 && begun == 0; s++ {
			at := now.Add(time.Duration(s) * time.Second)
			beginCurrent(o, at)
			for _, m := range all {
				var tasks []wire.TaskStatus
				for _, key := range sortedAttempts(m) {
					x := wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskRunning}
					if ends[key.task].IsZero() { // staggered, so that they never end together
						ends[key.task] = at.Add(time.Duration(4+(len(ends)+offset)%7) * time.Second)
					}
					if key.task != "wk-000001/0" && !at.Before(ends[key.task]) {
						x.State, x.Reason = wire.TaskEnded, wire.ReasonDone
					}
					tasks = append(tasks, x)
				}
				sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
			}
			tick(o, at.Add(200*time.Millisecond))
			if wide.started {
				begun = at.Sub(now)
			}
		}
		if bound := o.overdueAfter() + 15*time.Second; begun == 0 || begun > bound {
			t.Errorf("offset %d: %s began after %v (0s: not within 120 s), room was kept on %q; the bound is %v", offset, wide.Record.ID, begun, wide.reservedMachine, bound)
		}
	}
}

// TestKeptRoomIsNotKeptForEver: a machine is reserved for an overdue job that needs all of it,
// while another's task runs there for long. For a minute no other job gets room there; then a
// job that waits beside it is let in, a task at a time, before it has waited 90 s.
func TestKeptRoomIsNotKeptForEver(t *testing.T) {
	o, all, now := newBlock(t, 1)
	m := all[0]
	long := submitArray(o, "wk-000001", "urgent", 1, 1, now)
	o.bind(long, m)
	wide := submitArray(o, "wk-000002", "idle", 1, 4, now)
	var small *Job
	kept, came, waits := time.Duration(0), time.Duration(0), time.Duration(0)
	for s := 1; s < 240 && waits == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		beginCurrent(o, at)
		var tasks []wire.TaskStatus
		for _, key := range sortedAttempts(m) {
			tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskRunning})
		}
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
		tick(o, at.Add(200*time.Millisecond))
		if wide.reservedMachine != "" && kept == 0 {
			kept = at.Sub(now)
		}
		if kept > 0 && small == nil {
			small, came = submitArray(o, "wk-000003", "standard", 3, 1, at), at.Sub(now)
		}
		if small != nil && len(small.attempts) > 0 {
			waits = at.Sub(now) - came
		}
	}
	if kept == 0 || waits < 50*time.Second || waits > 90*time.Second || len(small.attempts) != 1 {
		t.Fatalf("kept after %v; wk-000003 came after %v, waited %v (0s: for ever) beside room on %s, and %d tasks of it were let in", kept, came, waits, m.name, len(small.attempts))
	}
}

// TestHolderOfAReservationIsNotRefusedOne: a job that holds a reserved machine logged
// "reservation limit reached" once no more could be reserved: the limit was looked at before
// its own machine. What it waits for is the room on that.
func TestHolderOfAReservationIsNotRefusedOne(t *testing.T) {
	o, all, now := newBlock(t, 1)
	var lines bytes.Buffer
	o.log = slog.New(slog.NewTextHandler(&lines, nil))
	wide := submitArray(o, "wk-000001", "idle", 1, 4, now)
	r := &round{candidates: []*candidate{{machine: all[0], reservedFor: wide}}}
	if o.reserveMachine(r, wide, false) || lines.Len() > 0 {
		t.Errorf("logged %q, want nothing: it holds a machine", lines.String())
	}
	other := submitArray(o, "wk-000002", "idle", 1, 4, now)
	if o.reserveMachine(r, other, false) || !strings.Contains(lines.String(), "reservation limit reached") {
		t.Errorf("logged %q, want that another job reaches the limit", lines.String())
	}
}
