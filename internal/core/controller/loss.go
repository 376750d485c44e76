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
	lossLease     lossReason = "lease value older than before"
	lossJob       lossReason = "a job has neither record nor end"
	lossPeer      lossReason = "reported by another controller"
	lossRecovered lossReason = "recovered without this controller"
	lossMarked    lossReason = "recovery under way"
)

// stateLoss is a loss of data that this controller has noticed.
type stateLoss struct {
	reason        lossReason
	job           string        // whose record is gone, for lossJob
	revisionSeen  wire.Revision // the highest of before
	revisionFound wire.Revision // instead; 0 if none was seen
}

// checkRevision looks for a loss of data in the revision of an answer. The state
// service is consistent, so no answer is older than any that had been given when its
// request went out: unless data was lost. An outage, a refusal and a slow or late
// answer all show nothing of the kind.
func (c *Core) checkRevision(d *eventloop.Completion) {
	if !d.FromStateService || (d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict) {
		return
	}
	if d.Pair.Key != "" { // its version says when it was written, not when it was read
		c.loop.RaiseHighestRevision(d.Pair.Version)
		return
	}
	revision := max(d.Txn.Revision, d.Page.Revision, d.Changes.Revision)
	if expected := c.loop.CallRevision(d.ID); revision < expected {
		if !c.state.loaded() && c.recovery == nil {
			c.startup.noteStaleAnswer(c.loop.Now)
			c.loop.ResetHighestRevision()
		}
		c.startRecovery(stateLoss{reason: lossRevision, revisionSeen: expected, revisionFound: revision})
		return
	}
	c.loop.RaiseHighestRevision(revision)
}

// startRecovery notes that the state has lost data and starts to recover it, or starts
// over when it has lost data once more meanwhile.
func (c *Core) startRecovery(loss stateLoss) {
	if c.recovery != nil {
		c.recovery.lostAgain(c.loop.Now)
		c.loop.ResetHighestRevision()
		return
	}
	if !c.canRecover() {
		return
	}
	c.log.Error("the state has lost data", "reason", loss.reason, "job", loss.job, "revision_seen", loss.revisionSeen, "revision_found", loss.revisionFound,
		"generation", c.generation(), "jobs", len(c.owner.Jobs()), "ends", len(c.ended.records))
	c.recovery = &recoveryRun{generation: c.generation(), revisionSeen: loss.revisionSeen, revisionFound: loss.revisionFound, startedAt: c.loop.Now}
	c.loop.ResetHighestRevision()
	c.stepDown()
	c.freshness.failQueued()
	c.nextFramesAt = time.Time{}
	c.sendFrames()
}

// canRecover reports whether this controller knows the state, and all others in reach
// can follow; one of an earlier version would go on with what is gone.
func (c *Core) canRecover() bool {
	knowsState := c.state.loaded() || len(c.previousState.Jobs)+len(c.previousState.Ends) > 0
	if !c.view.Params.Levels.KnowsLevels() || c.incompatible != nil || c.shuttingDown || !knowsState {
		return false
	}
	for name, p := range c.view.Peers {
		if p.Generation == 0 && c.view.IsReachable(name, c.loop.Now) {
			return false
		}
	}
	return true
}
