package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// quotaUse is what the tasks of teams use on this controller's machines.
type quotaUse struct {
	used      map[string]sched.Resources // by team
	stopping  map[string]sched.Resources // the part of used that is being stopped, as of the last round of placement
	lastStart map[string]time.Time       // when a task of each team was last started
	counts    quotaCounts
}

func newQuotaUse() quotaUse {
	return quotaUse{
		used:      map[string]sched.Resources{},
		stopping:  map[string]sched.Resources{},
		lastStart: map[string]time.Time{},
	}
}

// add adds n tasks of a job to what its team uses.
func (q *quotaUse) add(j *Job, n float64) {
	q.used[j.Record.Team] = q.used[j.Record.Team].Add(j.need(), n)
}

// addStopping adds a task of a job to what is being stopped of its team.
func (q *quotaUse) addStopping(j *Job) {
	q.stopping[j.Record.Team] = q.stopping[j.Record.Team].Add(j.need(), 1)
}

// limitAllows reports whether the limit of the job's team, or this controller's share of it,
// allows for one more task beside what may run on unreconciled machines.
func (o *Owner) limitAllows(j *Job, unknown unknownUse) bool {
	return unknown.allows(o.localLimit(j.Record.Team), o.quota.used[j.Record.Team], j.need())
}

// clusterUse returns what a team's tasks use on all controllers, as far as known.
func (o *Owner) clusterUse(team string) sched.Resources {
	var cpus, gpus sched.Sum
	for _, p := range o.view.Peers {
		if u := p.TeamUse[team]; u != nil && o.loop.Now.Sub(p.LastFrame) < cluster.UsageMaxAge {
			cpus.Add(u.GetCpus())
			gpus.Add(u.GetGpus())
		}
	}
	use := o.quota.used[team]
	use.CPUs += cpus.Value()
	use.GPUs += gpus.Value()
	return use
}

// tasksWithinLimit returns how many of n tasks of the job its team's limit has room for.
func (o *Owner) tasksWithinLimit(j *Job, n int) int {
	limit := o.localLimit(j.Record.Team)
	if !limit.Any() {
		return n
	}
	used, need := o.quota.used[j.Record.Team], j.need()
	n = copiesWithin(n, limit.CPUs, used.CPUs, need.CPUs)
	return copiesWithin(n, limit.GPUs, used.GPUs, need.GPUs)
}

// copiesWithin returns how many of n tasks fit a limit of one resource; 0 means no limit.
func copiesWithin(n int, limit, used, need float64) int {
	const rounding = 1e-6 // sums of fractions are not exact
	if limit <= 0 || need <= 0 {
		return n
	}
	return min(n, int(max(0, (limit-used+rounding)/need)))
}

// teamWants is what a team's waiting tasks need.
type teamWants struct{ cpus, gpus sched.Sum }

// TeamUse returns what this controller's tasks use and want, for each team with a limit or a
// guarantee.
func (o *Owner) TeamUse() map[string]*peerpb.TeamUse {
	uses := map[string]*peerpb.TeamUse{}
	wanted := map[string]*teamWants{}
	for _, t := range o.view.Settings.Cluster.Teams {
		if !cluster.Unlimited(t) {
			used := o.quota.used[t.Name]
			uses[t.Name] = &peerpb.TeamUse{Team: t.Name, Cpus: used.CPUs, Gpus: used.GPUs, WantCpus: used.CPUs, WantGpus: used.GPUs}
			wanted[t.Name] = &teamWants{}
		}
	}
	for _, j := range o.jobs {
		use := uses[j.Record.Team]
		if use == nil || j.Ended || !j.ready() || len(j.queue) == 0 || !o.Owns(j) {
			continue
		}
		n := float64(len(j.queue))
		wanted[j.Record.Team].cpus.Add(n * j.Record.CPUs)
		wanted[j.Record.Team].gpus.Add(n * j.Record.GPUs)
		// A share has to have room for the largest task, and for all of a gang beside what
		// runs.
		least := j.need()
		if j.Record.Shape == wire.Group {
			least = o.quota.used[j.Record.Team].Add(j.need(), n)
		}
		use.MinCpus, use.MinGpus = max(use.MinCpus, least.CPUs), max(use.MinGpus, least.GPUs)
	}
	for team, wants := range wanted {
		uses[team].WantCpus += wants.cpus.Value()
		uses[team].WantGpus += wants.gpus.Value()
	}
	return uses
}

// PublishedTeamUse returns what this controller's tasks use and want, where others have to
// know it, by team.
func (o *Owner) PublishedTeamUse() []*peerpb.TeamUse {
	uses := o.TeamUse()
	var list []*peerpb.TeamUse
	for _, team := range cluster.SortedKeys(uses) {
		list = append(list, uses[team])
	}
	return list
}
