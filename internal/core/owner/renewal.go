package owner

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// minReportedIdleS is from how many seconds on a renewal reports that a machine is idle.
const minReportedIdleS = 1

// FillRenewal puts into a renewal what the leader has to know of machines, waiting work and
// the use of quota.
func (o *Owner) FillRenewal(r *peerpb.Renewal) {
	o.reportMachines(r)
	o.reportForeignWorkers(r)
	r.Waiting = o.waitingByType()
	r.Demand = o.demand()
	r.Teams = o.PublishedTeamUse()
	r.BusyCpus, r.BusySpotCpus, _ = o.ProcessorUse()
}

// reportMachines reports the machines of the block.
func (o *Owner) reportMachines(r *peerpb.Renewal) {
	var released, unreachable, withoutEndpoint, onDemandOnly []string
	idle := o.idleTimes()
	for _, m := range o.workers.machinesByName() {
		switch {
		case m.released():
			released = append(released, m.name)
		case m.unreachable():
			unreachable = append(unreachable, m.name)
		}
		if m.endpoint == "" && !m.released() {
			withoutEndpoint = append(withoutEndpoint, m.name)
		}
		if m.spot && o.usable(m) {
			r.FreeSpotCpus += max(0, m.free().CPUs)
		}
		if !m.spot && m.runsOnDemandOnlyTasks() {
			onDemandOnly = append(onDemandOnly, m.name)
		}
		use := &peerpb.MachineUse{
			Name:        m.name,
			Quarantined: m.quarantined,
			Departing:   !m.reclaimAt.IsZero() || m.suspected(),
			IdleS:       idle(m).Seconds(),
		}
		if use.Quarantined || use.Departing || use.IdleS > minReportedIdleS {
			r.MachineUse = append(r.MachineUse, use)
		}
	}
	r.Released, r.SilentMachines = wire.PackNames(released), wire.PackNames(unreachable)
	r.UnknownEndpoints, r.OnDemandOnly = wire.PackNames(withoutEndpoint), wire.PackNames(onDemandOnly)
}

// reportForeignWorkers reports the foreign workers that are alive: those of other blocks,
// whose holder may not hear them, and those that are in no block yet.
func (o *Owner) reportForeignWorkers(r *peerpb.Renewal) {
	var alive []string
	for _, name := range cluster.SortedKeys(o.workers.foreign) {
		w := o.workers.foreign[name]
		if !o.provesAlive(w) {
			continue
		}
		if o.view.HolderOf(name) == "" {
			info := machineInfo(&w.heartbeat)
			info.Name = name
			r.KnownMachines = append(r.KnownMachines, info)
		} else {
			alive = append(alive, name)
		}
	}
	r.Reconciled = wire.PackNames(alive)
}
