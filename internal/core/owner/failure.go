package owner

import "time"

// A task that fails may be the fault of its machine or of its job. A job that fails on
// several machines, without any of its tasks completing, is taken to be faulty itself: it
// backs off and counts against no machine. A machine on which tasks of several jobs fail is
// quarantined: nothing more is placed on it, and the leader returns it.

const (
	// faultyJobMachines is on how many machines a job has to fail, without any of its
	// tasks completing there or elsewhere, to be likely faulty.
	faultyJobMachines = 3
	// maxFaultyJobAttempts bounds the attempts of such a job at a time: its user may still
	// correct it, but a hundred tasks that fail at once waste room, images and messages.
	maxFaultyJobAttempts = 2
	// quarantineAfter is how many errors, each of another task or faulty job, quarantine a
	// machine.
	quarantineAfter = 2
	// maxFailureBackoff bounds the doubling wait between the attempts of a faulty job,
	// which begins with a second.
	maxFailureBackoff = time.Minute
)

// likelyFaulty reports whether the job, rather than the machines, seems to be faulty.
func (j *Job) likelyFaulty() bool { return len(j.failedOn) >= faultyJobMachines }

// mayStartAttempt reports whether one more attempt at the job may be made now.
func (j *Job) mayStartAttempt() bool {
	return !j.likelyFaulty() || len(j.attempts) < maxFaultyJobAttempts
}

// startableTasks returns how many of the job's waiting tasks count as waiting work.
func (j *Job) startableTasks() int {
	if j.likelyFaulty() {
		return min(len(j.queue), max(0, maxFaultyJobAttempts-len(j.attempts)))
	}
	return len(j.queue)
}

// recordFailure applies the error of an attempt to its job and its machine.
func (o *Owner) recordFailure(a *attempt) {
	j, m := a.job, a.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	j.failures++
	if j.likelyFaulty() && j.doneCount == 0 {
		j.retryAt = o.loop.Now.Add(min(maxFailureBackoff, time.Second<<min(j.failures, 6)))
		o.withdrawFailures(j)
		return
	}
	if m.failedTasks == nil {
		m.failedTasks = map[string]bool{}
	}
	// A job none of whose tasks has ever completed counts once: the fault may be its own.
	if j.doneCount > 0 {
		m.failedTasks[a.task] = true
	} else {
		m.failedTasks[j.Record.ID] = true
	}
	if len(m.failedTasks) >= quarantineAfter && !m.quarantined {
		m.quarantined = true
		o.blockLease.RequestRenewal()
		o.log.Info("machine quarantined", "machine", m.name, "errors", len(m.failedTasks))
	}
}

// withdrawFailures removes the failures of a faulty job from the machines' counts.
func (o *Owner) withdrawFailures(j *Job) {
	for name := range j.failedOn {
		if m := o.workers.machines[name]; m != nil {
			delete(m.failedTasks, j.Record.ID)
			m.quarantined = m.quarantined && len(m.failedTasks) >= quarantineAfter
		}
	}
}
