package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/recovery"
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
//
// The fields are not phases of one state: after a recovery a controller that starts anew
// reads the generation before it has asked the others, and an answer may fall short, or
// a recovery be abandoned, at any time until the state has been read.
type startupCheck struct {
	helloSentAt    time.Time // zero: the others have not been asked
	helloAgainAt   time.Time // when they are asked once more
	generationRead bool      // once is enough
	staleAnswerAt  time.Time // when an answer last fell short of what another controller had seen; zero: none has
	abandonedSince time.Time // since when nobody in reach works at the recovery under way; zero: somebody does, or there is none
}

// beginHello notes that the others are asked, and reports whether they are to be now: a process that
// waits for a recovery says so every second.
func (s *startupCheck) beginHello(now time.Time) bool {
	if now.Before(s.helloAgainAt) {
		return false
	}
	if s.helloSentAt.IsZero() {
		s.helloSentAt = now
	}
	s.helloAgainAt = now.Add(heartbeatInterval)
	return true
}

// awaitsAnswers reports whether the others still have time to answer.
func (s *startupCheck) awaitsAnswers(now time.Time) bool {
	return now.Sub(s.helloSentAt) < helloTimeout
}

// noteGenerationRead notes the outcome of reading the generation.
func (s *startupCheck) noteGenerationRead(outcome eventloop.Outcome) {
	s.generationRead = s.generationRead || readOrAbsent(outcome)
}

// noteStaleAnswer notes an answer that falls short of what another controller has seen.
func (s *startupCheck) noteStaleAnswer(now time.Time) { s.staleAnswerAt = now }

// awaitsNotice reports whether the others may have yet to notice a loss that a stale
// answer has shown.
func (s *startupCheck) awaitsNotice(now time.Time) bool {
	return !s.staleAnswerAt.IsZero() && now.Sub(s.staleAnswerAt) < staleAnswerWait
}

// hasStaleAnswerSince reports whether an answer has fallen short since a moment.
func (s *startupCheck) hasStaleAnswerSince(at time.Time) bool { return !s.staleAnswerAt.Before(at) }

// noteUnattended notes whether a recovery is under way at which nobody in reach works,
// and reports whether that has lasted so long that the recovery counts as abandoned.
func (s *startupCheck) noteUnattended(now time.Time, unattended bool) (abandoned bool) {
	switch {
	case !unattended:
		s.abandonedSince = time.Time{}
	case s.abandonedSince.IsZero():
		s.abandonedSince = now
	}
	return unattended && now.Sub(s.abandonedSince) > abandonedRecoveryTimeout
}

// startUp asks the others and starts to read once they have answered.
func (c *Core) startUp() {
	if c.startup.beginHello(c.loop.Now) {
		c.sendHello()
	}
	for name := range c.view.Peers {
		if !c.view.IsReachable(name, c.loop.Now) && c.startup.awaitsAnswers(c.loop.Now) {
			return
		}
	}
	c.readState()
}

// sinceStart returns for how long this process has run.
func (c *Core) sinceStart() time.Duration { return c.loop.Now.Sub(c.startedAt).Round(time.Millisecond) }

// sendHello has every other controller say what it knows of the state.
func (c *Core) sendHello() {
	f := c.newFrame()
	f.Hello = true
	c.addTerminations(f)
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
	if c.peerKnowsNewerGeneration() {
		c.startup.noteStaleAnswer(c.loop.Now)
	}
	elsewhere, rebuilding := c.peerRecovering(), c.storedGeneration.Value.Rebuilding
	if c.startup.noteUnattended(c.loop.Now, rebuilding && !elsewhere) {
		c.log.Warn("taking over abandoned recovery", "generation", c.generation())
		c.recovery = newRecoveryRun(c.generation(), c.loop.Now, stateLoss{reason: lossMarked})
	}
	return elsewhere || rebuilding || c.startup.awaitsNotice(c.loop.Now)
}

// restart makes this controller a process that has just started, with a generation of the
// state that has been recovered. What it knew is kept
// until everything has been read, should the state lose data once more.
func (c *Core) restart(generation uint64) {
	known, lease, old := c.knownState(), recovery.ViewOf(c.mergeLease()), *c
	c.loop.DropCalls()
	*c = Core{loop: c.loop, previousState: known, previousLease: lease, recoveredGeneration: generation, shuttingDown: old.shuttingDown, lastStepAt: old.lastStepAt,
		memory: jobMemory{complete: old.memory.complete},
		state:  stateReader{lastAnswer: old.state.lastAnswer}}
	view := cluster.New(old.view.Settings, old.view.Params)
	view.MachineTypes = old.view.MachineTypes
	c.reset(view, old.log, old.blockLease.Incarnation()+1)
	c.owner.Served = old.owner.Served
	c.owner.InheritCancellations(old.owner)
	if old.recovery.restored {
		// All these ends are stored. Nothing reads them again, and should the state lose
		// them, their jobs would be unknown.
		c.ended.addAll(&known)
	}
	c.readState()
}
