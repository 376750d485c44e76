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
	overdueMost = 150 * time.Second
	// keptShare is the part of the block on which room is kept at a time.
	keptShare = 0.05
	// passedEvery spaces what is logged of a job that is passed over, passedGap
	// what is logged of any.
	passedEvery = 30 * time.Second
	passedGap   = time.Second
)

// overdueAfter is how long nothing of a job may have begun: the time in which a
// block changes hands and the slowest machines come, if they ever do.
func (o *Owner) overdueAfter() time.Duration {
	slowest := 0.0
	for _, t := range o.view.MachineTypes {
		slowest = max(slowest, t.BootS)
	}
	return min(overdueMost, o.view.Params.LeaseDuration+config.Seconds(cluster.BootTimeoutFactor*slowest))
}

// overdue tells whether nothing of the job has begun for too long.
func (o *Owner) overdue(j *Job) bool {
	return j.doneCount == 0 && len(j.runs) == 0 && len(j.queue) > 0 && !j.doubtful() &&
		j.age(o.loop.Now) > o.overdueAfter()
}

const (
	// keptAlone is for how long room is kept against everybody: what was overdue when it
	// began to be kept should have begun by then, see overdueMost.
	keptAlone = time.Minute
	// besideMost is how long a job may wait beside room that is kept for longer than that,
	// or on a machine that the leader wants back.
	besideMost = time.Minute
)

// waitsLong tells whether nothing of the job has been started for besideMost.
func (o *Owner) waitsLong(j *Job) bool { return o.loop.Now.Sub(j.waitSince) > besideMost }

// keptLong tells whether room is kept for the job for so long that others may have it.
func (o *Owner) keptLong(j *Job) bool { return o.loop.Now.Sub(j.keptSince) > keptAlone }

// takes tells whether the spot is not kept for another job, nor wanted back by the leader.
// Where tasks run for long, what it is kept for may not fit for long either, and a machine
// that is wanted back stays half empty for as long: a job that has waited beside it is
// then let in, a task at a time.
func (o *Owner) takes(s *spot, j *Job) bool {
	kept := s.keptFor != nil && s.keptFor != j
	return (!kept || o.keptLong(s.keptFor)) && (!kept && !s.m.recall || o.waitsLong(j))
}

// beginOverdue starts the first task of each overdue job, or keeps room for it.
// What was kept for one before stays so.
func (o *Owner) beginOverdue(jobs []*Job, spots []*spot, unknown []*machine, hidden sched.Resources) {
	var overdue []*Job
	for _, j := range jobs {
		switch {
		case j.Record.Shape == wire.Group || !o.overdue(j) || o.waitsForUnknown(j, unknown): // a gang begins as a whole
		case !o.ceilingOf(j.Record.Team).Allows(o.used[j.Record.Team].Add(hidden, 1), j.need()):
			o.passed(j, "its team's limit")
		default:
			overdue = append(overdue, j)
		}
	}
	if len(overdue) == 0 {
		return
	}
	most := max(1, int(keptShare*float64(len(spots))))
	kept := map[string]*Job{}
	for _, j := range overdue {
		if j.keeps != "" && kept[j.keeps] == nil {
			kept[j.keeps] = j
		}
	}
	for _, s := range spots {
		if j := kept[s.m.name]; j != nil && o.allowed(j, s.m) && j.need().Fits(s.m.roomToCome()) {
			s.keptFor = j
			most--
		}
	}
	// Hundreds of small jobs may be overdue at once on a full fleet.
	roomiest := mostFree(spots)
	for _, j := range overdue {
		if j.need().Fits(roomiest) {
			if o.placeOne(j, spots, hidden) != nil {
				continue
			}
			roomiest = mostFree(spots)
		}
		most -= o.keepRoom(j, spots, most)
	}
}

// keepRoom keeps a machine for an overdue job, if most allows for one: nothing
// else is placed there until the job's task fits. Of those on which it will fit once
// all that ends has ended it is the one with most room: on another the job would wait
// for ever, and nobody else get that room. It returns how many were kept.
func (o *Owner) keepRoom(j *Job, spots []*spot, most int) int {
	if most <= 0 {
		o.passed(j, "room is kept for others")
		return 0
	}
	need := j.need()
	var best *spot
	for _, s := range spots {
		if s.keptFor == j {
			return 0
		}
		if s.keptFor == nil && !s.m.recall && need.Fits(s.m.roomToCome()) && o.allowed(j, s.m) && (best == nil || s.free.CPUs > best.free.CPUs ||
			(s.free.CPUs == best.free.CPUs && s.free.MemoryGB > best.free.MemoryGB)) {
			best = s
		}
	}
	if best == nil {
		o.passed(j, "no machine of the block is large enough")
		return 0
	}
	if best.keptFor = j; j.keeps != best.m.name {
		j.keeps, j.keptSince = best.m.name, o.loop.Now
	}
	o.passed(j, "no room, kept on "+best.m.name)
	return 1
}

// roomToCome is what a machine has left once all has ended there that ends by itself.
func (m *machine) roomToCome() sched.Resources {
	a := m.size
	for _, r := range m.runs {
		if r.j != nil && r.j.Record.Shape == wire.Daemon && !r.over() && !r.stop {
			a = a.Add(r.j.need(), -1)
		}
	}
	return a
}

// passed logs, now and then, that an overdue job was passed over, and why.
func (o *Owner) passed(j *Job, why string) {
	if o.loop.Now.Sub(j.passedAt) < passedEvery || o.loop.Now.Sub(o.passedAt) < passedGap {
		return
	}
	j.passedAt, o.passedAt = o.loop.Now, o.loop.Now
	o.log.Info("job overdue", "job", j.Record.ID, "class", j.Record.Class, "team", j.Record.Team, "tasks", j.Record.Tasks,
		"waits", j.age(o.loop.Now).Round(time.Second), "why", why)
}
