package owner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

func oneMachine(t *testing.T, old bool) (*Owner, *machine, time.Time) {
	t.Helper()
	b := wire.Block{Grant: 1 << 18, Incarnation: 7}
	if names := (wire.NameSet{"host-000001"}); old {
		b.Unreconciled = names
	} else {
		b.Machines = names
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": b}, Partitions: map[string]string{"free": "n0"}})
	mayStart(o)
	return o, o.workers.machines["host-000001"], now
}

// putArray accepts an array.
func putArray(o *Owner, id, priority string, tasks int, cpus float64, at time.Time) *Job {
	o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus, Spot: true},
		SubmittedAtMs: at.UnixMilli()}, RecordInfo{Version: 6})
	return o.jobs[id]
}

func reportOf(m *machine, session, seq, token uint64, tasks ...wire.TaskStatus) wire.Heartbeat {
	return wire.Heartbeat{Machine: m.name, Endpoint: "e", Type: "s4", Zone: "x", AgentEpoch: session, Sequence: seq, Token: token, Tasks: tasks}
}

// TestLateCopyProvesNothing has a controller that has just taken a machine over
// get a copy of a report from before: it must renew no life, make no room, and
// complete, fail or bind no task. The same for a copy that is older than the
// newest report known.
func TestLateCopyProvesNothing(t *testing.T) {
	for _, old := range []bool{true, false} {
		o, m, now := oneMachine(t, old)
		j := putArray(o, "wk-000001", "standard", 3, 1, now)
		tasks := []wire.TaskStatus{{Task: "wk-000001/0", Attempt: 5, State: wire.TaskEnded, Reason: wire.ReasonDone},
			{Task: "wk-000001/1", Attempt: 6, State: wire.TaskRunning}}
		heard := m.lastHeartbeat
		report(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 90, m.firstToken-1, tasks...)})
		if m.lastHeartbeat != heard || m.agentEpoch != 0 || o.usable(m) || j.doneCount > 0 || len(j.attempts) > 0 || len(m.attempts) > 0 || m.needsReconciliation != old {
			t.Errorf("taken over: %v: the copy counted: %+v, %d done, %d runs", old, m, j.doneCount, len(j.attempts))
		}
		report(o, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: reportOf(m, 1, 95, m.firstToken)})
		if !m.acknowledges() || m.sequence != 95 || m.needsReconciliation {
			t.Fatalf("a report that shows the token does not count: %+v", m)
		}
		runs := len(j.attempts)
		heard = m.lastHeartbeat
		report(o, now.Add(3*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: reportOf(m, 1, 94, m.firstToken, tasks...)})
		if m.lastHeartbeat != heard || j.doneCount > 0 || len(j.attempts) != runs {
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

// TestDeafMachineIsLost lets a machine report on and on while no command reaches
// it. Its reports must not make it alive or give it room; once it shows the
// raised token it is as good as before.
func TestDeafMachineIsLost(t *testing.T) {
	for _, recovers := range []bool{false, true} {
		o, m, now := oneMachine(t, false)
		report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, m.firstToken)})
		putArray(o, "wk-000001", "standard", 1, 1, now)
		token := m.token
		for s := 1; s < 30; s++ {
			at := now.Add(time.Duration(s) * time.Second)
			o.ChangesKnown(o.view.LeaseVersion, at)
			for _, e := range tick(o, at) {
				if d, ok := e.(eventloop.WorkerCommands); ok {
					complete(o, at.Add(500*time.Millisecond), eventloop.Completion{ID: d.ID}) // no answer
				}
			}
			if recovers && s > 8 {
				token = o.fencingToken(m)
			}
			report(o, at.Add(600*time.Millisecond), eventloop.HeartbeatRequest{Req: uint64(s), Heartbeat: reportOf(m, 1, uint64(10+s), token)})
			if s == 4 && o.usable(m) {
				t.Error("has room though it did not answer a command")
			}
			mayStart(o)
		}
		if m.unreachable == recovers {
			t.Errorf("hears again: %v, given up: %v", recovers, m.unreachable)
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
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	mayStart(o)
	// One machine has an error against it already, and the first errors of the
	// mistaken job, before it is known for one, must not be the second.
	o.workers.machines[names[0]].failedTasks = map[string]bool{"wk-000009/1": true}
	mistaken := putArray(o, "wk-000001", "standard", 40, 1, now)
	why, most := wire.ReasonError, 0
	seq := uint64(0)
	for s := range 160 {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		mayStart(o)
		for _, name := range names {
			m := o.workers.machines[name]
			var tasks []wire.TaskStatus
			for _, key := range sortedAttempts(m) {
				tasks = append(tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: why})
			}
			seq++
			report(o, at, eventloop.HeartbeatRequest{Req: seq, Heartbeat: reportOf(m, 1, seq, o.fencingToken(m), tasks...)})
		}
		for _, name := range names {
			if o.workers.machines[name].quarantined {
				t.Fatalf("%s is set aside for a mistaken job after %d s", name, s)
			}
		}
		tick(o, at.Add(200*time.Millisecond))
		if s > 10 && s < 70 {
			most = max(most, len(mistaken.attempts))
		}
		if s == 70 {
			if !mistaken.likelyFaulty() || most == 0 || most > maxFaultyJobAttempts {
				t.Fatalf("at most %d attempts at once, doubtful: %v", most, mistaken.likelyFaulty())
			}
			why = wire.ReasonDone
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
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		mayStart(o)
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
		report(o, at, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, uint64(s+1), m.firstToken, tasks...)})
		tick(o, at.Add(200*time.Millisecond))
		if wide.started {
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
	lease := config.Seconds(o.view.Settings.Cluster.Workers.LeaseS)
	at := now.Add(5 * time.Second) // it has just given its owner up
	kept, seq, stays := now, uint64(0), 0
	for at.Sub(now) < 20*time.Second {
		o.view.Peers["n1"].LastFrame = at
		o.ChangesKnown(o.view.LeaseVersion, at)
		o.loop.Begin(at)
		seq++
		o.HandleHeartbeat(eventloop.HeartbeatRequest{Req: seq, Heartbeat: reportOf(&machine{name: "host-000001"}, 1, seq, 1<<42)})
		reply := o.loop.Effects()[0].(eventloop.Reply)
		if at.Sub(kept) > lease {
			t.Fatalf("its lease ends after %v", at.Sub(now))
		}
		if reply.Code == eventloop.ReplyOK {
			kept = at
			stays++
			at = at.Add(config.Seconds(o.view.Settings.Cluster.Workers.ReportS))
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
	rep := reportOf(m, 1, 1, m.firstToken)
	for range 8 {
		report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: rep})
		rep.Sequence, rep.Tasks = rep.Sequence+1, nil
		for _, key := range sortedAttempts(m) {
			rep.Tasks = append(rep.Tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: wire.ReasonDone})
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
		o.ChangesKnown(o.view.LeaseVersion, at)
		report(o, at, eventloop.HeartbeatRequest{Req: seq, Heartbeat: reportOf(guest, 1, seq, m.firstToken)})
	}
	if g := o.workers.foreign[guest.name]; g == nil || g.lastHeartbeat != now {
		t.Errorf("copies count: %+v", g)
	}
}

// answers are the tokens and commands with which reports were answered.
func answers(effects []eventloop.Effect) (out []wire.HeartbeatAnswer) {
	for _, e := range effects {
		if r, ok := e.(eventloop.Reply); ok && r.Code == eventloop.ReplyOK {
			out = append(out, r.Body.(wire.HeartbeatAnswer))
		}
	}
	return out
}

// TestOverdueCommandIsVoid has a controller stand still after it has sent a start
// straight to a worker. It reads the worker's report before it learns that the
// command had no answer: the report's answer has to make the command void, as it
// keeps the session alive in which it may yet arrive. And until the worker has shown
// the raised token nothing more is started by a command of its own.
func TestOverdueCommandIsVoid(t *testing.T) {
	o, m, now := oneMachine(t, false)
	report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, m.firstToken)})
	putArray(o, "wk-000001", "standard", 1, 1, now)
	var sent eventloop.WorkerCommands
	for _, e := range tick(o, now.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok {
			sent = d
		}
	}
	if len(sent.Body.Commands) != 1 {
		t.Fatalf("sent %+v, want one start", sent.Body)
	}
	at := now.Add(12 * time.Second)
	o.ChangesKnown(o.view.LeaseVersion, at)
	mayStart(o)
	report(o, at, eventloop.HeartbeatRequest{Req: 2, Heartbeat: reportOf(m, 1, 5, m.firstToken)})
	got := answers(o.loop.Effects())
	if len(got) != 1 || got[0].Token <= sent.Body.Token {
		t.Errorf("answered with %+v after a command with token %d", got, sent.Body.Token)
	}
	complete(o, at, eventloop.Completion{ID: sent.ID})
	j := putArray(o, "wk-000002", "standard", 1, 1, at)
	o.loop.Begin(at)
	o.bind(j, m)
	m.noCommandsBefore = time.Time{}
	for _, e := range tick(o, at.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok && len(d.Body.Commands) > 0 {
			t.Errorf("%+v sent to a machine that may not hear", d.Body)
		}
	}
	report(o, at.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: reportOf(m, 1, 9, o.fencingToken(m))})
	if !m.acknowledges() {
		t.Error("shows the raised token, and does not count as one that hears")
	}
}

// TestRaisedTokenIsFollowed: another controller has kept a machine of this one's
// block and raised its token. Within the grant its holder goes on from there; a
// token of a later grant says that somebody else has taken over.
func TestRaisedTokenIsFollowed(t *testing.T) {
	o, m, now := oneMachine(t, false)
	report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, m.firstToken)})
	raised := m.firstToken + 3
	report(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: reportOf(m, 1, 8, raised)})
	if got := answers(o.loop.Effects()); len(got) != 1 || got[0].Token < raised || len(o.workers.foreign) > 0 || !m.acknowledges() {
		t.Errorf("answered with %+v, guests %d", got, len(o.workers.foreign))
	}
	report(o, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 3, Heartbeat: reportOf(m, 1, 9, m.firstToken+1<<24)})
	if len(o.workers.foreign) != 1 {
		t.Error("a token of a later grant does not make it a guest")
	}
}

// TestGuestsTokenIsRaised: with the first answer, when the worker has dealt with
// others in between, and every now and then, but not with every answer; and not for an
// owner that would take the machine for lost.
func TestGuestsTokenIsRaised(t *testing.T) {
	for _, follows := range []bool{true, false} {
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n1": {Grant: 5, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}, Partitions: map[string]string{"free": "n1"}})
		o.view.Peers["n1"].AcceptsRaisedTokens = follows
		first := uint64(5 << 24)
		token, seq := first, uint64(10)
		for i, c := range []struct {
			after  time.Duration
			skips  uint64
			raised bool
		}{{0, 0, true}, {time.Second, 0, false}, {time.Second, 0, false}, {time.Second, 1, true},
			{time.Second, 0, false}, {tokenRaiseInterval - time.Second, 0, true}, {time.Second, 0, false}} {
			now = now.Add(c.after)
			o.ChangesKnown(o.view.LeaseVersion, now)
			seq += 1 + c.skips
			report(o, now, eventloop.HeartbeatRequest{Req: uint64(i), Heartbeat: wire.Heartbeat{Machine: "host-000001", Type: "s4", AgentEpoch: 1, Sequence: seq, Token: token}})
			got := answers(o.loop.Effects())
			if len(got) != 1 {
				t.Fatalf("follows %v, report %d: answers %+v", follows, i, got)
			}
			if raised := got[0].Token > token; raised != (c.raised && follows) {
				t.Errorf("follows %v, report %d: token %d after %d", follows, i, got[0].Token-first, token-first)
			}
			token = got[0].Token
		}
	}
}

// TestStartsNeedFreshness: the block lease is renewed by the leader's word while this
// controller has not seen for long what was cancelled elsewhere. It may start nothing.
func TestStartsNeedFreshness(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		o, m, now := oneMachine(t, false)
		at := now.Add(30 * time.Second)
		if fresh {
			o.ChangesKnown(o.view.LeaseVersion, at)
		}
		o.loop.Begin(at)
		mayStart(o)
		j := putArray(o, "wk-000001", "standard", 1, 1, now)
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
			t.Errorf("fresh: %v, %d starts, %d runs", fresh, starts, len(j.attempts))
		}
	}
}

// TestMuteMachineIsAskedNowAndThen: a machine reaches no controller but answers when it
// is asked. It stays silent by that, and must not be asked again with each answer: where
// many are mute that takes the whole processor.
func TestMuteMachineIsAskedNowAndThen(t *testing.T) {
	o, m, now := oneMachine(t, false)
	report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, o.fencingToken(m))})
	asked, seq := 0, uint64(1)
	for ms := 100; ms <= 12000; ms += 100 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		o.ChangesKnown(o.view.LeaseVersion, at)
		effects := tick(o, at)
		mayStart(o)
		for n := 0; len(effects) > 0 && n < 100; n++ { // answers that come at once
			e := effects[0]
			effects = effects[1:]
			if d, ok := e.(eventloop.WorkerCommands); ok {
				asked, seq = asked+1, seq+1
				r := reportOf(m, 1, seq, d.Body.Token)
				complete(o, at, eventloop.Completion{ID: d.ID, Outcome: eventloop.Succeeded, Heartbeat: &r})
				effects = append(effects, o.loop.Effects()...)
			}
		}
	}
	if asked == 0 || asked > 12 {
		t.Errorf("asked %d times in 12 s", asked)
	}
}

// TestStartsCarryAShownToken: the block gets a new grant while a machine of it has shown a
// token of the one before only. Whoever keeps the machine raises what it has shown, so a
// start that is held on its way must not carry more than that.
func TestStartsCarryAShownToken(t *testing.T) {
	o, m, now := oneMachine(t, false)
	report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, m.firstToken)})
	b := o.view.Lease.Blocks["n0"]
	b.Grant++
	o.view.Lease.Blocks["n0"] = b
	mayStart(o)
	o.ApplyBlock(b)
	if o.fencingToken(m) <= m.token {
		t.Fatalf("the new grant's token is %d, shown is %d", o.fencingToken(m), m.token)
	}
	putArray(o, "wk-000001", "urgent", 1, 1, now)
	starts := 0
	for _, e := range tick(o, now.Add(time.Second)) {
		if d, ok := e.(eventloop.WorkerCommands); ok {
			starts++
			if d.Body.Token > m.token {
				t.Errorf("a start with token %d, shown is %d", d.Body.Token, m.token)
			}
		}
	}
	if starts == 0 {
		t.Error("nothing is started")
	}
}
