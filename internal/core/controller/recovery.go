package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// When the state service has lost data, for instance because it was restored from an
// older copy, its revisions count from below what was seen. The controller that notices
// stops, tells the others, and all store again what they know, one after the other in
// the order of their names. The first of them then writes a lease value of a new
// generation and term, and each starts anew, as a process that knows nothing.

const (
	// recoveryJoinTime is how long the others get to notice the loss: until a watch of
	// theirs is answered.
	recoveryJoinTime = cluster.WatchHold + time.Second
	// recoveryRetryInterval spaces the steps of a recovery.
	recoveryRetryInterval = 300 * time.Millisecond
	// maxRestoreTxnBytes is how much a transaction of a recovery may have, of the 64
	// KiB that the state service takes.
	maxRestoreTxnBytes = 40 << 10
)

// recoveryRun is a recovery of the state under way: it has the state say that it is being
// recovered, lets the others join, restores what was known here and waits for the
// recovered state. Another loss starts it over.
//
// markedRebuilding and restored are not phases of one state: a step in flight goes on
// through another loss, so restored may be set before the others have joined again.
type recoveryRun struct {
	generation    uint64        // that has lost data
	revisionSeen  wire.Revision // the highest of it
	revisionFound wire.Revision
	startedAt     time.Time // or when the state last lost data once more
	nextAt        time.Time // no step begins before
	inFlight      bool      // a step waits for the state service

	markedRebuilding bool // the state says that it is being recovered
	restored         bool // all that was known here is stored
	jobs, ends       int  // stored again
}

// stepDue reports whether the next step may begin now.
func (r *recoveryRun) stepDue(now time.Time) bool {
	return !r.inFlight && !now.Before(r.nextAt) && !(r.markedRebuilding && r.joining(now))
}

// beginStep notes that a step waits for the state service.
func (r *recoveryRun) beginStep() { r.inFlight = true }

// stepDone ends a step; the next one comes after a pause.
func (r *recoveryRun) stepDone(now time.Time) {
	r.inFlight, r.nextAt = false, now.Add(recoveryRetryInterval)
}

// noteMarked notes that the state says that it is being recovered: no step is due while
// the others join.
func (r *recoveryRun) noteMarked() { r.markedRebuilding = true }

// noteRestored notes that all that was known here is stored.
func (r *recoveryRun) noteRestored() { r.restored = true }

// joining reports whether the others still get time to notice the loss.
func (r *recoveryRun) joining(now time.Time) bool { return now.Sub(r.startedAt) < recoveryJoinTime }

// lostAgain starts the recovery over, as the state has lost data once more.
func (r *recoveryRun) lostAgain(now time.Time) {
	if !r.startedAt.Equal(now) {
		r.restored, r.markedRebuilding, r.startedAt = false, false, now
	}
}

// Recovering reports whether this controller recovers the state, and whether all that
// it knew is stored.
func (c *Core) Recovering() (underWay, stored bool) {
	return c.recovery != nil, c.recovery != nil && c.recovery.restored
}

// knownState is what this controller knows, and still knows of before a recovery.
func (c *Core) knownState() recovery.KnownState {
	known := recovery.KnownState{Jobs: c.owner.Records(), Ends: c.ended.clone(), CompletedTasks: c.owner.CompletedTasks()}
	addMissing(known.Jobs, c.previousState.Jobs)
	addMissing(known.Ends, c.previousState.Ends)
	addMissing(known.CompletedTasks, c.previousState.CompletedTasks)
	return known
}

// addMissing adds to a map what another has and it has not.
func addMissing[V any](to, from map[string]V) {
	for k, v := range from {
		if _, ok := to[k]; !ok {
			to[k] = v
		}
	}
}

// stepRecovery takes the next step of a recovery. It is called with every tick.
func (c *Core) stepRecovery() {
	r := c.recovery
	c.sendFrames()
	c.owner.CheckMachines()
	if !r.stepDue(c.loop.Now) {
		return
	}
	r.beginStep()
	// By a range, as that shows the revision too: another loss is noticed.
	c.loop.Emit(eventloop.StateRange{Prefix: generationKey, ID: c.loop.OnCompletion(func(d eventloop.Completion) { c.continueRecovery(r, d) })})
}

// continueRecovery decides by the generation that is stored what to do next, and does
// it.
func (c *Core) continueRecovery(r *recoveryRun, d eventloop.Completion) {
	var g recovery.Generation
	version := wire.Revision(0)
	for _, p := range d.Page.Pairs {
		version = p.Version
		var err error
		if g, err = recovery.Decode(p.Value); err != nil {
			c.log.Error("cannot decode generation", "err", err)
			r.stepDone(c.loop.Now)
			return
		}
	}
	switch c.nextRecoveryStep(r, &g, d.Outcome) {
	case stepWait:
		r.stepDone(c.loop.Now)
	case stepMark:
		c.markRebuilding(version, r)
	case stepJoin:
		r.noteMarked()
		r.stepDone(c.loop.Now)
	case stepRestart:
		if !r.restored { // logged, and not made up for: see mayAddRecords
			c.log.Error("state recovered without this controller", "generation", g.Generation, "jobs", len(c.owner.Jobs()))
		}
		c.restart()
	case stepRestore:
		c.readStoredState(r, c.restoreMissing)
	case stepWriteLease:
		c.readStoredState(r, c.writeRecoveredLease)
	}
}

// recoveryStep is what a recovery does next.
type recoveryStep int

const (
	stepWait       recoveryStep = iota
	stepMark                    // the state is to say that it is being recovered
	stepJoin                    // the others get time to notice the loss
	stepRestart                 // the state is recovered: start anew with it
	stepRestore                 // what is known here and not there is to be stored
	stepWriteLease              // all have stored what they knew: the lease value follows
)

// nextRecoveryStep decides by the generation that is stored.
func (c *Core) nextRecoveryStep(r *recoveryRun, stored *recovery.Generation, read eventloop.Outcome) recoveryStep {
	recovered := stored.Generation > r.generation
	switch {
	case read != eventloop.Succeeded:
		return stepWait
	case !recovered && !stored.Rebuilding:
		return stepMark
	case r.joining(c.loop.Now):
		return stepJoin
	case recovered && (r.restored || !c.mayAddRecords()):
		return stepRestart
	case !r.restored && (recovered || c.isTurnToRestore()):
		return stepRestore
	case r.restored && c.isFirstOfRecovering():
		return stepWriteLease
	default:
		return stepWait
	}
}

// markRebuilding stores that the state is being recovered.
func (c *Core) markRebuilding(version wire.Revision, r *recoveryRun) {
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: c.recovery.generation, Rebuilding: true, Controller: c.view.Self,
		RecoveredAtMs: c.loop.Now.UnixMilli()}
	txn := wire.Txn{If: []wire.Condition{{Key: generationKey, Version: version}}, Then: []wire.Op{{Put: generationKey, Value: g}}}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, Txn: txn, ID: c.loop.OnCompletion(func(eventloop.Completion) { r.stepDone(c.loop.Now) })})
}

// mayAddRecords reports whether records may come into a state that others work with
// already: only in an envelope does a record say that its tasks may have been started.
func (c *Core) mayAddRecords() bool { return c.view.FeatureOpen(feature.Envelope) }

// recoveringPeers calls f for each controller in reach that recovers the same
// generation, in the order of their names.
func (c *Core) recoveringPeers(f func(name string, p *cluster.Peer)) {
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if p := c.view.Peers[name]; p.StateLost && p.Generation == c.recovery.generation && c.view.IsReachable(name, c.loop.Now) {
			f(name, p)
		}
	}
}

// isTurnToRestore reports whether all recovering controllers before this one have
// stored what they knew.
func (c *Core) isTurnToRestore() bool {
	turn := true
	c.recoveringPeers(func(name string, p *cluster.Peer) { turn = turn && (name > c.view.Self || p.StateRestored) })
	return turn
}

// isFirstOfRecovering reports whether this controller is the first of the recovering
// ones, and all of them have stored what they knew. Should two think so, the state
// service decides.
func (c *Core) isFirstOfRecovering() bool {
	first := true
	c.recoveringPeers(func(name string, p *cluster.Peer) { first = first && name > c.view.Self && p.StateRestored })
	return first
}
