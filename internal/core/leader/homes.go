package leader

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// maxShardsPerController bounds the parts of a team, in parts per controller: one that was
// given up for dead and is back gets a new one, as its old one has moved.
const maxShardsPerController = 8

// many tells whether the fleet is more than one controller should hold.
func (l *Leader) exceedsOneController() bool {
	return l.fleetSize() > min(l.view.Params.ShardLimitedAbove, l.machinesPerOwner())
}

// partable tells whether a team's jobs may be parted now. Every share of a
// limit must have room for the largest task, which is at most a machine.
func (l *Leader) canShard(t config.Team) bool {
	if cluster.Unlimited(t) {
		return l.isLarge()
	}
	if !l.exceedsOneController() || !l.canStorePages() {
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
	biggest, limits := 0.0, 0.0
	for _, t := range l.view.MachineTypes {
		biggest = max(biggest, t.CPUs)
	}
	for _, t := range l.view.Settings.Cluster.Teams {
		limits += max(t.CPUs, t.CPUsMax)
	}
	return max(len(l.autoscaler.instances), int(limits/max(1, biggest)))
}

// large tells whether the fleet is so large that parting it costs less than
// one controller for all of it (see docs/measurements.md).
func (l *Leader) isLarge() bool { return l.fleetSize() >= l.view.Params.SinglePartitionBelow }

// machinesPerOwner is how many machines make it worth another controller that
// is home to teams with limits. Each team's room is apart from the others'
// where their homes are, so there are no more homes than the controllers'
// processors ask for.
func (l *Leader) machinesPerOwner() int {
	cores := l.view.Settings.Cluster.Limits.Cores
	if cores <= 0 {
		cores = 1
	}
	return max(minMachinesPerOwner, int(config.ReportsPerCore*cores*l.view.Settings.Cluster.Workers.ReportS))
}

// minMachinesPerOwner bounds machinesPerOwner from below, for very small controllers.
const minMachinesPerOwner = 150

// seat chooses who gets a home that a controller offers: of those alive the one
// with fewest homes of that team, and then with the smallest block; the one that
// offers it when nobody has fewer.
func (l *Leader) choosePartitionOwner(rec *wire.LeaseRecord, partition, from string) string {
	team, _, _ := wire.SplitShard(partition)
	count := cluster.CountPartitions(rec.Partitions, team)
	best := from
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == from || !l.isAlive(node) || count[node] >= count[from] {
			continue
		}
		if best == from || count[node] < count[best] || (count[node] == count[best] && machineCount(rec, node) < machineCount(rec, best)) {
			best = node
		}
	}
	return best
}

// assignPartitions gives every team a home, and large fleets the parts of teams
// that may be parted.
func (l *Leader) assignPartitions(rec *wire.LeaseRecord) {
	large := l.isLarge()
	// After a start the others get a moment to show up, and the machine list
	// to tell the size of the fleet.
	early := l.loop.Now.Sub(l.startedAt) < 3*time.Second
	if early && (len(l.view.MachineTypes) == 0 || !l.autoscaler.inventory.complete || (large && len(l.renewals) < l.view.Settings.Controllers())) {
		return
	}
	live := []string{}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if l.isAlive(node) {
			live = append(live, node)
		}
	}
	// The weight of a controller is the guarantees it is home to.
	weight := map[string]float64{}
	teamWeight := func(team config.Team) float64 { return 1 + team.CPUs }
	teams := slices.Clone(l.view.Settings.Cluster.Teams)
	slices.SortStableFunc(teams, func(a, b config.Team) int { return cmp.Compare(teamWeight(b), teamWeight(a)) })
	for _, team := range teams {
		weight[rec.Partitions[team.Name]] += teamWeight(team)
	}
	owners := 0
	for _, node := range live {
		if weight[node] > 0 {
			owners++
		}
	}
	for _, team := range teams {
		if _, ok := rec.Blocks[rec.Partitions[team.Name]]; ok {
			continue
		}
		another := large && owners*l.machinesPerOwner() < l.fleetSize()
		best := ""
		for _, node := range live {
			// Parting a small fleet leaves room unused on every part.
			switch {
			case !another && owners > 0 && weight[node] == 0:
			case !large && owners == 0 && node != l.view.Self:
			case best == "", large && weight[node] < weight[best], !large && weight[node] > weight[best]:
				best = node
			}
		}
		if best == "" {
			best = l.view.Self
		}
		if weight[best] == 0 {
			owners++
		}
		rec.Partitions[team.Name] = best
		weight[best] += teamWeight(team)
	}
	for _, team := range teams {
		shards := cluster.Shards(rec.Partitions, team.Name)
		if !l.canShard(team) && len(shards) == 0 {
			continue
		}
		if len(shards) == 0 && !cluster.Unlimited(team) {
			// Earlier versions know nothing of shares, and must not read on.
			rec.Form = 2
			if team.CPUsMax > 0 || team.GPUsMax > 0 {
				l.initShares(rec, team, live)
			}
			l.log.Info("jobs of a limited team are parted", "team", team.Name, "controllers", len(live))
		}
		covered := map[string]bool{}
		for _, shard := range shards {
			covered[rec.Partitions[shard]] = true
		}
		for _, node := range live {
			if covered[node] || len(shards) >= maxShardsPerController*l.view.Settings.Controllers() {
				continue
			}
			shard := wire.ShardName(team.Name, len(shards)+1)
			shards = append(shards, shard)
			rec.Partitions[shard] = node
		}
	}
}
