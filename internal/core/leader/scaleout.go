package leader

import (
	"math"
	"slices"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
)

// patientSlack is the slack, in multiples of the time in which a backlog is worked off,
// from which on waiting work is left to spot machines.
const patientSlack = 2.0

// planScaleOut rents machines for tasks that wait.
func (l *Leader) planScaleOut() {
	a := &l.autoscaler
	if a.createsInFlight > 0 || len(l.view.MachineTypes) == 0 {
		return
	}
	var waiting []sched.Demand
	l.renewals[l.view.Self] = l.local.Renewal()
	for _, node := range cluster.SortedKeys(l.renewals) {
		waiting = append(waiting, decodeDemands(l.renewals[node])...)
	}
	waiting = sched.MergeDemands(waiting)
	if !l.mayGrow() {
		return
	}
	l.coverLoadWithSpot()
	if len(waiting) == 0 || a.createsInFlight > 0 {
		return
	}
	anywhere, onDemand := splitBySpot(waiting)
	l.planScaleOutFor(anywhere, true)
	l.planScaleOutFor(onDemand, false)
}

// splitBySpot parts waiting tasks into those that may use spot machines and those that
// may not.
func splitBySpot(waiting []sched.Demand) (anywhere, onDemand []sched.Demand) {
	if !slices.ContainsFunc(waiting, func(d sched.Demand) bool { return !d.Spot }) {
		return waiting, nil
	}
	for _, demand := range waiting {
		if demand.Spot {
			anywhere = append(anywhere, demand)
		} else {
			onDemand = append(onDemand, demand)
		}
	}
	return anywhere, onDemand
}

// planScaleOutFor rents machines for waiting tasks that may use spot machines, or for
// those that may not. Machines are rented for what the fleet does not get to by itself
// soon; on-demand ones only for what would wait much longer, counting the machines that
// are booting as well.
func (l *Leader) planScaleOutFor(waiting []sched.Demand, spot bool) {
	leasedCPUs, comingCPUs, coming := l.capacityFor(spot)
	left := sched.PackInto(waiting, coming)
	work := 0.0
	for _, demand := range left {
		work += float64(demand.Count) * demand.Need.CPUs * demand.RunS
	}
	if work <= 0 {
		return
	}
	bootS := l.shortestBootS()
	if spot {
		before := l.autoscaler.createsInFlight
		l.scaleOut(unservedWithin(left, work, leasedCPUs, maxWaitSpot*bootS), true)
		if l.autoscaler.createsInFlight > before {
			return // the answers tell what else is needed
		}
	}
	if spot && l.isLarge() {
		l.scaleOut(l.backlogForOnDemand(waiting, leasedCPUs+comingCPUs), false)
		return
	}
	maxWait := maxWaitOnDemand
	if !spot {
		maxWait = maxWaitSpot // there is nothing cheaper to wait for
	}
	l.scaleOut(unservedWithin(left, work, leasedCPUs+comingCPUs, maxWait*bootS), false)
}

// scaleOut rents machines for the tasks, on spot markets only or on all.
func (l *Leader) scaleOut(tasks []sched.Demand, spotOnly bool) {
	for _, order := range sched.PlanScaleOut(tasks, l.offers(spotOnly), maxScaleOutBatch) {
		l.createInstances(order)
	}
}

// capacityFor returns the processors of the machines in blocks, and those of machines
// that are booting with a description of each. Spot machines count if spot is true.
func (l *Leader) capacityFor(spot bool) (leasedCPUs, comingCPUs float64, coming []sched.Offer) {
	for _, name := range cluster.SortedKeys(l.autoscaler.instances) {
		known := l.autoscaler.instances[name]
		machineType, ok := l.view.MachineTypes[known.machineType]
		if !ok || l.autoscaler.deleting[name] || l.draining[name] || (known.spot && !spot) {
			continue
		}
		if l.view.HolderOf(name) != "" {
			leasedCPUs += machineType.CPUs
		} else if l.bootsInTime(known) {
			coming = append(coming, sched.Offer{Type: known.machineType, Zone: known.zone, Spot: known.spot, Size: cluster.MachineSize(machineType)})
			comingCPUs += machineType.CPUs
		}
	}
	return leasedCPUs, comingCPUs, coming
}

// bootsInTime reports whether a machine that is in no block is still expected. One that
// takes longer may never come up.
func (l *Leader) bootsInTime(known *instance) bool {
	bootS := l.view.MachineTypes[known.machineType].BootS
	return l.loop.Now.Sub(known.requested) < config.Seconds(cluster.BootTimeoutFactor*bootS)
}

// shortestBootS returns the boot time, in seconds, of the machine type that starts
// fastest.
func (l *Leader) shortestBootS() float64 {
	shortest := 0.0
	for _, machineType := range l.view.MachineTypes {
		if shortest == 0 || machineType.BootS < shortest {
			shortest = machineType.BootS
		}
	}
	return shortest
}

// unservedWithin returns the part of the waiting tasks that a fleet of so many
// processors does not get to within some seconds. Demands that are to be provisioned in
// full are: gangs, which need all their room at once, daemons, which never end, and
// overdue jobs.
func unservedWithin(waiting []sched.Demand, work, cpus, seconds float64) []sched.Demand {
	out := slices.Clone(waiting)
	if cpus <= 0 {
		return out
	}
	share := max(0, 1-seconds/(work/cpus))
	for i := range out {
		if !out[i].ProvisionAll {
			out[i].Count = int(math.Ceil(float64(out[i].Count) * share))
		}
	}
	return out
}

// busyOnDemand returns the processors that tasks use or wait for which may not be on spot
// machines.
func (l *Leader) busyOnDemand() float64 {
	var sum sched.Sum
	for _, renewal := range l.renewals {
		sum.Add(renewal.GetBusyCpus() - renewal.GetBusySpotCpus())
	}
	return sum.Value()
}

// backlogForOnDemand returns the part of the waiting tasks that on-demand machines are
// wanted for. A fleet of size processors has to keep up with what arrives, and only what
// it has beyond that works off the backlog. Early or late, a backlog costs the same
// machine time, so it is worked off as early as its objectives ask for.
func (l *Leader) backlogForOnDemand(waiting []sched.Demand, size float64) []sched.Demand {
	backlogTimeS := maxWaitOnDemand * l.shortestBootS()
	short, cpus := l.local.ArrivalRate()-size+l.busyOnDemand(), 0.0
	out := slices.Clone(waiting)
	for i := range out {
		demand := &out[i]
		if !demand.ProvisionAll && demand.SlackS > patientSlack*backlogTimeS {
			demand.Count = 0 // may wait for spot machines
		}
		needed := float64(demand.Count) * demand.Need.CPUs
		cpus += needed
		short += needed * demand.RunS / max(backlogTimeS, demand.SlackS, 1)
	}
	share := min(1, max(0, short/max(1, cpus)))
	for i := range out {
		if demand := &out[i]; !demand.ProvisionAll {
			demand.Count = int(math.Ceil(float64(demand.Count) * share))
		}
	}
	return out
}
