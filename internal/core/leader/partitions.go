package leader

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

const (
	// maxShardsPerController bounds the shards of a team, per controller. A controller
	// that was taken for dead and is back gets a new shard, as its old one has moved.
	maxShardsPerController = 8
	// minMachinesPerOwner bounds machinesPerOwner from below, for small controllers.
	minMachinesPerOwner = 150
	// settleTime is how long a new leader waits for renewals and the inventory before
	// it assigns partitions without them.
	settleTime = 3 * time.Second
)

// exceedsOneController reports whether the fleet is more than one controller should
// hold.
func (l *Leader) exceedsOneController() bool {
	return l.fleetSize() > min(l.view.Params.ShardLimitedAbove, l.machinesPerOwner())
}

// canShard reports whether a team's jobs may be split into shards now, which is for good.
// Every quota share must have room for the largest task, which is at most a machine.
func (l *Leader) canShard(team config.Team) bool {
	if cluster.Unlimited(team) {
		return l.isLarge()
	}
	if !l.exceedsOneController() || !l.canStorePages() {
		return false
	}
	largest, known := l.view.LargestMachine()
	controllers := float64(l.view.Settings.Controllers())
	return known && (team.CPUsMax <= 0 || team.CPUsMax >= controllers*largest.CPUs) &&
		(team.GPUsMax <= 0 || team.GPUsMax >= controllers*largest.GPUs)
}

// fleetSize returns how many machines there are, or how many the teams' limits
// amount to if that is more and known: without machine types a limit in processors
// would count as so many machines.
func (l *Leader) fleetSize() int {
	machines := len(l.autoscaler.instances)
	largest, known := l.view.LargestMachine()
	if !known {
		return machines
	}
	limits := 0.0
	for _, team := range l.view.Settings.Cluster.Teams {
		limits += max(team.CPUs, team.CPUsMax)
	}
	return max(machines, int(limits/max(1, largest.CPUs)))
}

// isLarge reports whether the fleet is so large that sharding it costs less than one
// controller for all of it (see docs/measurements.md).
func (l *Leader) isLarge() bool { return l.fleetSize() >= l.view.Params.SinglePartitionBelow }

// machinesPerOwner returns how many machines are worth another controller that owns
// partitions of teams with limits. Free room on the machines of one owner is of no use
// to the teams of another, so there are no more owners than the controllers' processors
// ask for.
func (l *Leader) machinesPerOwner() int {
	cores := l.view.Settings.Cluster.Limits.Cores
	if cores <= 0 {
		cores = 1
	}
	return max(minMachinesPerOwner, int(config.HeartbeatsPerCore*cores*l.view.Settings.Cluster.Workers.ReportS))
}

// choosePartitionOwner returns the new owner of a partition that a controller offers to
// hand over: the one with the fewest partitions of that team, then with the smallest
// block, or the offering controller itself if none has fewer.
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

// assignPartitions gives every team an owner, and on large fleets every controller a
// shard of each team whose jobs may be split.
func (l *Leader) assignPartitions(rec *wire.LeaseRecord) {
	if l.startingUp() {
		return
	}
	var alive []string
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if l.isAlive(node) {
			alive = append(alive, node)
		}
	}
	teams := slices.Clone(l.view.Settings.Cluster.Teams)
	slices.SortStableFunc(teams, func(a, b config.Team) int { return cmp.Compare(teamWeight(b), teamWeight(a)) })
	l.assignTeams(rec, teams, alive)
	for _, team := range teams {
		l.assignShards(rec, team, alive)
	}
}

// startingUp reports whether a new leader should wait with the assignment: for the
// other controllers to renew, and for the inventory to tell the size of the fleet.
func (l *Leader) startingUp() bool {
	if l.loop.Now.Sub(l.startedAt) >= settleTime {
		return false
	}
	return len(l.view.MachineTypes) == 0 || !l.autoscaler.inventory.complete ||
		(l.isLarge() && len(l.renewals) < l.view.Settings.Controllers())
}

// teamWeight is how much a team weighs in the choice of its owner.
func teamWeight(team config.Team) float64 { return 1 + team.CPUs }

// assignTeams gives each team without an owner one of the controllers alive, the
// heaviest team first. A small fleet keeps all teams with one owner, as splitting it
// would leave free room unused on every part.
func (l *Leader) assignTeams(rec *wire.LeaseRecord, teams []config.Team, alive []string) {
	large := l.isLarge()
	weight := map[string]float64{} // of the teams that each controller owns
	for _, team := range teams {
		weight[rec.Partitions[team.Name]] += teamWeight(team)
	}
	owners := 0
	for _, node := range alive {
		if weight[node] > 0 {
			owners++
		}
	}
	for _, team := range teams {
		if _, ok := rec.Blocks[rec.Partitions[team.Name]]; ok {
			continue
		}
		mayAddOwner := large && owners*l.machinesPerOwner() < l.fleetSize()
		best := ""
		for _, node := range alive {
			switch {
			case !mayAddOwner && owners > 0 && weight[node] == 0:
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
}

// assignShards gives every controller alive a shard of the team's jobs, if these may be
// split or already are.
func (l *Leader) assignShards(rec *wire.LeaseRecord, team config.Team, alive []string) {
	shards := cluster.Shards(rec.Partitions, team.Name)
	if !l.canShard(team) && len(shards) == 0 {
		return
	}
	if len(shards) == 0 && !cluster.Unlimited(team) {
		// Versions that read form 1 only know nothing of shares: with form 2 they
		// cannot read the value, and are granted nothing by it.
		rec.Form = leasevalue.FormPages
		if team.CPUsMax > 0 || team.GPUsMax > 0 {
			l.initShares(rec, team, alive)
		}
		l.log.Info("jobs of a limited team are sharded", "team", team.Name, "controllers", len(alive))
	}
	covered := map[string]bool{}
	for _, shard := range shards {
		covered[rec.Partitions[shard]] = true
	}
	for _, node := range alive {
		if covered[node] || len(shards) >= maxShardsPerController*l.view.Settings.Controllers() {
			continue
		}
		shard := wire.ShardName(team.Name, len(shards)+1)
		shards = append(shards, shard)
		rec.Partitions[shard] = node
	}
}
