package owner

import (
	"math"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// The limit of a team whose jobs are parted over several controllers is held
// in shares, see package quota: here is what the holder does for that. A
// guarantee needs no shares, as nobody may be stopped wrongly by it: it is
// judged by what all controllers tell of their use each second.

// nothing is a ceiling of no processors; 0 would mean no limit.
const noCPUs = 1e-9

// ceilingOf is what the team's tasks may use on this controller's machines:
// its limit, or this controller's share of that.
func (o *Owner) localLimit(team string) sched.Limit {
	l := o.view.LimitOf(team)
	shares, parted := o.view.Lease.Shares[team]
	if !parted || !l.Any() {
		return l
	}
	s := o.blockLease.UsableShare(team, shares[o.view.Self])
	if l.CPUs > 0 {
		l.CPUs = max(noCPUs, float64(s.CPUs))
	}
	if l.GPUs > 0 {
		l.GPUs = max(noCPUs, float64(s.GPUs))
	}
	return l
}

// usedByAll is what a team's tasks use on all controllers, as far as known.
func (o *Owner) clusterUse(team string) sched.Resources {
	a := o.used[team]
	for _, p := range o.view.Peers {
		if u := p.TeamUse[team]; u != nil && o.loop.Now.Sub(p.LastFrame) < cluster.UsageMaxAge {
			a.CPUs += u.GetCpus()
			a.GPUs += u.GetGpus()
		}
	}
	return a
}

// hidden is the room that tasks may take up which this controller does not
// know: it counts against every limit.
func (o *Owner) unknownUse() sched.Resources {
	var a sched.Resources
	for _, m := range o.machines {
		if m.mayRunUnknownTasks() {
			a = a.Add(o.maxSize(m), 1)
		}
	}
	return a
}

// sizeAtMost is a machine's size, or that of the largest as long as its kind
// is not known.
func (o *Owner) maxSize(m *machine) sched.Resources {
	if m.size.CPUs > 0 {
		return m.size
	}
	size := m.size
	for _, t := range o.view.MachineTypes {
		size = sched.Resources{CPUs: max(size.CPUs, t.CPUs), GPUs: max(size.GPUs, t.GPUs)}
	}
	return size
}

// TeamUse sums up what this controller's tasks use and want, for each team
// with a limit or a guarantee.
func (o *Owner) TeamUse() map[string]*peerpb.TeamUse {
	out := map[string]*peerpb.TeamUse{}
	for _, t := range o.view.Settings.Cluster.Teams {
		if !cluster.Unlimited(t) {
			u := o.used[t.Name]
			out[t.Name] = &peerpb.TeamUse{Team: t.Name, Cpus: u.CPUs, Gpus: u.GPUs, WantCpus: u.CPUs, WantGpus: u.GPUs}
		}
	}
	for _, j := range o.jobs {
		u := out[j.Record.Team]
		if u == nil || j.Ended || !j.ready || len(j.queue) == 0 || !o.Owns(j) {
			continue
		}
		n := float64(len(j.queue))
		u.WantCpus += n * j.Record.CPUs
		u.WantGpus += n * j.Record.GPUs
		// A share has to have room for the largest task, and for all of a
		// gang beside what runs.
		must := j.need()
		if j.Record.Shape == wire.Group {
			must = o.used[j.Record.Team].Add(j.need(), n)
		}
		u.MinCpus, u.MinGpus = max(u.MinCpus, must.CPUs), max(u.MinGpus, must.GPUs)
	}
	return out
}

// ceilings lists the shares that this controller does not need in full while
// others are short, with what it would do with, and what it has promised
// already and no value honours yet.
func (o *Owner) sparableShares() map[string]wire.Share {
	out := map[string]wire.Share{}
	if !o.blockLease.Held() || len(o.view.Lease.Shares) == 0 {
		return out
	}
	own := o.TeamUse()
	hidden := o.unknownUse()
	for _, team := range cluster.SortedKeys(o.view.Lease.Shares) {
		shares := o.view.Lease.Shares[team]
		limit, used := o.view.LimitOf(team), o.used[team].Add(hidden, 1)
		cpus, cards := o.view.QuotaNeeds(o.view.Lease.Partitions, shares, team, own, o.loop.Now)
		now := o.blockLease.UsableShare(team, shares[o.view.Self])
		least := wire.Share{CPUs: int(math.Ceil(used.CPUs)), GPUs: int(math.Ceil(used.GPUs))}
		next := now
		if n, yes := o.loweredShare(cpus, limit.CPUs, used.CPUs, now.CPUs, func(node string) int { return shares[node].CPUs }); yes {
			next.CPUs = n
		}
		if n, yes := o.loweredShare(cards, limit.GPUs, used.GPUs, now.GPUs, func(node string) int { return shares[node].GPUs }); yes {
			next.GPUs = n
		}
		if o.loop.Now.Sub(o.lastStart[team]) > concentrateAfter {
			next.CPUs = o.concentratedShare(cpus, limit.CPUs, used.CPUs, next.CPUs, func(node string) int { return shares[node].CPUs })
			next.GPUs = o.concentratedShare(cards, limit.GPUs, used.GPUs, next.GPUs, func(node string) int { return shares[node].GPUs })
		}
		next.CPUs, next.GPUs = max(next.CPUs, min(least.CPUs, shares[o.view.Self].CPUs)), max(next.GPUs, min(least.GPUs, shares[o.view.Self].GPUs))
		if next.CPUs < shares[o.view.Self].CPUs || next.GPUs < shares[o.view.Self].GPUs {
			out[team] = next
		}
	}
	return out
}

// spared tells to what this controller can lower a ceiling for the sake of
// others that are short.
func (o *Owner) loweredShare(needs map[string]quota.Need, limit, used float64, now int, of func(node string) int) (int, bool) {
	if limit <= 0 {
		return 0, false
	}
	targets := quota.Targets(math.Floor(limit), needs)
	sum := 0
	for node := range needs {
		sum += of(node)
	}
	if float64(sum) > limit {
		return quota.ReservationFor(now, targets[o.view.Self], used, false) // the settings have changed
	}
	short, stuck := false, false
	for node, t := range targets {
		if node != o.view.Self {
			short = short || quota.NeedsMore(float64(of(node)), t, needs[node])
			stuck = stuck || quota.TooSmallToStart(float64(of(node)), t, needs[node])
		}
	}
	if !short {
		return 0, false
	}
	return quota.ReservationFor(now, targets[o.view.Self], used, stuck)
}

// gatherAfter is for how long nothing of a team may have been started here before what
// is left of its share goes to whom it is gathered for: on a busy fleet something ends
// sooner, and makes it enough for what waits here.
const concentrateAfter = 10 * time.Second

// gathered is a ceiling without what is left of it, where that is gathered for another.
func (o *Owner) concentratedShare(needs map[string]quota.Need, limit, used float64, now int, of func(node string) int) int {
	if limit <= 0 {
		return now
	}
	shares := make(map[string]int, len(needs))
	for node := range needs {
		shares[node] = of(node)
	}
	if node, _, ok := quota.ConcentrateOn(int(limit), shares, needs); ok && node != o.view.Self {
		return min(now, int(math.Ceil(used)))
	}
	return now
}

// RequestQuotaRenewal asks for a renewal when there is something new to promise.
func (o *Owner) RequestQuotaRenewal() {
	for team, s := range o.sparableShares() {
		if s != o.blockLease.UsableShare(team, o.view.Lease.Shares[team][o.view.Self]) {
			o.blockLease.RequestRenewal()
		}
	}
	if len(o.partitionsToHandOver()) > 0 {
		o.blockLease.RequestRenewal()
	}
}

// ReserveQuota puts what this controller can do without into a renewal, and keeps
// to it from now on, whether or not the leader ever reads that.
func (o *Owner) ReserveQuota(r *peerpb.Renewal) {
	ceilings := o.sparableShares()
	r.Grant = o.blockLease.Grant()
	for _, team := range cluster.SortedKeys(ceilings) {
		s := ceilings[team]
		o.blockLease.Reserve(r.GetNumber(), team, s)
		r.Reservations = append(r.Reservations, &peerpb.QuotaReservation{Team: team, Cpus: int64(s.CPUs), Gpus: int64(s.GPUs)})
	}
	for _, home := range o.partitionsToHandOver() {
		o.blockLease.OfferHandover(r.GetNumber(), home)
		o.handoverOfferedAt[home] = o.loop.Now
		r.Handovers = append(r.Handovers, home)
	}
}

// PublishedTeamUse lists what this controller's tasks use and want, where others
// have to know it.
func (o *Owner) PublishedTeamUse() []*peerpb.TeamUse {
	uses := o.TeamUse()
	var out []*peerpb.TeamUse
	for _, team := range cluster.SortedKeys(uses) {
		out = append(out, uses[team])
	}
	return out
}

// allowance is how many of n tasks the team's limit leaves room for.
func (o *Owner) tasksWithinLimit(j *Job, n int) int {
	limit := o.localLimit(j.Record.Team)
	if !limit.Any() {
		return n
	}
	used, need := o.used[j.Record.Team], j.need()
	room := func(limit, used, need float64) {
		if limit > 0 && need > 0 {
			n = min(n, int(max(0, (limit-used+1e-6)/need)))
		}
	}
	room(limit.CPUs, used.CPUs, need.CPUs)
	room(limit.GPUs, used.GPUs, need.GPUs)
	return n
}
