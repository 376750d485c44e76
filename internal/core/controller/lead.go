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

// local is what the leader asks its own controller.
type local struct {
	*owner.Owner
	core *Core
}

// Renewal describes the controller as its next renewal would.
func (l local) Renewal() *peerpb.Renewal { return l.core.Renewal() }

// startLeading makes this controller the leader of a term.
func (c *Core) startLeading(term uint64) {
	c.log.Info("leading", "term", term)
	c.stopLeading()
	c.lead = leader.New(&c.loop, c.view, &c.book, local{c.own, c}, c.log, c.hold.Incarnation(), term, c.baseSeen)
	c.lead.PublishStored(c.writeSent)
	c.view.IsLeader = true
}

// stopLeading drops the leader, if there is one.
func (c *Core) stopLeading() {
	if c.lead != nil {
		c.lead.Stop()
		c.lead, c.view.IsLeader = nil, false
	}
}

// onRenewal takes in a controller's renewal.
func (c *Core) onRenewal(r *peerpb.Renewal) {
	lease := &c.view.Lease
	if c.lead == nil && r.GetResigned() && r.GetNode() == lease.Leader && r.GetIncarnation() > lease.Incarnation {
		// Nobody leads: no need to wait that long. It says so again and again,
		// which must not put off those whose turn comes later.
		if at := c.loop.Now.Add(-leaderDead); at.Before(c.leaseSeen) {
			c.leaseSeen = at
		}
	}
	if c.lead == nil || r.GetNode() == c.view.Self {
		return
	}
	if c.view.Peers[r.GetNode()] == nil {
		c.log.Warn("renewal from an unknown controller", "node", r.GetNode())
		return
	}
	if !c.lead.HandleRenewal(r) {
		return // late
	}
	c.view.Peers[r.GetNode()].UpdateTeamUse(r.GetTeams())
	c.tellKnown(r)
	c.log.Debug("renewal", "node", r.GetNode(), "number", r.GetNumber(), "heard", len(r.GetReconciled()), "demand", len(r.GetDemand()))
	c.leadTick()
}

// leadTick does what leading needs: the lease value, then the fleet.
func (c *Core) leadTick() {
	if c.lead == nil {
		return
	}
	if c.hold.RenewalUrgent() {
		c.hold.RenewalSent()
		c.lead.RequestPublish()
	}
	if !c.leaseBusy && c.lead.TakePublishDue() {
		c.publish()
	}
	c.lead.RunAutoscaler()
}

// publish writes what the leader proposes.
func (c *Core) publish() {
	own := c.Renewal()
	c.own.ReserveQuota(own)
	rec, stored := c.lead.Publish(own)
	c.writeLease(rec, stored)
}

// tellKnown tells a controller how to reach machines of its block.
func (c *Core) tellKnown(r *peerpb.Renewal) {
	var known []*peerpb.MachineInfo
	names, err := wire.UnpackNames(r.GetUnknownEndpoints())
	if err != nil {
		c.log.Error("names in a renewal", "err", err)
	}
	for _, name := range names {
		if s := c.lead.MachineInfo(name); s.GetEndpoint() != "" && c.view.HolderOf(name) == r.GetNode() {
			known = append(known, s)
		}
	}
	if len(known) > 0 {
		f := c.frame()
		f.SpareCpus, f.KnownMachines = c.spare, known
		c.loop.Emit(eventloop.PeerSend{To: r.GetNode(), Frame: f})
	}
}

// tradeEvery spaces the looks at whether others are short of a share.
const tradeEvery = 300 * time.Millisecond

// trade has a renewal sent when there is something to promise.
func (c *Core) trade() {
	if c.loop.Now.Sub(c.tradedAt) < tradeEvery {
		return
	}
	c.tradedAt = c.loop.Now
	c.own.RequestQuotaRenewal()
	if c.lead != nil && len(c.view.Lease.Shares) > 0 {
		c.lead.RequestQuotaPublish()
	}
}
