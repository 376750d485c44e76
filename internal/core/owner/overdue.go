package owner

import (
	"time"

	"fawncove/internal/config"
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
	// neverUp is after how many boot times a machine counts as one that never
	// comes; work that only waits for one is not overdue before.
	neverUp = 2.5
	// keptShare is the part of the block on which room is kept at a time.
	keptShare = 0.05
	// passedEvery spaces what is logged of jobs that are passed over.
	passedEvery = 30 * time.Second
)

// overdueAfter is how long nothing of a job may have begun: the time in which a
// block changes hands and the slowest machines come, if they ever do.
func (o *Owner) overdueAfter() time.Duration {
	slowest := 0.0
	for _, t := range o.view.Types {
		slowest = max(slowest, t.BootS)
	}
	return min(overdueMost, o.view.Par.Lease+config.Seconds(neverUp*slowest))
}

// overdue tells whether nothing of the job has begun for too long.
func (o *Owner) overdue(j *Job) bool {
	return j.doneCount == 0 && len(j.runs) == 0 && len(j.queue) > 0 && !j.doubtful() &&
		o.loop.Now.Sub(time.UnixMilli(j.Rec.AtMs)) > o.overdueAfter()
}

// begin starts the first task of an overdue job, or keeps room for it.
func (o *Owner) begin(j *Job, spots []*spot, hidden sched.Amount) {
	if !o.ceilingOf(j.Rec.Team).Allows(o.used[j.Rec.Team].Add(hidden, 1), j.need()) {
		o.passed(j, "its team's limit")
		return
	}
	if j.Rec.Shape == wire.Group {
		return // begins as a whole
	}
	if o.placeOne(j, spots, hidden) == nil {
		o.keepRoom(j, spots)
	}
}

// keepRoom keeps a machine for an overdue job: nothing else is placed there until
// the job's task fits. The one that was kept before stays so; otherwise it is the
// one with most room of those on which the task fits at all.
func (o *Owner) keepRoom(j *Job, spots []*spot) {
	need := j.need()
	most := max(1, int(keptShare*float64(len(spots))))
	kept := 0
	var best *spot
	for _, s := range spots {
		if s.kept {
			if kept++; kept >= most {
				o.passed(j, "room is kept for others")
				return
			}
			continue
		}
		if !need.Fits(s.m.size) || !o.allowed(j, s.m) {
			continue
		}
		if s.m.name == j.keeps {
			best = s
			break
		}
		if best == nil || s.free.CPUs > best.free.CPUs || (s.free.CPUs == best.free.CPUs && s.free.MemoryGB > best.free.MemoryGB) {
			best = s
		}
	}
	if best == nil {
		o.passed(j, "no machine of the block is large enough")
		return
	}
	best.kept, j.keeps = true, best.m.name
	o.passed(j, "no room, kept on "+best.m.name)
}

// passed logs, now and then, that an overdue job was passed over, and why.
func (o *Owner) passed(j *Job, why string) {
	if o.loop.Now.Sub(j.passedAt) < passedEvery {
		return
	}
	j.passedAt = o.loop.Now
	o.log.Info("job overdue", "job", j.Rec.ID, "class", j.Rec.Class, "team", j.Rec.Team, "tasks", j.Rec.Tasks,
		"waits", o.loop.Now.Sub(time.UnixMilli(j.Rec.AtMs)).Round(time.Second), "why", why)
}
