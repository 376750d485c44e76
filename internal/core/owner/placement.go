package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// Placement goes over the ready jobs in their order (order.go). For each waiting task it
//
//	filters   the machines of the block that could run it (filter.go),
//	scores    those by what the task would cost there (score.go),
//	reserves  room on the cheapest one for the rest of the round (candidate.reserve), and
//	binds     the task to it as a new attempt (bind), which is then sent to the worker.
//
// Before that each overdue job gets room for its first task (reservation.go). After it tasks
// of others are stopped for jobs that may preempt them (preemption.go).

const (
	// placeInterval spaces the rounds of placement. Heartbeats come by the hundred each
	// second on a large fleet, and one round serves them all.
	placeInterval = 100 * time.Millisecond
	// preemptInterval spaces the rounds that preempt, which go over every task on every
	// machine.
	preemptInterval = 500 * time.Millisecond
)

// placementState is what placement keeps between its rounds.
type placementState struct {
	due             bool // something has changed since the last round
	placedAt        time.Time
	preemptedAt     time.Time
	overdueLoggedAt time.Time         // for any job
	scored          []scoredCandidate // reused by scoreCandidates
}

// round is one round of placement, with what is the same for all jobs.
type round struct {
	candidates   []*candidate
	unreconciled []*machine // may run tasks that are not known here
	unknownUse   unknownUse // of those tasks; it counts against every limit
}

// candidate is a machine that tasks may be placed on, with its room as of this round.
type candidate struct {
	machine       *machine
	free          sched.Resources
	freeSoon      sched.Resources // free, with what is being stopped there
	relativePrice float64
	reservedFor   *Job // an overdue job, see reserveMachine

	stoppable       []*attempt // see stoppableAttempts
	stoppableListed bool
}

// takeRoom takes the room of a task off the candidate.
func (c *candidate) takeRoom(need sched.Resources) {
	c.free = c.free.Add(need, -1)
	c.freeSoon = c.freeSoon.Add(need, -1)
}

// placeSoon runs a round of placement if anything has changed, unless one was run a moment
// ago; then the next event or tick after placeInterval does it.
func (o *Owner) placeSoon() {
	if o.placement.due && o.loop.Now.Sub(o.placement.placedAt) >= placeInterval {
		o.placement.due, o.placement.placedAt = false, o.loop.Now
		o.place()
	}
}

// place runs a round of placement: it starts waiting tasks where there is room.
func (o *Owner) place() {
	if !o.mayStart() {
		return
	}
	jobs := o.readyJobs()
	if len(jobs) == 0 {
		return
	}
	r := o.newRound(slices.ContainsFunc(jobs, o.waitsLong))
	o.placeOverdue(r, jobs)
	maxFree := r.maxFree()
	preempts := o.takePreemptionDue()
	for _, j := range jobs {
		if o.waitsForReconciliation(j, r.unreconciled) {
			continue
		}
		if j.Record.Shape == wire.Group {
			o.placeGang(r, j)
			continue
		}
		if j.need().Fits(maxFree) && !o.placeTasks(r, j) {
			maxFree = r.maxFree()
		}
		if preempts {
			o.preempt(r, j)
		}
	}
}

// newRound returns a round over the machines that tasks may be placed on; with draining, also
// over those that the leader wants back, for jobs that have waited for long.
func (o *Owner) newRound(draining bool) *round {
	r := &round{unreconciled: o.workers.unreconciled()}
	r.unknownUse = o.maxUse(r.unreconciled)
	clear(o.quota.stopping)
	relativePrice := o.relativePrices()
	for _, m := range o.workers.machinesByName() {
		if !o.usable(m) && (!draining || !o.canRunTasks(m)) {
			continue
		}
		c := &candidate{machine: m, free: m.free(), relativePrice: relativePrice(m)}
		c.freeSoon = c.free
		for _, a := range m.attempts {
			if a.stopping && a.job != nil && !a.ended() {
				o.quota.addStopping(a.job)
				c.freeSoon = c.freeSoon.Add(a.job.need(), 1)
			}
		}
		r.candidates = append(r.candidates, c)
	}
	return r
}

// maxFree returns the most that any candidate has free of each resource. A task that needs
// more fits nowhere, which on a full fleet spares a look at every machine for every job.
func (r *round) maxFree() sched.Resources {
	var largest sched.Resources
	for _, c := range r.candidates {
		largest = sched.Resources{
			CPUs:     max(largest.CPUs, c.free.CPUs),
			GPUs:     max(largest.GPUs, c.free.GPUs),
			MemoryGB: max(largest.MemoryGB, c.free.MemoryGB),
		}
	}
	return largest
}

// placeTasks places as many of the job's waiting tasks as there is room for, and reports
// whether there was room for the first of them.
func (o *Owner) placeTasks(r *round, j *Job) bool {
	if j.Record.SamePlace || j.Record.Scatter {
		// Where the next task may go depends on where the last one went.
		waiting := len(j.queue)
		for len(j.queue) > 0 && o.placeOne(r, j) != nil {
		}
		return len(j.queue) < waiting
	}
	need, limit := j.need(), o.localLimit(j.Record.Team)
	scored := o.scoreCandidates(r, j)
	found := len(scored) > 0
	for len(j.queue) > 0 && j.mayStartAttempt() && len(scored) > 0 && r.unknownUse.allows(limit, o.quota.used[j.Record.Team], need) {
		best := cheapest(scored)
		c := scored[best].candidate
		if !o.accepts(c, j) { // any more
			scored = slices.Delete(scored, best, best+1)
			continue
		}
		c.takeRoom(need)
		o.bind(j, c.machine)
		if need.Fits(c.free) && len(c.machine.attempts) < maxAttemptsPerMachine {
			scored[best].cost = o.score(j, c)
		} else {
			scored = slices.Delete(scored, best, best+1)
		}
	}
	return found
}

// placeOne places the job's next task, if its team's limit and some machine have room for
// it.
func (o *Owner) placeOne(r *round, j *Job) *attempt {
	if !j.mayStartAttempt() || !o.limitAllows(j, r.unknownUse) {
		return nil
	}
	scored := o.scoreCandidates(r, j)
	if len(scored) == 0 {
		return nil
	}
	best := scored[cheapest(scored)].candidate
	best.takeRoom(j.need())
	return o.bind(j, best.machine)
}

// placeGang places all waiting tasks of a gang or none: a part of it would only hold room
// while it waits for the rest. All carry the same attempt number, by which the workers know
// which tasks belong together. So when one is missing the others are stopped, and the gang
// starts again as a whole.
func (o *Owner) placeGang(r *round, j *Job) {
	if len(j.attempts) > 0 {
		for _, a := range j.attempts {
			o.halt(a)
		}
		return
	}
	before := make([]candidate, len(r.candidates))
	for i, c := range r.candidates {
		before[i] = *c
	}
	var placed []*attempt
	for len(j.queue) > 0 {
		a := o.placeOne(r, j)
		if a == nil {
			o.undoGang(placed)
			for i, c := range r.candidates {
				*c = before[i]
			}
			return
		}
		placed = append(placed, a)
	}
	for _, a := range placed {
		delete(a.machine.attempts, a.key())
		a.number = placed[0].number
		a.machine.attempts[a.key()] = a
	}
}

// undoGang removes the attempts of a gang that has no room for all of its tasks.
func (o *Owner) undoGang(placed []*attempt) {
	for _, a := range placed {
		o.dropAttempt(a, startNotSent)
		o.updateIdle(a.machine)
	}
}

// bind binds the job's next task to a machine, as an attempt that is sent to the worker as
// soon as possible. Attempt numbers carry the grant, so they never repeat, not even after a
// restart.
func (o *Owner) bind(j *Job, m *machine) *attempt {
	i := j.queue[0]
	j.queue = j.queue[1:]
	j.waitSince = o.loop.Now
	o.runTimes.statsOf(j.Record.Class).lastStart = o.loop.Now
	o.quota.lastStart[j.Record.Team] = o.loop.Now
	if !j.started {
		j.started = true
		o.Served.Started(&j.Record.Job, j.age(o.loop.Now))
	}
	a := &attempt{
		job:     j,
		index:   i,
		task:    taskName(j.Record.ID, i),
		number:  o.blockLease.Attempt(),
		machine: m,
		state:   attemptQueued,
	}
	m.attempts[a.key()] = a
	j.attempts[i] = a
	o.countUse(a, o.startReason(j.Record.Team))
	m.recordImage(j.Record.Image, j.Record.ImageGB, o.view.MachineTypes[m.machineType].CacheGB, false)
	m.idleSince = time.Time{}
	o.workers.markUrgent(m)
	o.log.Debug("placed", "task", a.task, "attempt", a.number, "machine", m.name)
	return a
}
