package owner

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestMalformedAnswersToCommands: the answer to a start that was sent by a direct command may
// be truncated, another machine's, or of an unknown status. It proves nothing: the task stays
// bound to its machine until a heartbeat under a higher token shows that the start is void.
// Only a refusal, by its status, frees the task at once.
func TestMalformedAnswersToCommands(t *testing.T) {
	other := func(change func(r *wire.Heartbeat)) *wire.Heartbeat {
		r := heartbeatOf(&machine{name: "host-000009"}, 1, 90, 1<<62, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskEnded, Reason: wire.ReasonDone})
		change(&r)
		return &r
	}
	for name, c := range map[string]struct {
		answer eventloop.Completion
		freed  bool
	}{
		"200 and nothing":           {eventloop.Completion{Outcome: eventloop.Succeeded}, false},
		"200 with an empty report":  {eventloop.Completion{Outcome: eventloop.Succeeded, Heartbeat: &wire.Heartbeat{}}, false},
		"200 with another's report": {eventloop.Completion{Outcome: eventloop.Succeeded, Heartbeat: other(func(*wire.Heartbeat) {})}, false},
		"200 with nobody's report":  {eventloop.Completion{Outcome: eventloop.Succeeded, Heartbeat: other(func(r *wire.Heartbeat) { r.Machine = "" })}, false},
		"a status of its own":       {eventloop.Completion{Outcome: "777", Heartbeat: other(func(r *wire.Heartbeat) { r.Machine = "host-000001" })}, false},
		"no answer":                 {eventloop.Completion{}, false},
		"409 and nothing":           {eventloop.Completion{Outcome: eventloop.Conflict}, true},
		"409 with another's report": {eventloop.Completion{Outcome: eventloop.Conflict, Heartbeat: other(func(*wire.Heartbeat) {})}, true},
	} {
		o, m, now := newOneMachine(t, false)
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
		j := submitArray(o, "wk-000001", "standard", 1, 1, now)
		var sent eventloop.WorkerCommands
		for _, e := range tick(o, now.Add(time.Second)) {
			if d, ok := e.(eventloop.WorkerCommands); ok && len(d.Body.Commands) > 0 {
				sent = d
			}
		}
		if len(sent.Body.Commands) != 1 {
			t.Fatalf("%s: sent %+v, want one start", name, sent.Body)
		}
		token := o.fencingToken(m)
		c.answer.ID = sent.ID
		complete(o, now.Add(1100*time.Millisecond), c.answer)
		if j.doneCount > 0 || m.unreachable() || m.sequence != 1 {
			t.Errorf("%s: counted as a report: %d done, lost: %v, newest report %d", name, j.doneCount, m.unreachable(), m.sequence)
		}
		first := false // still bound to the first start
		for _, r := range j.attempts {
			first = first || r.number == sent.Body.Commands[0].Attempt
		}
		if first == c.freed {
			t.Errorf("%s: bound to its first start: %v", name, first)
		}
		if raised := o.fencingToken(m) > token; raised == c.freed {
			t.Errorf("%s: the token is raised: %v", name, raised)
		}
	}
}

// TestForgetWaitsUntilStored: a task is completed while its job goes on. Its worker is told to
// forget it only once a page that says so is stored: if the owner crashed in between, the
// completion would be lost, and the task fetched and started again.
func TestForgetWaitsUntilStored(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	submitArray(o, "wk-000001", "standard", 2, 1, now)
	done := wire.TaskStatus{Task: "wk-000001/0", Attempt: 5, State: wire.TaskEnded, Reason: wire.ReasonDone}
	stored, writes := false, 0
	for s := 1; s < 20; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: uint64(s), Heartbeat: heartbeatOf(m, 1, uint64(s), o.fencingToken(m), done)})
		forgotten := false
		for _, e := range o.loop.Effects() {
			if r, ok := e.(eventloop.Reply); ok {
				forgotten = slices.ContainsFunc(r.Body.(wire.HeartbeatAnswer).Commands, func(c wire.Command) bool { return c.Op == wire.CommandForget })
			}
		}
		if forgotten != stored {
			t.Fatalf("after %d s, %d writes: %s is told to forget %s: %v, its completion is stored: %v", s, writes, m.name, done.Task, forgotten, stored)
		}
		for _, e := range tick(o, at.Add(300*time.Millisecond)) {
			x, ok := e.(eventloop.StateTxn)
			if !ok || len(x.Txn.Then) == 0 || !strings.HasPrefix(x.Txn.Then[0].Put, PagePrefix) {
				continue
			}
			c := eventloop.Completion{ID: x.ID, FromStateService: true} // the first write gets no answer
			if writes++; writes > 1 {
				c.Outcome, c.Txn.Revision, stored = eventloop.Succeeded, 9, true
			}
			complete(o, at.Add(600*time.Millisecond), c)
			for _, e := range o.loop.Effects() { // it is read, and not there
				if x, ok := e.(eventloop.StateGet); ok && strings.HasPrefix(x.Key, PagePrefix) {
					complete(o, at.Add(700*time.Millisecond), eventloop.Completion{ID: x.ID, FromStateService: true, Outcome: eventloop.NotFound})
				}
			}
		}
		renewLease(o)
	}
	if !stored {
		t.Error("never stored")
	}
}
