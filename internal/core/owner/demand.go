package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// starvedAfter is how long a job's tasks may wait without any of them being started
	// before machines are rented for all of them. The fleet may be busy with work that never
	// ends, or have no machine that they may use.
	starvedAfter = 75 * time.Second
	// classIdleAfter is how long no task of a class may have been started before its waiting
	// tasks count as starved rather than queued.
	classIdleAfter = 15 * time.Second
	// maxDemandGroups bounds the groups of waiting tasks that a renewal carries.
	maxDemandGroups = 80
)

// waitingByType returns, for each machine type, how many waiting tasks may use it.
func (o *Owner) waitingByType() map[string]int32 {
	waiting := map[string]int32{}
	for _, j := range o.jobs {
		if !o.Owns(j) || j.Ended || len(j.queue) == 0 {
			continue
		}
		for name, t := range o.view.MachineTypes {
			if allowsType(&j.Record, name) && j.need().Fits(cluster.MachineSize(t)) {
				waiting[name] += int32(j.startableTasks())
			}
		}
	}
	return waiting
}

// demand returns the tasks without a place in groups, for the leader, best first.
func (o *Owner) demand() []*peerpb.Demand {
	var list []sched.Demand
	for _, j := range o.readyJobs() {
		if n := o.tasksWithinLimit(j, j.startableTasks()); n > 0 {
			list = append(list, o.demandOf(j, n))
		}
	}
	var groups []*peerpb.Demand
	for _, d := range sched.MergeDemands(list) {
		if len(groups) == maxDemandGroups {
			break
		}
		groups = append(groups, &peerpb.Demand{
			Rank: int32(d.Rank), Cpus: d.Need.CPUs, Gpus: d.Need.GPUs, MemoryGb: d.Need.MemoryGB,
			Types: d.Types, Zone: d.Zone, Spot: d.Spot, Count: int32(d.Count), RunS: d.RunS,
			ProvisionAll: d.ProvisionAll, Overdue: d.Overdue, SlackS: d.SlackS,
		})
	}
	return groups
}

// demandOf returns the demand of n waiting tasks of a job.
func (o *Owner) demandOf(j *Job, n int) sched.Demand {
	starved := o.starved(j)
	return sched.Demand{
		Rank:         j.Record.Rank(),
		Need:         o.roundedNeed(j),
		Types:        j.Record.Types,
		Zone:         j.Record.Zone,
		Spot:         j.Record.Spot,
		Count:        n,
		RunS:         o.estimatedRunSeconds(&j.Record),
		ProvisionAll: j.Record.Shape != wire.Array || starved,
		Overdue:      starved,
		SlackS:       float64(o.latestStart(j)-o.loop.Now.UnixMilli()) / 1000,
	}
}

// starved reports whether the job has waited for so long that machines are to be rented for
// all its tasks. Where others of its class are started it only waits for its turn: machines
// rented for all of it would come when the backlog is gone.
func (o *Owner) starved(j *Job) bool {
	classIdle := o.loop.Now.Sub(o.runTimes.statsOf(j.Record.Class).lastStart) > classIdleAfter
	return (o.loop.Now.Sub(j.waitSince) > starvedAfter && classIdle) || o.overdue(j)
}

// roundedNeed returns what a task of the job needs, rounded up unless that would keep it
// from a machine type that it may use.
func (o *Owner) roundedNeed(j *Job) sched.Resources {
	rounded := sched.RoundUp(j.need())
	for name, t := range o.view.MachineTypes {
		size := cluster.MachineSize(t)
		if allowsType(&j.Record, name) && j.need().Fits(size) && !rounded.Fits(size) {
			return j.need()
		}
	}
	return rounded
}
