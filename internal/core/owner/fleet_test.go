package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// block returns an owner of so many machines, all of which it has heard.
func block(t *testing.T, machines int) (*Owner, []*machine, time.Time) {
	t.Helper()
	var names wire.NameSet
	for i := range machines {
		names = append(names, fmt.Sprintf("host-%06d", i+1))
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	mayStart(o)
	var all []*machine
	for i, name := range names {
		all = append(all, o.workers.machines[name])
		report(o, now, eventloop.HeartbeatRequest{Req: uint64(i), Heartbeat: reportOf(all[i], 1, 1, all[i].firstToken)})
	}
	return o, all, now
}

// TestRoomIsKeptWhereItCanCome: an overdue job needs a whole machine. One runs a
// replica, which never ends, and has most room; on the other tasks come and go. Kept
// on the first, the job would wait for ever, beside room that nobody else gets.
func TestRoomIsKeptWhereItCanCome(t *testing.T) {
	for offset := range 8 { // of the moments at which the tasks beside it end
		o, all, now := block(t, 2)
		replica := putArray(o, "wk-000001", "production", 1, 1, now)
		replica.Record.Shape = wire.Daemon
		o.bind(replica, all[0])
		putArray(o, "wk-000002", "urgent", 3000, 1, now)
		wide := putArray(o, "wk-000003", "idle", 1, 4, now)
		ends := map[string]time.Time{}
		begun := time.Duration(0)
		for s := 1; s < 120 && begun == 0; s++ {
			at := now.Add(time.Duration(s) * time.Second)
			o.ChangesKnown(o.view.LeaseVersion, at)
			o.loop.Begin(at)
			mayStart(o)
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
				report(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
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

// TestCalledOffMachineIsGivenUp: half of a zone falls silent. Machines that are cut off
// are waited for longer, as their workers end their tasks by themselves; one with a
// task that was called off is not, as it may hang, keep the task for as long as it does,
// and take up its team's limit.
func TestCalledOffMachineIsGivenUp(t *testing.T) {
	o, all, now := block(t, 4)
	j, other := putArray(o, "wk-000001", "standard", 1, 3, now), putArray(o, "wk-000002", "standard", 1, 3, now)
	tick(o, now.Add(200*time.Millisecond))
	on := func(j *Job) *machine {
		for _, m := range all {
			for _, r := range m.attempts {
				if r.job == j {
					return m
				}
			}
		}
		t.Fatal("not placed")
		return nil
	}
	one, two := on(j), on(other)
	o.EndJob(j)
	w := o.view.Settings.Cluster.Workers
	for s := 1; s < 60 && !one.unreachable; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		tick(o, at)
		if waits := at.Sub(now); waits > config.Seconds(w.LeaseS)+3*time.Second {
			t.Errorf("not given up %v after it fell silent, %v before its user may expect the task to be gone", waits, config.Seconds(w.CancelS)-waits)
			break
		}
	}
	if two.unreachable {
		t.Error("a machine that was only cut off is given up as well")
	}
}

// TestKeptRoomIsNotKeptForEver: room is kept for an overdue job that needs a whole machine,
// on which another's task runs for long. For a minute nobody else gets it; then a job that
// waits beside it is let in, a task at a time, before it has waited 90 s.
func TestKeptRoomIsNotKeptForEver(t *testing.T) {
	o, all, now := block(t, 1)
	m := all[0]
	long := putArray(o, "wk-000001", "urgent", 1, 1, now)
	o.bind(long, m)
	wide := putArray(o, "wk-000002", "idle", 1, 4, now)
	var small *Job
	kept, came, waits := time.Duration(0), time.Duration(0), time.Duration(0)
	for s := 1; s < 240 && waits == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		mayStart(o)
		var tasks []wire.TaskStatus
		for _, key := range sortedAttempts(m) {
			tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskRunning})
		}
		report(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
		tick(o, at.Add(200*time.Millisecond))
		if wide.reservedMachine != "" && kept == 0 {
			kept = at.Sub(now)
		}
		if kept > 0 && small == nil {
			small, came = putArray(o, "wk-000003", "standard", 3, 1, at), at.Sub(now)
		}
		if small != nil && len(small.attempts) > 0 {
			waits = at.Sub(now) - came
		}
	}
	if kept == 0 || waits < 50*time.Second || waits > 90*time.Second || len(small.attempts) != 1 {
		t.Fatalf("kept after %v; wk-000003 came after %v, waited %v (0s: for ever) beside room on %s, and %d tasks of it were let in", kept, came, waits, m.name, len(small.attempts))
	}
}

// TestFailedJobIsTriedAgain: a task fails once on the only machine that has room. It is
// not tried there again at once, as the machine may be faulty, but before it has waited
// for 90 s beside it.
func TestFailedJobIsTriedAgain(t *testing.T) {
	o, all, now := block(t, 1)
	m := all[0]
	j := putArray(o, "wk-000001", "standard", 1, 1, now)
	attempts, again := map[uint64]bool{}, time.Duration(0)
	for s := 1; s < 120 && again == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		mayStart(o)
		var tasks []wire.TaskStatus
		for _, key := range sortedAttempts(m) {
			if attempts[key.number] = true; len(attempts) > 1 {
				again = at.Sub(now)
			}
			tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: wire.ReasonError})
		}
		report(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, uint64(s+1), o.fencingToken(m), tasks...)})
		tick(o, at.Add(200*time.Millisecond))
	}
	if again < 50*time.Second || again > 90*time.Second {
		t.Errorf("%s is tried again on %s after %v (0s: never)", j.Record.ID, m.name, again)
	}
}
