package controller

import (
	"math"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/config"
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
	s := c.promises.Ceiling(team, shares[c.view.Me])
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

// teamUse sums up what this controller's tasks use and want, for each team
// with a limit or a guarantee.
func (c *Core) teamUse() map[string]*peerpb.TeamUse {
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

// needs collects what every controller that is home to jobs of the team needs,
// processors and cards. Those not heard of lately keep what they have.
func (c *Core) needs(homes map[string]string, shares wire.Shares, team string, own map[string]*peerpb.TeamUse) (cpus, cards map[string]share.Need) {
	cpus, cards = map[string]share.Need{}, map[string]share.Need{}
	for home, node := range homes {
		if _, done := cpus[node]; done || (home != team && !wire.IsPart(home, team)) {
			continue
		}
		u := own[team]
		if node != c.view.Me {
			u = nil
			if p := c.view.Peers[node]; p != nil && c.loop.Now.Sub(p.Heard) < cluster.UseFresh {
				u = p.Teams[team]
			}
		}
		if u == nil {
			s := shares[node]
			cpus[node] = share.Need{Used: float64(s.CPUs), Want: float64(s.CPUs)}
			cards[node] = share.Need{Used: float64(s.Cards), Want: float64(s.Cards)}
			continue
		}
		cpus[node] = share.Need{Used: u.GetCpus(), Want: u.GetWantCpus(), Must: u.GetMustCpus()}
		cards[node] = share.Need{Used: u.GetCards(), Want: u.GetWantCards(), Must: u.GetMustCards()}
	}
	return cpus, cards
}

// ceilings lists the shares that this controller does not need in full while
// others are short, with what it would do with, and what it has promised
// already and no value honours yet.
func (c *Core) ceilings() map[string]wire.Share {
	out := map[string]wire.Share{}
	if c.grant == 0 || len(c.view.Lease.Shares) == 0 {
		return out
	}
	own := c.teamUse()
	hidden := c.hidden()
	for _, team := range cluster.SortedKeys(c.view.Lease.Shares) {
		shares := c.view.Lease.Shares[team]
		limit, used := c.view.LimitOf(team), c.used[team].Add(hidden, 1)
		cpus, cards := c.needs(c.view.Lease.Homes, shares, team, own)
		now := c.promises.Ceiling(team, shares[c.view.Me])
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
		if s != c.promises.Ceiling(team, c.view.Lease.Shares[team][c.view.Me]) {
			c.renewSoon = true
		}
	}
	if l := c.lead; l != nil {
		rec := c.cloneLease()
		l.dirty = l.dirty || c.raiseShares(&rec)
	}
}

// promise puts what this controller can do without into a renewal, and keeps
// to it from now on, whether or not the leader ever reads that.
func (c *Core) promise(r *peerpb.Renewal) {
	ceilings := c.ceilings()
	r.Grant = c.grant
	for _, team := range cluster.SortedKeys(ceilings) {
		s := ceilings[team]
		c.promises.Promise(r.GetNumber(), team, s)
		r.Ceilings = append(r.Ceilings, &peerpb.Ceiling{Team: team, Cpus: int64(s.CPUs), Cards: int64(s.Cards)})
	}
}

// ---- the leader's side

// honour lowers a holder's shares to what the renewal promises. It may only be
// called for the write that makes the renewal the one last honoured: the same
// promise, come late, says nothing about a share raised since. And a promise
// made under another grant knows nothing of the machines, and the tasks on
// them, that came with this one.
func (c *Core) honour(rec *wire.LeaseRecord, node string, r *peerpb.Renewal) {
	if r.GetGrant() == 0 || r.GetGrant() != rec.Blocks[node].Grant {
		return
	}
	for _, x := range r.GetCeilings() {
		s, ok := rec.Shares[x.GetTeam()][node]
		if !ok {
			continue
		}
		s.CPUs, s.Cards = min(s.CPUs, int(x.GetCpus())), min(s.Cards, int(x.GetCards()))
		rec.Shares[x.GetTeam()][node] = s
	}
}

// inherit gives the shares of a controller that ended to its successor, to
// whom its machines go with all that may run on them.
func inherit(rec *wire.LeaseRecord, dead, to string) {
	for _, shares := range rec.Shares {
		a, b := shares[dead], shares[to]
		delete(shares, dead)
		shares[to] = wire.Share{CPUs: a.CPUs + b.CPUs, Cards: a.Cards + b.Cards}
	}
}

// beginShares gives the whole limit of a team whose jobs are about to be parted
// to the controller that was home to all of them, or parts it evenly where
// nobody was.
func (c *Core) beginShares(rec *wire.LeaseRecord, t config.Team, live []string) {
	limit := wire.Share{CPUs: int(t.CPUsMax), Cards: int(t.GPUsMax)}
	shares := wire.Shares{}
	if home := c.view.Lease.Homes[t.Name]; home != "" {
		// Its home at this moment, should it have moved with this write.
		shares[rec.Homes[t.Name]] = limit
	} else {
		for _, node := range live {
			shares[node] = wire.Share{CPUs: limit.CPUs / len(live), Cards: limit.Cards / len(live)}
		}
	}
	if rec.Shares == nil {
		rec.Shares = map[string]wire.Shares{}
	}
	rec.Shares[t.Name] = shares
}

// raiseShares gives what no share of a team takes to those that want it. It
// tells whether that is worth a write of its own.
func (c *Core) raiseShares(rec *wire.LeaseRecord) bool {
	worth := false
	own := c.teamUse()
	for _, team := range cluster.SortedKeys(rec.Shares) {
		shares, limit := rec.Shares[team], c.view.LimitOf(team)
		cpus, cards := c.needs(rec.Homes, shares, team, own)
		for node := range cpus {
			if _, ok := rec.Blocks[node]; !ok {
				delete(cpus, node)
				delete(cards, node)
			}
		}
		raise := func(limit float64, needs map[string]share.Need, get func(wire.Share) int, set func(*wire.Share, int)) {
			if limit <= 0 {
				return
			}
			now := map[string]int{}
			for node, s := range shares {
				now[node] = get(s)
			}
			next, much := share.Raise(int(limit), now, share.Targets(math.Floor(limit), needs), needs)
			worth = worth || much
			for node, n := range next {
				s := shares[node]
				set(&s, n)
				shares[node] = s
			}
		}
		raise(limit.CPUs, cpus, func(s wire.Share) int { return s.CPUs }, func(s *wire.Share, n int) { s.CPUs = n })
		raise(limit.Cards, cards, func(s wire.Share) int { return s.Cards }, func(s *wire.Share, n int) { s.Cards = n })
	}
	return worth
}
