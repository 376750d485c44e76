package controller

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// A home is the controller that owns jobs and places their tasks. On a small
// fleet all jobs have the same home, as parting it leaves room unused on every
// part. Once the fleet is large each controller is home to a part of a team's
// jobs, and the controller that accepts a job files it under the part with
// most room. The part stands in the job's record and changes only when the job moves
// (owner/move.go).
//
// The jobs of a team with a limit or a guarantee are parted later than those
// of others, when the fleet is too much for one controller or its crash would
// stop too much; its limit is then held in shares.

// Machines follow the work, and work that went only where room is would follow
// the machines: in a quiet night one controller came to hold thirteen times as
// many as another. So what a block has beyond the mean counts against it:
// excessSizePenalty of its processors, and excessRatePenalty for each time the mean.
const (
	excessSizePenalty = 0.7
	excessRatePenalty = 0.3
)

// chooseShard chooses the part of its team that a new job goes to: for urgent
// work where most of it can start at once, otherwise, and among equals, that of
// the controller with most processors to spare; both less what its block has
// beyond the mean. It returns "" when the team has one home.
func (c *Core) chooseShard(j *wire.Job) string {
	best, bestWorth, bestSpare := "", 0.0, 0.0
	own := cluster.Shards(c.view.Lease.Partitions, j.Team)
	mean := c.meanBlockSize(own)
	for _, part := range own {
		node := c.view.Lease.Partitions[part]
		spare, r := c.spareCPUs, &c.capacity
		if node != c.view.Self {
			if !c.view.IsReachable(node, c.loop.Now) {
				continue
			}
			spare, r = c.view.Peers[node].SpareCPUs, &c.view.Peers[node].Capacity
		}
		more := r.Size - mean
		spare -= excessSizePenalty * more
		worth := 0.0
		if j.Rank() <= 1 {
			worth = r.RateFor(j) - excessRatePenalty*more/max(1, mean)
		}
		if best == "" || worth > bestWorth+0.05 || (worth > bestWorth-0.05 && spare > bestSpare) {
			best, bestWorth, bestSpare = part, worth, spare
		}
	}
	// Until the controller tells its new figures the job counts against them.
	if cpus := float64(j.Tasks) * j.CPUs; best == "" {
	} else if node := c.view.Lease.Partitions[best]; node == c.view.Self {
		c.spareCPUs -= cpus
		c.capacity.Reserve(j)
	} else {
		c.view.Peers[node].SpareCPUs -= cpus
		c.view.Peers[node].Capacity.Reserve(j)
	}
	return best
}

// meanBlockSize is the mean size, in processors, of the blocks of those that the
// parts are with and that can be reached.
func (c *Core) meanBlockSize(own []string) float64 {
	seen := map[string]bool{}
	sum := 0.0
	for _, part := range own {
		node := c.view.Lease.Partitions[part]
		switch {
		case seen[node]:
		case node == c.view.Self:
			seen[node] = true
			sum += c.capacity.Size
		case c.view.IsReachable(node, c.loop.Now):
			seen[node] = true
			sum += c.view.Peers[node].Capacity.Size
		}
	}
	return sum / float64(max(1, len(seen)))
}
