package controller

import (
	"cmp"
	"slices"

	"fawncove/internal/cluster"
	"fawncove/internal/wire"
)

// A home is the controller that owns jobs and places their tasks. On a small
// fleet all jobs have the same home, as parting it leaves room unused on every
// part. Once the fleet is large each controller is home to a part of a team's
// jobs, and the controller that accepts a job files it under the part with
// most room. The part stands in the job's record and never changes.
//
// The jobs of a team with a limit or a guarantee are parted later than those
// of others, when the fleet is too much for one controller or its crash would
// stop too much; its limit is then held in shares.

// imagesMost bounds the images that a controller tells of.
const imagesMost = 64

// roomNow sums up what is free on this controller's machines.
func (c *Core) roomNow() cluster.Room {
	r := cluster.Room{Images: map[string]float64{}}
	for _, m := range c.machines {
		if !c.usable(m) {
			continue
		}
		free := max(0, m.free().CPUs)
		r.Free += free
		for i := range m.images {
			if m.images[i].there && free > 0 {
				r.Images[m.images[i].name] += free
			}
		}
	}
	if len(r.Images) > imagesMost {
		names := cluster.SortedKeys(r.Images)
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.Images[b], r.Images[a]) })
		for _, n := range names[imagesMost:] {
			delete(r.Images, n)
		}
	}
	return r
}

// Machines follow the work, and work that went only where room is would follow
// the machines: in a quiet night one controller came to hold thirteen times as
// many as another. So what a block has beyond the mean counts against it:
// evenSpare of its processors, and evenWorth for each time the mean.
const (
	evenSpare = 0.7
	evenWorth = 0.3
)

// fileUnder chooses the part of its team that a new job goes to: for urgent
// work where most of it can start at once, otherwise, and among equals, that of
// the controller with most processors to spare; both less what its block has
// beyond the mean. It returns "" when the team has one home.
func (c *Core) fileUnder(j *wire.Job) string {
	best, bestWorth, bestSpare := "", 0.0, 0.0
	own := cluster.Parts(c.view.Lease.Homes, j.Team)
	mean := c.meanSize(own)
	for _, part := range own {
		node := c.view.Lease.Homes[part]
		spare, r := c.spare, &c.room
		if node != c.view.Me {
			if !c.view.LinkUp(node, c.loop.Now) {
				continue
			}
			spare, r = c.view.Peers[node].Spare, &c.view.Peers[node].Room
		}
		more := r.Size - mean
		spare -= evenSpare * more
		worth := 0.0
		if j.Rank() <= 1 {
			worth = r.Worth(j) - evenWorth*more/max(1, mean)
		}
		if best == "" || worth > bestWorth+0.05 || (worth > bestWorth-0.05 && spare > bestSpare) {
			best, bestWorth, bestSpare = part, worth, spare
		}
	}
	// Until the controller tells its new figures the job counts against them.
	if cpus := float64(j.Tasks) * j.CPUs; best == "" {
	} else if node := c.view.Lease.Homes[best]; node == c.view.Me {
		c.spare -= cpus
		c.room.Take(j)
	} else {
		c.view.Peers[node].Spare -= cpus
		c.view.Peers[node].Room.Take(j)
	}
	return best
}

// meanSize is the mean size, in processors, of the blocks of those that the
// parts are with and that can be reached.
func (c *Core) meanSize(own []string) float64 {
	seen := map[string]bool{}
	sum := 0.0
	for _, part := range own {
		node := c.view.Lease.Homes[part]
		switch {
		case seen[node]:
		case node == c.view.Me:
			seen[node] = true
			sum += c.room.Size
		case c.view.LinkUp(node, c.loop.Now):
			seen[node] = true
			sum += c.view.Peers[node].Room.Size
		}
	}
	return sum / float64(max(1, len(seen)))
}

// measure returns the processors that this controller's tasks use or wait
// for, the part of them that may be on spot machines, and those of its block.
func (c *Core) measure() (busy, spot, size float64) {
	for _, m := range c.machines {
		if m.lost || m.bad || m.gave {
			continue
		}
		size += m.size.CPUs
	}
	for _, j := range c.jobs {
		if c.owns(j) && !j.over {
			n := float64(len(j.runs)+len(j.queue)) * j.rec.CPUs
			busy += n
			if j.rec.Spot {
				spot += n
			}
		}
	}
	return busy, spot, size
}
