package controller

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/config"
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

// partsMost bounds the parts of a team, in parts per controller: one that was
// given up for dead and is back gets a new one, as its old one has moved.
const partsMost = 8

// many tells whether the fleet is more than one controller should hold.
func (c *Core) many() bool { return c.fleetSize() > min(c.par.Home, c.machinesPerHome()) }

// partable tells whether a team's jobs may be parted now. Every share of a
// limit must have room for the largest task, which is at most a machine.
func (c *Core) partable(t config.Team) bool {
	if cluster.Unlimited(t) {
		return c.large()
	}
	if !c.many() || !c.mayPage() {
		return false
	}
	n := float64(c.nodes())
	for _, m := range c.view.Types {
		if (t.CPUsMax > 0 && t.CPUsMax < n*m.CPUs) || (t.GPUsMax > 0 && t.GPUsMax < n*m.Cards) {
			return false
		}
	}
	return true
}

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

// fleetSize is how many machines there are, or are meant to be by what the
// teams may use, whichever is more.
func (c *Core) fleetSize() int {
	biggest, most := 0.0, 0.0
	for _, t := range c.view.Types {
		biggest = max(biggest, t.CPUs)
	}
	for _, t := range c.view.Cfg.Cluster.Teams {
		most += max(t.CPUs, t.CPUsMax)
	}
	return max(len(c.lead.fleet.machines), int(most/max(1, biggest)))
}

// large tells whether the fleet is so large that parting it costs less than
// one controller for all of it (see docs/measurements.md).
func (c *Core) large() bool { return c.fleetSize() >= c.par.Pack }

// machinesPerHome is how many machines make it worth another controller that
// is home to teams with limits. Each team's room is apart from the others'
// where their homes are, so there are no more homes than the controllers'
// processors ask for.
func (c *Core) machinesPerHome() int {
	cores := c.view.Cfg.Cluster.Limits.Cores
	if cores <= 0 {
		cores = 1
	}
	return max(homeLeast, int(config.ReportsPerCore*cores*c.view.Cfg.Cluster.Workers.ReportS))
}

// homeLeast bounds machinesPerHome from below, for very small controllers.
const homeLeast = 150

// settleHomes gives every team a home, and large fleets the parts of teams
// that may be parted.
func (c *Core) settleHomes(rec *wire.LeaseRecord) {
	l := c.lead
	large := c.large()
	// After a start the others get a moment to show up, and the machine list
	// to tell the size of the fleet.
	early := c.loop.Now.Sub(l.since) < 3*time.Second
	if early && (len(c.view.Types) == 0 || !l.fleet.listed || (large && len(l.renewals) < c.nodes())) {
		return
	}
	live := []string{}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if l.alive(c, node) {
			live = append(live, node)
		}
	}
	// The weight of a controller is the guarantees it is home to.
	weight := map[string]float64{}
	weigh := func(t config.Team) float64 { return 1 + t.CPUs }
	teams := slices.Clone(c.view.Cfg.Cluster.Teams)
	slices.SortStableFunc(teams, func(a, b config.Team) int { return cmp.Compare(weigh(b), weigh(a)) })
	for _, t := range teams {
		weight[rec.Homes[t.Name]] += weigh(t)
	}
	homes := 0
	for _, node := range live {
		if weight[node] > 0 {
			homes++
		}
	}
	for _, t := range teams {
		if _, ok := rec.Blocks[rec.Homes[t.Name]]; ok {
			continue
		}
		more := large && homes*c.machinesPerHome() < c.fleetSize()
		best := ""
		for _, node := range live {
			// Parting a small fleet leaves room unused on every part.
			switch {
			case !more && homes > 0 && weight[node] == 0:
			case !large && homes == 0 && node != c.view.Me:
			case best == "", large && weight[node] < weight[best], !large && weight[node] > weight[best]:
				best = node
			}
		}
		if best == "" {
			best = c.view.Me
		}
		if weight[best] == 0 {
			homes++
		}
		rec.Homes[t.Name] = best
		weight[best] += weigh(t)
	}
	for _, t := range teams {
		own := cluster.Parts(rec.Homes, t.Name)
		if !c.partable(t) && len(own) == 0 {
			continue
		}
		if len(own) == 0 && !cluster.Unlimited(t) {
			// Earlier versions know nothing of shares, and must not read on.
			rec.Form = 2
			if t.CPUsMax > 0 || t.GPUsMax > 0 {
				c.beginShares(rec, t, live)
			}
			c.log.Info("jobs of a limited team are parted", "team", t.Name, "controllers", len(live))
		}
		has := map[string]bool{}
		for _, part := range own {
			has[rec.Homes[part]] = true
		}
		for _, node := range live {
			if has[node] || len(own) >= partsMost*c.nodes() {
				continue
			}
			part := wire.PartName(t.Name, len(own)+1)
			own = append(own, part)
			rec.Homes[part] = node
		}
	}
}
