package owner

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestEndedAttemptListedAlive guards against an attempt that runs on though it has ended in the books: it
// is halted where its task is not to run there, and counts where it may.
func TestEndedAttemptListedAlive(t *testing.T) {
	for name, c := range map[string]struct {
		reason    string // with which the attempt ended
		beside    func(o *Owner, j *Job, other *machine)
		goesOn    bool
		wantCount float64
	}{
		"the task waits":   {wire.ReasonError, func(*Owner, *Job, *machine) {}, true, 1},
		"it is completed":  {wire.ReasonDone, func(*Owner, *Job, *machine) {}, false, 0},
		"it was moved":     {wire.ReasonError, func(o *Owner, j *Job, other *machine) { o.bind(j, other) }, false, 1},
		"the job is over":  {wire.ReasonError, func(_ *Owner, j *Job, _ *machine) { j.Ended = true }, false, 0},
		"the job is gone":  {wire.ReasonError, func(o *Owner, j *Job, _ *machine) { j.Ended = true; delete(o.jobs, j.Record.ID) }, false, 0},
		"it was cancelled": {wire.ReasonStopped, func(_ *Owner, j *Job, _ *machine) { j.Ended = true }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			o, machines, now := newBlock(t, 2)
			m := machines[0]
			at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
			report := func(s int, state, reason string) []wire.HeartbeatAnswer {
				beginCurrent(o, at(s))
				sendHeartbeat(o, at(s), eventloop.HeartbeatRequest{Req: uint64(s), Heartbeat: heartbeatOf(m, 1, uint64(1+s), o.fencingToken(m),
					wire.TaskStatus{Task: "wk-000001/0", Attempt: 5, State: state, Reason: reason})})
				return heartbeatAnswers(o.loop.Effects())
			}
			j := submitArray(o, "wk-000001", "standard", 2, 1, now)
			j.enqueue(0)
			report(1, wire.TaskRunning, "")
			m.noTasksBefore, machines[1].noTasksBefore = at(100), at(100) // nothing is placed by itself
			report(2, wire.TaskEnded, c.reason)
			c.beside(o, j, machines[1])
			answers := report(3, wire.TaskRunning, "")
			if len(answers) != 1 {
				t.Fatalf("%d answers", len(answers))
			}
			halted := slices.ContainsFunc(answers[0].Commands, func(x wire.Command) bool { return x.Op == wire.CommandHalt && x.Attempt == 5 })
			if halted == c.goesOn {
				t.Errorf("halted: %v, commands %v", halted, answers[0].Commands)
			}
			if use := o.quota.used["free"].CPUs; use != c.wantCount {
				t.Errorf("%v CPUs count, want %v", use, c.wantCount)
			}
			if m.mayRunUnknownTasks() == c.goesOn {
				t.Errorf("counts as a machine with unknown tasks: %v", !c.goesOn)
			}
			if got := o.EndedAttemptsListedAlive(); got != 1 {
				t.Errorf("%d ended attempts listed alive, want 1", got)
			}
		})
	}
}
