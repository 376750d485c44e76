package controller

import (
	"math"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/peer/peerpb"
	"fawncove/internal/sched"
	"fawncove/internal/share"
	"fawncove/internal/wire"
)

// The limit of a team whose jobs are parted over several controllers is held
// in shares, see package share: here is what the holder and the leader do for
// that. A guarantee needs no shares, as nobody may be stopped wrongly by it: it
// is judged by what all controllers tell of their use each second.

const (
	// tradeEvery spaces the looks at whether others are short of a share.
	tradeEvery = 300 * time.Millisecond
	// nothing is a ceiling of no processors; 0 would mean no limit.
	nothing = 1e-9
)

// ceilingOf is what the team's tasks may use on this controller's machines:
// its limit, or this controller's share of that.
func (c *Core) ceilingOf(team string) sched.Limit {
	l := c.view.LimitOf(team)
	shares, parted := c.view.Lease.Shares[team]
	if !parted || !l.Any() {
		return l
	}
	s := c.hold.Ceiling(team, shares[c.view.Me])
	if l.CPUs > 0 {
		l.CPUs = max(nothing, float64(s.CPUs))
	}
	if l.Cards > 0 {
		l.Cards = max(nothing, float64(s.Cards))
	}
	return l
}

// usedByAll is what a team's tasks use on all controllers, as far as known.
func (c *Core) usedByAll(team string) sched.Amount {
	a := c.used[team]
	for _, p := range c.view.Peers {
		if u := p.Teams[team]; u != nil && c.loop.Now.Sub(p.Heard) < cluster.UseFresh {
			a.CPUs += u.GetCpus()
			a.Cards += u.GetCards()
		}
	}
	return a
}

// hidden is the room that tasks may take up which this controller does not
// know: it counts against every limit.
func (c *Core) hidden() sched.Amount {
	var a sched.Amount
	for _, m := range c.machines {
		if m.dirty || m.orphans > 0 {
			a = a.Add(c.sizeAtMost(m), 1)
		}
	}
	return a
}

// sizeAtMost is a machine's size, or that of the largest as long as its kind
// is not known.
func (c *Core) sizeAtMost(m *machine) sched.Amount {
	if m.size.CPUs > 0 {
		return m.size
	}
	size := m.size
	for _, t := range c.view.Types {
		size = sched.Amount{CPUs: max(size.CPUs, t.CPUs), Cards: max(size.Cards, t.Cards)}
	}
	return size
}

// Uses sums up what this controller's tasks use and want, for each team
// with a limit or a guarantee.
func (c *Core) Uses() map[string]*peerpb.TeamUse {
	out := map[string]*peerpb.TeamUse{}
	for _, t := range c.view.Cfg.Cluster.Teams {
		if !cluster.Unlimited(t) {
			u := c.used[t.Name]
			out[t.Name] = &peerpb.TeamUse{Team: t.Name, Cpus: u.CPUs, Cards: u.Cards, WantCpus: u.CPUs, WantCards: u.Cards}
		}
	}
	for _, j := range c.jobs {
		u := out[j.rec.Team]
		if u == nil || j.over || !j.ready || len(j.queue) == 0 || !c.owns(j) {
			continue
		}
		n := float64(len(j.queue))
		u.WantCpus += n * j.rec.CPUs
		u.WantCards += n * j.rec.Cards
		// A share has to have room for the largest task, and for all of a
		// gang beside what runs.
		must := j.need()
		if j.rec.Shape == wire.Group {
			must = c.used[j.rec.Team].Add(j.need(), n)
		}
		u.MustCpus, u.MustCards = max(u.MustCpus, must.CPUs), max(u.MustCards, must.Cards)
	}
	return out
}

// ceilings lists the shares that this controller does not need in full while
// others are short, with what it would do with, and what it has promised
// already and no value honours yet.
func (c *Core) ceilings() map[string]wire.Share {
	out := map[string]wire.Share{}
	if !c.hold.Held() || len(c.view.Lease.Shares) == 0 {
		return out
	}
	own := c.Uses()
	hidden := c.hidden()
	for _, team := range cluster.SortedKeys(c.view.Lease.Shares) {
		shares := c.view.Lease.Shares[team]
		limit, used := c.view.LimitOf(team), c.used[team].Add(hidden, 1)
		cpus, cards := c.view.Needs(c.view.Lease.Homes, shares, team, own, c.loop.Now)
		now := c.hold.Ceiling(team, shares[c.view.Me])
		least := wire.Share{CPUs: int(math.Ceil(used.CPUs)), Cards: int(math.Ceil(used.Cards))}
		next := now
		if n, yes := c.spared(cpus, limit.CPUs, used.CPUs, now.CPUs, func(node string) int { return shares[node].CPUs }); yes {
			next.CPUs = n
		}
		if n, yes := c.spared(cards, limit.Cards, used.Cards, now.Cards, func(node string) int { return shares[node].Cards }); yes {
			next.Cards = n
		}
		next.CPUs, next.Cards = max(next.CPUs, min(least.CPUs, shares[c.view.Me].CPUs)), max(next.Cards, min(least.Cards, shares[c.view.Me].Cards))
		if next.CPUs < shares[c.view.Me].CPUs || next.Cards < shares[c.view.Me].Cards {
			out[team] = next
		}
	}
	return out
}

// spared tells to what this controller can lower a ceiling for the sake of
// others that are short.
func (c *Core) spared(needs map[string]share.Need, limit, used float64, now int, of func(node string) int) (int, bool) {
	if limit <= 0 {
		return 0, false
	}
	targets := share.Targets(math.Floor(limit), needs)
	sum := 0
	for node := range needs {
		sum += of(node)
	}
	if float64(sum) > limit {
		return share.Lower(now, targets[c.view.Me], used, false) // the settings have changed
	}
	short, stuck := false, false
	for node, t := range targets {
		if node != c.view.Me {
			short = short || share.Short(float64(of(node)), t, needs[node])
			stuck = stuck || share.Stuck(float64(of(node)), t, needs[node])
		}
	}
	if !short {
		return 0, false
	}
	return share.Lower(now, targets[c.view.Me], used, stuck)
}

// trade has a renewal sent when there is something to promise.
func (c *Core) trade() {
	if c.loop.Now.Sub(c.tradedAt) < tradeEvery || len(c.view.Lease.Shares) == 0 {
		return
	}
	c.tradedAt = c.loop.Now
	for team, s := range c.ceilings() {
		if s != c.hold.Ceiling(team, c.view.Lease.Shares[team][c.view.Me]) {
			c.renewSoon = true
		}
	}
	if c.lead != nil {
		c.lead.Trade()
	}
}

// promise puts what this controller can do without into a renewal, and keeps
// to it from now on, whether or not the leader ever reads that.
func (c *Core) promise(r *peerpb.Renewal) {
	ceilings := c.ceilings()
	r.Grant = c.hold.Grant()
	for _, team := range cluster.SortedKeys(ceilings) {
		s := ceilings[team]
		c.hold.Promise(r.GetNumber(), team, s)
		r.Ceilings = append(r.Ceilings, &peerpb.Ceiling{Team: team, Cpus: int64(s.CPUs), Cards: int64(s.Cards)})
	}
}
