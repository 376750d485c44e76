package controller

import (
	"encoding/base64"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/cluster"
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
	// writeGap spaces the leader's writes of the lease value.
	writeGap = 100 * time.Millisecond
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
	if rec.Leader == c.view.Me && rec.Incarnation == c.inc {
		if c.lead == nil || c.lead.term != rec.Term {
			c.startLeading(rec.Term)
		}
	} else if c.lead != nil {
		c.log.Info("no longer leader", "leader", rec.Leader, "term", rec.Term)
		c.lead = nil
	}
	b, ok := rec.Blocks[c.view.Me]
	if !ok || b.Incarnation != c.inc {
		if c.grant != 0 {
			c.log.Info("block lost", "machines", len(c.machines))
			c.loseBlock()
		}
		c.renewSoon = true
		return
	}
	if c.grant != b.Grant {
		c.grant, c.attempts = b.Grant, 0 // attempts are counted under each grant anew
	}
	c.promises.Honoured(b.Renewal)
	if sent, ok := c.renewalSent[b.Renewal]; ok {
		if until := sent.Add(cluster.Shrink(c.par.Lease)); until.After(c.right) {
			c.right = until
		}
		for n := range c.renewalSent {
			if n < b.Renewal {
				delete(c.renewalSent, n)
			}
		}
	}
	held := make(map[string]bool, len(b.Machines)+len(b.Old))
	take := func(name string, dirty bool) {
		held[name] = true
		if c.machines[name] != nil {
			return
		}
		m := &machine{name: name, runs: map[runKey]*run{}, heard: c.loop.Now, idle: c.loop.Now,
			dirty: dirty, fence: c.grant << 24}
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
	c.grant, c.right = 0, time.Time{}
	clear(c.machines)
	c.orderDue = true
	clear(c.used)
	clear(c.homes)
	clear(c.renewalSent)
	c.promises.Reset()
	for id, j := range c.jobs {
		j.ready, j.reading, j.runs, j.done, j.stored, j.doneCount, j.queue = false, false, nil, nil, nil, 0, nil
		if j.over {
			delete(c.jobs, id)
		}
	}
}

// renewal describes this controller to the leader.
func (c *Core) renewal() *peerpb.Renewal {
	c.renewals++
	var gave, lost, heard, unknown, bound []string
	r := &peerpb.Renewal{Node: c.view.Me, Incarnation: c.inc, Number: c.renewals, Waiting: map[string]int32{}}
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
	if !c.loaded || (c.grant == 0 && c.lead == nil) || !c.refusedAlone() {
		return
	}
	c.log.Info("resigned, the state service refuses this controller alone", "machines", len(c.machines), "led", c.lead != nil)
	c.inc++
	c.lead = nil
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
	last := c.renewAt.Add(-c.par.Publish)
	if c.loop.Now.Before(c.renewAt) && !(c.renewSoon && c.loop.Now.Sub(last) >= gap) {
		return
	}
	c.renewSoon = false
	c.renewAt = c.loop.Now.Add(c.par.Publish)
	r := c.renewal()
	r.Resigned = c.grant == 0 && c.refusedAlone()
	c.promise(r)
	c.renewalSent[r.Number] = c.loop.Now
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

// unpack reads a set of machines from a renewal.
func (c *Core) unpack(text string) []string {
	names, err := wire.UnpackNames(text)
	if err != nil {
		c.log.Error("names in a renewal", "err", err)
	}
	return names
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

// ---- leading

// leader is what the leading controller keeps beyond the lease value.
type leader struct {
	term     uint64
	since    time.Time
	dirty    bool
	lean     bool // the next write leaves out what can wait
	wrote    time.Time
	renewals map[string]*peerpb.Renewal // newest of each controller
	heardAt  map[string]time.Time       // when it came
	// renewedAt is when the answer to the last write with a renewal of that
	// controller came; its lease may last Lease from then.
	renewedAt map[string]time.Time
	gone      map[string]bool // released, confirmed
	recalls   map[string]bool
	moves     map[string]string // recalled for another controller
	fleet     fleet
}

func (c *Core) startLeading(term uint64) {
	c.log.Info("leading", "term", term)
	c.lead = &leader{term: term, since: c.loop.Now, dirty: true,
		renewals: map[string]*peerpb.Renewal{}, heardAt: map[string]time.Time{},
		renewedAt: map[string]time.Time{}, gone: map[string]bool{}, recalls: map[string]bool{}, moves: map[string]string{}}
	c.lead.fleet.init()
	for node := range c.view.Lease.Blocks {
		c.lead.renewedAt[node] = c.loop.Now
	}
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
	rec := c.cloneLease()
	rec.Term++
	rec.Leader, rec.Incarnation = c.view.Me, c.inc
	rec.Beat++
	c.regrant(&rec, c.view.Me, c.inc)
	c.writeLease(rec, func() {})
}

func (c *Core) cloneLease() wire.LeaseRecord {
	r := c.view.Lease
	r.Blocks = maps.Clone(r.Blocks)
	if r.Blocks == nil {
		r.Blocks = map[string]wire.Block{}
	}
	r.Homes = maps.Clone(r.Homes)
	if r.Homes == nil {
		r.Homes = map[string]string{}
	}
	if r.Shares != nil {
		r.Shares = make(map[string]wire.Shares, len(c.view.Lease.Shares))
		for team, s := range c.view.Lease.Shares {
			r.Shares[team] = maps.Clone(s)
		}
	}
	return r
}

// nextGrant returns a number for a new grant. It rises for good, with the
// term in its upper bits, since tokens and attempts are made of it.
func nextGrant(rec *wire.LeaseRecord) uint64 {
	rec.Grants = max(rec.Grants+1, rec.Term<<16)
	return rec.Grants
}

// regrant gives a controller's block to a new process of that controller. Its
// old one is dead, so nothing has to lapse, but all machines may run tasks
// that the new process knows nothing of.
func (c *Core) regrant(rec *wire.LeaseRecord, node string, inc uint64) {
	b := rec.Blocks[node]
	if b.Incarnation == inc {
		return
	}
	b.Old = append(slices.Clone(b.Old), b.Machines...)
	slices.Sort(b.Old)
	b.Machines, b.Renewal, b.Incarnation = nil, 0, inc
	b.Grant = nextGrant(rec)
	rec.Blocks[node] = b
}

// writeLease proposes a new lease value under the version it was based on; then
// is called once it is stored.
func (c *Core) writeLease(rec wire.LeaseRecord, then func()) {
	c.leaseBusy = true
	if b, ok := rec.Blocks[c.view.Me]; ok && b.Incarnation == c.inc {
		c.renewals++
		c.renewalSent[c.renewals] = c.loop.Now
		b.Renewal = c.renewals
		rec.Blocks[c.view.Me] = b
	}
	// Noted now: the watch may show this write before its answer comes.
	renewed := map[string]bool{}
	for node, b := range rec.Blocks {
		old := c.view.Lease.Blocks[node]
		renewed[node] = b.Renewal != old.Renewal || b.Incarnation != old.Incarnation
	}
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	var draft *leasevalue.Draft
	if rec.Form >= 2 {
		var err error
		if draft, err = c.book.Write(&rec, c.view.Cfg.ValueLimits()); err != nil {
			// Publishing keeps within what a write can take, but for several
			// takeovers at once. The same again would fail again, and with it
			// every renewal: the next write leaves out what can wait.
			c.log.Error("lease value", "err", err)
			c.leaseBusy = false
			if c.lead != nil {
				c.lead.lean, c.lead.dirty = true, true
			}
			return
		}
		ops = draft.Ops
		c.valueBytes = draft.Bytes
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
					for node, yes := range renewed {
						if yes {
							c.lead.renewedAt[node] = c.loop.Now
						}
					}
					c.leadTick()
				}
				return
			}
			// Refused, or perhaps done: read before deciding anything.
			c.leaseBusy = true
			c.fetchLease(func(int) {
				c.leaseBusy = false
				if c.lead != nil {
					c.lead.dirty = true
				}
			})
		}),
	})
}

// formPart is from which part of its size on the lease value is stored with
// pages. Small fleets do without, which costs fewer changes.
const formPart = 0.5

// mayPage tells whether the lease value can be stored with pages: whether all
// controllers read that form. One that does not would be granted nothing.
func (c *Core) mayPage() bool {
	if c.view.Lease.Form >= 2 {
		return true
	}
	if c.view.Cfg.Cluster.State.TxnOps < leasevalue.LeastOps {
		return false
	}
	for _, p := range c.view.Peers {
		if p.Form < 2 {
			return false
		}
	}
	return true
}

// settleForm decides in which form the value is stored from now on. There is
// no way back from a newer form.
func (c *Core) settleForm(rec *wire.LeaseRecord) {
	if rec.Form >= 2 || !c.mayPage() {
		return
	}
	if float64(c.plainSize()) > formPart*1024*c.view.Cfg.Cluster.State.ValueKB {
		rec.Form = 2
		c.log.Info("lease value is stored with pages from now on")
	}
}

// onRenewal takes in a controller's renewal.
func (c *Core) onRenewal(r *peerpb.Renewal) {
	l := c.lead
	if l == nil && r.GetResigned() && r.GetNode() == c.view.Lease.Leader && r.GetIncarnation() > c.view.Lease.Incarnation {
		c.leaseSeen = c.loop.Now.Add(-leaderDead) // nobody leads: no need to wait that long
	}
	if l == nil || r.GetNode() == c.view.Me {
		return
	}
	if c.view.Peers[r.GetNode()] == nil {
		c.log.Warn("renewal from an unknown controller", "node", r.GetNode())
		return
	}
	old := l.renewals[r.GetNode()]
	if old != nil && (r.GetIncarnation() < old.GetIncarnation() ||
		(r.GetIncarnation() == old.GetIncarnation() && r.GetNumber() <= old.GetNumber())) {
		return // late
	}
	if b := c.view.Lease.Blocks[r.GetNode()]; r.GetIncarnation() < b.Incarnation ||
		(r.GetIncarnation() == b.Incarnation && r.GetNumber() < b.Renewal) {
		return // late, from before this controller led
	}
	l.renewals[r.GetNode()], l.heardAt[r.GetNode()] = r, c.loop.Now
	c.view.Peers[r.GetNode()].Tell(r.GetTeams())
	c.tellKnown(r)
	c.log.Debug("renewal", "node", r.GetNode(), "number", r.GetNumber(), "heard", len(r.GetHeard()), "demand", len(r.GetDemand()))
	if b, ok := c.view.Lease.Blocks[r.GetNode()]; !ok || b.Incarnation != r.GetIncarnation() ||
		r.GetResigned() || len(r.GetGave())+len(r.GetLost())+len(r.GetSeen()) > 0 {
		l.dirty = true
	}
	c.leadTick()
}

// leadTick does what leading needs: the lease value, then the fleet.
func (c *Core) leadTick() {
	l := c.lead
	if l == nil {
		return
	}
	if c.renewSoon {
		c.renewSoon = false
		l.dirty = true
	}
	due := c.loop.Now.Sub(l.wrote)
	if !c.leaseBusy && (due >= c.par.Publish || (l.dirty && due >= writeGap)) {
		l.wrote, l.dirty = c.loop.Now, false
		c.publish()
	}
	c.runFleet()
}

// alive tells whether a controller renewed lately.
func (l *leader) alive(c *Core, node string) bool {
	at, ok := l.heardAt[node]
	if l.renewals[node].GetResigned() {
		return false
	}
	return node == c.view.Me || (ok && c.loop.Now.Sub(at) < 2*c.par.Publish+time.Second)
}

// publish writes the lease value: renewals, moves, homes and waiting sums.
func (c *Core) publish() {
	l := c.lead
	own := c.renewal()
	c.promise(own)
	c.renewals-- // numbered when written
	l.renewals[c.view.Me] = own
	rec := c.cloneLease()
	rec.Beat++
	c.honour(&rec, c.view.Me, own)
	c.regrant(&rec, c.view.Me, c.inc)
	nodes := cluster.SortedKeys(l.renewals)
	gave := map[string]map[string]bool{} // by controller
	for _, node := range nodes {
		r := l.renewals[node]
		if node != c.view.Me && !r.GetResigned() {
			if old, ok := rec.Blocks[node]; !ok || old.Incarnation != r.GetIncarnation() {
				// A controller whose lease lapsed and that is back begins
				// anew; by its old date it would lapse again at once.
				l.renewedAt[node] = c.loop.Now
			}
			c.regrant(&rec, node, r.GetIncarnation())
			b := rec.Blocks[node]
			if r.GetNumber() > b.Renewal {
				c.honour(&rec, node, r)
			}
			b.Renewal = r.GetNumber()
			rec.Blocks[node] = b
		}
		gave[node] = map[string]bool{}
		for _, name := range c.unpack(r.GetGave()) {
			gave[node][name] = true
		}
	}
	// Blocks whose leases have lapsed go to one successor, machines and homes
	// together, since tasks are only ever on their owner's machines.
	lapsed := func() {}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		dead := rec.Blocks[node]
		// Who resigned did so as a later incarnation than the block was
		// granted to, so nothing has to lapse.
		resigned := l.renewals[node].GetResigned() && l.renewals[node].GetIncarnation() > dead.Incarnation
		if node == c.view.Me || (!resigned && c.loop.Now.Sub(l.renewedAt[node]) <= cluster.Stretch(c.par.Lease)) {
			continue
		}
		delete(rec.Blocks, node)
		if !resigned {
			delete(l.renewals, node)
		}
		to := c.successor(&rec, node)
		b := rec.Blocks[to]
		b.Old = append(append(slices.Clone(b.Old), dead.Machines...), dead.Old...)
		slices.Sort(b.Old)
		b.Grant = nextGrant(&rec)
		rec.Blocks[to] = b
		inherit(&rec, node, to)
		for team, home := range rec.Homes {
			if home == node {
				rec.Homes[team] = to
			}
		}
		// Only what is stored has happened: a leader that is refused, or was
		// replaced while it stood still, takes leases for lapsed at every try.
		before := lapsed
		lapsed = func() {
			before()
			c.log.Info("lease lapsed", "node", node, "resigned", resigned, "successor", to, "machines", len(dead.Machines)+len(dead.Old))
		}
	}
	c.settleHomes(&rec)
	c.settleForm(&rec)
	c.raiseShares(&rec)
	// A transaction takes so many changes only. What does not find room in
	// this one is as true at the next, a moment later.
	leave, enter := func(string) bool { return true }, func(string) bool { return true }
	if rec.Form >= 2 {
		budget := c.book.Budget(c.view.Cfg.ValueLimits())
		if l.lean {
			budget.Close()
		}
		put := func(yes bool) bool {
			l.dirty = l.dirty || !yes
			return yes
		}
		leave = func(name string) bool { return put(budget.Leave(name)) }
		enter = func(node string) bool { return put(budget.Join(node)) }
	}
	// Machines that are gone or given back leave their blocks.
	recalls := map[string][]string{}
	for i, n := range cluster.SortedKeys(l.recalls) {
		if l.lean || rec.Form >= 2 && i >= leasevalue.RecallsMost(c.view.Cfg.ValueLimits()) {
			break // the others follow when these are back
		}
		recalls[c.view.OwnerOf(n)] = append(recalls[c.view.OwnerOf(n)], n)
	}
	var free []string
	// settled tells whether a machine that was given back goes to another
	// controller.
	settled := func(n string) bool {
		_, ok := rec.Blocks[l.moves[n]]
		return ok && l.alive(c, l.moves[n])
	}
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		b := rec.Blocks[node]
		keep := func(names []string) []string {
			if !slices.ContainsFunc(names, func(n string) bool { return l.gone[n] || gave[node][n] }) {
				return names
			}
			var out []string
			for _, n := range names {
				switch {
				case (l.gone[n] || gave[node][n]) && !leave(n):
					out = append(out, n)
				case !l.gone[n] && gave[node][n] && settled(n) && !enter(l.moves[n]):
					out = append(out, n)
				case l.gone[n]:
				case gave[node][n]:
					free = append(free, n)
				default:
					out = append(out, n)
				}
			}
			return out
		}
		b.Machines, b.Old = keep(b.Machines), keep(b.Old)
		b.Recall = recalls[node]
		rec.Blocks[node] = b
	}
	joined := map[string]map[string]bool{}
	join := func(node, n string) {
		if joined[node] == nil {
			joined[node] = map[string]bool{}
		}
		joined[node][n] = true
	}
	// What was given back goes to the controller it was recalled for, under a
	// new and higher grant, or back to the cloud.
	for _, n := range free {
		to := l.moves[n]
		b := rec.Blocks[to]
		if !settled(n) {
			l.fleet.leaving[n] = true
			continue
		}
		if joined[to] == nil {
			b.Grant = nextGrant(&rec)
			rec.Blocks[to] = b
		}
		join(to, n)
	}
	// Machines that reported and are in no block join one.
	choose := c.joiner(&rec)
	fresh := map[string]bool{}
	for _, node := range nodes {
		for _, s := range l.renewals[node].GetSeen() {
			n := s.GetName()
			if fresh[n] || c.view.OwnerOf(n) != "" || l.gone[n] || l.fleet.leaving[n] {
				continue
			}
			fresh[n] = true
			to := choose(s)
			if !enter(to) {
				continue
			}
			join(to, n)
			l.fleet.seen(c, s)
		}
	}
	for node, names := range joined {
		b := rec.Blocks[node]
		b.Machines = append(slices.Clone(b.Machines), cluster.SortedKeys(names)...)
		slices.Sort(b.Machines)
		rec.Blocks[node] = b
	}
	rec.Waiting = map[string]int{}
	for _, node := range nodes {
		if r := l.renewals[node]; r != nil {
			for kind, n := range r.GetWaiting() {
				rec.Waiting[kind] += int(n)
			}
		}
	}
	l.lean = false
	c.writeLease(rec, lapsed)
}

// successor chooses who takes over a dead controller's block.
func (c *Core) successor(rec *wire.LeaseRecord, dead string) string {
	best := c.view.Me
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if node == dead || !c.lead.alive(c, node) {
			continue
		}
		if load(rec, node) < load(rec, best) {
			best = node
		}
	}
	return best
}

func load(rec *wire.LeaseRecord, node string) int {
	b := rec.Blocks[node]
	return len(b.Machines) + len(b.Old)
}

// joiner returns a function that chooses the block a new machine joins: that
// of a controller with waiting work that would fill it, among those the one
// with most work, waiting or running, for the processors it has, and then one
// in the machine's zone.
func (c *Core) joiner(rec *wire.LeaseRecord) func(s *peerpb.Seen) string {
	l := c.lead
	busy, size, given := map[string]float64{}, map[string]float64{}, map[string]float64{}
	waits := map[string][]sched.Demand{}
	var live []string
	for _, node := range cluster.SortedKeys(rec.Blocks) {
		if !l.alive(c, node) {
			continue
		}
		live = append(live, node)
		busy[node] = l.renewals[node].GetBusyCpus()
		waits[node] = demands(l.renewals[node])
		for _, home := range rec.Homes {
			if home == node {
				busy[node] += 0.01 // where work will come
			}
		}
		b := rec.Blocks[node]
		for _, names := range [][]string{b.Machines, b.Old} {
			for _, n := range names {
				size[node] += c.cpusOf(n)
			}
		}
	}
	return func(s *peerpb.Seen) string {
		best, bestFill, bestNeed := "", -1.0, -1.0
		kind := c.view.Types[s.GetType()]
		for _, node := range live {
			fill := -given[node]
			for i := range waits[node] {
				if d := &waits[node][i]; d.Allows(s.GetType(), s.GetZone(), s.GetSpot()) && d.Need.Fits(cluster.SizeOf(kind)) {
					fill += float64(d.Count) * d.Need.CPUs
				}
			}
			// Half full is as good as full: the load decides then.
			if fill = max(0, fill); fill >= kind.CPUs/2 {
				fill = kind.CPUs
			}
			need := busy[node] / (8 + size[node])
			if c.view.AreaOf(node) == s.GetZone() {
				need *= 1.01
			}
			if fill > bestFill || (fill == bestFill && need > bestNeed) {
				best, bestFill, bestNeed = node, fill, need
			}
		}
		if best == "" {
			return c.view.Me
		}
		size[best] += max(1, kind.CPUs)
		given[best] += kind.CPUs
		return best
	}
}

// cpusOf is the size of a rented machine, as the leader knows it.
func (c *Core) cpusOf(name string) float64 {
	if r := c.lead.fleet.machines[name]; r != nil {
		return c.view.Types[r.kind].CPUs
	}
	return 0
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
