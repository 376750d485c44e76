package controller

import (
	"time"

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

// shardLoads is what is known of the free processors of the controllers that own shards,
// in one step.
type shardLoads struct {
	view *cluster.View
	own  *localLoad
	now  time.Time
}

// shardLoads returns what is known in this step.
func (c *Core) shardLoads() *shardLoads {
	return &shardLoads{view: c.view, own: &c.load, now: c.loop.Now}
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
func (l *shardLoads) chooseShard(j *wire.Job) string {
	var best shardCandidate
	shards := cluster.Shards(l.view.Lease.Partitions, j.Team)
	mean := l.meanBlockSize(shards)
	for _, shard := range shards {
		spare, capacity, ok := l.loadOf(l.view.Lease.Partitions[shard])
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
		l.deductCapacity(l.view.Lease.Partitions[best.shard], j)
	}
	return best.shard
}

// loadOf returns what is known of a controller's free processors; ok is false when it is
// another one that cannot be reached.
func (l *shardLoads) loadOf(node string) (spare *float64, capacity *cluster.Capacity, ok bool) {
	if node == l.view.Self {
		return &l.own.spareCPUs, &l.own.capacity, true
	}
	if !l.view.IsReachable(node, l.now) {
		return nil, nil, false
	}
	p := l.view.Peers[node]
	return &p.SpareCPUs, &p.Capacity, true
}

// deductCapacity counts a job against the capacity of its controller until that
// publishes its new figures.
func (l *shardLoads) deductCapacity(node string, j *wire.Job) {
	if spare, capacity, ok := l.loadOf(node); ok {
		*spare -= float64(j.Tasks) * j.CPUs
		capacity.Subtract(j)
	}
}

// meanBlockSize is the mean size, in processors, of the blocks of those controllers in
// reach that own the shards.
func (l *shardLoads) meanBlockSize(shards []string) float64 {
	counted := map[string]bool{}
	sum := 0.0
	for _, shard := range shards {
		node := l.view.Lease.Partitions[shard]
		if _, capacity, ok := l.loadOf(node); ok && !counted[node] {
			counted[node] = true
			sum += capacity.Size
		}
	}
	return sum / float64(max(1, len(counted)))
}
