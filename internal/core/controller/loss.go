package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// lossReason is what shows that the state has lost data, as it is logged.
type lossReason string

const (
	lossRevision  lossReason = "revision decreased"
	lossWrite     lossReason = "write carried out at a revision seen before"
	lossChange    lossReason = "another change at a revision seen before"
	lossLease     lossReason = "lease value older than before"
	lossJob       lossReason = "a job has neither record nor end"
	lossOlder     lossReason = "a job's record is older than before"
	lossPeer      lossReason = "reported by another controller"
	lossRecovered lossReason = "recovered without this controller"
	// lossGeneration: every write of the generation makes it newer.
	lossGeneration lossReason = "generation older than before"
	lossMarked     lossReason = "recovery under way"
	lossEnd        lossReason = "a job goes on whose end another controller knows"
	lossOtherEnd   lossReason = "another controller knows another end of a job"
	lossClaim      lossReason = "the watch lacks a change that another controller knows"
	lossMark       lossReason = "the recovery is not marked as before"
)

// isEvidence reports whether the reason is something that this controller itself has read
// in the state. Otherwise another controller has noticed the loss.
func (r lossReason) isEvidence() bool {
	return r != lossPeer && r != lossRecovered && r != lossMarked
}

// stateLoss is a loss of data that this controller has noticed.
type stateLoss struct {
	reason        lossReason
	job           string        // whose record is gone, for lossJob
	revisionSeen  wire.Revision // the highest of before
	revisionFound wire.Revision // instead; 0 if none was seen
	generation    uint64        // that has lost data; 0: the one that this controller works with
}

// checkRevision looks for a loss of data in the revision of an answer. The state
// service is consistent, so no answer is older than any that had been given when its
// request went out: unless data was lost. An outage, a refusal and a slow or late
// answer all show nothing of the kind.
func (c *Core) checkRevision(d *eventloop.Completion) {
	if !d.FromStateService || (d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict) {
		return
	}
	call, current := c.loop.OpenCall(d.ID)
	if !current {
		return // asked before the last loss was noticed: it says nothing of the state since
	}
	if d.Pair.Key != "" { // its version says when it was written, not when it was read
		c.loop.RaiseHighestRevision(d.Pair.Version)
		return
	}
	revision := max(d.Txn.Revision, d.Page.Revision, d.Changes.Revision)
	reason := lossRevision
	written := d.Outcome == eventloop.Succeeded && len(call.Puts) > 0
	if written && revision == call.Revision {
		reason = lossWrite
	}
	if revision < call.Revision || reason == lossWrite {
		if !c.state.loaded() && c.recovery == nil {
			c.startup.noteStaleAnswer(c.loop.Now)
			c.loop.ResetHighestRevision()
		}
		c.startRecovery(stateLoss{reason: reason, revisionSeen: call.Revision, revisionFound: revision})
		return
	}
	c.loop.RaiseHighestRevision(revision)
	c.noteChanges(d, call)
}

// startRecovery notes that the state has lost data and starts to recover it, or starts
// over when it has lost data once more meanwhile.
func (c *Core) startRecovery(loss stateLoss) {
	if c.recovery != nil {
		c.lostAgain(loss, loss.reason.isEvidence())
		return
	}
	if !c.canRecover() {
		return
	}
	generation := max(c.generation(), loss.generation)
	c.log.Error("the state has lost data", "reason", loss.reason, "job", loss.job, "revision_seen", loss.revisionSeen, "revision_found", loss.revisionFound,
		"generation", generation, "jobs", len(c.owner.Jobs()), "ends", len(c.ended.records))
	c.recovery = newRecoveryRun(generation, c.loop.Now, loss)
	c.stepDown()
	c.freshness.failQueued()
	c.confirmer.failAll()
	c.announceRecovery()
}

// lostAgain begins another attempt of the recovery under way, as the state has lost data
// once more. hasEvidence says that this controller has seen that itself; otherwise another
// one has.
func (c *Core) lostAgain(loss stateLoss, hasEvidence bool) {
	r := c.recovery
	c.log.Error("the state has lost data during its recovery", "reason", loss.reason, "revision_seen", loss.revisionSeen, "revision_found", loss.revisionFound,
		"generation", r.generation, "attempt", r.attempt.number, "phase", r.phase)
	r.startOver(c.loop.Now, hasEvidence)
	c.announceRecovery()
}

// announceRecovery has the others know at once how far the recovery is. What was seen of
// the state before says nothing of it any more.
func (c *Core) announceRecovery() {
	c.loop.ResetHighestRevision()
	c.history = changeHistory{}
	c.nextFramesAt = time.Time{}
	c.sendFrames()
}

// knowsState reports whether this controller has read the state, or knows of it from
// before it began to read anew.
func (c *Core) knowsState() bool {
	return c.state.loaded() || len(c.previousState.Jobs)+len(c.previousState.Ends) > 0
}

// canRecover reports whether this controller knows the state, and all others in reach
// can follow; one of an earlier version would go on with what is gone.
func (c *Core) canRecover() bool {
	if !c.view.Params.Levels.KnowsLevels() || c.incompatible != nil || c.shuttingDown || !c.knowsState() {
		return false
	}
	for name, p := range c.view.Peers {
		if p.Generation == 0 && c.view.IsReachable(name, c.loop.Now) {
			return false
		}
	}
	return true
}
