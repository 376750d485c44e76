package leader

import (
	"slices"

	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// takeOverLapsed gives each block whose lease has lapsed to one successor, machines and
// partitions together, since tasks are only ever on their owner's machines. stored is to
// be called once the value is stored: a leader whose write is refused, or that was
// replaced while it was suspended, finds leases lapsed at every try.
func (l *Leader) takeOverLapsed(rec *wire.LeaseRecord) (stored func()) {
	stored = func() {}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		former := rec.Blocks[node]
		resigned := l.hasResigned(node, former)
		if node == l.view.Self || (!resigned && !l.leaseLapsed(node)) {
			continue
		}
		delete(rec.Blocks, node)
		if !resigned {
			delete(l.renewals, node)
		}
		successor := l.successor(rec, node)
		inheritBlock(rec, node, successor, former)
		before := stored
		stored = func() {
			before()
			l.log.Info("block taken over", "controller", node, "resigned", resigned, "successor", successor,
				"machines", len(former.Machines)+len(former.Unreconciled))
		}
	}
	return stored
}

// hasResigned reports whether a controller has given up its block. It says so as a later
// incarnation than the block was granted to, so nothing has to lapse.
func (l *Leader) hasResigned(node string, block wire.Block) bool {
	r := l.renewals[node]
	return r.GetResigned() && incarnationOf(r) > block.Incarnation
}

// leaseLapsed reports whether a controller's block lease has surely ended, by its own
// clock too.
func (l *Leader) leaseLapsed(node string) bool {
	return l.loop.Now.Sub(l.leaseRenewed[node]) > cluster.RemoteDuration(l.view.Params.LeaseDuration)
}

// inheritBlock gives the machines, quota shares and partitions of a controller that has
// ended to its successor, under a new grant. The machines may run tasks that the
// successor does not know.
func inheritBlock(rec *wire.LeaseRecord, node, successor string, former wire.Block) {
	block := rec.Blocks[successor]
	block.Unreconciled = slices.Concat(block.Unreconciled, former.Machines, former.Unreconciled)
	slices.Sort(block.Unreconciled)
	block.Grant = nextGrant(rec)
	rec.Blocks[successor] = block
	transferShares(rec, node, successor)
	for partition, owner := range rec.Partitions {
		if owner == node {
			rec.Partitions[partition] = successor
		}
	}
}

// successor returns the controller that takes over a dead one's block: the one alive
// with the smallest block, or this one.
func (l *Leader) successor(rec *wire.LeaseRecord, former string) string {
	best := l.view.Self
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == former || !l.isAlive(node) {
			continue
		}
		if machineCount(rec, node) < machineCount(rec, best) {
			best = node
		}
	}
	return best
}

// machineCount returns the number of machines in a controller's block.
func machineCount(rec *wire.LeaseRecord, node string) int {
	block := rec.Blocks[node]
	return len(block.Machines) + len(block.Unreconciled)
}

// nextGrant returns a number for a new grant. It only ever rises, with the term in its
// upper bits, since tokens and attempts are made of it.
func nextGrant(rec *wire.LeaseRecord) wire.Grant {
	rec.LastGrant = max(rec.LastGrant+1, wire.FirstGrant(rec.Term))
	return rec.LastGrant
}

// GrantAnew gives a controller's block to a new process of that controller. The old
// process is dead, so no lease has to lapse, but the machines may run tasks that the new
// process does not know.
func GrantAnew(rec *wire.LeaseRecord, node string, incarnation wire.Incarnation) {
	block := rec.Blocks[node]
	if block.Incarnation == incarnation {
		return
	}
	block.Unreconciled = slices.Concat(block.Unreconciled, block.Machines)
	slices.Sort(block.Unreconciled)
	block.Machines, block.Renewal, block.Incarnation = nil, 0, incarnation
	block.Grant = nextGrant(rec)
	rec.Blocks[node] = block
}
