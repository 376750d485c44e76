package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/config"
	"fawncove/internal/leasevalue"
	"fawncove/internal/peer/peerpb"
	"fawncove/internal/sched"
	"fawncove/internal/step"
	"fawncove/internal/wire"
)

const (
	// refusedFor is how long an offer without capacity is left alone.
	refusedFor = 15 * time.Second
	// idleCheap and idleDear are how long, in boot times, a spot machine or
	// an ordinary one may stand empty before it is returned: to rent another
	// one later costs a boot time and the images.
	idleCheap = 0.25
	idleDear  = 0.15
	// cheapPatience and dearPatience are how long work may wait, in boot
	// times, before a spot machine or an ordinary one is rented for it.
	cheapPatience = 0.2
	dearPatience  = 1.5
	// neverUp is after how many boot times a machine counts as one that never
	// comes up. Waiting longer pays for machines that do nothing and that
	// take up what the market has.
	neverUp = 2.5
	// judgeEvery spaces the looks at who holds what, which go over the whole
	// fleet.
	judgeEvery = 400 * time.Millisecond
	// rentMost bounds the machines asked for in one decision, which is a few
	// requests' worth; the answers tell how to go on.
	rentMost = 400
	// planEvery spaces the decisions on renting.
	planEvery = time.Second
)

// fleet is the leader's view of all machines that are rented.
type fleet struct {
	machines  map[string]*rented
	leaving   map[string]bool // to be released
	releasing bool
	releaseAt time.Time
	listing   bool
	listAt    time.Time
	listed    bool // one whole list has been read since leading
	planAt    time.Time
	judgedAt  time.Time
	gaugedAt  time.Time
	load      float64 // processors used or waited for, averaged
	spot      float64 // processors of spot machines, coming ones included
	target    float64 // what spot should be
	renting   int
	requests  uint64
	refused   map[offerKey]time.Time
	tight     time.Time // when a spot market last gave less than was asked
	full      string    // the budget that does not let the fleet grow
}

type offerKey struct {
	kind, zone string
	spot       bool
}

// rented is one machine as the leader knows it.
type rented struct {
	offerKey
	rentedAt time.Time
	listedAt time.Time
	endpoint string
	session  uint64 // last heard of; 0: unknown
}

// seen describes the machine to the controller that holds it.
func (r *rented) seen(name string) *peerpb.Seen {
	return &peerpb.Seen{Name: name, Endpoint: r.endpoint, Type: r.kind, Zone: r.zone, Spot: r.spot, Session: r.session}
}

func (f *fleet) init() {
	f.machines = map[string]*rented{}
	f.leaving = map[string]bool{}
	f.refused = map[offerKey]time.Time{}
}

// seen notes a machine that has reported.
func (f *fleet) seen(c *Core, s *peerpb.Seen) {
	r := f.machines[s.GetName()]
	if r == nil {
		r = &rented{offerKey: offerKey{s.GetType(), s.GetZone(), s.GetSpot()}, rentedAt: c.loop.Now}
		f.machines[s.GetName()] = r
	}
	r.endpoint, r.session = s.GetEndpoint(), s.GetSession()
}

// runFleet rents, lists and returns machines. Only the leader does.
func (c *Core) runFleet() {
	l := c.lead
	if l == nil || c.view.Version == 0 {
		return
	}
	c.listMachines()
	if c.loop.Now.Sub(l.fleet.judgedAt) >= judgeEvery {
		l.fleet.judgedAt = c.loop.Now
		c.judge()
		c.introduceOwn()
	}
	c.release()
	// The picture is rebuilt first: the machine list, and a renewal of every
	// controller or the time that one takes.
	if !l.fleet.listed || (len(l.renewals) < c.nodes() && c.loop.Now.Sub(l.since) < c.par.Publish+time.Second) {
		return
	}
	if c.loop.Now.Sub(l.fleet.planAt) >= planEvery {
		l.fleet.planAt = c.loop.Now
		c.plan()
	}
}

// listMachines reads the machine list now and then.
func (c *Core) listMachines() {
	f := &c.lead.fleet
	if f.listing || (!f.listAt.IsZero() && c.loop.Now.Sub(f.listAt) < c.view.Cfg.ListEvery()) {
		return
	}
	f.listing, f.listAt = true, c.loop.Now
	c.listPage(c.lead, "", map[string]bool{})
}

func (c *Core) listPage(l *leader, after string, names map[string]bool) {
	c.loop.Emit(step.CloudList{After: after, ID: c.loop.Call(func(d step.Completed) {
		f := &l.fleet
		if c.lead != l {
			return
		}
		if d.Status != 200 {
			f.listing = false
			return
		}
		for _, m := range d.List.Machines {
			names[m.Name] = true
			after = m.Name
			c.listed(m)
		}
		if d.List.More && len(d.List.Machines) > 0 {
			c.listPage(l, after, names)
			return
		}
		f.listing, f.listed = false, true
		c.introduceOwn()
		// Missing for longer than any list can lag: taken by the cloud. The
		// release makes sure of it before anything is started again.
		lag := config.Seconds(2*c.view.Cfg.Cluster.Cloud.ListLagS) + 5*time.Second
		for name, r := range f.machines {
			if !names[name] && c.loop.Now.Sub(r.listedAt) > lag && c.loop.Now.Sub(r.rentedAt) > lag {
				f.leaving[name] = true
			}
		}
	})})
}

// listed takes one line of the machine list.
func (c *Core) listed(m wire.Machine) {
	l := c.lead
	f := &l.fleet
	if m.Name == "" || l.gone[m.Name] || f.leaving[m.Name] {
		return
	}
	r := f.machines[m.Name]
	if r == nil {
		r = &rented{offerKey: offerKey{m.Type, m.Zone, m.Spot}, rentedAt: c.loop.Now.Add(-config.Seconds(m.AgeS))}
		f.machines[m.Name] = r
	}
	r.listedAt, r.endpoint = c.loop.Now, m.Endpoint
	switch {
	case m.State == wire.MachineFailed:
		f.leaving[m.Name] = true
	case m.State == wire.MachineBooting && c.view.OwnerOf(m.Name) == "":
		// Never came up: some take several times as long, a few for ever.
		if t, ok := c.view.Types[m.Type]; ok && m.AgeS > neverUp*t.BootS+15 {
			f.leaving[m.Name] = true
		}
	}
}

// judge marks machines for return: lost ones at once, idle and bad ones by
// recalling them from their blocks.
func (c *Core) judge() {
	l := c.lead
	c.gauge()
	heard := map[string]bool{}
	for node, r := range l.renewals {
		if c.loop.Now.Sub(l.heardAt[node]) < 2*c.par.Publish {
			for _, n := range c.unpack(r.GetHeard()) {
				heard[n] = true
			}
		}
	}
	for n, g := range c.guests {
		if c.loop.Now.Sub(g.heard) < c.guestFresh() {
			heard[n] = true
		}
	}
	// What stands empty here may be what somebody else waits for.
	c.balance()
	own := l.renewals[c.view.Me]
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		for _, n := range c.unpack(r.GetLost()) {
			// Somebody else may hear what its holder does not.
			if !heard[n] && !l.gone[n] && c.view.OwnerOf(n) == node {
				l.fleet.leaving[n] = true
			}
		}
		if r == own {
			continue
		}
		for _, u := range r.GetUse() {
			c.judgeUse(u.GetName(), u.GetIdleS(), u.GetBad())
		}
	}
	for _, m := range c.machineOrder() {
		idle := 0.0
		if !m.idle.IsZero() && m.session != 0 {
			idle = c.loop.Now.Sub(m.idle).Seconds()
		}
		c.judgeUse(m.name, idle, m.bad)
		if m.lost && !heard[m.name] && !l.gone[m.name] {
			l.fleet.leaving[m.name] = true
		}
	}
	c.retire()
	for n := range l.recalls {
		if owner := c.view.OwnerOf(n); l.gone[n] || owner == "" || owner == l.moves[n] {
			delete(l.recalls, n)
			delete(l.moves, n)
		}
	}
}

// spareShare is the part of the fleet that stays free on spot machines when
// ordinary ones are recalled, so that nothing waits for it.
const spareShare = 0.03

// retire recalls ordinary machines while spot machines that are up have room
// for their work: they cost a multiple and would otherwise stay busy for as
// long as there is any work.
func (c *Core) retire() {
	l := c.lead
	f := &l.fleet
	if !c.large() {
		return // on a small fleet they were missed soon after
	}
	free := 0.0
	kept := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		for _, d := range r.GetDemand() {
			if !d.GetSpot() {
				return // ordinary machines are what is wanted
			}
		}
		for _, n := range c.unpack(r.GetBound()) {
			kept[n] = true
		}
		free += r.GetFreeSpotCpus()
	}
	var dear []string
	for name, r := range f.machines {
		cpus := c.view.Types[r.kind].CPUs
		if c.view.OwnerOf(name) == "" || f.leaving[name] {
			continue
		}
		free -= spareShare * cpus
		if l.recalls[name] && !r.spot {
			free -= cpus / 2 // about what it still runs, on average until it is empty
		} else if !r.spot && !kept[name] {
			dear = append(dear, name)
		}
	}
	if free <= 0 || len(dear) == 0 {
		return
	}
	perCPU := func(name string) float64 {
		t := c.view.Types[f.machines[name].kind]
		return t.Price / max(t.CPUs, 1)
	}
	slices.SortFunc(dear, func(a, b string) int {
		return cmp.Or(cmp.Compare(perCPU(b), perCPU(a)), cmp.Compare(a, b))
	})
	for _, name := range dear {
		if cpus := c.view.Types[f.machines[name].kind].CPUs; cpus <= free {
			l.recalls[name] = true
			l.dirty = true
			free -= cpus
		}
	}
}

// balance recalls idle machines for controllers whose waiting tasks they
// would take. A machine stays where its holder has work for it, so that none
// goes to and fro.
func (c *Core) balance() {
	l := c.lead
	for _, node := range cluster.SortedKeys(l.renewals) {
		if !l.alive(c, node) || len(l.renewals[node].GetDemand()) == 0 {
			continue
		}
		want := demands(l.renewals[node])
		for _, holder := range cluster.SortedKeys(l.renewals) {
			if holder == node || !l.alive(c, holder) {
				continue
			}
			own := demands(l.renewals[holder])
			for _, u := range l.renewals[holder].GetUse() {
				r := l.fleet.machines[u.GetName()]
				if r == nil || u.GetBad() || u.GetGoing() || u.GetIdleS() < 1 || l.recalls[u.GetName()] || c.view.OwnerOf(u.GetName()) != holder {
					continue
				}
				empty := []sched.Offer{{Type: r.kind, Zone: r.zone, Spot: r.spot, Size: cluster.SizeOf(c.view.Types[r.kind])}}
				left := sched.Absorb(want, empty)
				if slices.Equal(counts(left), counts(want)) || !slices.Equal(counts(sched.Absorb(own, empty)), counts(own)) {
					continue
				}
				want = left
				l.recalls[u.GetName()], l.moves[u.GetName()] = true, node
				l.dirty = true
			}
		}
	}
}

func counts(list []sched.Demand) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = list[i].Count
	}
	return out
}

// demands reads the waiting tasks out of a renewal.
func demands(r *peerpb.Renewal) []sched.Demand {
	var out []sched.Demand
	for _, d := range r.GetDemand() {
		out = append(out, sched.Demand{Rank: int(d.GetRank()),
			Need:  sched.Amount{CPUs: d.GetCpus(), Cards: d.GetCards(), MemoryGB: d.GetMemoryGb()},
			Types: d.GetTypes(), Zone: d.GetZone(), Spot: d.GetSpot(),
			Count: int(d.GetCount()), RunS: max(1, d.GetRunS()), Whole: d.GetWhole(), Starved: d.GetStarved(), SlackS: d.GetSlackS()})
	}
	return out
}

func (c *Core) judgeUse(name string, idleS float64, bad bool) {
	l := c.lead
	if l.recalls[name] || l.gone[name] {
		return
	}
	share, boot := idleCheap, 30.0
	if r := l.fleet.machines[name]; r != nil {
		if !r.spot {
			share = idleDear
		}
		if t, ok := c.view.Types[r.kind]; ok {
			boot = t.BootS
		}
	}
	cpus := 0.0
	if r := l.fleet.machines[name]; r != nil && r.spot {
		cpus = c.view.Types[r.kind].CPUs
	}
	if bad || (idleS > share*boot && (cpus == 0 || l.fleet.spot-cpus >= l.fleet.target)) {
		l.fleet.spot -= cpus
		l.recalls[name] = true
		l.dirty = true
	}
}

// release returns machines to the cloud. With the answer they are gone.
func (c *Core) release() {
	l := c.lead
	f := &l.fleet
	if f.releasing || len(f.leaving) == 0 || c.loop.Now.Before(f.releaseAt) {
		return
	}
	names := cluster.SortedKeys(f.leaving)
	if len(names) > wire.MaxRelease {
		names = names[:wire.MaxRelease]
	}
	f.releasing = true
	c.log.Info("releasing", "machines", names)
	c.loop.Emit(step.CloudRelease{Names: names, ID: c.loop.Call(func(d step.Completed) {
		f.releasing = false
		f.releaseAt = c.loop.Now.Add(300 * time.Millisecond)
		if d.Status != 200 {
			f.releaseAt = c.loop.Now.Add(time.Second)
			return
		}
		if c.lead != l {
			return
		}
		for _, n := range names {
			l.gone[n] = true
			delete(f.leaving, n)
			if r := f.machines[n]; r != nil {
				// Whatever was refused before, there is room again.
				delete(f.refused, r.offerKey)
				delete(f.machines, n)
			}
		}
		l.dirty = true
		c.leadTick()
	})})
}

// plan rents machines for work that has no place.
func (c *Core) plan() {
	l := c.lead
	f := &l.fleet
	if f.renting > 0 || len(c.view.Types) == 0 {
		return
	}
	var waiting []sched.Demand
	l.renewals[c.view.Me] = c.renewal()
	c.renewals--
	for _, node := range cluster.SortedKeys(l.renewals) {
		waiting = append(waiting, demands(l.renewals[node])...)
	}
	waiting = sched.Merge(waiting)
	if !c.roomForMore() {
		return
	}
	c.cover()
	if len(waiting) == 0 || f.renting > 0 {
		return
	}
	// Work that may not use spot machines counts on ordinary ones only.
	anywhere, ordinary := waiting, []sched.Demand(nil)
	if slices.ContainsFunc(waiting, func(d sched.Demand) bool { return !d.Spot }) {
		anywhere = nil
		for _, d := range waiting {
			if d.Spot {
				anywhere = append(anywhere, d)
			} else {
				ordinary = append(ordinary, d)
			}
		}
	}
	c.planFor(anywhere, true)
	c.planFor(ordinary, false)
}

// planFor rents machines for waiting tasks that may use spot machines, or for
// those that may not.
func (c *Core) planFor(waiting []sched.Demand, spot bool) {
	l := c.lead
	f := &l.fleet
	var coming []sched.Offer
	have, soonHave := 0.0, 0.0
	for _, name := range cluster.SortedKeys(f.machines) {
		r := f.machines[name]
		t, ok := c.view.Types[r.kind]
		if !ok || f.leaving[name] || l.recalls[name] || (r.spot && !spot) {
			continue
		}
		if c.view.OwnerOf(name) != "" {
			have += t.CPUs
		} else if c.loop.Now.Sub(r.rentedAt) < config.Seconds(2.5*t.BootS) {
			// Slower ones may never come and count as absent.
			coming = append(coming, sched.Offer{Type: r.kind, Zone: r.zone, Spot: r.spot, Size: cluster.SizeOf(t)})
			soonHave += t.CPUs
		}
	}
	left := sched.Absorb(waiting, coming)
	work := 0.0
	for _, d := range left {
		work += float64(d.Count) * d.Need.CPUs * d.RunS
	}
	if work <= 0 {
		return
	}
	soon := 0.0
	for _, t := range c.view.Types {
		if soon == 0 || t.BootS < soon {
			soon = t.BootS
		}
	}
	// Machines are rented for the work that the fleet does not get done by
	// itself soon; dear ones only for what would wait much longer, with the
	// machines that are on their way at work as well.
	if spot {
		before := f.renting
		for _, o := range sched.Rent(beyond(left, work, have, cheapPatience*soon), c.offers(true), rentMost) {
			c.rent(o)
		}
		if f.renting > before {
			return // the answers tell what else is needed
		}
	}
	if spot && c.large() {
		for _, o := range sched.Rent(c.behind(waiting, have+soonHave), c.offers(false), rentMost) {
			c.rent(o)
		}
		return
	}
	patience := dearPatience
	if !spot {
		patience = cheapPatience // there is nothing cheaper to wait for
	}
	for _, o := range sched.Rent(beyond(left, work, have+soonHave, patience*soon), c.offers(false), rentMost) {
		c.rent(o)
	}
}

// headroom is the part by which the spot machines of a large fleet exceed its
// load, so that what comes next finds room at once.
const headroom = 0.1

// loadMemory is how long the load is averaged over. Machines are kept while
// the load dips for less.
const loadMemory = 20 * time.Second

// gauge sums up the fleet: what its tasks use or wait for, averaged, and the
// processors of the spot machines that are up or coming.
func (c *Core) gauge() {
	l := c.lead
	f := &l.fleet
	busy := 0.0
	starving := false
	going := map[string]bool{} // about to be taken: what replaces them can be rented now
	for _, r := range l.renewals {
		busy += r.GetBusySpotCpus()
		for _, d := range r.GetDemand() {
			starving = starving || d.GetStarved()
		}
		for _, u := range r.GetUse() {
			if u.GetGoing() {
				going[u.GetName()] = true
			}
		}
	}
	if f.gaugedAt.IsZero() {
		f.load = busy
	} else {
		f.load += (busy - f.load) * min(1, c.loop.Now.Sub(f.gaugedAt).Seconds()/loadMemory.Seconds())
	}
	f.gaugedAt = c.loop.Now
	f.spot = 0
	for name, r := range f.machines {
		t := c.view.Types[r.kind]
		if r.spot && !f.leaving[name] && !l.recalls[name] && !going[name] && (c.view.OwnerOf(name) != "" || c.loop.Now.Sub(r.rentedAt) < config.Seconds(2.5*t.BootS)) {
			f.spot += t.CPUs
		}
	}
	f.target = 0
	if c.large() && !starving {
		// Work that cannot use what stands empty may wait for the room that
		// it takes up in the market; then nothing is kept.
		// On a small fleet one job is a large part of the load, and the
		// average says little about what comes next.
		f.target = max(busy, f.load) * (1 + headroom)
	}
}

const (
	// muchMissing is the part of the load for which markets are asked together.
	muchMissing = 0.05
	// tightFor is how long a market that could not give all says something
	// about the others.
	tightFor = time.Minute
)

// cover rents spot machines until they alone cover the load, if the market
// has them; retire recalls the ordinary ones once these are up.
func (c *Core) cover() {
	f := &c.lead.fleet
	offers := c.offers(true)
	slices.SortStableFunc(offers, func(a, b sched.Offer) int {
		return cmp.Compare(a.Price/a.Size.CPUs, b.Price/b.Size.CPUs)
	})
	// Asked of each market in turn, as a wave of losses leaves room in all.
	// While markets cannot give what is asked of them and much is missing,
	// they are asked together, each for a part: one after the other would
	// cost a second each.
	left := rentMost
	short := f.target - f.spot
	part := short
	if n := min(len(offers), max(1, int(c.view.Cfg.Cluster.Cloud.RPS))); n > 1 &&
		short > muchMissing*f.target && c.loop.Now.Sub(f.tight) < tightFor {
		part = short / float64(n)
	}
	for _, o := range offers {
		n := min(int(math.Ceil(part/o.Size.CPUs)), int((f.target-f.spot)/o.Size.CPUs), wire.MaxRent, left)
		if n <= 0 {
			continue
		}
		c.rent(sched.Order{Offer: o, Number: n})
		f.spot += float64(n) * o.Size.CPUs
		left -= n
	}
}

// plainSize is about what the lease value takes without pages, machines on
// their way included. They count with what they will take: a rental's names
// follow each other, so that is little more than a character each, not the four
// of the worst case by which growth once stopped at a seventh of the value.
func (c *Core) plainSize() int {
	b, err := wire.Encode(c.view.Lease)
	if err != nil {
		c.log.Error("lease value", "err", err)
		return math.MaxInt32
	}
	var coming []string
	for name := range c.lead.fleet.machines {
		if c.view.OwnerOf(name) == "" {
			coming = append(coming, name)
		}
	}
	slices.Sort(coming)
	// As JSON, in which sizes are counted, the value takes a little more.
	return (len(b) + len(wire.PackNames(coming))) * 5 / 4
}

// roomForMore tells whether all budgets let the fleet grow. With pages the lease
// value names some ten thousand machines, so what counts there is how full the
// value itself is. At a ceiling nothing is rented until machines go; all else
// goes on.
func (c *Core) roomForMore() bool {
	for _, b := range c.budgets {
		if b.Machines > 0 && !c.below(b.Name, float64(len(c.lead.fleet.machines)), float64(b.Machines)) {
			return false
		}
	}
	size := c.valueBytes
	if c.view.Lease.Form < 2 {
		size = c.plainSize()
		if c.mayPage() {
			return true // pages come in time
		}
	}
	return c.below("names in the lease value", float64(size), leasevalue.FullPart*1024*c.view.Cfg.Cluster.State.ValueKB)
}

// ceilingPart is to which part of a ceiling a budget has to come down before the
// fleet may grow again: a fleet at its ceiling loses and rents machines all the
// time, and would be said to reach it every few seconds.
const ceilingPart = 0.97

// below tells whether a budget has not reached its ceiling, and logs it when
// that changes.
func (c *Core) below(name string, at, ceiling float64) bool {
	f := &c.lead.fleet
	if f.full == name {
		ceiling *= ceilingPart
	}
	full := at >= ceiling
	if full != (f.full == name) && (full || f.full == name) {
		f.full = ""
		if full {
			f.full = name
		}
		c.log.Warn("the fleet has reached a ceiling", "what", name, "reached", full, "at", int(at), "ceiling", int(ceiling))
	}
	return !full
}

// beyond is the part of the waiting tasks that a fleet of have processors
// does not get to within patience seconds. Gangs, which need all their room
// at once, daemons, which never end, and starved jobs count in full.
func beyond(waiting []sched.Demand, work, have, patience float64) []sched.Demand {
	out := slices.Clone(waiting)
	if have <= 0 {
		return out
	}
	share := max(0, 1-patience/(work/have))
	for i := range out {
		if !out[i].Whole {
			out[i].Count = int(math.Ceil(float64(out[i].Count) * share))
		}
	}
	return out
}

// inflowSpan is how far back arrivals are counted, in steps of inflowStep.
const (
	inflowSpan = 60 * time.Second
	inflowStep = 5 * time.Second
)

// arrived counts an accepted job's work as inflow.
func (c *Core) arrived(rec *wire.JobRecord) {
	if rec.Shape == wire.Daemon {
		return // never done; its processors are taken off what there is
	}
	c.inflow[rec.AtMs/inflowStep.Milliseconds()] += float64(rec.Tasks) * rec.CPUs * max(1, c.runSeconds(rec))
}

// inflowRate is the work that comes in, in processors that it keeps busy.
func (c *Core) inflowRate() float64 {
	sum := 0.0
	oldest := c.loop.Now.Add(-inflowSpan).UnixMilli() / inflowStep.Milliseconds()
	for step, work := range c.inflow {
		if step <= oldest {
			delete(c.inflow, step)
		} else {
			sum += work
		}
	}
	return sum / inflowSpan.Seconds()
}

// patient is from which slack on, in times that a backlog is worked off in,
// waiting work is left to cheap machines.
const patient = 2.0

// behind is the part of the waiting tasks that dear machines are wanted for:
// a fleet of size processors has to keep up with what comes in, and only what
// it has beyond that works off what waits. Early or late, a backlog costs the
// same machine time, so it is worked off as early as its aims ask for.
func (c *Core) behind(waiting []sched.Demand, size float64) []sched.Demand {
	soon := 0.0
	for _, t := range c.view.Types {
		if soon == 0 || t.BootS < soon {
			soon = t.BootS
		}
	}
	drain := dearPatience * soon
	short, cpus := c.inflowRate()-size, 0.0
	for _, r := range c.lead.renewals {
		short += r.GetBusyCpus() - r.GetBusySpotCpus()
	}
	out := slices.Clone(waiting)
	for i := range out {
		d := &out[i]
		if !d.Whole && d.SlackS > patient*drain {
			d.Count = 0 // may wait for cheaper room
		}
		n := float64(d.Count) * d.Need.CPUs
		cpus += n
		short += n * d.RunS / max(drain, d.SlackS, 1)
	}
	for i := range out {
		if d := &out[i]; !d.Whole {
			d.Count = int(math.Ceil(float64(d.Count) * min(1, max(0, short/max(1, cpus)))))
		}
	}
	return out
}

// offers lists what can be rented: the cheap kind, spot machines, or all.
func (c *Core) offers(cheap bool) []sched.Offer {
	var out []sched.Offer
	for _, name := range cluster.SortedKeys(c.view.Types) {
		t := c.view.Types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if c.loop.Now.Before(c.lead.fleet.refused[offerKey{name, zone, spot}]) || (cheap && !spot) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, sched.Offer{Type: name, Zone: zone, Spot: spot, Size: cluster.SizeOf(t), Price: price, BootS: t.BootS})
			}
		}
	}
	return out
}

// rent asks for an order's machines, a request for each MaxRent of them.
func (c *Core) rent(o sched.Order) {
	for ; o.Number > wire.MaxRent; o.Number -= wire.MaxRent {
		part := o
		part.Number = wire.MaxRent
		c.request(part)
	}
	c.request(o)
}

func (c *Core) request(o sched.Order) {
	l := c.lead
	f := &l.fleet
	f.requests++
	f.renting++
	key := offerKey{o.Type, o.Zone, o.Spot}
	req := wire.Rent{Request: fmt.Sprintf("r-%d-%d", l.term, f.requests), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Number: o.Number}
	asked := c.loop.Now
	c.loop.Emit(step.CloudRent{Rent: req, ID: c.loop.Call(func(d step.Completed) {
		f.renting--
		if d.Status != 200 || len(d.Names) < req.Number {
			if o.Spot {
				f.tight = c.loop.Now
			}
			f.refused[key] = c.loop.Now.Add(refusedFor)
		}
		c.log.Info("rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", req.Number, "got", len(d.Names), "status", d.Status)
		for _, n := range d.Names {
			if f.machines[n] == nil {
				f.machines[n] = &rented{offerKey: key, rentedAt: asked, listedAt: c.loop.Now}
			}
		}
	})})
}
