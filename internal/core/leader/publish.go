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
	rec  wire.LeaseRecord
	gave map[string]map[string]bool // machines given back, by controller
	// A transaction takes so many changes only. What does not find room in
	// this one is as true at the next, a moment later.
	leave func(machine string) bool
	enter func(node string) bool
	// joined are the machines that come into blocks, by controller.
	joined map[string]map[string]bool
}

// Publish proposes the next lease value: renewals, takeovers, homes, shares,
// moves of machines and the sums of waiting tasks. own is this controller's
// renewal, numbered as its next one. stored is to be called once the value is
// stored: only then has happened what it says.
func (l *Leader) Publish(own *peerpb.Renewal) (rec wire.LeaseRecord, stored func()) {
	l.renewals[l.view.Self] = own
	p := &proposal{rec: l.view.Lease.Clone(), gave: map[string]map[string]bool{}, joined: map[string]map[string]bool{}}
	p.rec.Sequence++
	l.honour(&p.rec, l.view.Self, own)
	GrantAnew(&p.rec, l.view.Self, l.inc)
	l.renew(p)
	stored = l.takeOver(&p.rec)
	l.settleHomes(&p.rec)
	l.settleForm(&p.rec)
	l.raiseLevel(&p.rec)
	l.raiseShares(&p.rec)
	l.limit(p)
	l.handOver(p, l.partWith(p))
	l.welcome(p)
	for node, names := range p.joined {
		b := p.rec.Blocks[node]
		b.Machines = append(slices.Clone(b.Machines), cluster.SortedKeys(names)...)
		slices.Sort(b.Machines)
		p.rec.Blocks[node] = b
	}
	p.rec.Waiting = map[string]int{}
	for _, r := range l.renewals {
		for kind, n := range r.GetWaiting() {
			p.rec.Waiting[kind] += int(n)
		}
	}
	l.lean = false
	return p.rec, stored
}

// renew takes the controllers' renewals into the value.
func (l *Leader) renew(p *proposal) {
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		if node != l.view.Self && !r.GetResigned() {
			if old, ok := p.rec.Blocks[node]; !ok || old.Incarnation != r.GetIncarnation() {
				// A controller whose lease lapsed and that is back begins
				// anew; by its old date it would lapse again at once.
				l.renewedAt[node] = l.loop.Now
			}
			GrantAnew(&p.rec, node, r.GetIncarnation())
			b := p.rec.Blocks[node]
			if r.GetNumber() > b.Renewal {
				l.honour(&p.rec, node, r)
			}
			b.Renewal = r.GetNumber()
			p.rec.Blocks[node] = b
		}
		p.gave[node] = map[string]bool{}
		// What it gave back under an earlier grant it may have again, with tasks.
		if r.GetGrant() != p.rec.Blocks[node].Grant {
			continue
		}
		for _, name := range l.unpack(r.GetReleased()) {
			p.gave[node][name] = true
		}
	}
}

// takeOver gives blocks whose leases have lapsed to one successor, machines and
// homes together, since tasks are only ever on their owner's machines.
func (l *Leader) takeOver(rec *wire.LeaseRecord) (stored func()) {
	stored = func() {}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		dead := rec.Blocks[node]
		// Who resigned did so as a later incarnation than the block was
		// granted to, so nothing has to lapse.
		resigned := l.renewals[node].GetResigned() && l.renewals[node].GetIncarnation() > dead.Incarnation
		if node == l.view.Self || (!resigned && l.loop.Now.Sub(l.renewedAt[node]) <= cluster.RemoteDuration(l.view.Params.LeaseDuration)) {
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
		inherit(rec, node, to)
		for team, home := range rec.Partitions {
			if home == node {
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
func (l *Leader) limit(p *proposal) {
	p.leave, p.enter = func(string) bool { return true }, func(string) bool { return true }
	if p.rec.Form < 2 {
		return
	}
	budget := l.book.WriteBudget(l.view.Settings.ValueLimits())
	if l.lean {
		budget.Exhaust()
	}
	put := func(yes bool) bool {
		l.dirty = l.dirty || !yes
		return yes
	}
	p.leave = func(name string) bool { return put(budget.RemoveMachine(name)) }
	p.enter = func(node string) bool { return put(budget.AddMachine(node)) }
}

// settled tells whether a machine that was given back goes to another
// controller.
func (l *Leader) settled(p *proposal, name string) bool {
	to := l.moves[name]
	_, ok := p.rec.Blocks[to]
	return ok && l.alive(to)
}

// partWith takes machines that are gone or given back out of their blocks, and
// names those that are recalled. It returns what was given back.
func (l *Leader) partWith(p *proposal) (free []string) {
	recalls := map[string][]string{}
	for i, n := range cluster.SortedKeys(l.recalls) {
		if l.lean || p.rec.Form >= 2 && i >= leasevalue.MaxDraining(l.view.Settings.ValueLimits()) {
			break // the others follow when these are back
		}
		recalls[l.view.HolderOf(n)] = append(recalls[l.view.HolderOf(n)], n)
	}
	for _, node := range cluster.SortedKeys(p.rec.Blocks) {
		b, gave := p.rec.Blocks[node], p.gave[node]
		keep := func(names []string) []string {
			if !slices.ContainsFunc(names, func(n string) bool { return l.gone[n] || gave[n] }) {
				return names
			}
			var out []string
			for _, n := range names {
				switch {
				case (l.gone[n] || gave[n]) && !p.leave(n):
					out = append(out, n)
				case !l.gone[n] && gave[n] && l.settled(p, n) && !p.enter(l.moves[n]):
					out = append(out, n)
				case l.gone[n]:
				case gave[n]:
					free = append(free, n)
				default:
					out = append(out, n)
				}
			}
			return out
		}
		b.Machines, b.Unreconciled = keep(b.Machines), keep(b.Unreconciled)
		b.Draining = recalls[node]
		p.rec.Blocks[node] = b
	}
	return free
}

// join lets a machine come into a controller's block.
func (p *proposal) join(node, name string) {
	if p.joined[node] == nil {
		p.joined[node] = map[string]bool{}
	}
	p.joined[node][name] = true
}

// handOver gives what was given back to the controller it was recalled for,
// under a new and higher grant, or back to the cloud.
func (l *Leader) handOver(p *proposal, free []string) {
	for _, n := range free {
		if !l.settled(p, n) {
			l.fleet.leaving[n] = true
			continue
		}
		to := l.moves[n]
		if p.joined[to] == nil {
			b := p.rec.Blocks[to]
			b.Grant = nextGrant(&p.rec)
			p.rec.Blocks[to] = b
		}
		p.join(to, n)
	}
}

// welcome lets machines that reported and are in no block join one.
func (l *Leader) welcome(p *proposal) {
	choose := l.joiner(&p.rec)
	fresh := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		for _, s := range l.renewals[node].GetKnownMachines() {
			n := s.GetName()
			if fresh[n] || l.view.HolderOf(n) != "" || l.gone[n] || l.fleet.leaving[n] {
				continue
			}
			fresh[n] = true
			to := choose(s)
			if !p.enter(to) {
				continue
			}
			p.join(to, n)
			l.fleet.seen(s, l.loop.Now)
		}
	}
}

// successor chooses who takes over a dead controller's block.
func (l *Leader) successor(rec *wire.LeaseRecord, dead string) string {
	best := l.view.Self
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == dead || !l.alive(node) {
			continue
		}
		if load(rec, node) < load(rec, best) {
			best = node
		}
	}
	return best
}

func load(rec *wire.LeaseRecord, node string) int {
	b := rec.Blocks[node]
	return len(b.Machines) + len(b.Unreconciled)
}

// joiner returns a function that chooses the block a new machine joins: that
// of a controller with waiting work that would fill it, among those the one
// with most work, waiting or running, for the processors it has, and then one
// in the machine's zone.
func (l *Leader) joiner(rec *wire.LeaseRecord) func(s *peerpb.MachineInfo) string {
	busy, size, given := map[string]float64{}, map[string]float64{}, map[string]float64{}
	waits := map[string][]sched.Demand{}
	var live []string
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if !l.alive(node) {
			continue
		}
		live = append(live, node)
		busy[node] = l.renewals[node].GetBusyCpus()
		waits[node] = demands(l.renewals[node])
		for _, home := range rec.Partitions {
			if home == node {
				busy[node] += 0.01 // where work will come
			}
		}
		b := rec.Blocks[node]
		for _, names := range [][]string{b.Machines, b.Unreconciled} {
			for _, n := range names {
				size[node] += l.cpusOf(n)
			}
		}
	}
	return func(s *peerpb.MachineInfo) string {
		best, bestFill, bestNeed := "", -1.0, -1.0
		kind := l.view.MachineTypes[s.GetType()]
		for _, node := range live {
			fill := -given[node]
			for i := range waits[node] {
				if d := &waits[node][i]; d.Allows(s.GetType(), s.GetZone(), s.GetSpot()) && d.Need.Fits(cluster.MachineSize(kind)) {
					fill += float64(d.Count) * d.Need.CPUs
				}
			}
			// Half full is as good as full: the load decides then.
			if fill = max(0, fill); fill >= kind.CPUs/2 {
				fill = kind.CPUs
			}
			need := busy[node] / (8 + size[node])
			if l.view.ZoneOf(node) == s.GetZone() {
				need *= 1.01
			}
			if fill > bestFill || (fill == bestFill && need > bestNeed) {
				best, bestFill, bestNeed = node, fill, need
			}
		}
		if best == "" {
			return l.view.Self
		}
		size[best] += max(1, kind.CPUs)
		given[best] += kind.CPUs
		return best
	}
}

// cpusOf is the size of a rented machine, as the leader knows it.
func (l *Leader) cpusOf(name string) float64 {
	if r := l.fleet.machines[name]; r != nil {
		return l.view.MachineTypes[r.kind].CPUs
	}
	return 0
}

// formPart is from which part of its size on the lease value is stored with
// pages. Small fleets do without, which costs fewer changes.
const formPart = 0.5

// mayPage tells whether the lease value can be stored with pages: whether all
// controllers read that form. One that does not would be granted nothing.
func (l *Leader) mayPage() bool {
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

// settleForm decides in which form the value is stored from now on, as long as
// the cluster has no level: versions from before levels ask each other which
// forms they read. There is no way back from a newer form.
func (l *Leader) settleForm(rec *wire.LeaseRecord) {
	if rec.Form >= 2 || !l.mayPage() {
		return
	}
	if float64(l.plainSize()) > formPart*1024*l.view.Settings.Cluster.State.ValueKB {
		rec.Form = 2
		l.log.Info("lease value is stored with pages from now on")
	}
}
