package controller

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// shareChange says why this controller's share of a team's limit is another one than in
// the lease value before.
type shareChange string

const (
	shareInitial  shareChange = "initial"     // the team's limit was not sharded, or no value was known here
	shareReserved shareChange = "reservation" // lowered to what a renewal has reserved
	shareTaken    shareChange = "takeover"    // with the block of a controller that has ended
	shareGranted  shareChange = "granted"     // raised by what was in no share
	shareLost     shareChange = "block lost"  // it went to another controller with the block
)

// holding is what a lease value gives this controller.
type holding struct {
	shares map[string]wire.Shares // of all controllers, by team
	grant  wire.Grant
	known  bool // a value has been read
}

// holding returns what the lease value as last read gives this controller.
func (c *Core) holding() holding {
	return holding{shares: c.view.Lease.Shares, grant: c.view.Lease.Blocks[c.view.Self].Grant, known: c.view.LeaseVersion != 0}
}

// logShareChanges logs in what this controller's shares differ from those before.
func (c *Core) logShareChanges(before holding) {
	now := c.holding()
	teams := map[string]bool{}
	for team := range before.shares {
		teams[team] = true
	}
	for team := range now.shares {
		teams[team] = true
	}
	for _, team := range cluster.SortedKeys(teams) {
		from, had := before.shares[team][c.view.Self]
		to, has := now.shares[team][c.view.Self]
		if from == to && had == has {
			continue
		}
		c.log.Info("quota share changed", "team", team, "controller", c.view.Self, "from_cpus", from.CPUs, "to_cpus", to.CPUs, "from_gpus", from.GPUs, "to_gpus", to.GPUs,
			"reason", reasonOf(before, now, team, from, to, has), "renewal", c.view.Lease.Blocks[c.view.Self].Renewal,
			"term", c.view.Lease.Term, "revision", c.view.LeaseVersion)
	}
}

// reasonOf says why a team's share has changed from one value to another.
func reasonOf(before, now holding, team string, from, to wire.Share, has bool) shareChange {
	switch {
	case !before.known || before.shares[team] == nil:
		return shareInitial
	case !has:
		return shareLost
	case to.CPUs < from.CPUs || to.GPUs < from.GPUs:
		return shareReserved
	case before.grant != now.grant:
		return shareTaken
	default:
		return shareGranted
	}
}
