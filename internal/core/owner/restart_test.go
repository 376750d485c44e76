package owner

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestWorkerRestart guards against a worker that has come back without its token, and is taken for the
// process before: its token is raised and its list proves nothing until it shows that; nothing else
// is taken for a restart.
func TestWorkerRestart(t *testing.T) {
	const task = "wk-000001/0"
	running := wire.TaskStatus{Task: task, Attempt: 5, State: wire.TaskRunning}
	ended := wire.TaskStatus{Task: task, Attempt: 5, State: wire.TaskEnded, Reason: wire.ReasonError}
	for name, c := range map[string]struct {
		before    wire.TaskStatus // as the worker listed the attempt
		forgotten bool            // the worker was told to forget it
		byAnswer  bool            // the status comes in the answer to a direct command
		epoch     uint64
		sequence  uint64 // 20 was the last
		fallen    wire.FencingToken
		tasks     []wire.TaskStatus
		restarts  int
	}{
		"a newer heartbeat with a lower token":          {running, false, false, 1, 21, 1, nil, 1},
		"a newer heartbeat with the token":              {running, false, false, 1, 21, 0, []wire.TaskStatus{running}, 0},
		"a newer heartbeat without the attempt":         {running, false, false, 1, 21, 0, nil, 1},
		"the next agent epoch":                          {running, false, false, 2, 21, 0, nil, 0},
		"an older heartbeat with a lower token":         {running, false, false, 1, 3, 1, nil, 0},
		"an ended attempt is not listed any more":       {ended, false, false, 1, 21, 0, nil, 1},
		"an ended attempt was forgotten":                {ended, true, false, 1, 21, 0, nil, 0},
		"an answer with a lower sequence":               {running, false, true, 1, 3, 0, []wire.TaskStatus{running}, 1},
		"an answer with a higher sequence":              {running, false, true, 1, 21, 0, []wire.TaskStatus{running}, 0},
		"an answer of an earlier epoch than was known":  {running, false, true, 0, 30, 0, nil, 1},
		"an answer of the next epoch, its token is low": {running, false, true, 2, 30, 1, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			o, machines, now := newBlock(t, 1)
			m := machines[0]
			j := submitArray(o, "wk-000001", "standard", 1, 1, now)
			j.enqueue(0)
			at := now.Add(time.Second)
			send := func(epoch, sequence uint64, token wire.FencingToken, tasks ...wire.TaskStatus) []wire.HeartbeatAnswer {
				at = at.Add(time.Millisecond)
				beginCurrent(o, at)
				sendHeartbeat(o, at, eventloop.HeartbeatRequest{Req: sequence, Heartbeat: heartbeatOf(m, epoch, sequence, token, tasks...)})
				return heartbeatAnswers(o.loop.Effects())
			}
			m.noTasksBefore = at.Add(time.Hour)
			send(1, 19, m.token, running)
			token := o.fencingToken(m)
			send(1, 20, token, c.before)
			if c.before.State == wire.TaskEnded && !c.forgotten {
				m.attempts[attemptKey{task, 5}].forgetSent = false
			}
			token = m.token
			status := heartbeatOf(m, c.epoch, c.sequence, token-c.fallen, c.tasks...)
			if c.byAnswer {
				o.loop.Begin(at)
				o.sendDirect(m, wire.Commands{}, at.Add(time.Minute), func(d eventloop.Completion) { o.handleCommandResult(m, nil, d) })
				i := slices.IndexFunc(o.loop.Effects(), func(e eventloop.Effect) bool { _, ok := e.(eventloop.WorkerCommands); return ok })
				id := o.loop.Effects()[i].(eventloop.WorkerCommands).ID
				complete(o, at, eventloop.Completion{ID: id, Outcome: eventloop.Succeeded, Heartbeat: &status})
			} else {
				answers := send(c.epoch, c.sequence, token-c.fallen, c.tasks...)
				if raised := len(answers) == 1 && answers[0].Token > token; c.fallen > 0 && !raised {
					t.Errorf("answered with %+v to a worker that has shown %d", answers, token)
				}
			}
			if got := o.WorkerRestarts(); got != c.restarts {
				t.Fatalf("%d restarts, want %d", got, c.restarts)
			}
			if c.restarts == 0 {
				return
			}
			if !m.needsReconciliation || o.usable(m) || o.fencingToken(m) <= token {
				t.Errorf("not reconciled anew: usable %v, token %d after %d", o.usable(m), o.fencingToken(m), token)
			}
			if _, known := m.attempts[attemptKey{task, 5}]; !known {
				t.Error("its attempt is dropped before the raised token is shown")
			}
			send(1, 4, o.fencingToken(m))
			if m.needsReconciliation || len(j.attempts) > 0 || o.WorkerRestarts() != 1 {
				t.Errorf("not reconciled under the raised token: %d attempts, %d restarts", len(j.attempts), o.WorkerRestarts())
			}
		})
	}
}
