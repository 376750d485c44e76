package owner

import (
	"math"
	"slices"

	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

const (
	// minWaitObjective is from how many seconds on an objective for the start of a job
	// counts in the order. Shorter ones would only put what has just arrived before what
	// has waited.
	minWaitObjective = 15
	// runTimeTolerance is the part of its run time by which a job may be late and still
	// count as able to meet its deadline: estimates are off.
	runTimeTolerance = 0.2
	// defaultSlack is the slack, in seconds, of a job with neither a deadline nor an
	// objective for its end, or one that misses all of them whatever is done: it gives way
	// to jobs that can still meet theirs, but not for ever. Measured with 200: the same
	// means over twelve days and shorter waits for all tasks of late jobs (360 s instead of
	// 437 s), but on a full fleet the late jobs of others kept a team's 573 single tasks
	// waiting 111 s instead of 53 s, and half as many again missed their objective.
	defaultSlack = 600
)

// The kinds of objectives in the settings.
const (
	objectiveFinished = "finished"
	objectiveWait     = "wait"
)

// successorMachineType returns the machine type that the step after this job needs. The job
// message of this version names no successor, so there is none and every job rates high; the
// rating in readyJobs is in use all the same.
func successorMachineType(*wire.JobRecord) string { return "" }

// mayPlace reports whether the job's waiting tasks may be placed here now.
func (o *Owner) mayPlace(j *Job) bool {
	return o.Owns(j) && j.ready() && !j.Ended && len(j.queue) > 0 && !o.loop.Now.Before(j.retryAt) &&
		!o.blockLease.HandoverOffered(j.partition()) && j.movingAtLease == 0 && o.changesCurrent(j)
}

// readyJobs returns the jobs whose waiting tasks may be placed here now, best first.
func (o *Owner) readyJobs() []*Job {
	type entry struct {
		job  *Job
		rank sched.Ready
	}
	var list []entry
	for _, j := range o.jobs {
		if o.mayPlace(j) {
			list = append(list, entry{j, o.readyRank(j)})
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		if a.rank.Before(b.rank) {
			return -1
		}
		return 1
	})
	jobs := make([]*Job, len(list))
	for i, e := range list {
		jobs[i] = e.job
	}
	return jobs
}

// readyRank returns what the order of ready jobs goes by.
func (o *Owner) readyRank(j *Job) sched.Ready {
	return sched.Ready{
		Rank:      j.Record.Rank(),
		Borrowing: o.borrows(j),
		Rating:    sched.Rate(successorMachineType(&j.Record), o.view.Lease.Waiting, o.view.Params.LookAheadThreshold),
		Due:       o.latestStart(j),
		Arrival:   j.Record.SubmittedAtMs,
		ID:        j.Record.ID,
	}
}

// borrows reports whether one more task of the job takes its team beyond its guarantee. A
// team without a guarantee always borrows.
func (o *Owner) borrows(j *Job) bool {
	guarantee := o.view.GuaranteeOf(j.Record.Team)
	return !guarantee.Any() || !guarantee.Allows(o.clusterUse(j.Record.Team), j.need())
}

// latestStart returns the latest time, in milliseconds, at which the job's waiting tasks
// should start to meet its deadline or its class's objectives: the nearest of those that can
// still be met. A job that is late whatever is done gives way to those that can still make it.
func (o *Owner) latestStart(j *Job) int64 {
	run := o.estimatedRunSeconds(&j.Record)
	waited := float64(o.loop.Now.UnixMilli()-j.Record.SubmittedAtMs) / 1000
	slack := math.Inf(1)
	considerEnd := func(withinS float64) {
		if start := withinS - run; waited <= start+runTimeTolerance*run {
			slack = min(slack, start)
		}
	}
	if j.Record.DeadlineS != nil {
		considerEnd(*j.Record.DeadlineS)
	}
	for _, objective := range o.view.Settings.Cluster.Objectives {
		switch {
		case objective.Class != j.Record.Class || objective.WithinS <= 0:
		case objective.Kind == objectiveFinished:
			considerEnd(objective.WithinS)
		case objective.Kind == objectiveWait && objective.WithinS >= minWaitObjective && waited <= objective.WithinS:
			slack = min(slack, objective.WithinS)
		}
	}
	if math.IsInf(slack, 1) {
		slack = defaultSlack
	}
	return j.Record.SubmittedAtMs + int64(1000*slack)
}
