package owner

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/wire"
)

// attemptState is the state of an attempt.
//
//	queued → sent                  the start is sent to the worker
//	sent → as the worker reports   fetching, gathering, running, flushing, ended
//	queued, sent → dropped         the start will certainly never be executed
//	any reported → dropped         the worker has forgotten it, or its agent epoch has ended
type attemptState string

const (
	attemptQueued   attemptState = "queued" // bound to a machine, its start not yet sent
	attemptSent     attemptState = ""       // its start is sent, the worker has not reported it
	attemptRunning  attemptState = wire.TaskRunning
	attemptFlushing attemptState = wire.TaskFlushing
	attemptEnded    attemptState = wire.TaskEnded
)

// attempt is one try at a task on one machine.
type attempt struct {
	job     *Job // nil: the task belongs to no job known here, and is to be halted
	index   int  // of the task in its job
	task    string
	number  uint64
	machine *machine

	state      attemptState
	reported   bool // the worker has reported it
	stopping   bool // it is to be halted
	forgetSent bool // the worker was told to forget it
	counted    bool // in what its team uses

	delivery startDelivery

	startedAt time.Time
}

// attemptKey identifies an attempt on a machine.
type attemptKey struct {
	task   string
	number uint64
}

func (a *attempt) key() attemptKey { return attemptKey{a.task, a.number} }

// ended reports whether the worker has reported the end of the attempt.
func (a *attempt) ended() bool { return a.state == attemptEnded }

// sortedAttempts returns the keys of a machine's attempts, oldest first.
func sortedAttempts(m *machine) []attemptKey {
	keys := make([]attemptKey, 0, len(m.attempts))
	for k := range m.attempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.task, b.task))
	})
	return keys
}

// adoptAttempt takes up an attempt that the worker reports and that is not known here: one
// that an earlier owner started, or one that belongs to no job known here or is superseded,
// which is then halted.
func (o *Owner) adoptAttempt(m *machine, t *wire.TaskStatus) *attempt {
	a := &attempt{task: t.Task, number: t.Attempt, machine: m, stopping: true, startedAt: o.loop.Now}
	if wire.FencingToken(t.Attempt).Grant() >= m.firstToken.Grant() {
		a.delivery = byCommand(o.fencingToken(m)) // this controller has sent it, and does not know how any more
	}
	m.attempts[a.key()] = a
	id, i, ok := splitTask(t.Task)
	j := o.jobs[id]
	if !ok || j == nil || j.attempts == nil || i >= j.Record.Tasks {
		return a
	}
	a.index = i
	if t.State == wire.TaskEnded {
		a.job = j
		return a
	}
	if other := j.attempts[i]; j.Ended || j.isDone(i) || other != nil {
		if other != nil {
			o.log.Error("task is on two machines", "task", t.Task, "machine", m.name, "other", other.machine.name)
		}
		return a
	}
	a.job, a.stopping, j.started = j, false, true
	j.attempts[i] = a
	o.countUse(a, attemptWasRunning)
	j.dequeue(i)
	return a
}

// adoptListedAlive takes up an attempt anew that the worker lists alive though it had ended. Only its
// start, executed once more, can have done that.
func (o *Owner) adoptListedAlive(ended *attempt, t *wire.TaskStatus, hb *wire.Heartbeat) *attempt {
	m := ended.machine
	o.workers.endedListedAlive++
	o.log.Error("ended attempt is listed alive", "task", t.Task, "attempt", t.Attempt, "machine", m.name, "state", t.State,
		"token", hb.Token, "way", ended.delivery.state.String(), "start_token", ended.delivery.token, "epoch", hb.AgentEpoch)
	delete(m.attempts, ended.key())
	a := o.adoptAttempt(m, t)
	if a.stopping {
		o.workers.markUrgent(m)
	}
	return a
}

// detach takes an attempt that is certainly not running, for this reason, off its job. The
// task waits again if it is not completed.
func (o *Owner) detach(a *attempt, reason uncountReason) {
	o.uncountUse(a, reason)
	j := a.job
	if j == nil || j.attempts[a.index] != a {
		return
	}
	delete(j.attempts, a.index)
	if !j.Ended && !j.isDone(a.index) && j.ready() {
		j.enqueue(a.index)
		if len(j.queue) == 1 {
			j.waitSince = o.loop.Now
		}
	}
	o.placement.due = true
	if j.Ended && len(j.attempts) == 0 {
		delete(o.jobs, j.Record.ID)
	}
}

// dropAttempt removes an attempt that is certainly not running, for this reason.
func (o *Owner) dropAttempt(a *attempt, reason uncountReason) {
	delete(a.machine.attempts, a.key())
	o.detach(a, reason)
}

// halt marks an attempt to be stopped, by a command that does not wait for a heartbeat.
func (o *Owner) halt(a *attempt) {
	a.stopping = true
	o.workers.markUrgent(a.machine)
}

// handleAttemptEnd applies the reported end of an attempt. The entry stays until the worker
// has forgotten it.
func (o *Owner) handleAttemptEnd(a *attempt, t *wire.TaskStatus) {
	j, m := a.job, a.machine
	if j == nil {
		return
	}
	switch t.Reason {
	case wire.ReasonDone:
		if j.attempts != nil && j.Record.Shape != wire.Daemon {
			o.markDone(j, a.index)
			o.recordRunTime(a)
		}
		clear(m.failedTasks)
		j.failures, j.failedOn = 0, nil
	case wire.ReasonError:
		o.recordFailure(a)
	case wire.ReasonNoRoom, wire.ReasonInUse:
		m.noTasksBefore = o.loop.Now.Add(rejectedTaskBackoff)
	case wire.ReasonUnknown:
		j.retryAt = o.loop.Now.Add(rejectedTaskBackoff)
	}
	o.detach(a, attemptReportedEnded)
	if j.doneCount == j.Record.Tasks {
		o.storeJobEnds()
	}
}

// rejectedTaskBackoff is how long a machine gets no tasks after it had no room for one, and
// how long a job waits after a worker did not know of it.
const rejectedTaskBackoff = 2 * time.Second
