package controller

import (
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leader"
	"fawncove/internal/core/owner"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// leaderHost is what the leader asks its own controller.
type leaderHost struct {
	*owner.Owner
	core *Core
}

// Renewal describes the controller as its next renewal would.
func (h leaderHost) Renewal() *peerpb.Renewal { return h.core.Renewal() }

// becomeLeader makes this controller the leader of a term.
func (c *Core) becomeLeader(term wire.Term) {
	c.log.Info("leadership won", "term", term)
	c.stopLeading()
	c.leader = leader.New(&c.loop, c.view, &c.leaseReader.pages, leaderHost{c.owner, c}, c.log, c.blockLease.Incarnation(), term, c.election.renewedAt)
	c.leader.PublishStored(c.leaseWriter.sentAt)
	c.view.IsLeader = true
}

// stopLeading drops the leader, if there is one.
func (c *Core) stopLeading() {
	if c.leader != nil {
		c.leader.Stop()
		c.leader, c.view.IsLeader = nil, false
	}
}

// handleRenewal handles the renewal of another controller.
func (c *Core) handleRenewal(r *peerpb.Renewal) {
	lease := &c.view.Lease
	if c.leader == nil && r.GetResigned() && r.GetNode() == lease.Leader && wire.Incarnation(r.GetIncarnation()) > lease.Incarnation {
		c.election.leaderResigned(c.loop.Now)
	}
	if c.leader == nil || r.GetNode() == c.view.Self {
		return
	}
	if c.view.Peers[r.GetNode()] == nil {
		c.log.Warn("renewal from unknown controller", "controller", r.GetNode())
		return
	}
	if !c.leader.HandleRenewal(r) {
		return // late
	}
	c.view.Peers[r.GetNode()].UpdateTeamUse(r.GetTeams())
	c.sendEndpoints(r)
	c.log.Debug("renewal received", "controller", r.GetNode(), "number", r.GetNumber(), "reconciled", len(r.GetReconciled()), "demand", len(r.GetDemand()))
	c.runLeader()
}

// runLeader does what leading needs: the lease value, then the fleet.
func (c *Core) runLeader() {
	if c.leader == nil {
		return
	}
	if c.blockLease.RenewalUrgent() {
		c.blockLease.ClearRenewalRequest()
		c.leader.RequestPublish()
	}
	if c.leaseWriter.ready(c.loop.Now) && c.leader.TakePublishDue() {
		c.publishLease()
	}
	c.leader.RunAutoscaler()
}

// publishLease writes the lease value that the leader proposes.
func (c *Core) publishLease() {
	own := c.Renewal()
	c.owner.AddOffers(own)
	rec, stored := c.leader.Publish(own)
	c.writeLease(rec, stored)
}

// sendEndpoints sends a controller the endpoints of machines of its block that its
// renewal asks for.
func (c *Core) sendEndpoints(r *peerpb.Renewal) {
	names, err := wire.UnpackNames(r.GetUnknownEndpoints())
	if err != nil {
		c.log.Error("cannot decode names in renewal", "controller", r.GetNode(), "err", err)
	}
	var known []*peerpb.MachineInfo
	for _, name := range names {
		if info := c.leader.MachineInfo(name); info.GetEndpoint() != "" && c.view.HolderOf(name) == r.GetNode() {
			known = append(known, info)
		}
	}
	if len(known) > 0 {
		f := c.newFrame()
		f.SpareCpus, f.KnownMachines = c.load.spareCPUs, known
		c.loop.Emit(eventloop.PeerSend{To: r.GetNode(), Frame: f})
	}
}
