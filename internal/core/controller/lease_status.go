package controller

import (
	"time"

	"fawncove/internal/wire"
)

// leaseStatusInterval is the longest time between two lines that say who leads and which
// block lease is held here, so that any minute of a log says it.
const leaseStatusInterval = time.Minute

// leaseStatus is what a controller logs of the leases as soon as it changes.
type leaseStatus struct {
	leader string
	term   wire.Term
	grant  wire.Grant // of this controller's block; 0: none
}

// leaseStatusLog is what was last logged of the leases, and when the next line is due.
type leaseStatusLog struct {
	logged leaseStatus
	nextAt time.Time
}

// logLeaseStatus logs who leads and which block lease is held here: at each change, and
// every leaseStatusInterval.
func (c *Core) logLeaseStatus() {
	status := leaseStatus{leader: c.view.Lease.Leader, term: c.view.Lease.Term, grant: c.blockLease.Grant()}
	if status == c.leaseStatus.logged && c.loop.Now.Before(c.leaseStatus.nextAt) {
		return
	}
	c.leaseStatus = leaseStatusLog{logged: status, nextAt: c.loop.Now.Add(leaseStatusInterval)}
	expiresIn := time.Duration(0)
	if c.blockLease.Held() {
		expiresIn = c.blockLease.Expires().Sub(c.loop.Now)
	}
	c.log.Info("lease status", "leader", status.leader, "term", status.term, "leads", c.leader != nil, "revision", c.view.LeaseVersion,
		"grant", status.grant, "expires_in", expiresIn.Round(time.Millisecond), "machines", c.owner.MachineCount(), "unreconciled", c.owner.UnreconciledMachines())
}
