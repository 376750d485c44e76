package cluster

import (
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/quota"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TeamOf returns the settings of a team.
func (v *View) TeamOf(name string) (t config.Team, ok bool) {
	i := slices.IndexFunc(v.Settings.Cluster.Teams, func(t config.Team) bool { return t.Name == name })
	if i < 0 {
		return t, false
	}
	return v.Settings.Cluster.Teams[i], true
}

// LimitOf returns the most that a team's tasks may use. An unknown team has no limit.
func (v *View) LimitOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

// GuaranteeOf returns what a team is guaranteed, as a limit.
func (v *View) GuaranteeOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUs, GPUs: t.GPUs}
}

// Unlimited reports whether a team has neither a limit nor a guarantee.
func Unlimited(t config.Team) bool {
	return t.CPUs <= 0 && t.CPUsMax <= 0 && t.GPUs <= 0 && t.GPUsMax <= 0
}

// Shards lists the shards of a team's jobs by name. owners is the controller that owns
// each partition, as in the functions below.
func Shards(owners map[string]string, team string) []string {
	var out []string
	for partition := range owners {
		if wire.IsShardOf(partition, team) {
			out = append(out, partition)
		}
	}
	slices.Sort(out)
	return out
}

// Partitions lists the partitions of a team's jobs: its shards by name, then that of the
// team itself, which has all jobs that belong to no shard.
func Partitions(owners map[string]string, team string) []string {
	out := Shards(owners, team)
	if _, ok := owners[team]; ok {
		out = append(out, team)
	}
	return out
}

// CountPartitions returns how many partitions of a team each controller owns.
func CountPartitions(owners map[string]string, team string) map[string]int {
	count := map[string]int{}
	for partition, node := range owners {
		if wire.IsPartitionOf(partition, team) {
			count[node]++
		}
	}
	return count
}

// QuotaNeeds returns what every controller that owns partitions of the team needs of its
// limit, processors and GPUs. own is what this controller's tasks use and want. A
// controller that has not published its use of late needs what it has.
func (v *View) QuotaNeeds(owners map[string]string, shares wire.Shares, team string, own map[string]*peerpb.TeamUse, now time.Time) (cpus, gpus map[string]quota.Need) {
	cpus, gpus = map[string]quota.Need{}, map[string]quota.Need{}
	for partition, node := range owners {
		if _, done := cpus[node]; done || !wire.IsPartitionOf(partition, team) {
			continue
		}
		use := own[team]
		if node != v.Self {
			use = v.recentUse(node, team, now)
		}
		if use == nil {
			share := shares[node]
			cpus[node] = quota.Need{InUse: float64(share.CPUs), Wanted: float64(share.CPUs)}
			gpus[node] = quota.Need{InUse: float64(share.GPUs), Wanted: float64(share.GPUs)}
			continue
		}
		cpus[node] = quota.Need{InUse: use.GetCpus(), Wanted: use.GetWantCpus(), MinToStart: use.GetMinCpus()}
		gpus[node] = quota.Need{InUse: use.GetGpus(), Wanted: use.GetWantGpus(), MinToStart: use.GetMinGpus()}
	}
	return cpus, gpus
}

// recentUse returns what a peer has published of a team's use, or nil if that is too old.
func (v *View) recentUse(node, team string, now time.Time) *peerpb.TeamUse {
	p := v.Peers[node]
	if p == nil || now.Sub(p.LastFrame) >= UsageMaxAge {
		return nil
	}
	return p.TeamUse[team]
}
