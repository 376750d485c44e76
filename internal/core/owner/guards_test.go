package owner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/step"
	"fawncove/internal/wire"
)

func oneMachine(t *testing.T, old bool) (*Owner, *machine, time.Time) {
	t.Helper()
	b := wire.Block{Grant: 1 << 18, Incarnation: 7}
	if names := (wire.NameSet{"host-000001"}); old {
		b.Old = names
	} else {
		b.Machines = names
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": b}, Homes: map[string]string{"free": "n0"}})
	mayStart(o)
	return o, o.machines["host-000001"], now
}

// putArray accepts an array.
func putArray(o *Owner, id, priority string, tasks int, cpus float64, at time.Time) *Job {
	o.Put(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus, Spot: true},
		AtMs: at.UnixMilli()}, Stamp{Version: 6})
	return o.jobs[id]
}

func reportOf(m *machine, session, seq, token uint64, tasks ...wire.TaskReport) wire.Report {
	return wire.Report{Machine: m.name, Endpoint: "e", Type: "s4", Zone: "x", Session: session, Seq: seq, Token: token, Tasks: tasks}
}

// TestLateCopyProvesNothing has a controller that has just taken a machine over
// get a copy of a report from before: it must renew no life, make no room, and
// complete, fail or bind no task. The same for a copy that is older than the
// newest report known.
func TestLateCopyProvesNothing(t *testing.T) {
	for _, old := range []bool{true, false} {
		o, m, now := oneMachine(t, old)
		j := putArray(o, "wk-000001", "standard", 3, 1, now)
		tasks := []wire.TaskReport{{Task: "wk-000001/0", Attempt: 5, State: wire.TaskEnded, Why: wire.WhyDone},
			{Task: "wk-000001/1", Attempt: 6, State: wire.TaskRunning}}
		heard := m.heard
		report(o, now.Add(time.Second), step.ReportIn{Req: 1, Report: reportOf(m, 1, 90, m.fence-1, tasks...)})
		if m.heard != heard || m.session != 0 || o.usable(m) || j.doneCount > 0 || len(j.runs) > 0 || len(m.runs) > 0 || m.dirty != old {
			t.Errorf("taken over: %v: the copy counted: %+v, %d done, %d runs", old, m, j.doneCount, len(j.runs))
		}
		report(o, now.Add(2*time.Second), step.ReportIn{Req: 2, Report: reportOf(m, 1, 95, m.fence)})
		if !m.hears() || m.seq != 95 || m.dirty {
			t.Fatalf("a report that shows the token does not count: %+v", m)
		}
		runs := len(j.runs)
		heard = m.heard
		report(o, now.Add(3*time.Second), step.ReportIn{Req: 3, Report: reportOf(m, 1, 94, m.fence, tasks...)})
		if m.heard != heard || j.doneCount > 0 || len(j.runs) != runs {
			t.Errorf("a copy of an older report counted: %+v, %d done", m, j.doneCount)
		}
		for _, e := range o.loop.Effects() {
			if r, ok := e.(step.Reply); ok {
				if a := r.Body.(wire.ReportAnswer); len(a.Commands) > 0 {
					t.Errorf("the copy is answered with %v", a.Commands)
				}
			}
		}
	}
}

// TestDeafMachineIsLost lets a machine report on and on while no command reaches
// it. Its reports must not make it alive or give it room; once it shows the
// raised token it is as good as before.
func TestDeafMachineIsLost(t *testing.T) {
	for _, recovers := range []bool{false, true} {
		o, m, now := oneMachine(t, false)
		report(o, now, step.ReportIn{Req: 1, Report: reportOf(m, 1, 1, m.fence)})
		putArray(o, "wk-000001", "standard", 1, 1, now)
		token := m.token
		for s := 1; s < 30; s++ {
			at := now.Add(time.Duration(s) * time.Second)
			o.Known(at)
			for _, e := range tick(o, at) {
				if d, ok := e.(step.Direct); ok {
					complete(o, at.Add(500*time.Millisecond), step.Completed{ID: d.ID}) // no answer
				}
			}
			if recovers && s > 8 {
				token = o.tokenFor(m)
			}
			report(o, at.Add(600*time.Millisecond), step.ReportIn{Req: uint64(s), Report: reportOf(m, 1, uint64(10+s), token)})
			if s == 4 && o.usable(m) {
				t.Error("has room though it did not answer a command")
			}
			mayStart(o)
		}
		if m.lost == recovers {
			t.Errorf("hears again: %v, given up: %v", recovers, m.lost)
		}
	}
}

// TestMistakenJobIsTriedSparingly runs a job that fails everywhere beside one that
// does not: no machine is set aside for it, few of its tasks are tried at once,
// and when it succeeds after all it runs as wide as any.
func TestMistakenJobIsTriedSparingly(t *testing.T) {
	var names wire.NameSet
	for i := range 6 {
		names = append(names, fmt.Sprintf("host-%06d", i+1))
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Homes: map[string]string{"free": "n0"}})
	mayStart(o)
	// One machine has an error against it already, and the first errors of the
	// mistaken job, before it is known for one, must not be the second.
	o.machines[names[0]].errors = map[string]bool{"wk-000009/1": true}
	mistaken := putArray(o, "wk-000001", "standard", 40, 1, now)
	why, most := wire.WhyError, 0
	seq := uint64(0)
	for s := range 160 {
		at := now.Add(time.Duration(s) * time.Second)
		o.Known(at)
		o.loop.Begin(at)
		mayStart(o)
		for _, name := range names {
			m := o.machines[name]
			var tasks []wire.TaskReport
			for _, key := range sortedRuns(m) {
				tasks = append(tasks, wire.TaskReport{Task: key.task, Attempt: key.attempt, State: wire.TaskEnded, Why: why})
			}
			seq++
			report(o, at, step.ReportIn{Req: seq, Report: reportOf(m, 1, seq, m.fence, tasks...)})
		}
		for _, name := range names {
			if o.machines[name].bad {
				t.Fatalf("%s is set aside for a mistaken job after %d s", name, s)
			}
		}
		tick(o, at.Add(200*time.Millisecond))
		if s > 10 && s < 70 {
			most = max(most, len(mistaken.runs))
		}
		if s == 70 {
			if !mistaken.doubtful() || most == 0 || most > doubtfulAtOnce {
				t.Fatalf("at most %d attempts at once, doubtful: %v", most, mistaken.doubtful())
			}
			why = wire.WhyDone
		}
	}
	if mistaken.doneCount < 20 {
		t.Errorf("%d tasks completed after the mistake was mended", mistaken.doneCount)
	}
}

// TestOverdueJobBegins keeps a machine busy with small urgent tasks that never end
// coming. A low job that needs all of it must begin within the stated bound and a
// task's time, and not before its turn.
func TestOverdueJobBegins(t *testing.T) {
	o, m, now := oneMachine(t, false)
	putArray(o, "wk-000002", "urgent", 2000, 1, now)
	wide := putArray(o, "wk-000001", "idle", 1, 4, now)
	begun := time.Duration(0)
	ends := map[string]time.Time{}
	for s := 0; s < 200 && begun == 0; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.Known(at)
		o.loop.Begin(at)
		mayStart(o)
		var tasks []wire.TaskReport
		for _, key := range sortedRuns(m) {
			x := wire.TaskReport{Task: key.task, Attempt: key.attempt, State: wire.TaskRunning}
			if ends[key.task].IsZero() { // staggered, so that they never end together
				ends[key.task] = at.Add(time.Duration(4+len(ends)%4) * time.Second)
			}
			if !at.Before(ends[key.task]) {
				x.State, x.Why = wire.TaskEnded, wire.WhyDone
			}
			tasks = append(tasks, x)
		}
		report(o, at, step.ReportIn{Req: 1, Report: reportOf(m, 1, uint64(s+1), m.fence, tasks...)})
		tick(o, at.Add(200*time.Millisecond))
		if wide.begun {
			begun = at.Sub(now)
		}
	}
	if bound := o.overdueAfter(); begun < bound || begun > bound+10*time.Second {
		t.Errorf("began after %v, the bound is %v and a task's time", begun, bound)
	}
}

// TestRedirectedWorkerIsKept has a worker turn to a controller that is not its
// machine's owner, and return each time it is sent there: the cut between the two
// holds messages back, so each attempt takes it five seconds. It must be answered
// often enough to keep its lease.
func TestRedirectedWorkerIsKept(t *testing.T) {
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1<<18 + 1, Incarnation: 9, Machines: wire.NameSet{"host-000001"}}}})
	lease := config.Seconds(o.view.Cfg.Cluster.Workers.LeaseS)
	at := now.Add(5 * time.Second) // it has just given its owner up
	kept, seq, stays := now, uint64(0), 0
	for at.Sub(now) < 20*time.Second {
		o.view.Peers["n1"].Heard = at
		o.Known(at)
		o.loop.Begin(at)
		seq++
		o.Report(step.ReportIn{Req: seq, Report: reportOf(&machine{name: "host-000001"}, 1, seq, 1<<42)})
		reply := o.loop.Effects()[0].(step.Reply)
		if at.Sub(kept) > lease {
			t.Fatalf("its lease ends after %v", at.Sub(now))
		}
		if reply.Status == 200 {
			kept = at
			stays++
			at = at.Add(config.Seconds(o.view.Cfg.Cluster.Workers.ReportS))
			continue
		}
		seq++ // it reports to its owner in vain
		at = at.Add(answerTimeout + 100*time.Millisecond)
	}
	if stays < 3 {
		t.Errorf("answered %d times in 20 s", stays)
	}
}

// TestReportsStayWithinTheirLimit puts a crowd of tiny tasks on a machine that
// could run thousands of them: its reports must not outgrow what may be sent.
func TestReportsStayWithinTheirLimit(t *testing.T) {
	o, m, now := oneMachine(t, false)
	putArray(o, "wk-000001", "idle", 50000, 0.001, now)
	rep := reportOf(m, 1, 1, m.fence)
	for range 8 {
		report(o, now, step.ReportIn{Req: 1, Report: rep})
		rep.Seq, rep.Tasks = rep.Seq+1, nil
		for _, key := range sortedRuns(m) {
			rep.Tasks = append(rep.Tasks, wire.TaskReport{Task: key.task, Attempt: key.attempt, State: wire.TaskEnded, Why: wire.WhyDone})
		}
		now = now.Add(time.Second)
	}
	body, err := json.Marshal(rep.Tasks)
	if err != nil || len(rep.Tasks) < 100 || len(body) > wire.MaxBody {
		t.Errorf("%d tasks in a report of %d bytes, %v", len(rep.Tasks), len(body), err)
	}
}

// TestCopyOfAGuestsReport: a copy of what a guest reported says nothing of whether
// its machine lives.
func TestCopyOfAGuestsReport(t *testing.T) {
	o, m, now := oneMachine(t, false)
	guest := &machine{name: "host-000002"}
	for s, seq := range []uint64{7, 7, 6} {
		at := now.Add(time.Duration(s) * time.Second)
		o.Known(at)
		report(o, at, step.ReportIn{Req: seq, Report: reportOf(guest, 1, seq, m.fence)})
	}
	if g := o.guests[guest.name]; g == nil || g.heard != now {
		t.Errorf("copies count: %+v", g)
	}
}
