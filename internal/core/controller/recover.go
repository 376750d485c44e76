package controller

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// When the state service has lost data, say because it was restored from an older
// copy, its revisions count from below what was seen. The controller that notices
// stops, tells the others, and all store again what they know, one after the other
// in the order of their names; the first of them then writes a lease value of a new
// generation and term, and each begins anew, as a process that has just started.

const (
	// genKey is where the state's generation is stored, see rebuild.Generation.
	genKey = recovery.Key
	// joinTime is how long the others get to notice: a watch of theirs is answered.
	joinTime = cluster.WatchHold + time.Second
	// recoverPause spaces what is tried again.
	recoverPause = 300 * time.Millisecond
	// rebuildBytes is how much a transaction of a rebuild may have, of 64 KiB.
	rebuildBytes = 40 << 10
)

// recoveryRun is a recovery of the state under way.
type recoveryRun struct {
	gen      uint64 // that has lost data
	lost     uint64 // the highest revision seen of it
	foundRev uint64
	since    time.Time
	next     time.Time
	busy     bool
	restored bool
	marked   bool // the state says that it is being rebuilt
	jobs     int  // stored again
	ends     int
}

// Recovering tells whether this controller is rebuilding the state, and whether all
// that it knew is stored.
func (c *Core) Recovering() (underWay, stored bool) {
	return c.recovery != nil, c.recovery != nil && c.recovery.restored
}

// generation is that of the state this controller goes by.
func (c *Core) generation() uint64 { return max(1, c.gen.Value.Generation) }

// tellGeneration says in a frame what this controller knows of the state's fate.
func (c *Core) tellGeneration(f *peerpb.Frame) {
	if !c.view.Params.Levels.KnowsLevels() || (!c.loaded && c.recovery == nil) {
		return
	}
	f.Generation = c.generation()
	if r := c.recovery; r != nil {
		f.Generation, f.StateLost, f.StateRestored = r.gen, true, r.restored
		v := c.leases()
		raw, err := wire.Encode(v)
		if err != nil {
			c.log.Error("view of the leases", "err", err)
		}
		f.RecoveryView = raw
		return
	}
	f.Revision = c.high
}

// leases is what this controller knows of leases and machines.
func (c *Core) leases() recovery.View {
	v := recovery.ViewOf(c.view.Lease)
	v.Machines, v.Token = c.owner.ForeignWorkers(), c.owner.Token()
	slices.Sort(v.Machines)
	return v
}

// waking is a process that has just started: what it reads may have lost data, of
// which it can know nothing. So it asks the others first, and waits while a rebuild
// is under way.
type waking struct {
	asked    time.Time
	genRead  bool
	doubtAt  time.Time // an answer fell short of what another controller had seen
	deserted time.Time // since when a rebuild is under way and nobody in reach is at it
}

const (
	// helloWait is how long a process waits for the others' answers.
	helloWait = 250 * time.Millisecond
	// doubtFor is how long the others may take to notice what it has noticed.
	doubtFor = cluster.WatchHold + time.Second
	// desertedFor is how long a rebuild may be nobody's before one that knows
	// nothing goes on with it.
	desertedFor = 15 * time.Second
)

// wake asks the others and begins to read once they have answered.
func (c *Core) wake() {
	if c.waking.asked.IsZero() {
		c.waking.asked = c.loop.Now
		f := c.newFrame()
		f.Hello = true
		for _, name := range cluster.SortedKeys(c.view.Peers) {
			c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
		}
	}
	for name := range c.view.Peers {
		if !c.view.IsReachable(name, c.loop.Now) && c.loop.Now.Sub(c.waking.asked) < helloWait {
			return
		}
	}
	c.load()
}

// doubtful tells whether what this process reads is not to be worked with yet.
func (c *Core) doubtful() bool {
	if !c.view.Params.Levels.KnowsLevels() {
		return false
	}
	elsewhere := c.lostElsewhere()
	if !c.gen.Value.Rebuilding || elsewhere {
		c.waking.deserted = time.Time{}
	} else if c.waking.deserted.IsZero() {
		c.waking.deserted = c.loop.Now
	} else if c.loop.Now.Sub(c.waking.deserted) > desertedFor {
		c.log.Warn("nobody goes on with the rebuild of the state", "generation", c.generation())
		c.recovery = &recoveryRun{gen: c.generation(), since: c.loop.Now}
	}
	return elsewhere || c.gen.Value.Rebuilding || (!c.waking.doubtAt.IsZero() && c.loop.Now.Sub(c.waking.doubtAt) < doubtFor)
}

// witness looks at the revision in an answer of the state service. The service is
// consistent, so what it answers is never older than what it had answered when the
// request went out: unless it has lost something. An outage, a refusal, a slow or
// late answer all show nothing of the kind.
func (c *Core) witness(d *eventloop.Completion) {
	if !d.FromStateService || (d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict) {
		return
	}
	if d.Pair.Key != "" { // what was read, not when: only that it was there by then
		c.high = max(c.high, d.Pair.Version)
		c.loop.Generation = c.high
		return
	}
	rev := max(d.Txn.Revision, d.Page.Revision, d.Changes.Revision)
	if mark := c.loop.CallGeneration(d.ID); rev < mark {
		if !c.loaded && c.recovery == nil {
			c.waking.doubtAt, c.high, c.loop.Generation = c.loop.Now, 0, 0
		}
		c.lose("its revisions went back", mark, rev)
		return
	}
	c.high = max(c.high, rev)
	c.loop.Generation = c.high
}

// lose notes that the state has lost data and begins to rebuild it.
func (c *Core) lose(why string, seen, found uint64) {
	if r := c.recovery; r != nil { // once more, while it was being rebuilt
		if !r.since.Equal(c.loop.Now) {
			r.restored, r.marked, r.since = false, false, c.loop.Now
		}
		c.high, c.loop.Generation = 0, 0
		return
	}
	if !c.mayRebuild() {
		return
	}
	c.log.Error("the state has lost data", "why", why, "seen", seen, "found", found, "generation", c.generation(),
		"jobs", len(c.owner.Jobs()), "ends", len(c.ended))
	c.recovery = &recoveryRun{gen: c.generation(), lost: seen, foundRev: found, since: c.loop.Now}
	c.high, c.loop.Generation = 0, 0
	c.stepDown()
	for rank, queue := range c.verify.queue {
		c.verify.queue[rank] = nil
		for _, q := range queue {
			q.then(nil, nil, false)
		}
	}
	c.nextHeartbeatAt = time.Time{}
	c.heartbeatPeers()
}

// mayRebuild tells whether this controller knows the state and all others that it
// has heard can follow; one of an earlier version would go on by what is gone.
func (c *Core) mayRebuild() bool {
	if !c.view.Params.Levels.KnowsLevels() || c.incompatible != nil || c.shuttingDown || (!c.loaded && len(c.kept.Jobs)+len(c.kept.Ends) == 0) {
		return false
	}
	for name, p := range c.view.Peers {
		if p.Generation == 0 && c.view.IsReachable(name, c.loop.Now) {
			return false
		}
	}
	return true
}

// heardOfLoss acts on what another controller tells of the state: that it has lost
// data, or that it has been rebuilt without this controller.
func (c *Core) heardOfLoss(p *cluster.Peer, view []byte) {
	p.RecoveryView = nil
	if len(view) > 0 {
		v := new(recovery.View)
		if err := wire.Decode(view, v); err != nil {
			c.log.Error("another controller's view of the leases", "err", err)
		} else {
			p.RecoveryView = v
		}
	}
	if c.recovery == nil && c.waking.genRead && p.Generation == c.generation() && !p.StateLost {
		c.high = max(c.high, p.Revision) // what is asked from now on shows as much
		c.loop.Generation = c.high
	}
	switch {
	case c.recovery != nil || !c.loaded || p.Generation == 0:
	case p.StateLost && p.Generation == c.generation():
		c.lose("another controller says so", c.high, 0)
	case !p.StateLost && p.Generation > c.generation():
		c.lose("it was rebuilt without this controller", c.high, 0)
	}
}

// lostElsewhere tells whether another controller is rebuilding the generation that
// was read here: a process that has just started has nothing to add, and waits.
func (c *Core) lostElsewhere() bool {
	for name, p := range c.view.Peers {
		if p.StateLost && p.Generation >= c.generation() && c.view.IsReachable(name, c.loop.Now) {
			return true
		}
	}
	return false
}

// readGeneration reads the state's generation.
func (c *Core) readGeneration(then func(outcome eventloop.Outcome)) {
	c.loop.Emit(eventloop.StateGet{Key: genKey, ID: c.loop.Call(func(d eventloop.Completion) {
		if d.Outcome == eventloop.Succeeded {
			c.applyGeneration(d.Pair.Value, d.Pair.Version)
		}
		c.waking.genRead = c.waking.genRead || d.Outcome == eventloop.Succeeded || d.Outcome == eventloop.NotFound
		then(d.Outcome)
	})})
}

// applyGeneration takes in the state's generation.
func (c *Core) applyGeneration(value []byte, version uint64) {
	if version <= c.gen.Version {
		return
	}
	g, err := recovery.Decode(value)
	if err != nil {
		c.log.Error("generation", "err", err)
		return
	}
	if c.loaded && c.recovery == nil {
		switch {
		case g.Generation > c.generation():
			c.lose("it was rebuilt without this controller", c.high, version)
		case g.Rebuilding:
			c.lose("it is being rebuilt", c.high, version)
		}
	}
	if c.recovery == nil { // else it is what recover compares with
		c.gen = cluster.Stored[recovery.Generation]{Value: g, Version: version}
	}
}

// memory is what this controller knows, and still knows of before a rebuild.
func (c *Core) memory() recovery.KnownState {
	m := recovery.KnownState{Jobs: c.owner.Records(), Ends: maps.Clone(c.ended), CompletedTasks: c.owner.CompletedTasks()}
	join(m.Jobs, c.kept.Jobs)
	join(m.Ends, c.kept.Ends)
	join(m.CompletedTasks, c.kept.CompletedTasks)
	return m
}

// join adds to a map what another has and it has not.
func join[V any](to, from map[string]V) {
	for k, v := range from {
		if _, ok := to[k]; !ok {
			to[k] = v
		}
	}
}

// recover takes the next step of a rebuild. It is called with every tick.
func (c *Core) recover() {
	r := c.recovery
	c.heartbeatPeers()
	c.owner.CheckMachines()
	if r.busy || c.loop.Now.Before(r.next) || (r.marked && c.loop.Now.Sub(r.since) < joinTime) {
		return
	}
	r.busy = true
	done := func() { r.busy, r.next = false, c.loop.Now.Add(recoverPause) }
	// By a range, as that tells the revision too: what is lost once more is noticed.
	c.loop.Emit(eventloop.StateRange{Prefix: genKey, ID: c.loop.Call(func(d eventloop.Completion) {
		var g recovery.Generation
		version := uint64(0)
		for _, p := range d.Page.Pairs {
			version = p.Version
			var err error
			if g, err = recovery.Decode(p.Value); err != nil {
				c.log.Error("generation", "err", err)
				done()
				return
			}
		}
		rebuilt := g.Generation > r.gen
		switch {
		case d.Outcome != eventloop.Succeeded:
			done()
		case !rebuilt && !g.Rebuilding:
			c.mark(version, done)
		case c.loop.Now.Sub(r.since) < joinTime:
			r.marked = true
			done()
		case rebuilt && (r.restored || !c.mayAdd()):
			if !r.restored { // said, and not made up: see mayAdd
				c.log.Error("the state was rebuilt without this controller, and takes nothing from it any more", "generation", g.Generation, "known", len(c.owner.Jobs()))
			}
			c.beginAnew()
		case !r.restored && (rebuilt || c.myTurn()):
			c.readState(func(s *state) {
				if done(); s != nil {
					c.restore(s, func() {
						r.restored, c.nextHeartbeatAt = true, time.Time{} // the next one waits for it
						c.heartbeatPeers()
					})
				}
			})
		case r.restored && c.chosen():
			c.readState(func(s *state) {
				if done(); s != nil {
					c.renewLease(s)
				}
			})
		default:
			done()
		}
	})})
}

// mark says in the state that it is being rebuilt.
func (c *Core) mark(version uint64, then func()) {
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: c.recovery.gen, Rebuilding: true, Controller: c.view.Self, RecoveredAtMs: c.loop.Now.UnixMilli()}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, ID: c.loop.Call(func(eventloop.Completion) { then() }),
		Txn: wire.Txn{If: []wire.Condition{{Key: genKey, Version: version}}, Then: []wire.Op{{Put: genKey, Value: g}}}})
}

// mayAdd tells whether records may come into a state that others work with already:
// only in an envelope does a record say that its tasks may have been started.
func (c *Core) mayAdd() bool { return c.view.FeatureOpen(feature.Envelope) }

// rebuilders calls f for each controller in reach that rebuilds the same
// generation, in the order of their names.
func (c *Core) rebuilders(f func(name string, p *cluster.Peer)) {
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if p := c.view.Peers[name]; p.StateLost && p.Generation == c.recovery.gen && c.view.IsReachable(name, c.loop.Now) {
			f(name, p)
		}
	}
}

// myTurn tells whether all rebuilders before this one have stored what they knew.
func (c *Core) myTurn() bool {
	turn := true
	c.rebuilders(func(name string, p *cluster.Peer) { turn = turn && (name > c.view.Self || p.StateRestored) })
	return turn
}

// chosen tells whether this controller is the first of the rebuilders, and all of
// them have stored what they knew. Should two think so, the state decides.
func (c *Core) chosen() bool {
	first := true
	c.rebuilders(func(name string, p *cluster.Peer) { first = first && name > c.view.Self && p.StateRestored })
	return first
}

// state is what the state service holds, as a rebuild reads it.
type state struct {
	found      recovery.StoredState
	lease      wire.LeaseRecord
	version    uint64 // of the lease value; 0: there is none
	gen        recovery.Generation
	genVersion uint64
	pages      map[string]bool // keys of completed tasks
	book       leasevalue.PageTable
}

// readState reads everything; then gets nil if that failed.
func (c *Core) readState(then func(s *state)) {
	s := &state{pages: map[string]bool{}, found: recovery.StoredState{Jobs: map[string]uint64{}, Ends: map[string]recovery.StoredEnd{}, CompletedTasks: map[string][]byte{}}}
	var lease []byte
	take := func(p wire.Pair) {
		if id, ok := strings.CutPrefix(p.Key, jobPrefix); ok {
			s.found.Jobs[id] = p.Version
		} else if id, ok := strings.CutPrefix(p.Key, endPrefix); ok {
			var e wire.EndRecord
			if err := wire.Decode(p.Value, &e); err != nil {
				c.log.Error("end record", "key", p.Key, "err", err)
			}
			s.found.Ends[id] = recovery.StoredEnd{State: e.State, Version: p.Version}
		} else if strings.HasPrefix(p.Key, owner.PagePrefix) {
			s.pages[p.Key] = true
			facts, err := c.owner.ParsePage(p.Key, p.Value)
			if err != nil {
				c.log.Error("page of completed tasks", "key", p.Key, "err", err)
			}
			for entry, raw := range facts { // several pages may tell of the same tasks
				s.found.CompletedTasks[entry] = owner.MergeCompleted(s.found.CompletedTasks[entry], raw)
			}
		} else if strings.HasPrefix(p.Key, leasevalue.PagePrefix) {
			if _, err := s.book.ReadPage(p.Key, p.Value); err != nil {
				c.log.Error("lease page", "err", err)
			}
		} else if p.Key == leaseKey {
			lease, s.version = p.Value, p.Version
		} else if p.Key == genKey {
			s.genVersion = p.Version
			var err error
			if s.gen, err = recovery.Decode(p.Value); err != nil {
				c.log.Error("generation", "err", err)
			}
		}
	}
	var read func(prefixes []string, after string)
	read = func(prefixes []string, after string) {
		c.loop.Emit(eventloop.StateRange{Prefix: prefixes[0], After: after, ID: c.loop.Call(func(d eventloop.Completion) {
			if d.Outcome != eventloop.Succeeded {
				then(nil)
				return
			}
			for _, p := range d.Page.Pairs {
				take(p)
				after = p.Key
			}
			switch {
			case d.Page.More && len(d.Page.Pairs) > 0:
				read(prefixes, after)
			case len(prefixes) > 1:
				read(prefixes[1:], "")
			default:
				if lease != nil {
					rec, err := s.book.Read(lease)
					if err != nil { // half of it may be gone; what was known of it is not
						c.log.Error("lease value", "err", err)
					} else {
						s.lease = rec
					}
				}
				then(s)
			}
		})})
	}
	read([]string{root, owner.PagePrefix}, "")
}

// restore stores what is known here and not there; then is called once nothing is
// missing any more.
func (c *Core) restore(s *state, then func()) {
	r, m := c.recovery, c.memory()
	st := c.view.Settings.Cluster.State
	txns, jobs, ends, err := recovery.MissingWrites(&m, &s.found, recovery.Keys{Job: jobPrefix, End: endPrefix},
		recovery.Limits{Ops: st.TxnOps, Bytes: rebuildBytes})
	if err != nil {
		c.log.Error("rebuilding", "err", err)
		return
	}
	n := 0
	for _, entries := range recovery.CompletedTaskPages(&m, &s.found, c.owner.PageBytes()) {
		for s.pages[c.factPage(n)] {
			n++
		}
		key := c.factPage(n)
		s.pages[key] = true
		txns = append(txns, wire.Txn{If: []wire.Condition{{Key: key}}, Then: []wire.Op{{Put: key, Value: c.owner.PageValue(entries)}}})
	}
	if len(txns) == 0 {
		then()
		return
	}
	r.jobs, r.ends = max(r.jobs, jobs), max(r.ends, ends)
	c.log.Info("rebuilding", "jobs", jobs, "ends", ends, "transactions", len(txns))
	r.busy = true
	var write func()
	write = func() {
		t := txns[0]
		c.loop.Emit(eventloop.StateTxn{Txn: t, ID: c.loop.Call(func(d eventloop.Completion) {
			if c.recovery != r {
				return
			}
			if d.Outcome == eventloop.Succeeded && len(txns) > 1 {
				txns = txns[1:]
				write()
				return
			}
			// All stored, or something is not as it was found: read again.
			r.busy, r.next = false, c.loop.Now.Add(recoverPause)
		})})
	}
	write()
}

// factPage is where this controller stores page n of completed tasks that it knew
// of: beside the pages of its processes, which count from 0.
func (c *Core) factPage(n int) string {
	return owner.PagePrefix + c.view.Self + "/" + strconv.Itoa(500+n)
}

// renewLease writes the lease value and the generation that the state goes on with.
func (c *Core) renewLease(s *state) {
	r := c.recovery
	if s.gen.Generation > r.gen {
		return // somebody else has; the next look sees it
	}
	c.blockLease.RaiseIncarnation(max(s.lease.Incarnation, s.lease.Blocks[c.view.Self].Incarnation, c.view.Lease.Blocks[c.view.Self].Incarnation))
	// A machine that only the newest value names may run tasks already, and whoever
	// has read that value need not be the one who rebuilds.
	own, found := c.leases(), recovery.ViewOf(s.lease)
	views := []*recovery.View{&own, &found}
	c.rebuilders(func(_ string, p *cluster.Peer) {
		if p.RecoveryView != nil {
			views = append(views, p.RecoveryView)
		}
	})
	rec := recovery.MergeLease(c.view.Self, c.blockLease.Incarnation(), r.gen+1, func(team string) wire.Share {
		l := c.view.LimitOf(team)
		return wire.Share{CPUs: int(l.CPUs), GPUs: int(l.GPUs)}
	}, views...)
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	if rec.Form >= 2 {
		draft, err := s.book.Write(&rec, c.view.Settings.ValueLimits())
		if err != nil {
			c.log.Error("lease value", "err", err)
			return
		}
		ops = draft.Ops
	}
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: r.gen + 1, Controller: c.view.Self, RevisionSeen: r.lost, RevisionFound: r.foundRev,
		Jobs: r.jobs, Ends: r.ends, RecoveredAtMs: c.loop.Now.UnixMilli(), TookMs: c.loop.Now.Sub(r.since).Milliseconds(),
		Machines: len(rec.Blocks[c.view.Self].Unreconciled)}
	ops = append(ops, wire.Op{Put: genKey, Value: g})
	r.busy = true
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true,
		Txn: wire.Txn{If: []wire.Condition{{Key: leaseKey, Version: s.version}, {Key: genKey, Version: s.genVersion}}, Then: ops},
		ID: c.loop.Call(func(d eventloop.Completion) {
			r.busy, r.next = false, c.loop.Now.Add(recoverPause)
			if d.Outcome == eventloop.Succeeded && c.recovery == r {
				c.log.Info("state rebuilt", "generation", g.Generation, "jobs", g.Jobs, "ends", g.Ends, "machines", g.Machines,
					"term", rec.Term, "took", c.loop.Now.Sub(r.since))
				c.beginAnew()
			}
		})})
}

// beginAnew makes this controller a process that has just started. What it knew is
// kept until all has been read, should the state lose data once more.
func (c *Core) beginAnew() {
	kept, old := c.memory(), *c
	c.loop.DropCalls()
	*c = Core{loop: c.loop, kept: kept, shuttingDown: old.shuttingDown, steppedAt: old.steppedAt, stateOK: old.stateOK}
	c.loop.Generation = 0
	view := cluster.New(old.view.Settings, old.view.Params)
	view.MachineTypes = old.view.MachineTypes
	c.begin(view, old.log, old.blockLease.Incarnation()+1)
	c.owner.Served = old.owner.Served
	c.load()
}
