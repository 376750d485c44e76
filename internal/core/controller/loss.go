package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
)

// checkRevision looks for a loss of data in the revision of an answer. The state
// service is consistent, so no answer is older than any that had been given when its
// request went out: unless data was lost. An outage, a refusal and a slow or late
// answer all show nothing of the kind.
func (c *Core) checkRevision(d *eventloop.Completion) {
	if !d.FromStateService || (d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict) {
		return
	}
	if d.Pair.Key != "" { // its version says when it was written, not when it was read
		c.loop.RaiseWatermark(d.Pair.Version)
		return
	}
	revision := max(d.Txn.Revision, d.Page.Revision, d.Changes.Revision)
	if expected := c.loop.CallWatermark(d.ID); revision < expected {
		if !c.state.loaded() && c.recovery == nil {
			c.startup.staleAnswerAt = c.loop.Now
			c.loop.ResetWatermark()
		}
		c.startRecovery("its revisions went back", expected, revision)
		return
	}
	c.loop.RaiseWatermark(revision)
}

// startRecovery notes that the state has lost data and starts to recover it, or starts
// over when it has lost data once more meanwhile.
func (c *Core) startRecovery(reason string, seen, found uint64) {
	if c.recovery != nil {
		c.recovery.lostAgain(c.loop.Now)
		c.loop.ResetWatermark()
		return
	}
	if !c.canRecover() {
		return
	}
	c.log.Error("the state has lost data", "reason", reason, "revision_seen", seen, "revision_found", found, "generation", c.generation(),
		"jobs", len(c.owner.Jobs()), "ends", len(c.ended.records))
	c.recovery = &recoveryRun{generation: c.generation(), revisionSeen: seen, revisionFound: found, startedAt: c.loop.Now}
	c.loop.ResetWatermark()
	c.stepDown()
	c.freshness.failQueued()
	c.nextHeartbeatAt = time.Time{}
	c.heartbeatPeers()
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
