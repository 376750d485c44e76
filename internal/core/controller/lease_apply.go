package controller

import (
	"fawncove/internal/wire"
)

// applyLease makes a newer lease value the current one, with what it means for this
// controller's leadership and block.
func (c *Core) applyLease(rec wire.LeaseRecord, version wire.Revision) {
	if version <= c.view.LeaseVersion || c.recovery != nil {
		return
	}
	if rec.Term < c.view.Lease.Term {
		// Terms only rise. A copy of before the last recovery may have higher revisions
		// than there were since; its value would take back partitions, terms and the level.
		c.startRecovery(stateLoss{reason: lossLease, revisionSeen: c.view.LeaseVersion, revisionFound: version})
		return
	}
	before, held := c.view.Lease.Blocks, c.holding()
	c.view.ApplyLease(rec, version)
	c.logShareChanges(held)
	if c.leader != nil {
		c.leader.LeaseApplied(before)
	}
	c.election.leaseApplied(before, c.view.Lease.Blocks, c.loop.Now)
	c.followLeadership(&rec)
	c.followBlock(&rec)
}

// followLeadership leads, or stops leading, as a lease value says.
func (c *Core) followLeadership(rec *wire.LeaseRecord) {
	if rec.Leader == c.view.Self && rec.Incarnation == c.blockLease.Incarnation() {
		if c.leader == nil || c.leader.Term() != rec.Term {
			c.becomeLeader(rec.Term)
		}
	} else if c.leader != nil {
		c.log.Info("leadership lost", "leader", rec.Leader, "term", rec.Term)
		c.stopLeading()
	}
}

// followBlock takes over the block that a lease value names for this process, or drops
// the one it had.
func (c *Core) followBlock(rec *wire.LeaseRecord) {
	b, ok := rec.Blocks[c.view.Self]
	if !ok || b.Incarnation != c.blockLease.Incarnation() {
		if c.blockLease.Held() {
			c.log.Info("block lease lost", "machines", c.owner.MachineCount())
			c.loseBlock()
		}
		if ok && !c.shuttingDown {
			// A process that is back within a moment may have started by a clock that
			// stood lower than its predecessor's. Its renewals would be ignored then.
			c.blockLease.RaiseIncarnationAbove(b.Incarnation)
		}
		c.blockLease.RequestRenewal()
		return
	}
	changed := c.blockLease.Renewed(b)
	c.owner.ApplyBlock(b)
	if changed && c.owner.ReleasesMachines() {
		c.blockLease.RequestRenewal() // only machines released under this grant count
	}
}

// loseBlock forgets everything that depended on the right to a block.
func (c *Core) loseBlock() {
	c.blockLease.Release()
	c.owner.ReleaseBlock()
}
