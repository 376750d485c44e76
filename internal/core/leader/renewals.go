package leader

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// HandleRenewal takes in another controller's renewal. It returns false for one that is
// older than what is known.
func (l *Leader) HandleRenewal(r *peerpb.Renewal) bool {
	node := r.GetNode()
	if old := l.renewals[node]; old != nil && !newerRenewal(r, old) {
		return false
	}
	block, known := l.view.Lease.Blocks[node]
	if incarnationOf(r) < block.Incarnation || (incarnationOf(r) == block.Incarnation && r.GetNumber() < block.Renewal) {
		return false // from before this controller led
	}
	l.renewals[node], l.renewalReceived[node] = r, l.loop.Now
	hasChanges := len(r.GetReleased())+len(r.GetSilentMachines())+len(r.GetKnownMachines())+len(r.GetHandovers()) > 0
	if !known || block.Incarnation != incarnationOf(r) || r.GetResigned() || hasChanges {
		l.publishPending = true
	}
	return true
}

// newerRenewal reports whether a renewal was sent after another of the same controller.
func newerRenewal(r, old *peerpb.Renewal) bool {
	if r.GetIncarnation() != old.GetIncarnation() {
		return r.GetIncarnation() > old.GetIncarnation()
	}
	return r.GetNumber() > old.GetNumber()
}

// LeaseApplied records that the view has a newer value, where before it had these
// blocks. The leases that it renews count from now, whoever wrote it and however it was
// learnt of: a write without an answer may be executed late, and its holders then have
// the time that it gives them.
func (l *Leader) LeaseApplied(before map[string]wire.Block) {
	NoteRenewals(l.leaseRenewed, before, l.view.Lease.Blocks, l.loop.Now)
}

// NoteRenewals notes in renewedAt, by controller, which block leases a newer value renews: those
// with another renewal than before, or of another process.
func NoteRenewals(renewedAt map[string]time.Time, before, after map[string]wire.Block, now time.Time) {
	for node, block := range after {
		if old, ok := before[node]; !ok || block.Renewal != old.Renewal || block.Incarnation != old.Incarnation {
			renewedAt[node] = now
		}
	}
}

// isAlive reports whether a controller renewed lately.
func (l *Leader) isAlive(node string) bool {
	received, ok := l.renewalReceived[node]
	if l.renewals[node].GetResigned() {
		return false
	}
	return node == l.view.Self || (ok && l.loop.Now.Sub(received) < 2*l.view.Params.PublishInterval+time.Second)
}

// unpackNames decodes a set of machines of a renewal.
func (l *Leader) unpackNames(text string) []string {
	names, err := wire.UnpackNames(text)
	if err != nil {
		l.log.Error("cannot decode names in renewal", "err", err)
	}
	return names
}

// applyRenewals takes the controllers' renewals into the value: their blocks are renewed,
// or granted anew to a new process, and what they released is collected.
func (l *Leader) applyRenewals(p *proposal) {
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		if node != l.view.Self && !r.GetResigned() {
			l.renewBlock(p, node, r)
		}
		p.released[node] = map[string]bool{}
		// A machine that was released under an earlier grant may be in the block again,
		// with tasks.
		if grantOf(r) != p.record.Blocks[node].Grant {
			continue
		}
		for _, name := range l.unpackNames(r.GetReleased()) {
			p.released[node][name] = true
		}
	}
}

// renewBlock renews a controller's block lease, or grants a block to its new process.
func (l *Leader) renewBlock(p *proposal, node string, r *peerpb.Renewal) {
	if old, ok := p.record.Blocks[node]; !ok || old.Incarnation != incarnationOf(r) {
		// A controller that is back after its lease has lapsed begins anew; counted from
		// its earlier renewal the lease would lapse again at once.
		l.leaseRenewed[node] = l.loop.Now
	}
	GrantAnew(&p.record, node, incarnationOf(r))
	block := p.record.Blocks[node]
	if r.GetNumber() > block.Renewal {
		l.applyReservations(&p.record, node, r)
	}
	block.Renewal = r.GetNumber()
	p.record.Blocks[node] = block
}

// incarnationOf returns the incarnation of a renewal's sender.
func incarnationOf(r *peerpb.Renewal) wire.Incarnation { return wire.Incarnation(r.GetIncarnation()) }

// grantOf returns the grant under which the sender of a renewal held its block; 0: none.
func grantOf(r *peerpb.Renewal) wire.Grant { return wire.Grant(r.GetGrant()) }

// decodeDemands decodes the waiting tasks of a renewal.
func decodeDemands(r *peerpb.Renewal) []sched.Demand {
	var out []sched.Demand
	for _, d := range r.GetDemand() {
		out = append(out, sched.Demand{
			Rank:         int(d.GetRank()),
			Need:         sched.Resources{CPUs: d.GetCpus(), GPUs: d.GetGpus(), MemoryGB: d.GetMemoryGb()},
			Types:        d.GetTypes(),
			Zone:         d.GetZone(),
			Spot:         d.GetSpot(),
			Count:        int(d.GetCount()),
			RunS:         max(1, d.GetRunS()),
			ProvisionAll: d.GetProvisionAll(),
			Overdue:      d.GetOverdue(),
			SlackS:       d.GetSlackS(),
		})
	}
	return out
}
