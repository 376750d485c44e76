package leader

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// partsMost bounds the parts of a team, in parts per controller: one that was
// given up for dead and is back gets a new one, as its old one has moved.
const partsMost = 8

// many tells whether the fleet is more than one controller should hold.
func (l *Leader) many() bool {
	return l.fleetSize() > min(l.view.Params.ShardLimitedAbove, l.machinesPerHome())
}

// partable tells whether a team's jobs may be parted now. Every share of a
// limit must have room for the largest task, which is at most a machine.
func (l *Leader) partable(t config.Team) bool {
	if cluster.Unlimited(t) {
		return l.large()
	}
	if !l.many() || !l.mayPage() {
		return false
	}
	n := float64(l.view.Settings.Controllers())
	for _, m := range l.view.MachineTypes {
		if (t.CPUsMax > 0 && t.CPUsMax < n*m.CPUs) || (t.GPUsMax > 0 && t.GPUsMax < n*m.GPUs) {
			return false
		}
	}
	return true
}

// fleetSize is how many machines there are, or are meant to be by what the
// teams may use, whichever is more.
func (l *Leader) fleetSize() int {
	biggest, most := 0.0, 0.0
	for _, t := range l.view.MachineTypes {
		biggest = max(biggest, t.CPUs)
	}
	for _, t := range l.view.Settings.Cluster.Teams {
		most += max(t.CPUs, t.CPUsMax)
	}
	return max(len(l.fleet.machines), int(most/max(1, biggest)))
}

// large tells whether the fleet is so large that parting it costs less than
// one controller for all of it (see docs/measurements.md).
func (l *Leader) large() bool { return l.fleetSize() >= l.view.Params.SinglePartitionBelow }

// machinesPerHome is how many machines make it worth another controller that
// is home to teams with limits. Each team's room is apart from the others'
// where their homes are, so there are no more homes than the controllers'
// processors ask for.
func (l *Leader) machinesPerHome() int {
	cores := l.view.Settings.Cluster.Limits.Cores
	if cores <= 0 {
		cores = 1
	}
	return max(homeLeast, int(config.ReportsPerCore*cores*l.view.Settings.Cluster.Workers.ReportS))
}

// homeLeast bounds machinesPerHome from below, for very small controllers.
const homeLeast = 150

// seat chooses who gets a home that a controller offers: of those alive the one
// with fewest homes of that team, and then with the smallest block; the one that
// offers it when nobody has fewer.
func (l *Leader) seat(rec *wire.LeaseRecord, home, from string) string {
	team, _, _ := wire.SplitShard(home)
	count := cluster.CountPartitions(rec.Partitions, team)
	best := from
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == from || !l.alive(node) || count[node] >= count[from] {
			continue
		}
		if best == from || count[node] < count[best] || (count[node] == count[best] && load(rec, node) < load(rec, best)) {
			best = node
		}
	}
	return best
}

// settleHomes gives every team a home, and large fleets the parts of teams
// that may be parted.
func (l *Leader) settleHomes(rec *wire.LeaseRecord) {
	large := l.large()
	// After a start the others get a moment to show up, and the machine list
	// to tell the size of the fleet.
	early := l.loop.Now.Sub(l.since) < 3*time.Second
	if early && (len(l.view.MachineTypes) == 0 || !l.fleet.list.whole || (large && len(l.renewals) < l.view.Settings.Controllers())) {
		return
	}
	live := []string{}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if l.alive(node) {
			live = append(live, node)
		}
	}
	// The weight of a controller is the guarantees it is home to.
	weight := map[string]float64{}
	weigh := func(t config.Team) float64 { return 1 + t.CPUs }
	teams := slices.Clone(l.view.Settings.Cluster.Teams)
	slices.SortStableFunc(teams, func(a, b config.Team) int { return cmp.Compare(weigh(b), weigh(a)) })
	for _, t := range teams {
		weight[rec.Partitions[t.Name]] += weigh(t)
	}
	homes := 0
	for _, node := range live {
		if weight[node] > 0 {
			homes++
		}
	}
	for _, t := range teams {
		if _, ok := rec.Blocks[rec.Partitions[t.Name]]; ok {
			continue
		}
		more := large && homes*l.machinesPerHome() < l.fleetSize()
		best := ""
		for _, node := range live {
			// Parting a small fleet leaves room unused on every part.
			switch {
			case !more && homes > 0 && weight[node] == 0:
			case !large && homes == 0 && node != l.view.Self:
			case best == "", large && weight[node] < weight[best], !large && weight[node] > weight[best]:
				best = node
			}
		}
		if best == "" {
			best = l.view.Self
		}
		if weight[best] == 0 {
			homes++
		}
		rec.Partitions[t.Name] = best
		weight[best] += weigh(t)
	}
	for _, t := range teams {
		own := cluster.Shards(rec.Partitions, t.Name)
		if !l.partable(t) && len(own) == 0 {
			continue
		}
		if len(own) == 0 && !cluster.Unlimited(t) {
			// Earlier versions know nothing of shares, and must not read on.
			rec.Form = 2
			if t.CPUsMax > 0 || t.GPUsMax > 0 {
				l.beginShares(rec, t, live)
			}
			l.log.Info("jobs of a limited team are parted", "team", t.Name, "controllers", len(live))
		}
		has := map[string]bool{}
		for _, part := range own {
			has[rec.Partitions[part]] = true
		}
		for _, node := range live {
			if has[node] || len(own) >= partsMost*l.view.Settings.Controllers() {
				continue
			}
			part := wire.ShardName(t.Name, len(own)+1)
			own = append(own, part)
			rec.Partitions[part] = node
		}
	}
}
