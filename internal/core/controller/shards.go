package controller

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// The jobs of a team belong to a partition that one controller owns: it places their
// tasks. On a small fleet a team is one partition, as splitting it leaves room unused on
// every shard. Once the fleet is large each controller owns a shard of a team's jobs,
// and the controller that accepts a job puts it into the shard with most room. The shard
// stands in the job's record and changes only when the job moves (owner/migration.go).
//
// The jobs of a team with a limit or a guarantee are split later than those of others:
// when the fleet is too much for one controller, or its crash would stop too much. Then
// the team's limit is held in quota shares.

// Machines follow the work, and work that went only where room is would follow the
// machines: in a quiet night one controller came to hold thirteen times as many as
// another. So what a block has beyond the mean counts against it.
const (
	excessSizePenalty = 0.7 // of its processors
	excessRatePenalty = 0.3 // for each time the mean
	// rateTolerance is the difference up to which two rates count as equal.
	rateTolerance = 0.05
)

// localLoad is what was last published of this controller's machines, less the jobs
// that have come to its shards since.
type localLoad struct {
	spareCPUs float64 // processors free beyond what waits
	capacity  cluster.Capacity
}

// shardCandidate is a shard that a job may go to.
type shardCandidate struct {
	shard string
	rate  float64 // how much of an urgent job could start at once; 0 for any other
	spare float64 // processors to spare
}

// betterThan reports whether a job goes rather here than to another candidate.
func (s *shardCandidate) betterThan(other *shardCandidate) bool {
	return other.shard == "" || s.rate > other.rate+rateTolerance || (s.rate > other.rate-rateTolerance && s.spare > other.spare)
}

// chooseShard chooses the shard of its team that a new job goes to: for urgent work the
// one where most of it can start at once; otherwise, and among equals, that of the
// controller with most processors to spare. Both count less what the block has beyond
// the mean. It returns "" when the team is one partition.
func (c *Core) chooseShard(j *wire.Job) string {
	var best shardCandidate
	shards := cluster.Shards(c.view.Lease.Partitions, j.Team)
	mean := c.meanBlockSize(shards)
	for _, shard := range shards {
		spare, capacity, ok := c.loadOf(c.view.Lease.Partitions[shard])
		if !ok {
			continue
		}
		excess := capacity.Size - mean
		candidate := shardCandidate{shard: shard, spare: *spare - excessSizePenalty*excess}
		if j.Rank() <= 1 {
			candidate.rate = capacity.RateFor(j) - excessRatePenalty*excess/max(1, mean)
		}
		if candidate.betterThan(&best) {
			best = candidate
		}
	}
	if best.shard != "" {
		c.deductCapacity(c.view.Lease.Partitions[best.shard], j)
	}
	return best.shard
}

// loadOf returns what is known of a controller's free processors; ok is false when it is
// another one that cannot be reached.
func (c *Core) loadOf(node string) (spare *float64, capacity *cluster.Capacity, ok bool) {
	if node == c.view.Self {
		return &c.load.spareCPUs, &c.load.capacity, true
	}
	if !c.view.IsReachable(node, c.loop.Now) {
		return nil, nil, false
	}
	p := c.view.Peers[node]
	return &p.SpareCPUs, &p.Capacity, true
}

// deductCapacity counts a job against the capacity of its controller until that
// publishes its new figures.
func (c *Core) deductCapacity(node string, j *wire.Job) {
	if spare, capacity, ok := c.loadOf(node); ok {
		*spare -= float64(j.Tasks) * j.CPUs
		capacity.Subtract(j)
	}
}

// meanBlockSize is the mean size, in processors, of the blocks of those controllers in
// reach that own the shards.
func (c *Core) meanBlockSize(shards []string) float64 {
	counted := map[string]bool{}
	sum := 0.0
	for _, shard := range shards {
		node := c.view.Lease.Partitions[shard]
		if _, capacity, ok := c.loadOf(node); ok && !counted[node] {
			counted[node] = true
			sum += capacity.Size
		}
	}
	return sum / float64(max(1, len(counted)))
}
