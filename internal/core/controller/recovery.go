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
	// earlierVersionTimeout is how long a recovery waits for a controller of an earlier
	// version to say that it stores again what it knew, after another loss.
	earlierVersionTimeout = 15 * time.Second
	// maxRestoreTxnBytes is how much a transaction of a recovery may have, of the 64
	// KiB that the state service takes.
	maxRestoreTxnBytes = 40 << 10
)

// Recovering reports whether this controller recovers the state, and whether all that
// it knew is stored.
func (c *Core) Recovering() (underWay, stored bool) {
	return c.recovery != nil, c.recovery != nil && c.recovery.restored
}

// knownState is what this controller knows, and still knows of before a recovery.
func (c *Core) knownState() recovery.KnownState {
	known := recovery.KnownState{Jobs: c.owner.Records(), Ends: c.ended.clone(), CompletedTasks: c.owner.CompletedTasks(), StayingEnds: c.ended.staying()}
	addMissing(known.Jobs, c.previousState.Jobs)
	addMissing(known.Ends, c.previousState.Ends)
	addMissing(known.CompletedTasks, c.previousState.CompletedTasks)
	addMissing(known.StayingEnds, c.previousState.StayingEnds)
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
	c.loop.Emit(eventloop.StateRange{Prefix: generationKey, ID: c.onRecoveryAnswer(func(d eventloop.Completion) { c.continueRecovery(r, d) })})
}

// onRecoveryAnswer registers what is to be done with an answer to a step of the recovery
// under way, and returns the ID that the effect is to carry. An answer that comes after
// another loss was noticed is of a state that is gone, and changes nothing.
func (c *Core) onRecoveryAnswer(handle func(d eventloop.Completion)) uint64 {
	run, attempt := c.recovery, c.recovery.attempt.number
	return c.loop.OnCompletion(func(d eventloop.Completion) {
		if c.recovery != run {
			return
		}
		if run.attempt.number != attempt {
			c.log.Info("answer to an earlier attempt of the recovery ignored", "attempt", attempt, "current_attempt", run.attempt.number, "outcome", d.Outcome)
			return
		}
		handle(d)
	})
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
	step := c.nextRecoveryStep(r, &g, version, d.Outcome)
	if step != stepRestore && step != stepWriteLease {
		r.stepDone(c.loop.Now)
	}
	switch step {
	case stepMark:
		c.markRebuilding(version, r)
	case stepJoin:
		c.joinRecovery(r, &g, version)
	case stepStartOver:
		// It is marked for another attempt, or for none: by an older copy.
		c.lostAgain(stateLoss{reason: lossMark, revisionSeen: r.attempt.mark, revisionFound: version}, !r.isMarked(&g))
	case stepFollow:
		c.followRecovery(r, &g)
	case stepRestart:
		if !r.restored { // logged, and not made up for: see mayAddRecords
			c.log.Error("state recovered without this controller", "generation", g.Generation, "attempt", r.attempt.number, "jobs", len(c.owner.Jobs()))
		}
		c.restart(g.Generation)
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
	stepJoin                    // it says so: the others get time to notice the loss
	stepStartOver               // what it says is not of this attempt: it has lost data once more
	stepFollow                  // a newer generation has lost data: it is recovered instead
	stepRestart                 // the state is recovered: start anew with it
	stepRestore                 // what is known here and not there is to be stored
	stepWriteLease              // all have stored what they knew: the lease value follows
)

// isMarked reports whether what is stored says that the generation is being recovered.
func (r *recoveryRun) isMarked(stored *recovery.Generation) bool {
	return stored.Rebuilding && stored.Generation == r.generation
}

// nextRecoveryStep decides by the generation that is stored, and its version.
func (c *Core) nextRecoveryStep(r *recoveryRun, stored *recovery.Generation, version wire.Revision, read eventloop.Outcome) recoveryStep {
	switch {
	case read != eventloop.Succeeded:
		return stepWait
	case stored.Generation > r.generation:
		return c.stepAfterRecovery(r, stored)
	case r.phase != recoveryMarking && (!r.isMarked(stored) || version != r.attempt.mark):
		return stepStartOver
	case r.phase == recoveryMarking && r.isMarked(stored) && r.acceptsMark(version):
		return stepJoin
	case r.phase == recoveryMarking:
		return stepMark
	case r.joining(c.loop.Now):
		return stepWait
	case !r.restored && c.isTurnToRestore():
		return stepRestore
	case r.restored && c.isFirstOfRecovering() && c.reachesMajority():
		return stepWriteLease
	default:
		return stepWait
	}
}

// stepAfterRecovery decides what to do when a generation is stored that is newer than the
// one recovered here.
func (c *Core) stepAfterRecovery(r *recoveryRun, stored *recovery.Generation) recoveryStep {
	lostSince := r.phase == recoveryMarking && r.attempt.number > 1 && r.attempt.hasEvidence
	switch {
	case stored.Rebuilding, lostSince:
		// The newer one has lost data too: it was written by an attempt that another loss
		// has ended, and whose mark was not replaced yet.
		return stepFollow
	case r.joining(c.loop.Now):
		return stepWait
	case r.restored || !c.mayAddRecords():
		return stepRestart
	default:
		return stepRestore
	}
}

// joinRecovery begins an attempt by its mark in the state.
func (c *Core) joinRecovery(r *recoveryRun, stored *recovery.Generation, version wire.Revision) {
	r.noteMarked(version)
	c.log.Info("recovery marked in the state", "generation", r.generation, "attempt", r.attempt.number, "revision", version, "controller", stored.Controller)
}

// followRecovery goes on with a newer generation, which has lost data too.
func (c *Core) followRecovery(r *recoveryRun, stored *recovery.Generation) {
	c.log.Warn("recovering a newer generation", "generation", stored.Generation, "earlier_generation", r.generation, "attempt", r.attempt.number)
	r.generation = stored.Generation
	r.startOver(c.loop.Now, !stored.Rebuilding)
	c.announceRecovery()
}

// markRebuilding stores that the state is being recovered.
func (c *Core) markRebuilding(version wire.Revision, r *recoveryRun) {
	g := recovery.Generation{Form: recovery.GenerationForm, Generation: r.generation, Rebuilding: true, Controller: c.view.Self,
		RecoveredAtMs: c.loop.Now.UnixMilli()}
	txn := wire.Txn{If: []wire.Condition{{Key: generationKey, Version: version}}, Then: []wire.Op{{Put: generationKey, Value: g}}}
	r.beginStep()
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, Txn: txn, ID: c.onRecoveryAnswer(func(d eventloop.Completion) {
		r.stepDone(c.loop.Now)
		if d.Outcome == eventloop.Succeeded && !r.usedMarks[d.Txn.Revision] {
			c.joinRecovery(r, &g, d.Txn.Revision)
		}
	})})
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
	c.recoveringPeers(func(name string, p *cluster.Peer) {
		turn = turn && (name > c.view.Self || c.recovery.hasRestored(p, c.loop.Now))
	})
	return turn
}

// isFirstOfRecovering reports whether this controller is the first of the recovering
// ones, and all of them have stored what they knew. Should two think so, the state
// service decides.
func (c *Core) isFirstOfRecovering() bool {
	first := true
	c.recoveringPeers(func(name string, p *cluster.Peer) {
		first = first && name > c.view.Self && c.recovery.hasRestored(p, c.loop.Now)
	})
	return first
}
