package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/core/servicereport"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// starved is how long a job's tasks may wait without any of them being
	// started before machines are rented for all of them. The fleet may be
	// busy with work that never ends, or have no machine that they may use.
	starvedAfter = 75 * time.Second
	// stuck is how long nothing of a class may be started before its waiting
	// work counts as starved rather than queued.
	classStuckAfter = 15 * time.Second
)

// FillRenewal tells the leader, in a renewal, of machines, waiting work and use.
func (o *Owner) FillRenewal(r *peerpb.Renewal) {
	r.Waiting = map[string]int32{}
	var gave, lost, heard, unknown, bound []string
	for _, name := range cluster.SortedKeys(o.machines) {
		m := o.machines[name]
		switch {
		case m.released:
			gave = append(gave, name)
		case m.unreachable:
			lost = append(lost, name)
		}
		if m.endpoint == "" && !m.released {
			unknown = append(unknown, name)
		}
		if m.spot && o.usable(m) {
			r.FreeSpotCpus += max(0, m.free().CPUs)
		}
		if !m.spot && m.runsOnDemandOnlyTasks() {
			bound = append(bound, name)
		}
		u := &peerpb.MachineUse{Name: name, Quarantined: m.quarantined, Departing: !m.reclaimAt.IsZero() || m.suspected}
		if !m.idleSince.IsZero() && m.agentEpoch != 0 {
			u.IdleS = o.loop.Now.Sub(m.idleSince).Seconds()
		}
		if u.Quarantined || u.Departing || u.IdleS > 1 {
			r.MachineUse = append(r.MachineUse, u)
		}
	}
	for _, name := range cluster.SortedKeys(o.foreignWorkers) {
		g := o.foreignWorkers[name]
		if !o.provesAlive(g) {
			continue
		}
		if o.view.HolderOf(name) == "" {
			r.KnownMachines = append(r.KnownMachines, &peerpb.MachineInfo{Name: name, Endpoint: g.heartbeat.Endpoint,
				Type: g.heartbeat.Type, Zone: g.heartbeat.Zone, Spot: g.heartbeat.Spot, AgentEpoch: g.heartbeat.AgentEpoch})
		} else {
			heard = append(heard, name)
		}
	}
	r.Released, r.SilentMachines, r.Reconciled = wire.PackNames(gave), wire.PackNames(lost), wire.PackNames(heard)
	r.UnknownEndpoints, r.OnDemandOnly = wire.PackNames(unknown), wire.PackNames(bound)
	for _, j := range o.jobs {
		if !o.Owns(j) || j.Ended || len(j.queue) == 0 {
			continue
		}
		for kind, t := range o.view.MachineTypes {
			if len(j.Record.Types) == 0 || slices.Contains(j.Record.Types, kind) {
				if j.need().Fits(cluster.MachineSize(t)) {
					r.Waiting[kind] += int32(j.startableTasks())
				}
			}
		}
	}
	r.Demand = o.demand()
	r.Teams = o.PublishedTeamUse()
	r.BusyCpus, r.BusySpotCpus, _ = o.ProcessorUse()
}

// demandMost bounds the groups of waiting tasks that a renewal carries.
const maxDemandGroups = 80

// demand groups the tasks without a place, for the leader, best first.
func (o *Owner) demand() []*peerpb.Demand {
	var list []sched.Demand
	for _, j := range o.readyJobs() {
		n := o.tasksWithinLimit(j, j.startableTasks())
		if n == 0 {
			continue
		}
		// Where others of its class are started it only waits for its turn:
		// machines rented for all of it would come when the backlog is gone.
		long := o.loop.Now.Sub(j.waitSince) > starvedAfter && o.loop.Now.Sub(o.statsOf(j.Record.Class).lastStart) > classStuckAfter ||
			o.overdue(j)
		list = append(list, sched.Demand{Rank: j.Record.Rank(), Need: o.roundedNeed(j), Types: j.Record.Types,
			Zone: j.Record.Zone, Spot: j.Record.Spot, Count: n, RunS: o.estimatedRunSeconds(&j.Record),
			ProvisionAll: j.Record.Shape != wire.Array || long, Overdue: long,
			SlackS: float64(o.latestStart(j)-o.loop.Now.UnixMilli()) / 1000})
	}
	var out []*peerpb.Demand
	for _, d := range sched.MergeDemands(list) {
		if len(out) == maxDemandGroups {
			break
		}
		out = append(out, &peerpb.Demand{Rank: int32(d.Rank), Cpus: d.Need.CPUs, Gpus: d.Need.GPUs,
			MemoryGb: d.Need.MemoryGB, Types: d.Types, Zone: d.Zone, Spot: d.Spot,
			Count: int32(d.Count), RunS: d.RunS, ProvisionAll: d.ProvisionAll, Starved: d.Overdue, SlackS: d.SlackS})
	}
	return out
}

// coarse is what a task of the job needs, rounded up unless that would keep
// it from every machine it may use.
func (o *Owner) roundedNeed(j *Job) sched.Resources {
	rough := sched.RoundUp(j.need())
	for kind, t := range o.view.MachineTypes {
		if (len(j.Record.Types) == 0 || slices.Contains(j.Record.Types, kind)) && j.need().Fits(cluster.MachineSize(t)) && !rough.Fits(cluster.MachineSize(t)) {
			return j.need()
		}
	}
	return rough
}

// imagesMost bounds the images that a controller tells of.
const maxPublishedImages = 64

// Capacity sums up what is free on this controller's machines.
func (o *Owner) Capacity() cluster.Capacity {
	r := cluster.Capacity{Images: map[string]float64{}}
	for _, m := range o.machines {
		if !o.usable(m) {
			continue
		}
		free := max(0, m.free().CPUs)
		r.Free += free
		for i := range m.images {
			if m.images[i].cached && free > 0 {
				r.Images[m.images[i].name] += free
			}
		}
	}
	if len(r.Images) > maxPublishedImages {
		names := cluster.SortedKeys(r.Images)
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.Images[b], r.Images[a]) })
		for _, n := range names[maxPublishedImages:] {
			delete(r.Images, n)
		}
	}
	return r
}

// ProcessorUse returns the processors that this controller's tasks use or wait
// for, the part of them that may be on spot machines, and those of its block.
func (o *Owner) ProcessorUse() (busy, spot, size float64) {
	for _, m := range o.machines {
		if m.unreachable || m.quarantined || m.released {
			continue
		}
		size += m.size.CPUs
	}
	for _, j := range o.jobs {
		if o.Owns(j) && !j.Ended {
			n := float64(len(j.attempts)+j.startableTasks()) * j.Record.CPUs
			busy += n
			if j.Record.Spot {
				spot += n
			}
		}
	}
	return busy, spot, size
}

// EachMachine calls f for each machine of the block.
func (o *Owner) EachMachine(f func(name string, idle time.Duration, bad, lost bool)) {
	for _, m := range o.machinesByName() {
		idle := time.Duration(0)
		if !m.idleSince.IsZero() && m.agentEpoch != 0 {
			idle = o.loop.Now.Sub(m.idleSince)
		}
		f(m.name, idle, m.quarantined, m.unreachable)
	}
}

// ForeignWorkers are the machines of others, or of nobody, that reported lately.
func (o *Owner) ForeignWorkers() []string {
	var out []string
	for n, g := range o.foreignWorkers {
		if o.provesAlive(g) {
			out = append(out, n)
		}
	}
	return out
}

// LogServiceReport logs, once a minute, what became of jobs.
func (o *Owner) LogServiceReport() {
	o.Served.Log(o.loop.Now, o.log, func() map[servicereport.Group]servicereport.Waiting {
		out := map[servicereport.Group]servicereport.Waiting{}
		for _, j := range o.jobs {
			if !o.Owns(j) || j.Ended || len(j.queue) == 0 {
				continue
			}
			for _, g := range []servicereport.Group{{Kind: servicereport.Team, Name: j.Record.Team}, {Kind: servicereport.Class, Name: j.Record.Class}} {
				w := out[g]
				w.Jobs++
				if !j.started {
					w.LongestWait = max(w.LongestWait, j.age(o.loop.Now))
				}
				out[g] = w
			}
		}
		return out
	})
}

// ArrivalRate is the work that has come in lately, in processors.
func (o *Owner) ArrivalRate() float64 { return o.inflow.Rate(o.loop.Now) }

// UpdateMachineInfo learns how to reach machines that have not reported yet.
func (o *Owner) UpdateMachineInfo(seen func(name string) *peerpb.MachineInfo) {
	for name, m := range o.machines {
		if m.endpoint != "" {
			continue
		}
		if s := seen(name); s != nil {
			o.learnEndpoint(m, s)
		}
	}
	o.probeWorkers()
}

// newsMost bounds the jobs whose counts a frame carries, some 20 bytes each.
const maxChangedCounts = 4000

// ChangedCounts lists the counts of jobs that have changed since they were last told.
func (o *Owner) ChangedCounts() []*peerpb.JobProgress {
	var out []*peerpb.JobProgress
	for _, j := range o.jobs {
		done, running := j.Counts()
		if o.Owns(j) && j.publishedCounts != [2]int{done, running} {
			out = append(out, &peerpb.JobProgress{Id: j.Record.ID, Done: int32(done), Running: int32(running)})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.JobProgress) int { return strings.Compare(a.GetId(), b.GetId()) })
	out = out[:min(len(out), maxChangedCounts)]
	for _, g := range out {
		o.jobs[g.GetId()].publishedCounts = [2]int{int(g.GetDone()), int(g.GetRunning())}
	}
	return out
}

// ResendCounts has the next News list the counts of all jobs that have begun, not only of
// those that change: another controller has missed what was told before.
func (o *Owner) ResendCounts() {
	for _, j := range o.jobs {
		if j.started || j.publishedCounts != [2]int{} {
			j.publishedCounts = countsUnpublished
		}
	}
}

// LearnMachines learns from others how to reach machines of the block.
func (o *Owner) LearnMachines(known []*peerpb.MachineInfo) {
	for _, k := range known {
		if m := o.machines[k.GetName()]; m != nil {
			o.learnEndpoint(m, k)
		}
	}
	o.probeWorkers()
}
