package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// The order of package sched may pass a job over for as long as others keep coming: one of
// low priority, of a team without a guarantee, one that misses its objectives whatever is
// done, or one whose tasks need more than small ones ever leave free. So a job of which
// nothing was started for long is overdue: its first task goes before everything else, and
// where it fits nowhere a machine is reserved for it. That is one task a job; all others
// follow in their order, and nothing is stopped for it that the rules of preemption do not
// allow.

const (
	// maxOverdueAfter bounds the wait whatever the settings say: users expect even the
	// largest jobs to begin within four minutes.
	maxOverdueAfter = 150 * time.Second
	// maxReservedFraction is the part of the block that is reserved at a time.
	maxReservedFraction = 0.05
	// exclusiveFor is for how long a machine is reserved against everybody: what was
	// overdue when that began should have begun by then, see maxOverdueAfter.
	exclusiveFor = time.Minute
	// maxWaitBeside is how long a job may wait beside a machine that is reserved for longer
	// than that, or that the leader wants back.
	maxWaitBeside = time.Minute
	// overdueLogInterval spaces the log lines for one overdue job, overdueLogGap those for
	// any.
	overdueLogInterval = 30 * time.Second
	overdueLogGap      = time.Second
)

// overdueAfter returns how long nothing of a job may have been started: the time in which a
// block changes hands and the slowest machines come, if they ever do.
func (o *Owner) overdueAfter() time.Duration {
	slowest := 0.0
	for _, t := range o.view.MachineTypes {
		slowest = max(slowest, t.BootS)
	}
	return min(maxOverdueAfter, o.view.Params.LeaseDuration+config.Seconds(cluster.BootTimeoutFactor*slowest))
}

// overdue reports whether nothing of the job was started for too long.
func (o *Owner) overdue(j *Job) bool {
	return j.doneCount == 0 && len(j.attempts) == 0 && len(j.queue) > 0 && !j.likelyFaulty() &&
		j.age(o.loop.Now) > o.overdueAfter()
}

// waitsLong reports whether no task of the job was started for maxWaitBeside.
func (o *Owner) waitsLong(j *Job) bool { return o.loop.Now.Sub(j.waitSince) > maxWaitBeside }

// reservationShared reports whether a machine has been reserved for the job for so long that
// others may use it too.
func (o *Owner) reservationShared(j *Job) bool {
	return o.loop.Now.Sub(j.reservedSince) > exclusiveFor
}

// reservations returns the overdue jobs by the machines that are reserved for them.
func (o *Owner) reservations() map[string]*Job {
	reserved := map[string]*Job{}
	for _, j := range o.jobs {
		if j.reservedMachine != "" && o.Owns(j) && o.overdue(j) {
			reserved[j.reservedMachine] = j
		}
	}
	return reserved
}

// placeOverdue places the first task of each overdue job, or reserves a machine for it.
func (o *Owner) placeOverdue(r *round, jobs []*Job) {
	overdue := o.overdueJobs(r, jobs)
	if len(overdue) == 0 {
		return
	}
	room := max(1, int(maxReservedFraction*float64(len(r.candidates))))
	room -= o.keepEarlierReservations(r, overdue)
	// Hundreds of small jobs may be overdue at once on a full fleet.
	maxFree := r.maxFree()
	for _, j := range overdue {
		if j.need().Fits(maxFree) {
			if o.placeOne(r, j) != nil {
				continue
			}
			maxFree = r.maxFree()
		}
		if o.reserveMachine(r, j, room > 0) {
			room--
		}
	}
}

// overdueJobs returns the overdue jobs whose first task may be started.
func (o *Owner) overdueJobs(r *round, jobs []*Job) []*Job {
	var overdue []*Job
	for _, j := range jobs {
		// A gang begins as a whole.
		if j.Record.Shape == wire.Group || !o.overdue(j) || o.waitsForReconciliation(j, r.unreconciled) {
			continue
		}
		if !o.limitAllows(j, r.unknownUse) {
			o.logOverdue(j, "team limit reached")
			continue
		}
		overdue = append(overdue, j)
	}
	return overdue
}

// keepEarlierReservations reserves the machines that were reserved in earlier rounds and returns
// how many those are. Of several jobs for the same machine it is the first.
func (o *Owner) keepEarlierReservations(r *round, overdue []*Job) int {
	reserved := map[string]*Job{}
	for _, j := range overdue {
		if j.reservedMachine != "" && reserved[j.reservedMachine] == nil {
			reserved[j.reservedMachine] = j
		}
	}
	n := 0
	for _, c := range r.candidates {
		if j := reserved[c.machine.name]; j != nil && o.feasible(j, c.machine) && j.need().Fits(c.machine.eventualRoom()) {
			c.reservedFor = j
			n++
		}
	}
	return n
}

// reserveMachine reserves a machine for an overdue job that has none, if allowed: nothing
// else is placed there until the job's task fits. Of the machines on which the task will fit
// once everything that ends has ended it is the one with most room: on another the job would
// wait for ever, and nobody else get that room. It reports whether a machine was reserved.
func (o *Owner) reserveMachine(r *round, j *Job, allowed bool) bool {
	var best *candidate
	for _, c := range r.candidates {
		if c.reservedFor == j {
			return false
		}
		if o.reservable(c, j) && (best == nil || c.hasMoreRoom(best)) {
			best = c
		}
	}
	if !allowed {
		o.logOverdue(j, "reservation limit reached")
		return false
	}
	if best == nil {
		o.logOverdue(j, "no machine of the block is large enough")
		return false
	}
	best.reservedFor = j
	if j.reservedMachine != best.machine.name {
		j.reservedMachine, j.reservedSince = best.machine.name, o.loop.Now
	}
	o.logOverdue(j, "no room; reserved machine "+best.machine.name)
	return true
}

// reservable reports whether a candidate may be reserved for the job.
func (o *Owner) reservable(c *candidate, j *Job) bool {
	m := c.machine
	return c.reservedFor == nil && !m.draining() && j.need().Fits(m.eventualRoom()) && o.feasible(j, m)
}

// hasMoreRoom reports whether the candidate has more room than another.
func (c *candidate) hasMoreRoom(other *candidate) bool {
	return c.free.CPUs > other.free.CPUs || (c.free.CPUs == other.free.CPUs && c.free.MemoryGB > other.free.MemoryGB)
}

// logOverdue logs, now and then, that an overdue job was passed over, and the reason.
func (o *Owner) logOverdue(j *Job, reason string) {
	if o.loop.Now.Sub(j.overdueLoggedAt) < overdueLogInterval || o.loop.Now.Sub(o.placement.overdueLoggedAt) < overdueLogGap {
		return
	}
	j.overdueLoggedAt, o.placement.overdueLoggedAt = o.loop.Now, o.loop.Now
	o.log.Info("job overdue", "job", j.Record.ID, "class", j.Record.Class, "team", j.Record.Team, "tasks", j.Record.Tasks,
		"duration", j.age(o.loop.Now).Round(time.Second), "reason", reason)
}
