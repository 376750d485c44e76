package controller

import (
	"time"

	"fawncove/internal/leader"
	"fawncove/internal/peer/peerpb"
)

// Here the core and its leader meet: what the core hands on to it, and what it
// tells it of itself.

// startLeading makes this controller the leader of a term.
func (c *Core) startLeading(term uint64) {
	c.log.Info("leading", "term", term)
	c.stopLeading()
	c.lead = leader.New(&c.loop, c.view, &c.book, c, c.log, c.hold.Incarnation(), term)
}

// stopLeading drops the leader, if there is one.
func (c *Core) stopLeading() {
	if c.lead != nil {
		c.lead.End()
		c.lead = nil
	}
}

// onRenewal takes in a controller's renewal.
func (c *Core) onRenewal(r *peerpb.Renewal) {
	lease := &c.view.Lease
	if c.lead == nil && r.GetResigned() && r.GetNode() == lease.Leader && r.GetIncarnation() > lease.Incarnation {
		c.leaseSeen = c.loop.Now.Add(-leaderDead) // nobody leads: no need to wait that long
	}
	if c.lead == nil || r.GetNode() == c.view.Me {
		return
	}
	if c.view.Peers[r.GetNode()] == nil {
		c.log.Warn("renewal from an unknown controller", "node", r.GetNode())
		return
	}
	if !c.lead.Renewal(r) {
		return // late
	}
	c.view.Peers[r.GetNode()].Tell(r.GetTeams())
	c.tellKnown(r)
	c.log.Debug("renewal", "node", r.GetNode(), "number", r.GetNumber(), "heard", len(r.GetHeard()), "demand", len(r.GetDemand()))
	c.leadTick()
}

// leadTick does what leading needs: the lease value, then the fleet.
func (c *Core) leadTick() {
	if c.lead == nil {
		return
	}
	if c.renewSoon {
		c.renewSoon = false
		c.lead.Stir()
	}
	if !c.leaseBusy && c.lead.Due() {
		c.publish()
	}
	c.lead.Run()
}

// publish writes what the leader proposes.
func (c *Core) publish() {
	own := c.Renewal()
	c.promise(own)
	rec, stored := c.lead.Publish(own)
	c.writeLease(rec, stored)
}

// ---- what the leader asks its own controller, see leader.Local

// Block calls f for each machine of the block.
func (c *Core) Block(f func(name string, idle time.Duration, bad, lost bool)) {
	for _, m := range c.machineOrder() {
		idle := time.Duration(0)
		if !m.idle.IsZero() && m.session != 0 {
			idle = c.loop.Now.Sub(m.idle)
		}
		f(m.name, idle, m.bad, m.lost)
	}
}

// Guests are the machines of others, or of nobody, that reported lately.
func (c *Core) Guests() []string {
	var out []string
	for n, g := range c.guests {
		if c.loop.Now.Sub(g.heard) < c.guestFresh() {
			out = append(out, n)
		}
	}
	return out
}

// Inflow is the work that has come in lately, in processors.
func (c *Core) Inflow() float64 { return c.inflow.Rate(c.loop.Now) }

// Introduce learns how to reach machines that have not reported yet.
func (c *Core) Introduce(seen func(name string) *peerpb.Seen) {
	for name, m := range c.machines {
		if m.endpoint != "" {
			continue
		}
		if s := seen(name); s != nil {
			c.introduce(m, s)
		}
	}
	c.askWorkers()
}
