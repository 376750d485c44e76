package controller

import (
	"encoding/base64"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/cluster"
	"fawncove/internal/leader"
	"fawncove/internal/leasevalue"
	"fawncove/internal/peer/peerpb"
	"fawncove/internal/sched"
	"fawncove/internal/step"
	"fawncove/internal/wire"
)

const (
	// leaderDead is how long the lease value may stay unchanged before
	// another controller takes the lead: two missed publications.
	leaderDead = 10 * time.Second
	// renewGap spaces renewals that something urgent brought about; those
	// through the state service cost a write, so they come less often.
	renewGap      = 200 * time.Millisecond
	renewGapStore = time.Second
	// starved is how long a job's tasks may wait without any of them being
	// started before machines are rented for all of them. The fleet may be
	// busy with work that never ends, or have no machine that they may use.
	starved = 75 * time.Second
	// stuck is how long nothing of a class may be started before its waiting
	// work counts as starved rather than queued.
	stuck = 15 * time.Second
)

// ---- what every controller does with the lease value

// applyValue reads the lease value. One whose pages are not all known waits for
// them: it grants nothing until it has been read whole.
func (c *Core) applyValue(p wire.Pair) {
	since := c.loop.Now
	if c.unread != nil {
		since = c.unreadSince
		if c.unread.Version <= c.view.Version || c.unread.Version <= p.Version {
			c.unread = nil
		}
	}
	if p.Version <= c.view.Version {
		return
	}
	rec, err := c.book.Read(p.Value)
	if errors.Is(err, leasevalue.ErrMissing) {
		if c.unread == nil {
			c.unread, c.unreadSince = &p, since
		}
		return
	}
	if err != nil {
		c.log.Error("lease value", "err", err)
		return
	}
	c.applyLease(rec, p.Version)
}

// unreadFor is how long a lease value may wait for its pages to come with the
// watch before they are read.
const unreadFor = 300 * time.Millisecond

// readLease reads value and pages when a page has been missing for a while.
func (c *Core) readLease() {
	if c.unread != nil && !c.leaseReading && c.loop.Now.Sub(c.unreadSince) >= unreadFor {
		c.unreadSince = c.loop.Now
		c.fetchLease(func(int) {})
	}
}

// fetchLease reads the lease value and, if need be, its pages. Both may change
// in between, so it tries a few times; then gets the status of what it read
// last, or 0 when value and pages never matched.
func (c *Core) fetchLease(then func(status int)) {
	c.leaseReading = true
	done := func(status int) {
		c.leaseReading = false
		then(status)
	}
	var try func(left int)
	var pages func(left int, after string)
	try = func(left int) {
		c.loop.Emit(step.StateGet{Key: leaseKey, ID: c.loop.Call(func(d step.Completed) {
			if d.Status == 200 {
				c.applyPut(leaseKey, d.Pair.Value, d.Pair.Version)
			}
			switch {
			case d.Status != 200 || c.unread == nil:
				done(d.Status)
			case left == 0:
				done(0)
			default:
				pages(left-1, "")
			}
		})})
	}
	pages = func(left int, after string) {
		c.loop.Emit(step.StateRange{Prefix: leasevalue.PagePrefix, After: after, ID: c.loop.Call(func(d step.Completed) {
			if d.Status != 200 {
				done(d.Status)
				return
			}
			for _, p := range d.Page.Pairs {
				c.applyPut(p.Key, p.Value, p.Version)
				after = p.Key
			}
			switch {
			case c.unread == nil:
				done(200)
			case d.Page.More && len(d.Page.Pairs) > 0:
				pages(left, after)
			default:
				try(left)
			}
		})})
	}
	try(3)
}

// applyLease takes over a newer lease value and what it means for this
// controller's block, homes and rights.
func (c *Core) applyLease(rec wire.LeaseRecord, version uint64) {
	if version <= c.view.Version {
		return
	}
	c.view.Take(rec, version)
	c.leaseSeen = c.loop.Now
	if rec.Leader == c.view.Me && rec.Incarnation == c.hold.Incarnation() {
		if c.lead == nil || c.lead.Term() != rec.Term {
			c.startLeading(rec.Term)
		}
	} else if c.lead != nil {
		c.log.Info("no longer leader", "leader", rec.Leader, "term", rec.Term)
		c.stopLeading()
	}
	b, ok := rec.Blocks[c.view.Me]
	if !ok || b.Incarnation != c.hold.Incarnation() {
		if c.hold.Held() {
			c.log.Info("block lost", "machines", len(c.machines))
			c.loseBlock()
		}
		c.renewSoon = true
		return
	}
	c.hold.Granted(b)
	held := make(map[string]bool, len(b.Machines)+len(b.Old))
	take := func(name string, dirty bool) {
		held[name] = true
		if c.machines[name] != nil {
			return
		}
		m := &machine{name: name, runs: map[runKey]*run{}, heard: c.loop.Now, idle: c.loop.Now,
			dirty: dirty, fence: c.hold.Token(0)}
		c.machines[name] = m
		c.orderDue = true
		if dirty {
			c.renewSoon = true // the leader can tell how to reach it
		}
		if g := c.guests[name]; g != nil && !dirty {
			m.kind, m.zone, m.spot = g.rep.Type, g.rep.Zone, g.rep.Spot
		}
		if g := c.guests[name]; g != nil {
			c.introduce(m, &peerpb.Seen{Endpoint: g.rep.Endpoint, Type: g.rep.Type, Zone: g.rep.Zone, Spot: g.rep.Spot, Session: g.rep.Session})
		}
	}
	for _, name := range b.Machines {
		take(name, false)
	}
	for _, name := range b.Old {
		take(name, true)
	}
	recalled := map[string]bool{}
	for _, name := range b.Recall {
		recalled[name] = true
	}
	for name, m := range c.machines {
		switch {
		case held[name]:
			m.recall = recalled[name]
		case m.gave:
			delete(c.machines, name)
			c.orderDue = true
		default:
			// A machine leaves a block without being given back only when
			// the cloud has confirmed that it is gone.
			c.machineGone(m)
		}
	}
	for home := range c.homes {
		if rec.Homes[home] != c.view.Me {
			delete(c.homes, home)
		}
	}
	gained := map[string]bool{}
	for home, node := range rec.Homes {
		if _, known := c.homes[home]; node == c.view.Me && !known {
			c.homes[home], gained[home] = version, true
		}
	}
	if len(gained) > 0 {
		for _, id := range cluster.SortedKeys(c.jobs) {
			if j := c.jobs[id]; gained[j.home()] {
				c.adopt(j)
			}
		}
		c.readPages()
	}
	c.placeDue = true
	c.releaseGuests(false)
}

// loseBlock forgets all that the right to a block was the ground of.
func (c *Core) loseBlock() {
	c.hold.Lose()
	clear(c.machines)
	c.orderDue = true
	clear(c.used)
	clear(c.homes)
	for id, j := range c.jobs {
		j.ready, j.reading, j.runs, j.done, j.stored, j.doneCount, j.queue = false, false, nil, nil, nil, 0, nil
		if j.over {
			delete(c.jobs, id)
		}
	}
}

// Renewal describes this controller to the leader, numbered as the next one.
func (c *Core) Renewal() *peerpb.Renewal {
	var gave, lost, heard, unknown, bound []string
	r := &peerpb.Renewal{Node: c.view.Me, Incarnation: c.hold.Incarnation(), Number: c.hold.NextRenewal(), Waiting: map[string]int32{}}
	for _, name := range cluster.SortedKeys(c.machines) {
		m := c.machines[name]
		switch {
		case m.gave:
			gave = append(gave, name)
		case m.lost:
			lost = append(lost, name)
		}
		if m.endpoint == "" && !m.gave {
			unknown = append(unknown, name)
		}
		if m.spot && c.usable(m) {
			r.FreeSpotCpus += max(0, m.free().CPUs)
		}
		if !m.spot && m.bound() {
			bound = append(bound, name)
		}
		u := &peerpb.Use{Name: name, Bad: m.bad, Going: !m.gone.IsZero() || m.missed}
		if !m.idle.IsZero() && m.session != 0 {
			u.IdleS = c.loop.Now.Sub(m.idle).Seconds()
		}
		if u.Bad || u.Going || u.IdleS > 1 {
			r.Use = append(r.Use, u)
		}
	}
	for _, name := range cluster.SortedKeys(c.guests) {
		g := c.guests[name]
		if c.loop.Now.Sub(g.heard) > c.guestFresh() {
			continue
		}
		if c.view.OwnerOf(name) == "" {
			r.Seen = append(r.Seen, &peerpb.Seen{Name: name, Endpoint: g.rep.Endpoint,
				Type: g.rep.Type, Zone: g.rep.Zone, Spot: g.rep.Spot, Session: g.rep.Session})
		} else {
			heard = append(heard, name)
		}
	}
	r.Gave, r.Lost, r.Heard = wire.PackNames(gave), wire.PackNames(lost), wire.PackNames(heard)
	r.Unknown, r.Bound = wire.PackNames(unknown), wire.PackNames(bound)
	for _, j := range c.jobs {
		if !c.owns(j) || j.over || len(j.queue) == 0 {
			continue
		}
		for kind, t := range c.view.Types {
			if len(j.rec.Types) == 0 || slices.Contains(j.rec.Types, kind) {
				if j.need().Fits(cluster.SizeOf(t)) {
					r.Waiting[kind] += int32(len(j.queue))
				}
			}
		}
	}
	r.Demand = c.demand()
	r.Teams = c.usesOfTeams()
	r.BusyCpus, r.BusySpotCpus, _ = c.measure()
	return r
}

// refusedAfter is how long the state service must have been silent before a
// controller that others tell of its answers takes itself for the only one
// without it. It is longer than their word may be old, so that an outage for
// all is not mistaken for one.
const refusedAfter = 7 * time.Second

// refusedProof is for how long another must have been answered again before
// that says anything: when an outage ends, some are answered a moment earlier.
const refusedProof = 2500 * time.Millisecond

// refusedAlone tells whether the state service answers others but not this
// controller.
func (c *Core) refusedAlone() bool {
	if c.loop.Now.Sub(c.stateOK) < refusedAfter {
		return false
	}
	for _, p := range c.view.Peers {
		if c.loop.Now.Sub(p.Heard) < cluster.LinkDead && p.StateOK && c.loop.Now.Sub(p.OKSince) > refusedProof {
			return true
		}
	}
	return false
}

// resign gives up block, homes and lead when the state service refuses this
// controller alone. It could start nothing soon anyway, and store nothing; by
// saying so it spares its jobs the time until its lease has lapsed. From here
// on it is a new process to everybody, its own included: machines it gets back
// are machines it knows nothing of.
func (c *Core) resign() {
	if !c.loaded || (!c.hold.Held() && c.lead == nil) || !c.refusedAlone() {
		return
	}
	c.log.Info("resigned, the state service refuses this controller alone", "machines", len(c.machines), "led", c.lead != nil)
	c.hold.Outgrow(c.hold.Incarnation())
	c.stopLeading()
	c.loseBlock()
	c.renewSoon = true
}

// renew asks for a renewal of the block lease: straight from the leader where
// it can be reached, else through the state service, which no cut between
// zones touches.
func (c *Core) renew() {
	if c.lead != nil || c.view.Lease.Leader == "" {
		return // the leader renews its own with every write
	}
	direct := c.view.LinkUp(c.view.Lease.Leader, c.loop.Now)
	gap := renewGapStore
	if direct {
		gap = renewGap
	}
	last := c.renewAt.Add(-c.view.Par.Publish)
	if c.loop.Now.Before(c.renewAt) && !(c.renewSoon && c.loop.Now.Sub(last) >= gap) {
		return
	}
	c.renewSoon = false
	c.renewAt = c.loop.Now.Add(c.view.Par.Publish)
	r := c.Renewal()
	r.Resigned = !c.hold.Held() && c.refusedAlone()
	c.promise(r)
	c.hold.Sent(c.loop.Now)
	to := []string{c.view.Lease.Leader}
	if r.Resigned {
		// The lease value it knows is as old as the refusal; it may even name
		// itself as the leader. Whoever leads by now has to hear of it.
		direct, to = true, cluster.SortedKeys(c.view.Peers)
		c.renewAt = c.loop.Now.Add(renewGapStore)
	}
	if direct {
		for _, name := range to {
			f := c.frame()
			f.Renewal = r
			c.loop.Emit(step.PeerSend{To: name, Frame: f})
		}
		return
	}
	// As base64 in a value of limited size.
	trim(r, int(0.9*1024*c.view.Cfg.Cluster.State.ValueKB*3/4)-64)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		c.log.Error("renewal", "err", err)
		return
	}
	c.loop.Emit(step.StateTxn{Control: true, ID: c.loop.Call(func(step.Completed) {}),
		Txn: wire.Txn{Then: []wire.Op{{Put: renPrefix + c.view.Me, Value: map[string]string{
			"pb": base64.StdEncoding.EncodeToString(b)}}}}})
}

// trim shortens a renewal to a size. What is left out comes with a later one,
// once the leader has acted on the first part.
func trim(r *peerpb.Renewal, most int) {
	r.Unknown = "" // would be answered on the link that is down
	for proto.Size(r) > most {
		use, seen, demand := 12*len(r.Use), 50*len(r.Seen), 36*len(r.Demand)
		switch {
		case use+seen+demand == 0:
			return
		case seen >= use && seen >= demand:
			r.Seen = r.Seen[:len(r.Seen)/2]
		case use >= demand:
			r.Use = r.Use[:len(r.Use)/2]
		default:
			r.Demand = r.Demand[:len(r.Demand)/2]
		}
	}
}

// applyStoredRenewal reads a renewal that came through the state service.
func (c *Core) applyStoredRenewal(value []byte) {
	if c.lead == nil {
		return
	}
	var v map[string]string
	if err := wire.Decode(value, &v); err != nil {
		c.log.Error("stored renewal", "err", err)
		return
	}
	b, err := base64.StdEncoding.DecodeString(v["pb"])
	r := new(peerpb.Renewal)
	if err == nil {
		err = proto.Unmarshal(b, r)
	}
	if err != nil {
		c.log.Error("stored renewal", "err", err)
		return
	}
	c.onRenewal(r)
}

// elect takes the lead when there is no leader, when this controller led
// before its restart, or when the lease value has not changed for long.
func (c *Core) elect() {
	if c.lead != nil || c.leaseBusy {
		return
	}
	mine := c.view.Lease.Leader == c.view.Me
	// The controllers wait a little longer one after the other, so that they
	// do not all try in the same moment.
	patience := leaderDead
	for name := range c.view.Peers {
		if name < c.view.Me {
			patience += time.Second
		}
	}
	if c.view.Version != 0 && !mine && c.loop.Now.Sub(c.leaseSeen) < patience {
		return
	}
	rec := c.view.Lease.Clone()
	rec.Term++
	rec.Leader, rec.Incarnation = c.view.Me, c.hold.Incarnation()
	rec.Beat++
	leader.Regrant(&rec, c.view.Me, c.hold.Incarnation())
	c.writeLease(rec, func() {})
}

// writeLease proposes a new lease value under the version it was based on; then
// is called once it is stored.
func (c *Core) writeLease(rec wire.LeaseRecord, then func()) {
	c.leaseBusy = true
	if b, ok := rec.Blocks[c.view.Me]; ok && b.Incarnation == c.hold.Incarnation() {
		b.Renewal = c.hold.Sent(c.loop.Now)
		rec.Blocks[c.view.Me] = b
	}
	// Noted now: the watch may show this write before its answer comes.
	var renewed []string
	for node, b := range rec.Blocks {
		if old := c.view.Lease.Blocks[node]; b.Renewal != old.Renewal || b.Incarnation != old.Incarnation {
			renewed = append(renewed, node)
		}
	}
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	var draft *leasevalue.Draft
	if rec.Form >= 2 {
		var err error
		if draft, err = c.book.Write(&rec, c.view.Cfg.ValueLimits()); err != nil {
			// Publishing keeps within what a write can take, but for several
			// takeovers at once.
			c.log.Error("lease value", "err", err)
			c.leaseBusy = false
			if c.lead != nil {
				c.lead.TooLarge()
			}
			return
		}
		ops = draft.Ops
		c.view.ValueBytes = draft.Bytes
	}
	c.loop.Emit(step.StateTxn{Control: true,
		Txn: wire.Txn{If: []wire.Cond{{Key: leaseKey, Version: c.view.Version}}, Then: ops},
		ID: c.loop.Call(func(d step.Completed) {
			c.leaseBusy = false
			if d.Status == 200 {
				if draft != nil {
					draft.Stored()
				}
				then()
				c.applyLease(rec, d.Txn.Revision)
				if c.lead != nil {
					c.lead.Stored(renewed)
					c.leadTick()
				}
				return
			}
			// Refused, or perhaps done: read before deciding anything.
			c.leaseBusy = true
			c.fetchLease(func(int) {
				c.leaseBusy = false
				if c.lead != nil {
					c.lead.Stir()
				}
			})
		}),
	})
}

// demandMost bounds the groups of waiting tasks that a renewal carries.
const demandMost = 80

// demand groups the tasks without a place, for the leader, best first.
func (c *Core) demand() []*peerpb.Demand {
	var list []sched.Demand
	for _, j := range c.readyJobs() {
		n := c.allowance(j, len(j.queue))
		if n == 0 {
			continue
		}
		// Where others of its class are started it only waits for its turn:
		// machines rented for all of it would come when the backlog is gone.
		long := c.loop.Now.Sub(j.waitSince) > starved && c.loop.Now.Sub(c.class(j.rec.Class).startedAt) > stuck
		list = append(list, sched.Demand{Rank: j.rec.Rank(), Need: c.coarse(j), Types: j.rec.Types,
			Zone: j.rec.Zone, Spot: j.rec.Spot, Count: n, RunS: c.runSeconds(&j.rec),
			Whole: j.rec.Shape != wire.Array || long, Starved: long,
			SlackS: float64(c.dueStart(j)-c.loop.Now.UnixMilli()) / 1000})
	}
	var out []*peerpb.Demand
	for _, d := range sched.Merge(list) {
		if len(out) == demandMost {
			break
		}
		out = append(out, &peerpb.Demand{Rank: int32(d.Rank), Cpus: d.Need.CPUs, Cards: d.Need.Cards,
			MemoryGb: d.Need.MemoryGB, Types: d.Types, Zone: d.Zone, Spot: d.Spot,
			Count: int32(d.Count), RunS: d.RunS, Whole: d.Whole, Starved: d.Starved, SlackS: d.SlackS})
	}
	return out
}

// coarse is what a task of the job needs, rounded up unless that would keep
// it from every machine it may use.
func (c *Core) coarse(j *job) sched.Amount {
	rough := sched.Coarse(j.need())
	for kind, t := range c.view.Types {
		if (len(j.rec.Types) == 0 || slices.Contains(j.rec.Types, kind)) && j.need().Fits(cluster.SizeOf(t)) && !rough.Fits(cluster.SizeOf(t)) {
			return j.need()
		}
	}
	return rough
}

// allowance is how many of n tasks the team's limit leaves room for.
func (c *Core) allowance(j *job, n int) int {
	limit := c.ceilingOf(j.rec.Team)
	if !limit.Any() {
		return n
	}
	used, need := c.used[j.rec.Team], j.need()
	room := func(limit, used, need float64) {
		if limit > 0 && need > 0 {
			n = min(n, int(max(0, (limit-used+1e-6)/need)))
		}
	}
	room(limit.CPUs, used.CPUs, need.CPUs)
	room(limit.Cards, used.Cards, need.Cards)
	return n
}
