package leader

import (
	"slices"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// nextGrant returns a number for a new grant. It rises for good, with the
// term in its upper bits, since tokens and attempts are made of it.
func nextGrant(rec *wire.LeaseRecord) uint64 {
	rec.LastGrant = max(rec.LastGrant+1, rec.Term<<16)
	return rec.LastGrant
}

// GrantAnew gives a controller's block to a new process of that controller. Its
// old one is dead, so nothing has to lapse, but all machines may run tasks
// that the new process knows nothing of.
func GrantAnew(rec *wire.LeaseRecord, node string, inc uint64) {
	b := rec.Blocks[node]
	if b.Incarnation == inc {
		return
	}
	b.Unreconciled = append(slices.Clone(b.Unreconciled), b.Machines...)
	slices.Sort(b.Unreconciled)
	b.Machines, b.Renewal, b.Incarnation = nil, 0, inc
	b.Grant = nextGrant(rec)
	rec.Blocks[node] = b
}

// proposal is a lease value in the making.
type proposal struct {
	record   wire.LeaseRecord
	released map[string]map[string]bool // machines given back, by controller
	// A transaction takes so many changes only. What does not find room in
	// this one is as true at the next, a moment later.
	mayRemove func(machine string) bool
	mayAdd    func(node string) bool
	// joined are the machines that come into blocks, by controller.
	added map[string]map[string]bool
}

// Publish proposes the next lease value: renewals, takeovers, homes, shares,
// moves of machines and the sums of waiting tasks. own is this controller's
// renewal, numbered as its next one. stored is to be called once the value is
// stored: only then has happened what it says.
func (l *Leader) Publish(own *peerpb.Renewal) (rec wire.LeaseRecord, stored func()) {
	l.renewals[l.view.Self] = own
	p := &proposal{record: l.view.Lease.Clone(), released: map[string]map[string]bool{}, added: map[string]map[string]bool{}}
	p.record.Sequence++
	l.applyReservations(&p.record, l.view.Self, own)
	GrantAnew(&p.record, l.view.Self, l.incarnation)
	l.applyRenewals(p)
	stored = l.takeOverLapsed(&p.record)
	l.assignPartitions(&p.record)
	l.chooseLeaseForm(&p.record)
	l.raiseLevel(&p.record)
	l.distributeShares(&p.record)
	l.limitMembershipChanges(p)
	l.reassignMachines(p, l.removeMachines(p))
	l.admitMachines(p)
	for node, names := range p.added {
		b := p.record.Blocks[node]
		b.Machines = append(slices.Clone(b.Machines), cluster.SortedKeys(names)...)
		slices.Sort(b.Machines)
		p.record.Blocks[node] = b
	}
	p.record.Waiting = map[string]int{}
	for _, r := range l.renewals {
		for kind, n := range r.GetWaiting() {
			p.record.Waiting[kind] += int(n)
		}
	}
	l.minimalWrite = false
	return p.record, stored
}

// renew takes the controllers' renewals into the value.
func (l *Leader) applyRenewals(p *proposal) {
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		if node != l.view.Self && !r.GetResigned() {
			if old, ok := p.record.Blocks[node]; !ok || old.Incarnation != r.GetIncarnation() {
				// A controller whose lease lapsed and that is back begins
				// anew; by its old date it would lapse again at once.
				l.leaseRenewed[node] = l.loop.Now
			}
			GrantAnew(&p.record, node, r.GetIncarnation())
			b := p.record.Blocks[node]
			if r.GetNumber() > b.Renewal {
				l.applyReservations(&p.record, node, r)
			}
			b.Renewal = r.GetNumber()
			p.record.Blocks[node] = b
		}
		p.released[node] = map[string]bool{}
		// What it gave back under an earlier grant it may have again, with tasks.
		if r.GetGrant() != p.record.Blocks[node].Grant {
			continue
		}
		for _, name := range l.unpackNames(r.GetReleased()) {
			p.released[node][name] = true
		}
	}
}

// takeOver gives blocks whose leases have lapsed to one successor, machines and
// homes together, since tasks are only ever on their owner's machines.
func (l *Leader) takeOverLapsed(rec *wire.LeaseRecord) (stored func()) {
	stored = func() {}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		dead := rec.Blocks[node]
		// Who resigned did so as a later incarnation than the block was
		// granted to, so nothing has to lapse.
		resigned := l.renewals[node].GetResigned() && l.renewals[node].GetIncarnation() > dead.Incarnation
		if node == l.view.Self || (!resigned && l.loop.Now.Sub(l.leaseRenewed[node]) <= cluster.RemoteDuration(l.view.Params.LeaseDuration)) {
			continue
		}
		delete(rec.Blocks, node)
		if !resigned {
			delete(l.renewals, node)
		}
		to := l.successor(rec, node)
		b := rec.Blocks[to]
		b.Unreconciled = append(append(slices.Clone(b.Unreconciled), dead.Machines...), dead.Unreconciled...)
		slices.Sort(b.Unreconciled)
		b.Grant = nextGrant(rec)
		rec.Blocks[to] = b
		transferShares(rec, node, to)
		for team, holder := range rec.Partitions {
			if holder == node {
				rec.Partitions[team] = to
			}
		}
		// Only what is stored has happened: a leader that is refused, or was
		// replaced while it stood still, takes leases for lapsed at every try.
		before := stored
		stored = func() {
			before()
			l.log.Info("lease lapsed", "node", node, "resigned", resigned, "successor", to, "machines", len(dead.Machines)+len(dead.Unreconciled))
		}
	}
	return stored
}

// limit sets how many machines may change blocks with this value.
func (l *Leader) limitMembershipChanges(p *proposal) {
	p.mayRemove, p.mayAdd = func(string) bool { return true }, func(string) bool { return true }
	if p.record.Form < 2 {
		return
	}
	budget := l.pageTable.WriteBudget(l.view.Settings.ValueLimits())
	if l.minimalWrite {
		budget.Exhaust()
	}
	put := func(yes bool) bool {
		l.publishPending = l.publishPending || !yes
		return yes
	}
	p.mayRemove = func(name string) bool { return put(budget.RemoveMachine(name)) }
	p.mayAdd = func(node string) bool { return put(budget.AddMachine(node)) }
}

// settled tells whether a machine that was given back goes to another
// controller.
func (l *Leader) hasNewHolder(p *proposal, name string) bool {
	to := l.reassignTo[name]
	_, ok := p.record.Blocks[to]
	return ok && l.isAlive(to)
}

// partWith takes machines that are gone or given back out of their blocks, and
// names those that are recalled. It returns what was given back.
func (l *Leader) removeMachines(p *proposal) (free []string) {
	draining := map[string][]string{}
	for i, name := range cluster.SortedKeys(l.draining) {
		if l.minimalWrite || p.record.Form >= 2 && i >= leasevalue.MaxDraining(l.view.Settings.ValueLimits()) {
			break // the others follow when these are back
		}
		draining[l.view.HolderOf(name)] = append(draining[l.view.HolderOf(name)], name)
	}
	for _, node := range cluster.SortedKeys(p.record.Blocks) {
		block, released := p.record.Blocks[node], p.released[node]
		keep := func(names []string) []string {
			if !slices.ContainsFunc(names, func(name string) bool { return l.deleted[name] || released[name] }) {
				return names
			}
			var out []string
			for _, name := range names {
				switch {
				case (l.deleted[name] || released[name]) && !p.mayRemove(name):
					out = append(out, name)
				case !l.deleted[name] && released[name] && l.hasNewHolder(p, name) && !p.mayAdd(l.reassignTo[name]):
					out = append(out, name)
				case l.deleted[name]:
				case released[name]:
					free = append(free, name)
				default:
					out = append(out, name)
				}
			}
			return out
		}
		block.Machines, block.Unreconciled = keep(block.Machines), keep(block.Unreconciled)
		block.Draining = draining[node]
		p.record.Blocks[node] = block
	}
	return free
}

// join lets a machine come into a controller's block.
func (p *proposal) addMachine(node, name string) {
	if p.added[node] == nil {
		p.added[node] = map[string]bool{}
	}
	p.added[node][name] = true
}

// handOver gives what was given back to the controller it was recalled for,
// under a new and higher grant, or back to the cloud.
func (l *Leader) reassignMachines(p *proposal, free []string) {
	for _, n := range free {
		if !l.hasNewHolder(p, n) {
			l.autoscaler.deleting[n] = true
			continue
		}
		to := l.reassignTo[n]
		if p.added[to] == nil {
			b := p.record.Blocks[to]
			b.Grant = nextGrant(&p.record)
			p.record.Blocks[to] = b
		}
		p.addMachine(to, n)
	}
}

// welcome lets machines that reported and are in no block join one.
func (l *Leader) admitMachines(p *proposal) {
	choose := l.newBlockChooser(&p.record)
	admitted := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		for _, machine := range l.renewals[node].GetKnownMachines() {
			name := machine.GetName()
			if admitted[name] || l.view.HolderOf(name) != "" || l.deleted[name] || l.autoscaler.deleting[name] {
				continue
			}
			admitted[name] = true
			to := choose(machine)
			if !p.mayAdd(to) {
				continue
			}
			p.addMachine(to, name)
			l.autoscaler.recordInstance(machine, l.loop.Now)
		}
	}
}

// successor chooses who takes over a dead controller's block.
func (l *Leader) successor(rec *wire.LeaseRecord, dead string) string {
	best := l.view.Self
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == dead || !l.isAlive(node) {
			continue
		}
		if machineCount(rec, node) < machineCount(rec, best) {
			best = node
		}
	}
	return best
}

func machineCount(rec *wire.LeaseRecord, node string) int {
	b := rec.Blocks[node]
	return len(b.Machines) + len(b.Unreconciled)
}

// joiner returns a function that chooses the block a new machine joins: that
// of a controller with waiting work that would fill it, among those the one
// with most work, waiting or running, for the processors it has, and then one
// in the machine's zone.
func (l *Leader) newBlockChooser(rec *wire.LeaseRecord) func(machine *peerpb.MachineInfo) string {
	busyCPUs, blockCPUs, addedCPUs := map[string]float64{}, map[string]float64{}, map[string]float64{}
	waiting := map[string][]sched.Demand{}
	var alive []string
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if !l.isAlive(node) {
			continue
		}
		alive = append(alive, node)
		busyCPUs[node] = l.renewals[node].GetBusyCpus()
		waiting[node] = decodeDemands(l.renewals[node])
		for _, holder := range rec.Partitions {
			if holder == node {
				busyCPUs[node] += 0.01 // where work will come
			}
		}
		b := rec.Blocks[node]
		for _, names := range [][]string{b.Machines, b.Unreconciled} {
			for _, n := range names {
				blockCPUs[node] += l.instanceCPUs(n)
			}
		}
	}
	return func(machine *peerpb.MachineInfo) string {
		best, bestFill, bestNeed := "", -1.0, -1.0
		machineType := l.view.MachineTypes[machine.GetType()]
		for _, node := range alive {
			fill := -addedCPUs[node]
			for i := range waiting[node] {
				if d := &waiting[node][i]; d.Allows(machine.GetType(), machine.GetZone(), machine.GetSpot()) && d.Need.Fits(cluster.MachineSize(machineType)) {
					fill += float64(d.Count) * d.Need.CPUs
				}
			}
			// Half full is as good as full: the load decides then.
			if fill = max(0, fill); fill >= machineType.CPUs/2 {
				fill = machineType.CPUs
			}
			need := busyCPUs[node] / (8 + blockCPUs[node])
			if l.view.ZoneOf(node) == machine.GetZone() {
				need *= 1.01
			}
			if fill > bestFill || (fill == bestFill && need > bestNeed) {
				best, bestFill, bestNeed = node, fill, need
			}
		}
		if best == "" {
			return l.view.Self
		}
		blockCPUs[best] += max(1, machineType.CPUs)
		addedCPUs[best] += machineType.CPUs
		return best
	}
}

// cpusOf is the size of a rented machine, as the leader knows it.
func (l *Leader) instanceCPUs(name string) float64 {
	if r := l.autoscaler.instances[name]; r != nil {
		return l.view.MachineTypes[r.machineType].CPUs
	}
	return 0
}

// pagedValuePart is from which part of its size on the lease value is stored with
// pages. Small fleets do without, which costs fewer changes.
const pagedValuePart = 0.5

// mayPage tells whether the lease value can be stored with pages: whether all
// controllers read that form. One that does not would be granted nothing.
func (l *Leader) canStorePages() bool {
	if l.view.Lease.Form >= 2 {
		return true
	}
	if l.view.Settings.Cluster.State.TxnOps < leasevalue.MinTxnOpsForPages {
		return false
	}
	for _, p := range l.view.Peers {
		if p.LeaseForm < 2 {
			return false
		}
	}
	return true
}

// chooseLeaseForm decides in which form the value is stored from now on, as long as
// the cluster has no level: versions from before levels ask each other which
// forms they read. There is no way back from a newer form.
func (l *Leader) chooseLeaseForm(rec *wire.LeaseRecord) {
	if rec.Form >= 2 || !l.canStorePages() {
		return
	}
	if float64(l.inlineValueSize()) > pagedValuePart*1024*l.view.Settings.Cluster.State.ValueKB {
		rec.Form = 2
		l.log.Info("lease value is stored with pages from now on")
	}
}
