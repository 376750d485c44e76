package owner

import (
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestMalformedAnswersToCommands: what comes back for a start that was sent straight to
// a worker may be cut short, another machine's, or of a status that does not exist. It
// proves nothing: the task stays bound to its machine, until a report under a higher
// token shows that the start is void. Only a refusal, by its status, frees it at once.
func TestMalformedAnswersToCommands(t *testing.T) {
	other := func(change func(r *wire.Heartbeat)) *wire.Heartbeat {
		r := reportOf(&machine{name: "host-000009"}, 1, 90, 1<<62, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskEnded, Reason: wire.ReasonDone})
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
		o, m, now := oneMachine(t, false)
		report(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: reportOf(m, 1, 1, m.firstToken)})
		j := putArray(o, "wk-000001", "standard", 1, 1, now)
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
		if j.doneCount > 0 || m.unreachable || m.sequence != 1 {
			t.Errorf("%s: counted as a report: %d done, lost: %v, newest report %d", name, j.doneCount, m.unreachable, m.sequence)
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
