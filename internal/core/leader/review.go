package leader

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
)

const (
	// maxDrainInUse is how long a machine that was drained as idle may be in use before
	// the drain is withdrawn. Short tasks have ended by then, and it goes where it is
	// wanted.
	maxDrainInUse = 15 * time.Second
	// spotReserve is the part of the fleet that stays free on spot machines when
	// on-demand ones are drained, so that no task waits for a machine because of it.
	spotReserve = 0.03
	// minIdleToReassign is for how many seconds a machine has to be idle before it may
	// go to another controller.
	minIdleToReassign = 1
	// defaultBootS is the boot time, in seconds, assumed of an unknown machine type.
	defaultBootS = 30.0
)

// reviewInstances decides which machines are to be deleted, drained or moved to another
// block: unreachable ones are deleted at once, idle and quarantined ones are drained
// first, which takes them out of their block.
func (l *Leader) reviewInstances() {
	l.measureLoad()
	reachable := l.reachableMachines()
	l.autoscaler.clearUnreachable()
	// Idle machines of one controller may be what the tasks of another wait for.
	l.rebalance()
	idle := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		renewal := l.renewals[node]
		for _, name := range l.unpackNames(renewal.GetSilentMachines()) {
			if !reachable[name] && !l.deleted[name] && l.view.HolderOf(name) == node {
				l.autoscaler.markUnreachable(name)
			}
		}
		if node == l.view.Self {
			continue // its machines are reviewed below, from what is known now
		}
		for _, use := range renewal.GetMachineUse() {
			idle[use.GetName()] = use.GetIdleS() > 0
			l.reviewInstance(use.GetName(), use.GetIdleS(), use.GetQuarantined())
		}
	}
	l.local.EachMachine(func(name string, idleFor time.Duration, quarantined, unreachable bool) {
		idle[name] = idleFor > 0
		l.reviewInstance(name, idleFor.Seconds(), quarantined)
		if unreachable && !reachable[name] && !l.deleted[name] {
			l.autoscaler.markUnreachable(name)
		}
	})
	l.drainOnDemand()
	l.withdrawDrains(idle)
}

// reachableMachines returns the machines that send heartbeats to some controller, whichever
// holds them.
func (l *Leader) reachableMachines() map[string]bool {
	reachable := map[string]bool{}
	for node, renewal := range l.renewals {
		if l.loop.Now.Sub(l.renewalReceived[node]) >= 2*l.view.Params.PublishInterval {
			continue
		}
		for _, name := range l.unpackNames(renewal.GetReconciled()) {
			reachable[name] = true
		}
	}
	for _, name := range l.local.ForeignWorkers() {
		reachable[name] = true
	}
	return reachable
}

// withdrawDrains ends the drain of machines that have left their block, and of those
// that are in use again.
func (l *Leader) withdrawDrains(idle map[string]bool) {
	for name := range l.draining {
		inUse := !idle[name] && l.inUseAgain(name)
		holder := l.view.HolderOf(name)
		if l.deleted[name] || holder == "" || holder == l.reassignTo[name] || inUse {
			delete(l.draining, name)
			delete(l.drainedIdle, name)
			delete(l.reassignTo, name)
			l.publishPending = l.publishPending || inUse
		}
	}
}

// inUseAgain reports whether a machine that was drained because it was idle, and is not
// any more, got work before its holder knew of the drain. Otherwise it would keep
// draining, its free room of no use to anybody, until its last task has ended; a
// replica of a daemon never does.
func (l *Leader) inUseAgain(name string) bool {
	at, ok := l.drainedIdle[name]
	if !ok {
		return false
	}
	holder := l.view.HolderOf(name)
	return l.loop.Now.Sub(at) > maxDrainInUse && (holder == l.view.Self || l.renewalReceived[holder].After(at.Add(maxDrainInUse)))
}

// reviewInstance drains a machine that is quarantined, or has been idle for too long
// and is not needed to cover the load.
func (l *Leader) reviewInstance(name string, idleS float64, quarantined bool) {
	if l.draining[name] || l.deleted[name] {
		return
	}
	maxIdle, bootS, spotCPUs, sizeKnown := maxIdleSpot, defaultBootS, 0.0, true
	if known := l.autoscaler.instances[name]; known != nil {
		machineType, ok := l.view.MachineTypes[known.machineType]
		if ok {
			bootS = machineType.BootS
		}
		if known.spot {
			spotCPUs, sizeKnown = machineType.CPUs, ok
		} else {
			maxIdle = maxIdleOnDemand
		}
	}
	tooLong := idleS > maxIdle*bootS
	notNeeded := sizeKnown && (spotCPUs == 0 || l.autoscaler.spotCPUs-spotCPUs >= l.autoscaler.spotTarget)
	if !quarantined && !(tooLong && notNeeded) {
		return
	}
	l.autoscaler.spotCPUs -= spotCPUs
	l.draining[name] = true
	if !quarantined {
		l.drainedIdle[name] = l.loop.Now
	}
	l.publishPending = true
}

// drainOnDemand drains on-demand machines while spot machines that are up have room for
// their work: they cost a multiple, and would stay busy for as long as there is any
// work.
func (l *Leader) drainOnDemand() {
	if !l.isLarge() {
		return // a small fleet would miss them soon after
	}
	if !l.sizesKnown() {
		return // the room that is needed for their work is not known
	}
	free, onDemandOnly, ok := l.freeSpotRoom()
	if !ok {
		return
	}
	free, candidates := l.drainCandidates(free, onDemandOnly)
	if free <= 0 || len(candidates) == 0 {
		return
	}
	pricePerCPU := func(name string) float64 {
		machineType := l.view.MachineTypes[l.autoscaler.instances[name].machineType]
		return machineType.Price / max(machineType.CPUs, 1)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(pricePerCPU(b), pricePerCPU(a)), cmp.Compare(a, b))
	})
	for _, name := range candidates {
		if cpus := l.instanceCPUs(name); cpus <= free {
			l.draining[name] = true
			l.publishPending = true
			free -= cpus
		}
	}
}

// sizesKnown reports whether the machine types of all rented machines are known. A leader that
// has just started may know none, and would take each machine for one of 0 processors.
func (l *Leader) sizesKnown() bool {
	for _, known := range l.autoscaler.instances {
		if _, ok := l.view.MachineTypes[known.machineType]; !ok {
			return false
		}
	}
	return true
}

// freeSpotRoom returns the processors that are free on spot machines, and the machines
// whose tasks may not run on these. ok is false when tasks wait for on-demand machines.
func (l *Leader) freeSpotRoom() (free float64, onDemandOnly map[string]bool, ok bool) {
	onDemandOnly = map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		renewal := l.renewals[node]
		for _, demand := range renewal.GetDemand() {
			if !demand.GetSpot() {
				return 0, nil, false
			}
		}
		for _, name := range l.unpackNames(renewal.GetOnDemandOnly()) {
			onDemandOnly[name] = true
		}
		free += renewal.GetFreeSpotCpus()
	}
	return free, onDemandOnly, true
}

// drainCandidates returns the on-demand machines that could be drained, and what of the
// free processors is left beside the reserve and the work of those that drain already.
func (l *Leader) drainCandidates(free float64, onDemandOnly map[string]bool) (left float64, candidates []string) {
	var taken sched.Sum
	for name, known := range l.autoscaler.instances {
		cpus := l.view.MachineTypes[known.machineType].CPUs
		if l.view.HolderOf(name) == "" || l.autoscaler.deleting[name] {
			continue
		}
		taken.Add(spotReserve * cpus)
		if l.draining[name] && !known.spot {
			taken.Add(cpus / 2) // about what it still runs, on average until it is empty
		} else if !known.spot && !onDemandOnly[name] {
			candidates = append(candidates, name)
		}
	}
	return free - taken.Value(), candidates
}

// rebalance drains idle machines so that they can go to controllers whose waiting tasks
// fit there. A machine stays where its holder has work for it, so that none goes back
// and forth.
func (l *Leader) rebalance() {
	for _, node := range cluster.SortedKeys(l.renewals) {
		if !l.isAlive(node) || len(l.renewals[node].GetDemand()) == 0 {
			continue
		}
		wanted := decodeDemands(l.renewals[node])
		for _, holder := range cluster.SortedKeys(l.renewals) {
			if holder != node && l.isAlive(holder) {
				wanted = l.reassignIdle(holder, node, wanted)
			}
		}
	}
}

// reassignIdle drains the idle machines of a holder that would take waiting tasks of
// another controller. It returns what of these is left.
func (l *Leader) reassignIdle(holder, to string, wanted []sched.Demand) []sched.Demand {
	own := decodeDemands(l.renewals[holder])
	for _, use := range l.renewals[holder].GetMachineUse() {
		name := use.GetName()
		known := l.autoscaler.instances[name]
		if known == nil || use.GetQuarantined() || use.GetDeparting() || use.GetIdleS() < minIdleToReassign ||
			l.draining[name] || l.view.HolderOf(name) != holder {
			continue
		}
		machine := []sched.Offer{{Type: known.machineType, Zone: known.zone, Spot: known.spot,
			Size: cluster.MachineSize(l.view.MachineTypes[known.machineType])}}
		left := sched.PackInto(wanted, machine)
		takesNone := slices.Equal(demandCounts(left), demandCounts(wanted))
		holderNeedsIt := !slices.Equal(demandCounts(sched.PackInto(own, machine)), demandCounts(own))
		if takesNone || holderNeedsIt {
			continue
		}
		wanted = left
		l.draining[name], l.reassignTo[name] = true, to
		l.drainedIdle[name] = l.loop.Now
		l.publishPending = true
	}
	return wanted
}

// demandCounts returns the number of tasks of each group.
func demandCounts(list []sched.Demand) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = list[i].Count
	}
	return out
}
