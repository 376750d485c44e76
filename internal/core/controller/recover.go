package controller

import (
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
	// generationKey is where the state's generation is stored, see rebuild.Generation.
	generationKey = recovery.Key
	// recoveryJoinTime is how long the others get to notice: a watch of theirs is answered.
	recoveryJoinTime = cluster.WatchHold + time.Second
	// recoveryRetryInterval spaces what is tried again.
	recoveryRetryInterval = 300 * time.Millisecond
	// maxRestoreTxnBytes is how much a transaction of a rebuild may have, of 64 KiB.
	maxRestoreTxnBytes = 40 << 10
)

// recoveryRun is a recovery of the state under way.
type recoveryRun struct {
	generation       uint64 // that has lost data
	revisionSeen     uint64 // the highest revision seen of it
	revisionFound    uint64
	since            time.Time
	nextAt           time.Time
	busy             bool
	restored         bool
	markedRebuilding bool // the state says that it is being rebuilt
	jobs             int  // stored again
	ends             int
}

// Recovering tells whether this controller is rebuilding the state, and whether all
// that it knew is stored.
func (c *Core) Recovering() (underWay, stored bool) {
	return c.recovery != nil, c.recovery != nil && c.recovery.restored
}

// generation is that of the state this controller goes by.
func (c *Core) generation() uint64 { return max(1, c.storedGeneration.Value.Generation) }

// addGeneration says in a frame what this controller knows of the state's fate.
func (c *Core) addGeneration(f *peerpb.Frame) {
	if !c.view.Params.Levels.KnowsLevels() || (!c.state.loaded() && c.recovery == nil) {
		return
	}
	f.Generation = c.generation()
	if r := c.recovery; r != nil {
		f.Generation, f.StateLost, f.StateRestored = r.generation, true, r.restored
		v := c.leaseView()
		raw, err := wire.Encode(v)
		if err != nil {
			c.log.Error("view of the leases", "err", err)
		}
		f.RecoveryView = raw
		return
	}
	f.Revision = c.highestRevision
}

// leaseView is what this controller knows of leases and machines.
func (c *Core) leaseView() recovery.View {
	v := recovery.ViewOf(c.view.Lease)
	v.Machines, v.Token = c.owner.ForeignWorkers(), c.owner.Token()
	slices.Sort(v.Machines)
	return v
}

// startupCheck is a process that has just started: what it reads may have lost data, of
// which it can know nothing. So it asks the others first, and waits while a rebuild
// is under way.
type startupCheck struct {
	helloSentAt    time.Time
	generationRead bool
	staleAnswerAt  time.Time // an answer fell short of what another controller had seen
	abandonedSince time.Time // since when a rebuild is under way and nobody in reach is at it
}

const (
	// helloTimeout is how long a process waits for the others' answers.
	helloTimeout = 250 * time.Millisecond
	// staleAnswerWait is how long the others may take to notice what it has noticed.
	staleAnswerWait = cluster.WatchHold + time.Second
	// abandonedRecoveryTimeout is how long a rebuild may be nobody's before one that knows
	// nothing goes on with it.
	abandonedRecoveryTimeout = 15 * time.Second
)

// startUp asks the others and begins to read once they have answered.
func (c *Core) startUp() {
	if c.startup.helloSentAt.IsZero() {
		c.startup.helloSentAt = c.loop.Now
		f := c.newFrame()
		f.Hello = true
		for _, name := range cluster.SortedKeys(c.view.Peers) {
			c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
		}
	}
	for name := range c.view.Peers {
		if !c.view.IsReachable(name, c.loop.Now) && c.loop.Now.Sub(c.startup.helloSentAt) < helloTimeout {
			return
		}
	}
	c.readState()
}

// stateUnsettled tells whether what this process reads is not to be worked with yet.
func (c *Core) stateUnsettled() bool {
	if !c.view.Params.Levels.KnowsLevels() {
		return false
	}
	elsewhere := c.peerRecovering()
	if !c.storedGeneration.Value.Rebuilding || elsewhere {
		c.startup.abandonedSince = time.Time{}
	} else if c.startup.abandonedSince.IsZero() {
		c.startup.abandonedSince = c.loop.Now
	} else if c.loop.Now.Sub(c.startup.abandonedSince) > abandonedRecoveryTimeout {
		c.log.Warn("nobody goes on with the rebuild of the state", "generation", c.generation())
		c.recovery = &recoveryRun{generation: c.generation(), since: c.loop.Now}
	}
	return elsewhere || c.storedGeneration.Value.Rebuilding || (!c.startup.staleAnswerAt.IsZero() && c.loop.Now.Sub(c.startup.staleAnswerAt) < staleAnswerWait)
}

// checkRevision looks at the revision in an answer of the state service. The service is
// consistent, so what it answers is never older than what it had answered when the
// request went out: unless it has lost something. An outage, a refusal, a slow or
// late answer all show nothing of the kind.
func (c *Core) checkRevision(d *eventloop.Completion) {
	if !d.FromStateService || (d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict) {
		return
	}
	if d.Pair.Key != "" { // what was read, not when: only that it was there by then
		c.highestRevision = max(c.highestRevision, d.Pair.Version)
		c.loop.Generation = c.highestRevision
		return
	}
	rev := max(d.Txn.Revision, d.Page.Revision, d.Changes.Revision)
	if mark := c.loop.CallGeneration(d.ID); rev < mark {
		if !c.state.loaded() && c.recovery == nil {
			c.startup.staleAnswerAt, c.highestRevision, c.loop.Generation = c.loop.Now, 0, 0
		}
		c.startRecovery("its revisions went back", mark, rev)
		return
	}
	c.highestRevision = max(c.highestRevision, rev)
	c.loop.Generation = c.highestRevision
}

// startRecovery notes that the state has lost data and begins to rebuild it.
func (c *Core) startRecovery(why string, seen, found uint64) {
	if r := c.recovery; r != nil { // once more, while it was being rebuilt
		if !r.since.Equal(c.loop.Now) {
			r.restored, r.markedRebuilding, r.since = false, false, c.loop.Now
		}
		c.highestRevision, c.loop.Generation = 0, 0
		return
	}
	if !c.canRecover() {
		return
	}
	c.log.Error("the state has lost data", "why", why, "seen", seen, "found", found, "generation", c.generation(),
		"jobs", len(c.owner.Jobs()), "ends", len(c.ended.records))
	c.recovery = &recoveryRun{generation: c.generation(), revisionSeen: seen, revisionFound: found, since: c.loop.Now}
	c.highestRevision, c.loop.Generation = 0, 0
	c.stepDown()
	c.freshness.failQueued()
	c.nextHeartbeatAt = time.Time{}
	c.heartbeatPeers()
}

// canRecover tells whether this controller knows the state and all others that it
// has heard can follow; one of an earlier version would go on by what is gone.
func (c *Core) canRecover() bool {
	if !c.view.Params.Levels.KnowsLevels() || c.incompatible != nil || c.shuttingDown || (!c.state.loaded() && len(c.previousState.Jobs)+len(c.previousState.Ends) == 0) {
		return false
	}
	for name, p := range c.view.Peers {
		if p.Generation == 0 && c.view.IsReachable(name, c.loop.Now) {
			return false
		}
	}
	return true
}

// handlePeerGeneration acts on what another controller tells of the state: that it has lost
// data, or that it has been rebuilt without this controller.
func (c *Core) handlePeerGeneration(p *cluster.Peer, view []byte) {
	p.RecoveryView = nil
	if len(view) > 0 {
		v := new(recovery.View)
		if err := wire.Decode(view, v); err != nil {
			c.log.Error("another controller's view of the leases", "err", err)
		} else {
			p.RecoveryView = v
		}
	}
	if c.recovery == nil && c.startup.generationRead && p.Generation == c.generation() && !p.StateLost {
		c.highestRevision = max(c.highestRevision, p.Revision) // what is asked from now on shows as much
		c.loop.Generation = c.highestRevision
	}
	switch {
	case c.recovery != nil || !c.state.loaded() || p.Generation == 0:
	case p.StateLost && p.Generation == c.generation():
		c.startRecovery("another controller says so", c.highestRevision, 0)
	case !p.StateLost && p.Generation > c.generation():
		c.startRecovery("it was rebuilt without this controller", c.highestRevision, 0)
	}
}

// peerRecovering tells whether another controller is rebuilding the generation that
// was read here: a process that has just started has nothing to add, and waits.
func (c *Core) peerRecovering() bool {
	for name, p := range c.view.Peers {
		if p.StateLost && p.Generation >= c.generation() && c.view.IsReachable(name, c.loop.Now) {
			return true
		}
	}
	return false
}

// readGeneration reads the state's generation.
func (c *Core) readGeneration(then func(outcome eventloop.Outcome)) {
	c.loop.Emit(eventloop.StateGet{Key: generationKey, ID: c.loop.Call(func(d eventloop.Completion) {
		if d.Outcome == eventloop.Succeeded {
			c.applyGeneration(d.Pair.Value, d.Pair.Version)
		}
		c.startup.generationRead = c.startup.generationRead || d.Outcome == eventloop.Succeeded || d.Outcome == eventloop.NotFound
		then(d.Outcome)
	})})
}

// applyGeneration takes in the state's generation.
func (c *Core) applyGeneration(value []byte, version uint64) {
	if version <= c.storedGeneration.Version {
		return
	}
	g, err := recovery.Decode(value)
	if err != nil {
		c.log.Error("generation", "err", err)
		return
	}
	if c.state.loaded() && c.recovery == nil {
		switch {
		case g.Generation > c.generation():
			c.startRecovery("it was rebuilt without this controller", c.highestRevision, version)
		case g.Rebuilding:
			c.startRecovery("it is being rebuilt", c.highestRevision, version)
		}
	}
	if c.recovery == nil { // else it is what recover compares with
		c.storedGeneration = cluster.Stored[recovery.Generation]{Value: g, Version: version}
	}
}

// knownState is what this controller knows, and still knows of before a rebuild.
func (c *Core) knownState() recovery.KnownState {
	m := recovery.KnownState{Jobs: c.owner.Records(), Ends: c.ended.clone(), CompletedTasks: c.owner.CompletedTasks()}
	addMissing(m.Jobs, c.previousState.Jobs)
	addMissing(m.Ends, c.previousState.Ends)
	addMissing(m.CompletedTasks, c.previousState.CompletedTasks)
	return m
}

// addMissing adds to a map what another has and it has not.
func addMissing[V any](to, from map[string]V) {
	for k, v := range from {
		if _, ok := to[k]; !ok {
			to[k] = v
		}
	}
}

// stepRecovery takes the next step of a rebuild. It is called with every tick.
func (c *Core) stepRecovery() {
	r := c.recovery
	c.heartbeatPeers()
	c.owner.CheckMachines()
	if r.busy || c.loop.Now.Before(r.nextAt) || (r.markedRebuilding && c.loop.Now.Sub(r.since) < recoveryJoinTime) {
		return
	}
	r.busy = true
	done := func() { r.busy, r.nextAt = false, c.loop.Now.Add(recoveryRetryInterval) }
	// By a range, as that tells the revision too: what is lost once more is noticed.
	c.loop.Emit(eventloop.StateRange{Prefix: generationKey, ID: c.loop.Call(func(d eventloop.Completion) {
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
		rebuilt := g.Generation > r.generation
		switch {
		case d.Outcome != eventloop.Succeeded:
			done()
		case !rebuilt && !g.Rebuilding:
			c.markRebuilding(version, done)
		case c.loop.Now.Sub(r.since) < recoveryJoinTime:
			r.markedRebuilding = true
			done()
		case rebuilt && (r.restored || !c.mayAddRecords()):
			if !r.restored { // said, and not made up: see mayAddRecords
				c.log.Error("the state was rebuilt without this controller, and takes nothing from it any more", "generation", g.Generation, "known", len(c.owner.Jobs()))
			}
			c.restart()
		case !r.restored && (rebuilt || c.isTurnToRestore()):
			c.readStoredState(func(s *storedState) {
				if done(); s != nil {
					c.restoreMissing(s, func() {
						r.restored, c.nextHeartbeatAt = true, time.Time{} // the next one waits for it
						c.heartbeatPeers()
					})
				}
			})
		case r.restored && c.isFirstOfRecovering():
			c.readStoredState(func(s *storedState) {
				if done(); s != nil {
					c.writeRecoveredLease(s)
				}
			})
		default:
			done()
		}
	})})
}

// markRebuilding says in the state that it is being rebuilt.
func (c *Core) markRebuilding(version uint64, then func()) {
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: c.recovery.generation, Rebuilding: true, Controller: c.view.Self, RecoveredAtMs: c.loop.Now.UnixMilli()}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, ID: c.loop.Call(func(eventloop.Completion) { then() }),
		Txn: wire.Txn{If: []wire.Condition{{Key: generationKey, Version: version}}, Then: []wire.Op{{Put: generationKey, Value: g}}}})
}

// mayAddRecords tells whether records may come into a state that others work with already:
// only in an envelope does a record say that its tasks may have been started.
func (c *Core) mayAddRecords() bool { return c.view.FeatureOpen(feature.Envelope) }

// recoveringPeers calls f for each controller in reach that rebuilds the same
// generation, in the order of their names.
func (c *Core) recoveringPeers(f func(name string, p *cluster.Peer)) {
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if p := c.view.Peers[name]; p.StateLost && p.Generation == c.recovery.generation && c.view.IsReachable(name, c.loop.Now) {
			f(name, p)
		}
	}
}

// isTurnToRestore tells whether all rebuilders before this one have stored what they knew.
func (c *Core) isTurnToRestore() bool {
	turn := true
	c.recoveringPeers(func(name string, p *cluster.Peer) { turn = turn && (name > c.view.Self || p.StateRestored) })
	return turn
}

// isFirstOfRecovering tells whether this controller is the first of the rebuilders, and all of
// them have stored what they knew. Should two think so, the state decides.
func (c *Core) isFirstOfRecovering() bool {
	first := true
	c.recoveringPeers(func(name string, p *cluster.Peer) { first = first && name > c.view.Self && p.StateRestored })
	return first
}

// storedState is what the state service holds, as a rebuild reads it.
type storedState struct {
	found             recovery.StoredState
	lease             wire.LeaseRecord
	leaseVersion      uint64 // of the lease value; 0: there is none
	generation        recovery.Generation
	generationVersion uint64
	completedPages    map[string]bool // keys of completed tasks
	leasePages        leasevalue.PageTable
}

// readStoredState reads everything; then gets nil if that failed.
func (c *Core) readStoredState(then func(s *storedState)) {
	s := &storedState{completedPages: map[string]bool{}, found: recovery.StoredState{Jobs: map[string]uint64{}, Ends: map[string]recovery.StoredEnd{}, CompletedTasks: map[string][]byte{}}}
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
			s.completedPages[p.Key] = true
			facts, err := c.owner.ParsePage(p.Key, p.Value)
			if err != nil {
				c.log.Error("page of completed tasks", "key", p.Key, "err", err)
			}
			for entry, raw := range facts { // several pages may tell of the same tasks
				s.found.CompletedTasks[entry] = owner.MergeCompleted(s.found.CompletedTasks[entry], raw)
			}
		} else if strings.HasPrefix(p.Key, leasevalue.PagePrefix) {
			if _, err := s.leasePages.ReadPage(p.Key, p.Value); err != nil {
				c.log.Error("lease page", "err", err)
			}
		} else if p.Key == leaseKey {
			lease, s.leaseVersion = p.Value, p.Version
		} else if p.Key == generationKey {
			s.generationVersion = p.Version
			var err error
			if s.generation, err = recovery.Decode(p.Value); err != nil {
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
					rec, err := s.leasePages.Read(lease)
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

// restoreMissing stores what is known here and not there; then is called once nothing is
// missing any more.
func (c *Core) restoreMissing(s *storedState, then func()) {
	r, m := c.recovery, c.knownState()
	st := c.view.Settings.Cluster.State
	txns, jobs, ends, err := recovery.MissingWrites(&m, &s.found, recovery.Keys{Job: jobPrefix, End: endPrefix},
		recovery.Limits{Ops: st.TxnOps, Bytes: maxRestoreTxnBytes})
	if err != nil {
		c.log.Error("rebuilding", "err", err)
		return
	}
	n := 0
	for _, entries := range recovery.CompletedTaskPages(&m, &s.found, c.owner.PageBytes()) {
		for s.completedPages[c.completedPageKey(n)] {
			n++
		}
		key := c.completedPageKey(n)
		s.completedPages[key] = true
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
			r.busy, r.nextAt = false, c.loop.Now.Add(recoveryRetryInterval)
		})})
	}
	write()
}

// completedPageKey is where this controller stores page n of completed tasks that it knew
// of: beside the pages of its processes, which count from 0.
func (c *Core) completedPageKey(n int) string {
	return owner.PagePrefix + c.view.Self + "/" + strconv.Itoa(500+n)
}

// writeRecoveredLease writes the lease value and the generation that the state goes on with.
func (c *Core) writeRecoveredLease(s *storedState) {
	r := c.recovery
	if s.generation.Generation > r.generation {
		return // somebody else has; the next look sees it
	}
	c.blockLease.RaiseIncarnation(max(s.lease.Incarnation, s.lease.Blocks[c.view.Self].Incarnation, c.view.Lease.Blocks[c.view.Self].Incarnation))
	// A machine that only the newest value names may run tasks already, and whoever
	// has read that value need not be the one who rebuilds.
	own, found := c.leaseView(), recovery.ViewOf(s.lease)
	views := []*recovery.View{&own, &found}
	c.recoveringPeers(func(_ string, p *cluster.Peer) {
		if p.RecoveryView != nil {
			views = append(views, p.RecoveryView)
		}
	})
	rec := recovery.MergeLease(c.view.Self, c.blockLease.Incarnation(), r.generation+1, func(team string) wire.Share {
		l := c.view.LimitOf(team)
		return wire.Share{CPUs: int(l.CPUs), GPUs: int(l.GPUs)}
	}, views...)
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	if rec.Form >= 2 {
		draft, err := s.leasePages.Write(&rec, c.view.Settings.ValueLimits())
		if err != nil {
			c.log.Error("lease value", "err", err)
			return
		}
		ops = draft.Ops
	}
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: r.generation + 1, Controller: c.view.Self, RevisionSeen: r.revisionSeen, RevisionFound: r.revisionFound,
		Jobs: r.jobs, Ends: r.ends, RecoveredAtMs: c.loop.Now.UnixMilli(), TookMs: c.loop.Now.Sub(r.since).Milliseconds(),
		Machines: len(rec.Blocks[c.view.Self].Unreconciled)}
	ops = append(ops, wire.Op{Put: generationKey, Value: g})
	r.busy = true
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true,
		Txn: wire.Txn{If: []wire.Condition{{Key: leaseKey, Version: s.leaseVersion}, {Key: generationKey, Version: s.generationVersion}}, Then: ops},
		ID: c.loop.Call(func(d eventloop.Completion) {
			r.busy, r.nextAt = false, c.loop.Now.Add(recoveryRetryInterval)
			if d.Outcome == eventloop.Succeeded && c.recovery == r {
				c.log.Info("state rebuilt", "generation", g.Generation, "jobs", g.Jobs, "ends", g.Ends, "machines", g.Machines,
					"term", rec.Term, "took", c.loop.Now.Sub(r.since))
				c.restart()
			}
		})})
}

// restart makes this controller a process that has just started. What it knew is
// kept until all has been read, should the state lose data once more.
func (c *Core) restart() {
	kept, old := c.knownState(), *c
	c.loop.DropCalls()
	*c = Core{loop: c.loop, previousState: kept, shuttingDown: old.shuttingDown, lastStepAt: old.lastStepAt, state: stateReader{lastAnswer: old.state.lastAnswer}}
	c.loop.Generation = 0
	view := cluster.New(old.view.Settings, old.view.Params)
	view.MachineTypes = old.view.MachineTypes
	c.reset(view, old.log, old.blockLease.Incarnation()+1)
	c.owner.Served = old.owner.Served
	c.readState()
}
