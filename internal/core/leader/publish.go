package leader

import (
	"slices"

	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// proposal is a lease value in the making.
type proposal struct {
	record   wire.LeaseRecord
	released map[string]map[string]bool // machines that their controllers released, by controller
	added    map[string]map[string]bool // machines that join blocks, by controller
	// mayRemove and mayAdd count the changes of membership. A transaction takes only so
	// many; what does not fit into this one is as true with the next, a moment later.
	mayRemove func(machine string) bool
	mayAdd    func(node string) bool
}

// Publish proposes the next lease value: renewals, takeovers, partitions, quota shares,
// machines that change blocks, and the sums of waiting tasks. own is this controller's
// renewal, numbered as its next one. stored is to be called once the value is stored.
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
	p.joinAdded()
	p.record.Waiting = l.waitingByType()
	l.minimalWrite = false
	return p.record, stored
}

// joinAdded puts the machines that were added into their blocks.
func (p *proposal) joinAdded() {
	for node, names := range p.added {
		block := p.record.Blocks[node]
		block.Machines = append(slices.Clone(block.Machines), cluster.SortedKeys(names)...)
		slices.Sort(block.Machines)
		p.record.Blocks[node] = block
	}
}

// waitingByType sums up the tasks that wait, by machine type.
func (l *Leader) waitingByType() map[string]int {
	waiting := map[string]int{}
	for _, renewal := range l.renewals {
		for machineType, count := range renewal.GetWaiting() {
			waiting[machineType] += int(count)
		}
	}
	return waiting
}
