package controller

import (
	"time"

	"fawncove/internal/core/cluster"
)

const (
	// isolatedAfter is how long the state service must have been silent before a
	// controller whose peers say that it answers them takes itself for the only one
	// without it. It is longer than what they say may be old, so that an outage for all
	// is not mistaken for one.
	isolatedAfter = 7 * time.Second
	// peerReachableFor is for how long a peer must have been answered again before
	// that proves anything: when an outage ends, some are answered a moment earlier.
	peerReachableFor = 2500 * time.Millisecond
	// stepDownPause is for how long a controller that has lost its workers asks for no
	// block. It would lose the next one too, should they still not reach it.
	stepDownPause = 30 * time.Second
)

// isolatedFromState reports whether the state service answers others but not this
// controller.
func (c *Core) isolatedFromState() bool {
	if c.loop.Now.Sub(c.state.lastAnswer) < isolatedAfter {
		return false
	}
	for _, p := range c.view.Peers {
		if c.loop.Now.Sub(p.LastFrame) < cluster.PeerTimeout && p.StateReachable && c.loop.Now.Sub(p.StateReachableSince) > peerReachableFor {
			return true
		}
	}
	return false
}

// workersReachOnlyOthers reports whether no machine of the block reports here any more
// while at least half of them report to other controllers.
func (c *Core) workersReachOnlyOthers() bool {
	if !c.owner.SilentBeyondRedirects() {
		return false
	}
	elsewhere := 0
	for name, p := range c.view.Peers {
		if c.view.IsReachable(name, c.loop.Now) {
			elsewhere += p.ForeignWorkers
		}
	}
	return 2*elsewhere >= c.owner.MachineCount()
}

// declinesBlock reports whether this controller wants no block for now.
func (c *Core) declinesBlock() bool {
	return c.shuttingDown || c.isolatedFromState() || c.loop.Now.Before(c.noBlockUntil)
}

// stepDownIfIsolated gives up block, partitions and leadership when the state service
// refuses this controller alone. It could start and store nothing soon anyway; by
// saying so it spares its jobs the time until its lease has lapsed. From then on it is
// a new process to everybody, itself included: it knows nothing of the machines that it
// gets back.
//
// The same goes for one that alone loses its workers: they report to others, which keep
// their tasks alive for a while but may start none. A successor takes them over where
// they are.
func (c *Core) stepDownIfIsolated() {
	if c.shuttingDown || !c.state.loaded() || (!c.blockLease.Held() && c.leader == nil) {
		return
	}
	switch {
	case c.isolatedFromState():
		c.log.Info("stepped down", "reason", "state service unreachable from here only", "machines", c.owner.MachineCount(), "led", c.leader != nil)
	case c.workersReachOnlyOthers():
		c.log.Info("stepped down", "reason", "workers report to others only", "machines", c.owner.MachineCount(), "led", c.leader != nil)
		c.noBlockUntil = c.loop.Now.Add(stepDownPause)
	default:
		return
	}
	c.stepDown()
}

// stepDown ends every right that this process has. The next renewal tells the others.
func (c *Core) stepDown() {
	c.blockLease.RaiseIncarnationAbove(c.blockLease.Incarnation())
	c.stopLeading()
	c.loseBlock()
	c.blockLease.RequestRenewal()
}

// shutDown gives up block, partitions and leadership because this process is to end.
// The leader hands them on with the next value instead of waiting for the lease to
// lapse; the token guards against a late command of this process.
func (c *Core) shutDown() {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	c.log.Info("shutting down", "machines", c.owner.MachineCount(), "led", c.leader != nil)
	c.stepDown()
	c.renewBlockLease()
}

// HandedOver reports whether a process that shuts down has nothing left to hand over:
// the lease value names it no longer. It is true of one that never read any.
func (c *Core) HandedOver() bool {
	_, held := c.view.Lease.Blocks[c.view.Self]
	return c.shuttingDown && !held && c.view.Lease.Leader != c.view.Self
}
