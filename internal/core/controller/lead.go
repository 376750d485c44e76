package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leader"
	"fawncove/internal/core/owner"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Here the core and its leader meet: what the core hands on to it, and what it
// tells it of itself.

// leaderHost is what the leader asks its own controller.
type leaderHost struct {
	*owner.Owner
	core *Core
}

// Renewal describes the controller as its next renewal would.
func (l leaderHost) Renewal() *peerpb.Renewal { return l.core.Renewal() }

// becomeLeader makes this controller the leader of a term.
func (c *Core) becomeLeader(term uint64) {
	c.log.Info("leading", "term", term)
	c.stopLeading()
	c.leader = leader.New(&c.loop, c.view, &c.leasePages, leaderHost{c.owner, c}, c.log, c.blockLease.Incarnation(), term, c.previousLeaseAppliedAt)
	c.leader.PublishStored(c.leaseWriteSentAt)
	c.view.IsLeader = true
}

// stopLeading drops the leader, if there is one.
func (c *Core) stopLeading() {
	if c.leader != nil {
		c.leader.Stop()
		c.leader, c.view.IsLeader = nil, false
	}
}

// handleRenewal takes in a controller's renewal.
func (c *Core) handleRenewal(r *peerpb.Renewal) {
	lease := &c.view.Lease
	if c.leader == nil && r.GetResigned() && r.GetNode() == lease.Leader && r.GetIncarnation() > lease.Incarnation {
		// Nobody leads: no need to wait that long. It says so again and again,
		// which must not put off those whose turn comes later.
		if at := c.loop.Now.Add(-leaderTimeout); at.Before(c.leaderSeenAt) {
			c.leaderSeenAt = at
		}
	}
	if c.leader == nil || r.GetNode() == c.view.Self {
		return
	}
	if c.view.Peers[r.GetNode()] == nil {
		c.log.Warn("renewal from an unknown controller", "node", r.GetNode())
		return
	}
	if !c.leader.HandleRenewal(r) {
		return // late
	}
	c.view.Peers[r.GetNode()].UpdateTeamUse(r.GetTeams())
	c.sendEndpoints(r)
	c.log.Debug("renewal", "node", r.GetNode(), "number", r.GetNumber(), "heard", len(r.GetReconciled()), "demand", len(r.GetDemand()))
	c.runLeader()
}

// runLeader does what leading needs: the lease value, then the fleet.
func (c *Core) runLeader() {
	if c.leader == nil {
		return
	}
	if c.blockLease.RenewalUrgent() {
		c.blockLease.RenewalSent()
		c.leader.RequestPublish()
	}
	if !c.leaseWriteInFlight && c.leader.TakePublishDue() {
		c.publishLease()
	}
	c.leader.RunAutoscaler()
}

// publishLease writes what the leader proposes.
func (c *Core) publishLease() {
	own := c.Renewal()
	c.owner.ReserveQuota(own)
	rec, stored := c.leader.Publish(own)
	c.writeLease(rec, stored)
}

// sendEndpoints tells a controller how to reach machines of its block.
func (c *Core) sendEndpoints(r *peerpb.Renewal) {
	var known []*peerpb.MachineInfo
	names, err := wire.UnpackNames(r.GetUnknownEndpoints())
	if err != nil {
		c.log.Error("names in a renewal", "err", err)
	}
	for _, name := range names {
		if s := c.leader.MachineInfo(name); s.GetEndpoint() != "" && c.view.HolderOf(name) == r.GetNode() {
			known = append(known, s)
		}
	}
	if len(known) > 0 {
		f := c.newFrame()
		f.SpareCpus, f.KnownMachines = c.spareCPUs, known
		c.loop.Emit(eventloop.PeerSend{To: r.GetNode(), Frame: f})
	}
}

// quotaCheckInterval spaces the looks at whether others are short of a share.
const quotaCheckInterval = 300 * time.Millisecond

// requestQuotaChanges has a renewal sent when there is something to promise.
func (c *Core) requestQuotaChanges() {
	if c.loop.Now.Sub(c.quotaCheckedAt) < quotaCheckInterval {
		return
	}
	c.quotaCheckedAt = c.loop.Now
	c.owner.RequestQuotaRenewal()
	if c.leader != nil && len(c.view.Lease.Shares) > 0 {
		c.leader.RequestQuotaPublish()
	}
}
