// Package controller is the core of a controller. It owns what the roles share, the
// copy of the state service, the lease value and what the peers say, and answers the
// users; the roles themselves are packages owner, which places tasks, and leader, which
// assigns machines.
//
// It does no input or output and reads no clock: Step takes the time and an event, and
// returns the effects that the node has to carry out, in that order. It may assume that
// one goroutine calls it and that every call is completed at most once. It never blocks,
// and never relies on an effect to be carried out.
package controller

import (
	"fmt"
	"log/slog"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leader"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/core/termination"
	"fawncove/internal/wire"
)

// maxStepGap is the longest gap between steps of a process that runs: time alone brings
// a step every fraction of a second.
const maxStepGap = time.Second

// Core is the state of one controller.
type Core struct {
	loop       eventloop.Loop
	log        *slog.Logger
	view       *cluster.View
	blockLease *blocklease.Holder
	owner      *owner.Owner
	leader     *leader.Leader // nil while another controller leads
	guard      *termination.Guard

	// The copy of the state service, and the users who read and change it.
	state      stateReader
	history    changeHistory
	ended      endedJobs
	freshness  freshnessChecker
	confirmer  confirmer
	memory     jobMemory
	expected   expectedChanges
	userWrites userWrites

	// The lease value.
	leaseReader leaseReader
	leaseWriter leaseWriter
	election    election
	renewal     renewalTimer
	leaseStatus leaseStatusLog

	// The state's generation, and its recovery.
	storedGeneration cluster.Stored[recovery.Generation]
	startup          startupCheck
	recovery         *recoveryRun        // nil unless one is under way
	previousState    recovery.KnownState // known before a recovery; kept until everything is read again
	// previousLease is what all recovering controllers knew of the lease value.
	previousLease recovery.View
	// recoveredGeneration is the least that this process works with, as the recovery after
	// which it began anew has ended with it; 0 if there was none.
	recoveredGeneration uint64

	// The other controllers, the cluster's level, the cloud.
	cancellations cancellationProof
	load          localLoad
	nextFramesAt  time.Time
	levels        levelPublisher
	machineTypes  machineTypeReader

	// What this process is not to do.
	shuttingDown bool
	incompatible error     // why this version cannot serve this cluster
	noBlockUntil time.Time // no block is asked for before, see stepDownIfIsolated

	startedAt  time.Time // of this process, or of its new beginning after a recovery
	lastStepAt time.Time
	resumedAt  time.Time // end of the last suspension, or time without the state service
}

// New returns the core of the controller described by cfg. incarnation must be larger
// than that of every earlier process of the same name.
func New(cfg *config.Settings, par cluster.Params, log *slog.Logger, incarnation wire.Incarnation) *Core {
	c := new(Core)
	c.reset(cluster.New(cfg, par), log, incarnation)
	return c
}

// reset makes the core that of a process that knows nothing yet.
func (c *Core) reset(view *cluster.View, log *slog.Logger, incarnation wire.Incarnation) {
	c.view, c.log = view, log
	c.blockLease = blocklease.New(incarnation, view.Params.LeaseDuration)
	c.ended = newEndedJobs()
	c.leaseReader.pages.FormsBeforeLevels = !view.Params.Levels.KnowsLevels()
	c.owner = owner.New(&c.loop, c.view, c.blockLease, c, log)
	c.guard = termination.New(&c.loop, guardHost{c}, log)
}

// Step handles one event and returns what is to be done.
func (c *Core) Step(now time.Time, ev eventloop.Event) []eventloop.Effect {
	c.loop.Begin(now)
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.noteSuspension()
	switch e := ev.(type) {
	case eventloop.Tick:
		c.tick()
	case eventloop.Shutdown:
		c.shutDown()
	case eventloop.HeartbeatRequest:
		c.owner.HandleHeartbeat(e)
	case eventloop.SubmitRequest:
		c.handleSubmit(e)
	case eventloop.QueryRequest:
		c.handleQuery(e)
	case eventloop.CancelRequest:
		c.handleCancel(e)
	case eventloop.PeerFrame:
		c.handlePeerFrame(e.Frame)
	case eventloop.Completion:
		c.handleCompletion(e)
	default:
		c.log.Error("unknown event", "type", fmt.Sprintf("%T", ev))
	}
	c.owner.PlaceAndSend()
	c.stepConfirmations()
	c.logLeaseStatus()
	return c.loop.Effects()
}

// noteSuspension records whether the process was suspended before this step: silence of
// others in that time says nothing.
func (c *Core) noteSuspension() {
	now := c.loop.Now
	if gap := now.Sub(c.lastStepAt); gap > maxStepGap && !c.lastStepAt.IsZero() {
		c.log.Info("resumed after suspension", "duration", gap.Round(time.Millisecond))
		c.owner.ResumedAfter(gap)
		c.guard.Reset()
		c.resumedAt = now
	}
	c.lastStepAt = now
}

// handleCompletion hands a completion to the call that it belongs to.
func (c *Core) handleCompletion(d eventloop.Completion) {
	if d.FromStateService && (readOrAbsent(d.Outcome) || d.Outcome == eventloop.Conflict) {
		c.noteStateAnswer()
	}
	c.checkRevision(&d)
	c.loop.Complete(d)
	if c.leader != nil && c.leader.TakePublishNow() {
		c.runLeader()
	}
}

// noteStateAnswer notes that the state service answers.
func (c *Core) noteStateAnswer() {
	if !c.stateReachable() && !c.state.lastAnswer.IsZero() {
		c.resumedAt = c.loop.Now // what was missed meanwhile may be a loss
	}
	c.state.lastAnswer = c.loop.Now
}

// tick does what is due by time alone.
func (c *Core) tick() {
	c.tickConfirmations()
	c.guardCancellations()
	if c.recovery != nil {
		c.stepRecovery()
		return
	}
	c.readMachineTypes()
	if !c.state.loaded() {
		c.startUp()
		return
	}
	c.watchState()
	if c.incompatible != nil {
		return
	}
	c.readIncompleteLease()
	c.stepDownIfIsolated()
	c.requestQuotaChanges()
	c.campaign()
	c.renewBlockLease()
	c.sendFrames()
	c.publishLevel()
	c.owner.StorePending()
	c.sendFreshnessCheck()
	c.requestJobMemory()
	c.owner.CheckMachines()
	c.owner.LogServiceReport()
	c.owner.LogQuota()
	c.runLeader()
}
