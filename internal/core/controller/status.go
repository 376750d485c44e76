package controller

import (
	"fawncove/internal/core/feature"
	"fawncove/internal/core/owner"
	"fawncove/internal/wire"
)

// serves reports whether users and workers can be served at all.
func (c *Core) serves() bool {
	return c.state.loaded() && c.incompatible == nil && c.recovery == nil
}

// WorkersServed reports whether workers may be answered: the state is loaded, and this
// controller holds a block or is not the only one without the state service; in that case
// others know which controller holds the machines.
//
// During a recovery of the state workers are answered as foreign ones are, with their own
// tokens, so that their tasks keep running.
func (c *Core) WorkersServed() bool {
	return c.recovery != nil || c.serves() && (c.blockLease.Held() || !c.isolatedFromState())
}

// Healthy reports whether users can be served here: everything is read, a majority
// of the controllers is in reach, and where the
// state service is unreachable, no other controller in reach has it.
func (c *Core) Healthy() bool {
	if c.shuttingDown || !c.serves() || len(c.view.MachineTypes) == 0 || c.view.LeaseVersion == 0 {
		return false
	}
	if c.view.Params.Levels.KnowsLevels() && !c.isMajorityInReach(c.quorum()) {
		return false // nothing could be answered here
	}
	if c.stateReachable() {
		return true
	}
	// A controller that reaches no other either is itself cut off: nobody is served
	// here, while elsewhere somebody may be.
	reachesAny := len(c.view.Peers) == 0
	for name, p := range c.view.Peers {
		reachable := c.view.IsReachable(name, c.loop.Now)
		if reachable && p.StateReachable {
			return false
		}
		reachesAny = reachesAny || reachable
	}
	return reachesAny
}

// Incompatible returns why this version cannot serve this cluster, or nil.
func (c *Core) Incompatible() error { return c.incompatible }

// Levels returns the feature levels of the lease value as last read.
func (c *Core) Levels() feature.State { return c.view.Levels() }

// LeaseForm returns the form of the lease value as last read.
func (c *Core) LeaseForm() int { return c.view.Lease.Form }

// ShardedTeams returns how many teams' limits are held in quota shares.
func (c *Core) ShardedTeams() int { return len(c.view.Lease.Shares) }

// Partitions returns the controller that owns each partition, by the lease value as
// last read. The map must not be changed.
func (c *Core) Partitions() map[string]string { return c.view.Lease.Partitions }

// LeaseVersion returns the version of the lease value as last read.
func (c *Core) LeaseVersion() wire.Revision { return c.view.LeaseVersion }

// QuotaBooks returns what this controller has of each team's limit; none without a block.
func (c *Core) QuotaBooks() []owner.QuotaBook {
	if !c.blockLease.Held() {
		return nil
	}
	return c.owner.QuotaBooks()
}

// HoldsMachine reports whether a machine is in this controller's block.
func (c *Core) HoldsMachine(name string) bool { return c.owner.HoldsMachine(name) }

// MachineCount returns how many machines are in this controller's block.
func (c *Core) MachineCount() int { return c.owner.MachineCount() }

// EndedAttemptsListedAlive returns how many attempts workers of this controller listed alive after
// they had reported their end, since it started.
func (c *Core) EndedAttemptsListedAlive() int { return c.owner.EndedAttemptsListedAlive() }

// WorkerRestarts returns how many times workers of this controller are known to have come back
// without what they had seen, since it started.
func (c *Core) WorkerRestarts() int { return c.owner.WorkerRestarts() }
