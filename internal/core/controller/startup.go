package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
)

const (
	// helloTimeout is how long a process waits for the answers of the others.
	helloTimeout = 250 * time.Millisecond
	// staleAnswerWait is how long the others may take to notice a loss that this
	// process has noticed: until a watch of theirs is answered.
	staleAnswerWait = cluster.WatchHold + time.Second
	// abandonedRecoveryTimeout is how long nobody in reach may work at a recovery
	// before a process that knows nothing goes on with it.
	abandonedRecoveryTimeout = 15 * time.Second
)

// startupCheck is what a process that has just started knows of the state beside what
// it reads. That may have lost data without this process being able to notice: so it
// asks the others first, and waits while a recovery is under way.
type startupCheck struct {
	helloSentAt    time.Time
	generationRead bool
	staleAnswerAt  time.Time // when an answer fell short of what another controller had seen
	abandonedSince time.Time // since when nobody in reach works at the recovery under way
}

// startUp asks the others and starts to read once they have answered.
func (c *Core) startUp() {
	if c.startup.helloSentAt.IsZero() {
		c.startup.helloSentAt = c.loop.Now
		c.sendHello()
	}
	waited := c.loop.Now.Sub(c.startup.helloSentAt)
	for name := range c.view.Peers {
		if !c.view.IsReachable(name, c.loop.Now) && waited < helloTimeout {
			return
		}
	}
	c.readState()
}

// sendHello has every other controller say what it knows of the state.
func (c *Core) sendHello() {
	f := c.newFrame()
	f.Hello = true
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
	}
}

// stateUnsettled reports whether what this process reads may not be used yet, because
// the state is being recovered or may have lost data. When nobody works at a recovery
// any more it starts one here.
func (c *Core) stateUnsettled() bool {
	if !c.view.Params.Levels.KnowsLevels() {
		return false
	}
	elsewhere, rebuilding := c.peerRecovering(), c.storedGeneration.Value.Rebuilding
	switch {
	case !rebuilding || elsewhere:
		c.startup.abandonedSince = time.Time{}
	case c.startup.abandonedSince.IsZero():
		c.startup.abandonedSince = c.loop.Now
	case c.loop.Now.Sub(c.startup.abandonedSince) > abandonedRecoveryTimeout:
		c.log.Warn("taking over abandoned recovery", "generation", c.generation())
		c.recovery = &recoveryRun{generation: c.generation(), startedAt: c.loop.Now}
	}
	stale := !c.startup.staleAnswerAt.IsZero() && c.loop.Now.Sub(c.startup.staleAnswerAt) < staleAnswerWait
	return elsewhere || rebuilding || stale
}

// restart makes this controller a process that has just started. What it knew is kept
// until everything has been read, should the state lose data once more.
func (c *Core) restart() {
	known, old := c.knownState(), *c
	c.loop.DropCalls()
	c.loop.ResetHighestRevision()
	*c = Core{loop: c.loop, previousState: known, shuttingDown: old.shuttingDown, lastStepAt: old.lastStepAt,
		state: stateReader{lastAnswer: old.state.lastAnswer}}
	view := cluster.New(old.view.Settings, old.view.Params)
	view.MachineTypes = old.view.MachineTypes
	c.reset(view, old.log, old.blockLease.Incarnation()+1)
	c.owner.Served = old.owner.Served
	c.readState()
}
