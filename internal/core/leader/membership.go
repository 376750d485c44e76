package leader

import (
	"slices"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Weights of the choice of a block for a new machine.
const (
	// partitionLoad is the load, in processors, that each partition of a controller
	// counts for: work will come there.
	partitionLoad = 0.01
	// minBlockCPUs is added to the size of every block, so that an empty one does not
	// count as infinitely loaded.
	minBlockCPUs = 8
	// sameZoneBonus is the factor by which a controller in the machine's zone is
	// preferred.
	sameZoneBonus = 1.01
)

// limitMembershipChanges sets how many machines may change blocks with this value: a
// transaction takes a limited number of changes.
func (l *Leader) limitMembershipChanges(p *proposal) {
	p.mayRemove, p.mayAdd = func(string) bool { return true }, func(string) bool { return true }
	if p.record.Form < leasevalue.FormPages {
		return
	}
	budget := l.pageTable.WriteBudget(l.view.Limits.Values())
	if l.minimalWrite {
		budget.Exhaust()
	}
	// What does not fit now is to be published with the next value.
	orLater := func(fits bool) bool {
		l.publishPending = l.publishPending || !fits
		return fits
	}
	p.mayRemove = func(name string) bool { return orLater(budget.RemoveMachine(name)) }
	p.mayAdd = func(node string) bool { return orLater(budget.AddMachine(node)) }
}

// hasNewHolder reports whether a released machine goes to another controller.
func (l *Leader) hasNewHolder(p *proposal, name string) bool {
	to := l.reassignTo[name]
	_, ok := p.record.Blocks[to]
	return ok && l.isAlive(to)
}

// removeMachines takes machines that are deleted or released out of their blocks, and
// lists those that are to drain. It returns the released ones.
func (l *Leader) removeMachines(p *proposal) (free []string) {
	draining := l.drainingByHolder(p)
	for _, node := range cluster.SortedKeys(p.record.Blocks) {
		block, released := p.record.Blocks[node], p.released[node]
		var kept [2]wire.NameSet
		for i, names := range []wire.NameSet{block.Machines, block.Unreconciled} {
			var freed []string
			kept[i], freed = l.keepMachines(p, names, released)
			free = append(free, freed...)
		}
		block.Machines, block.Unreconciled = kept[0], kept[1]
		block.Draining = draining[node]
		p.record.Blocks[node] = block
	}
	return free
}

// drainingByHolder returns the machines to drain by controller, as many as the value
// has room for; the others follow when these are released.
func (l *Leader) drainingByHolder(p *proposal) map[string][]string {
	draining := map[string][]string{}
	for i, name := range cluster.SortedKeys(l.draining) {
		if l.minimalWrite || p.record.Form >= leasevalue.FormPages && i >= leasevalue.MaxDraining(l.view.Limits.Values()) {
			break
		}
		holder := l.view.HolderOf(name)
		draining[holder] = append(draining[holder], name)
	}
	return draining
}

// keepMachines splits a set of a block's machines into those that stay in the block and
// those that its controller has released; deleted ones are in neither. A machine whose
// removal does not fit into this write stays.
func (l *Leader) keepMachines(p *proposal, names wire.NameSet, released map[string]bool) (kept wire.NameSet, freed []string) {
	if !slices.ContainsFunc(names, func(name string) bool { return l.deleted[name] || released[name] }) {
		return names, nil
	}
	for _, name := range names {
		switch {
		case (l.deleted[name] || released[name]) && !p.mayRemove(name):
			kept = append(kept, name)
		case !l.deleted[name] && released[name] && l.hasNewHolder(p, name) && !p.mayAdd(l.reassignTo[name]):
			kept = append(kept, name)
		case l.deleted[name]:
		case released[name]:
			freed = append(freed, name)
		default:
			kept = append(kept, name)
		}
	}
	return kept, freed
}

// addMachine puts a machine into a controller's block.
func (p *proposal) addMachine(node, name string) {
	if p.added[node] == nil {
		p.added[node] = map[string]bool{}
	}
	p.added[node][name] = true
}

// reassignMachines gives released machines to the controller that they were drained
// for, under a new and higher grant, or returns them to the cloud.
func (l *Leader) reassignMachines(p *proposal, free []string) {
	for _, name := range free {
		if !l.hasNewHolder(p, name) {
			l.autoscaler.deleting[name] = true
			continue
		}
		to := l.reassignTo[name]
		if p.added[to] == nil {
			block := p.record.Blocks[to]
			block.Grant = nextGrant(&p.record)
			p.record.Blocks[to] = block
		}
		p.addMachine(to, name)
	}
}

// admitMachines adds machines that have sent a heartbeat and are in no block to one.
func (l *Leader) admitMachines(p *proposal) {
	chooser := l.newBlockChooser(&p.record)
	admitted := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		for _, machine := range l.renewals[node].GetKnownMachines() {
			name := machine.GetName()
			if admitted[name] || l.view.HolderOf(name) != "" || l.deleted[name] || l.autoscaler.deleting[name] {
				continue
			}
			admitted[name] = true
			to := chooser.choose(machine)
			if !p.mayAdd(to) {
				continue
			}
			p.addMachine(to, name)
			l.autoscaler.recordInstance(machine, l.loop.Now)
		}
	}
}

// blockChooser chooses the block that a new machine joins.
type blockChooser struct {
	leader    *Leader
	alive     []string
	waiting   map[string][]sched.Demand
	busyCPUs  map[string]float64 // in use or waited for
	blockCPUs map[string]float64 // of each block's machines
	addedCPUs map[string]float64 // of the machines that were added with this value
}

// newBlockChooser returns a chooser for one lease value.
func (l *Leader) newBlockChooser(rec *wire.LeaseRecord) *blockChooser {
	c := &blockChooser{leader: l, waiting: map[string][]sched.Demand{},
		busyCPUs: map[string]float64{}, blockCPUs: map[string]float64{}, addedCPUs: map[string]float64{}}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if !l.isAlive(node) {
			continue
		}
		c.alive = append(c.alive, node)
		c.waiting[node] = decodeDemands(l.renewals[node])
		c.busyCPUs[node] = l.renewals[node].GetBusyCpus()
		for _, owner := range rec.Partitions {
			if owner == node {
				c.busyCPUs[node] += partitionLoad
			}
		}
		block := rec.Blocks[node]
		for _, names := range []wire.NameSet{block.Machines, block.Unreconciled} {
			for _, name := range names {
				c.blockCPUs[node] += l.instanceCPUs(name)
			}
		}
	}
	return c
}

// choose returns the controller whose block a machine joins: one with waiting work that
// would fill the machine, among those the one with the most work, waiting or running,
// for the processors that it has, and then one in the machine's zone.
func (c *blockChooser) choose(machine *peerpb.MachineInfo) string {
	best, bestFill, bestNeed := "", -1.0, -1.0
	machineType := c.leader.view.MachineTypes[machine.GetType()]
	for _, node := range c.alive {
		fill := c.waitingCPUs(node, machine)
		// Half full counts as full: then the load decides.
		if fill = max(0, fill); fill >= machineType.CPUs/2 {
			fill = machineType.CPUs
		}
		need := c.busyCPUs[node] / (minBlockCPUs + c.blockCPUs[node])
		if c.leader.view.ZoneOf(node) == machine.GetZone() {
			need *= sameZoneBonus
		}
		if fill > bestFill || (fill == bestFill && need > bestNeed) {
			best, bestFill, bestNeed = node, fill, need
		}
	}
	if best == "" {
		return c.leader.view.Self
	}
	c.blockCPUs[best] += max(1, machineType.CPUs)
	c.addedCPUs[best] += machineType.CPUs
	return best
}

// waitingCPUs returns the processors of a controller's waiting tasks that may run on a
// machine, less those of the machines that were added for them with this value.
func (c *blockChooser) waitingCPUs(node string, machine *peerpb.MachineInfo) float64 {
	size := cluster.MachineSize(c.leader.view.MachineTypes[machine.GetType()])
	cpus := -c.addedCPUs[node]
	for i := range c.waiting[node] {
		demand := &c.waiting[node][i]
		if demand.Allows(machine.GetType(), machine.GetZone(), machine.GetSpot()) && demand.Need.Fits(size) {
			cpus += float64(demand.Count) * demand.Need.CPUs
		}
	}
	return cpus
}

// instanceCPUs returns the processors of a rented machine, 0 if it is not known.
func (l *Leader) instanceCPUs(name string) float64 {
	if known := l.autoscaler.instances[name]; known != nil {
		return l.view.MachineTypes[known.machineType].CPUs
	}
	return 0
}
