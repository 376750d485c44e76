package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// The order of package sched may pass a job over for as long as others keep
// coming: one of low priority, of a team without a guarantee, one that misses its
// aims whatever is done, or one whose tasks need more than small ones ever leave
// free. So a job of which nothing has begun for long is overdue: its first task
// goes before all else, and where it fits nowhere room is kept for it. That is
// one task a job; all others follow in their order, and nothing is stopped for
// it that the rules of preemption do not allow.

const (
	// overdueMost bounds the wait whatever the settings say: users expect even
	// the largest jobs to begin within four minutes.
	maxOverdueAfter = 150 * time.Second
	// keptShare is the part of the block on which room is kept at a time.
	maxReservedFraction = 0.05
	// passedEvery spaces what is logged of a job that is passed over, passedGap
	// what is logged of any.
	overdueLogInterval = 30 * time.Second
	overdueLogGap      = time.Second
)

// overdueAfter is how long nothing of a job may have begun: the time in which a
// block changes hands and the slowest machines come, if they ever do.
func (o *Owner) overdueAfter() time.Duration {
	slowest := 0.0
	for _, t := range o.view.MachineTypes {
		slowest = max(slowest, t.BootS)
	}
	return min(maxOverdueAfter, o.view.Params.LeaseDuration+config.Seconds(cluster.BootTimeoutFactor*slowest))
}

// overdue tells whether nothing of the job has begun for too long.
func (o *Owner) overdue(j *Job) bool {
	return j.doneCount == 0 && len(j.attempts) == 0 && len(j.queue) > 0 && !j.likelyFaulty() &&
		j.age(o.loop.Now) > o.overdueAfter()
}

const (
	// keptAlone is for how long room is kept against everybody: what was overdue when it
	// began to be kept should have begun by then, see overdueMost.
	exclusiveFor = time.Minute
	// besideMost is how long a job may wait beside room that is kept for longer than that,
	// or on a machine that the leader wants back.
	maxWaitBeside = time.Minute
)

// waitsLong tells whether nothing of the job has been started for besideMost.
func (o *Owner) waitsLong(j *Job) bool { return o.loop.Now.Sub(j.waitSince) > maxWaitBeside }

// keptLong tells whether room is kept for the job for so long that others may have it.
func (o *Owner) reservationShared(j *Job) bool { return o.loop.Now.Sub(j.reservedSince) > exclusiveFor }

// takes tells whether the spot is not kept for another job, nor wanted back by the leader.
// Where tasks run for long, what it is kept for may not fit for long either, and a machine
// that is wanted back stays half empty for as long: a job that has waited beside it is
// then let in, a task at a time.
func (o *Owner) accepts(s *candidate, j *Job) bool {
	kept := s.reservedFor != nil && s.reservedFor != j
	return (!kept || o.reservationShared(s.reservedFor)) && (!kept && !s.machine.draining || o.waitsLong(j))
}

// beginOverdue starts the first task of each overdue job, or keeps room for it.
// What was kept for one before stays so.
func (o *Owner) placeOverdue(jobs []*Job, spots []*candidate, unknown []*machine, hidden sched.Resources) {
	var overdue []*Job
	for _, j := range jobs {
		switch {
		case j.Record.Shape == wire.Group || !o.overdue(j) || o.waitsForReconciliation(j, unknown): // a gang begins as a whole
		case !o.localLimit(j.Record.Team).Allows(o.used[j.Record.Team].Add(hidden, 1), j.need()):
			o.logOverdue(j, "its team's limit")
		default:
			overdue = append(overdue, j)
		}
	}
	if len(overdue) == 0 {
		return
	}
	most := max(1, int(maxReservedFraction*float64(len(spots))))
	kept := map[string]*Job{}
	for _, j := range overdue {
		if j.reservedMachine != "" && kept[j.reservedMachine] == nil {
			kept[j.reservedMachine] = j
		}
	}
	for _, s := range spots {
		if j := kept[s.machine.name]; j != nil && o.feasible(j, s.machine) && j.need().Fits(s.machine.eventualRoom()) {
			s.reservedFor = j
			most--
		}
	}
	// Hundreds of small jobs may be overdue at once on a full fleet.
	roomiest := maxFree(spots)
	for _, j := range overdue {
		if j.need().Fits(roomiest) {
			if o.placeOne(j, spots, hidden) != nil {
				continue
			}
			roomiest = maxFree(spots)
		}
		most -= o.reserveMachine(j, spots, most)
	}
}

// keepRoom keeps a machine for an overdue job, if most allows for one: nothing
// else is placed there until the job's task fits. Of those on which it will fit once
// all that ends has ended it is the one with most room: on another the job would wait
// for ever, and nobody else get that room. It returns how many were kept.
func (o *Owner) reserveMachine(j *Job, spots []*candidate, most int) int {
	if most <= 0 {
		o.logOverdue(j, "room is kept for others")
		return 0
	}
	need := j.need()
	var best *candidate
	for _, s := range spots {
		if s.reservedFor == j {
			return 0
		}
		if s.reservedFor == nil && !s.machine.draining && need.Fits(s.machine.eventualRoom()) && o.feasible(j, s.machine) && (best == nil || s.free.CPUs > best.free.CPUs ||
			(s.free.CPUs == best.free.CPUs && s.free.MemoryGB > best.free.MemoryGB)) {
			best = s
		}
	}
	if best == nil {
		o.logOverdue(j, "no machine of the block is large enough")
		return 0
	}
	if best.reservedFor = j; j.reservedMachine != best.machine.name {
		j.reservedMachine, j.reservedSince = best.machine.name, o.loop.Now
	}
	o.logOverdue(j, "no room, kept on "+best.machine.name)
	return 1
}

// roomToCome is what a machine has left once all has ended there that ends by itself.
func (m *machine) eventualRoom() sched.Resources {
	a := m.size
	for _, r := range m.attempts {
		if r.job != nil && r.job.Record.Shape == wire.Daemon && !r.ended() && !r.stopping {
			a = a.Add(r.job.need(), -1)
		}
	}
	return a
}

// passed logs, now and then, that an overdue job was passed over, and why.
func (o *Owner) logOverdue(j *Job, why string) {
	if o.loop.Now.Sub(j.overdueLoggedAt) < overdueLogInterval || o.loop.Now.Sub(o.overdueLoggedAt) < overdueLogGap {
		return
	}
	j.overdueLoggedAt, o.overdueLoggedAt = o.loop.Now, o.loop.Now
	o.log.Info("job overdue", "job", j.Record.ID, "class", j.Record.Class, "team", j.Record.Team, "tasks", j.Record.Tasks,
		"waits", j.age(o.loop.Now).Round(time.Second), "why", why)
}
