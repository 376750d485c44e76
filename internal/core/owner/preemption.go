package owner

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// Preemption makes room for waiting tasks by stopping others: work of lower priority for
// urgent jobs, and for a team within its guarantee what other teams run beyond theirs. Work
// of the same or a higher priority is otherwise left alone.

const (
	// maxPreemptedPerJob bounds the tasks of one job that a round makes room for.
	maxPreemptedPerJob = 40
	// maxLostWorkUrgent and maxLostWorkGuaranteed are how much work, in seconds of each
	// processor needed, may be thrown away to start an urgent task at once, or one that its
	// team's guarantee covers. Measured: 30 s costs more repeated work than the earlier
	// starts are worth.
	maxLostWorkUrgent     = 6.0
	maxLostWorkGuaranteed = 3.0
	// preemptProtection is how long a job's tasks are left alone after one of them was
	// stopped to make room, whatever the reason: no order may ever make two jobs stop each
	// other without end.
	preemptProtection = 5 * time.Second
)

// preemption is a look at all candidates for tasks to stop for one job.
type preemption struct {
	owner *Owner
	job   *Job
	need  sched.Resources // of one task

	limit, guarantee sched.Limit // of the job's team
	used             sched.Resources
	clusterUse       sched.Resources // of the team, on all controllers
	unknownUse       unknownUse      // beside used
	// unknownClusterUse is beside clusterUse: others are not stopped for a guarantee that
	// may be in use elsewhere.
	unknownClusterUse unknownUse

	guaranteed  bool    // the team's guarantee covers the next task
	maxLostWork float64 // in seconds of a processor
	tasksLeft   int     // that room may be made for
}

// eviction is what would have to be stopped on one machine for a task.
type eviction struct {
	candidate *candidate
	victims   []*attempt
	lostWork  float64
}

// takePreemptionDue reports whether this round may preempt, and notes that it does.
func (o *Owner) takePreemptionDue() bool {
	if o.loop.Now.Sub(o.placement.preemptedAt) < preemptInterval {
		return false
	}
	o.placement.preemptedAt = o.loop.Now
	return true
}

// preempt makes room for the waiting tasks of a job by stopping others. Each machine is
// looked at once; the next round finds what else it could give.
func (o *Owner) preempt(r *round, j *Job) {
	if len(j.queue) == 0 || j.Record.Shape == wire.Group {
		return
	}
	p := o.newPreemption(r, j)
	if !j.urgent() && !p.guaranteed {
		return
	}
	if evictions, more := p.findEvictions(r); more {
		p.evict(evictions)
	}
}

func (o *Owner) newPreemption(r *round, j *Job) *preemption {
	team := j.Record.Team
	p := &preemption{
		owner:      o,
		job:        j,
		need:       j.need(),
		limit:      o.localLimit(team),
		guarantee:  o.view.GuaranteeOf(team),
		used:       o.quota.used[team],
		clusterUse: o.clusterUse(team),
		unknownUse: r.unknownUse,

		unknownClusterUse: o.unknownClusterUse(r.unknownUse),

		maxLostWork: maxLostWorkGuaranteed * j.Record.CPUs,
		tasksLeft:   min(len(j.queue), maxPreemptedPerJob),
	}
	if j.urgent() {
		p.maxLostWork = maxLostWorkUrgent * j.Record.CPUs
	}
	p.checkGuarantee()
	return p
}

// checkGuarantee notes whether the team's guarantee covers one more task.
func (p *preemption) checkGuarantee() {
	p.guaranteed = p.guarantee.Any() && p.unknownClusterUse.allows(p.guarantee, p.clusterUse, p.need)
}

// nextTask reports whether room may be made for one more task, and counts it.
func (p *preemption) nextTask() bool {
	p.checkGuarantee()
	if p.tasksLeft == 0 || !p.unknownUse.allows(p.limit, p.used, p.need) || (!p.job.urgent() && !p.guaranteed) {
		return false
	}
	p.tasksLeft--
	p.used, p.clusterUse = p.used.Add(p.need, 1), p.clusterUse.Add(p.need, 1)
	return true
}

// findEvictions returns, for each candidate, what would have to be stopped there for a task.
// Room that is being made already serves first; more is false if that is enough.
func (p *preemption) findEvictions(r *round) (evictions []eviction, more bool) {
	var buffer victimBuffer
	for _, c := range r.candidates {
		if !p.owner.accepts(c, p.job) || !p.owner.feasible(p.job, c.machine) {
			continue
		}
		for p.need.Fits(c.freeSoon) {
			if !p.nextTask() {
				return nil, false
			}
			c.freeSoon = c.freeSoon.Add(p.need, -1)
		}
		if e := p.evictionOn(c, &buffer); len(e.victims) > 0 {
			evictions = append(evictions, e)
		}
	}
	return evictions, true
}

// victimBuffer is reused for the attempts of one candidate after the other.
type victimBuffer struct {
	attempts []*attempt
	victims  []sched.Victim
}

// evictionOn returns the least that would have to be stopped on a candidate for a task; no
// victims if that is too much.
func (p *preemption) evictionOn(c *candidate, buffer *victimBuffer) eviction {
	attempts, victims := buffer.attempts[:0], buffer.victims[:0]
	for _, a := range c.stoppableAttempts() {
		if a.stopping || !p.owner.mayPreempt(p.job, a, p.guaranteed) {
			continue
		}
		lost := p.owner.lostSeconds(a) * a.job.Record.CPUs
		victims = append(victims, sched.Victim{Index: len(attempts), Frees: a.job.need(), LostWork: lost})
		attempts = append(attempts, a)
	}
	buffer.attempts, buffer.victims = attempts, victims
	chosen, lost := sched.ChooseVictims(p.need, c.freeSoon, victims, p.maxLostWork)
	e := eviction{candidate: c, lostWork: lost}
	for _, v := range chosen {
		e.victims = append(e.victims, attempts[v.Index])
	}
	return e
}

// lostSeconds returns how much run time is lost if the attempt is stopped now.
func (o *Owner) lostSeconds(a *attempt) float64 {
	switch {
	case a.state != attemptRunning:
		return 0
	case a.job.Record.CheckpointS > 0:
		return a.job.Record.SaveS
	default:
		return o.loop.Now.Sub(a.startedAt).Seconds()
	}
}

// evict carries evictions out, those with the least lost work first, for as many tasks as
// room may be made for.
func (p *preemption) evict(evictions []eviction) {
	o := p.owner
	slices.SortStableFunc(evictions, func(a, b eviction) int { return cmp.Compare(a.lostWork, b.lostWork) })
	var preempted []*Job
	for _, e := range evictions {
		// What was stopped a moment ago may have used up what the other team runs beyond
		// its guarantee.
		if slices.ContainsFunc(e.victims, func(a *attempt) bool { return !o.mayPreempt(p.job, a, p.guaranteed) }) {
			continue
		}
		if !p.nextTask() {
			break
		}
		for _, a := range e.victims {
			o.halt(a)
			preempted = append(preempted, a.job)
			o.quota.addStopping(a.job)
			e.candidate.freeSoon = e.candidate.freeSoon.Add(a.job.need(), 1)
		}
		e.candidate.freeSoon = e.candidate.freeSoon.Add(p.need, -1)
	}
	for _, j := range preempted {
		j.protectedUntil = o.loop.Now.Add(preemptProtection)
	}
}

// stoppableAttempts returns what could be stopped on the machine, oldest attempt first.
func (c *candidate) stoppableAttempts() []*attempt {
	if !c.stoppableListed {
		c.stoppableListed = true
		for _, key := range sortedAttempts(c.machine) {
			if a := c.machine.attempts[key]; a.job != nil && !a.ended() && a.state != attemptQueued {
				c.stoppable = append(c.stoppable, a)
			}
		}
	}
	return c.stoppable
}

// mayPreempt reports whether the attempt may be stopped for the sake of the job. guaranteed
// says that the guarantee of the job's team covers the task.
func (o *Owner) mayPreempt(j *Job, a *attempt, guaranteed bool) bool {
	victim := a.job
	if victim.Record.Shape == wire.Group || o.loop.Now.Before(victim.protectedUntil) {
		return false
	}
	if j.urgent() && (!victim.urgent() || givesWayToOnDemand(victim, j)) {
		return true
	}
	// Only what comes after the job in the order is stopped for it: else the stopped task
	// would be the first to take the room again, for ever.
	if !guaranteed || victim.Record.Team == j.Record.Team || victim.Record.Rank() < j.Record.Rank() {
		return false
	}
	// The other team keeps its own guarantee without the task, with everything that is
	// being stopped already taken off: else both teams would stop each other's tasks in turn.
	guarantee := o.view.GuaranteeOf(victim.Record.Team)
	left := o.clusterUse(victim.Record.Team).Add(o.quota.stopping[victim.Record.Team], -1).Add(victim.need(), -1)
	return !guarantee.Any() || (left.CPUs >= guarantee.CPUs && left.GPUs >= guarantee.GPUs)
}

// givesWayToOnDemand reports whether an urgent victim gives way to an urgent job of a better rank.
// Urgent work is otherwise left alone by other urgent work, but a service that may not use
// spot machines has nowhere else to go than where urgent tasks sit that may.
func givesWayToOnDemand(victim, j *Job) bool {
	return victim.Record.Rank() > j.Record.Rank() && !j.Record.Spot && victim.Record.Spot
}
