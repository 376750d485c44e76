// Package controller is the core of a controller. It does no input or output:
// Step takes the time and an event and returns the effects that the node has
// to carry out. One goroutine owns it.
package controller

import (
	"fmt"
	"log/slog"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leader"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/peerpb"
)

// Core is the state of one controller.
type Core struct {
	view       *cluster.View
	blockLease *blocklease.Holder
	log        *slog.Logger

	loop eventloop.Loop

	owner  *owner.Owner
	leader *leader.Leader // nil while another controller leads

	state      stateReader
	ended      endedJobs
	freshness  freshnessChecker
	userWrites userWrites

	typesRequestedAt time.Time
	typesInFlight    bool

	// The lease value.
	leaseReader leaseReader
	leaseWriter leaseWriter
	election    election
	renewal     renewalTimer

	shuttingDown bool      // this process is about to end
	incompatible error     // why this version cannot serve this cluster
	noBlockUntil time.Time // no block is asked for before then, see resign
	levels       levelPublisher

	// The state's generation, and what happens when it has lost data.
	storedGeneration cluster.Stored[recovery.Generation]
	recovery         *recoveryRun
	previousState    recovery.KnownState // of before a rebuild, until everything is read again
	startup          startupCheck

	// What was last told to the peers.
	nextHeartbeatAt time.Time

	lastStepAt           time.Time // when the last event was handled
	resumedAt            time.Time // until when it last stood still, or was without the state service
	cancelledRevision    uint64    // no cancellation beyond this revision has been told from here
	freshnessRequests    uint64    // see clear.go
	freshnessRequestedAt [maxFreshnessRequests]time.Time
	spareCPUs            float64          // processors free here beyond what waits
	capacity             cluster.Capacity // free here
}

// New returns the core of the controller described by cfg. incarnation must
// be larger than that of every earlier process of the same name.
func New(cfg *config.Settings, par cluster.Params, log *slog.Logger, incarnation uint64) *Core {
	c := new(Core)
	c.reset(cluster.New(cfg, par), log, incarnation)
	return c
}

// reset makes the core that of a process that knows nothing yet.
func (c *Core) reset(view *cluster.View, log *slog.Logger, incarnation uint64) {
	c.view, c.log, c.blockLease, c.ended = view, log, blocklease.New(incarnation, view.Params.LeaseDuration), newEndedJobs()
	c.leaseReader.pages.PreLevels = !view.Params.Levels.KnowsLevels()
	c.owner = owner.New(&c.loop, c.view, c.blockLease, c, log)
}

// Step handles one event and returns what is to be done.
func (c *Core) Step(now time.Time, ev eventloop.Event) []eventloop.Effect {
	c.loop.Begin(now)
	if gap := now.Sub(c.lastStepAt); gap > maxStepGap && !c.lastStepAt.IsZero() {
		c.log.Info("stood still", "for", gap.Round(time.Millisecond))
		c.owner.ResumedAfter(gap)
		c.resumedAt = now
	}
	c.lastStepAt = now
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
		if e.FromStateService && (e.Outcome == eventloop.Succeeded || e.Outcome == eventloop.NotFound || e.Outcome == eventloop.Conflict) {
			if !c.stateReachable() && !c.state.lastAnswer.IsZero() {
				c.resumedAt = now // what it has missed meanwhile may be a loss
			}
			c.state.lastAnswer = now
		}
		c.checkRevision(&e)
		c.loop.Complete(e)
		if c.leader != nil && c.leader.PublishNow() {
			c.runLeader()
		}
	default:
		c.log.Error("unknown event", "type", fmt.Sprintf("%T", ev))
	}
	c.owner.PlaceAndSend()
	return c.loop.Effects()
}

// Healthy tells whether users can be served here: everything is read, and
// where the state service is out of reach, nobody else does better.
func (c *Core) Healthy() bool {
	if c.shuttingDown || !c.serves() || len(c.view.MachineTypes) == 0 || c.view.LeaseVersion == 0 {
		return false
	}
	if c.stateReachable() {
		return true
	}
	// One that hears no other controller either is itself cut off: nobody is
	// served here, while elsewhere somebody may be.
	heard := len(c.view.Peers) == 0
	for name, p := range c.view.Peers {
		up := c.view.IsReachable(name, c.loop.Now)
		if up && p.StateReachable {
			return false
		}
		heard = heard || up
	}
	return heard
}

// Levels is what the lease value, as last read, says of levels.
func (c *Core) Levels() feature.State { return c.view.Levels() }

// LeaseForm is the form of the lease value as this controller last read it.
func (c *Core) LeaseForm() int { return c.view.Lease.Form }

// ShardedTeams tells how many teams' limits are held in shares.
func (c *Core) ShardedTeams() int { return len(c.view.Lease.Shares) }

// Partitions names the controller of every home, as the lease value last read does.
// The map is not to be changed.
func (c *Core) Partitions() map[string]string { return c.view.Lease.Partitions }

// MachineCount tells how many machines are in this controller's block.
func (c *Core) MachineCount() int { return c.owner.MachineCount() }

// tick does what time alone brings about.
func (c *Core) tick() {
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
	c.heartbeatPeers()
	c.publishLevel()
	c.owner.StorePending()
	c.sendFreshnessCheck()
	c.owner.CheckMachines()
	c.owner.LogServiceReport()
	c.runLeader()
}

// maxStepGap is a gap between steps that says that the process did not run: time
// alone brings one every fraction of a second.
const maxStepGap = time.Second

// readMachineTypes reads the machine types, which validation needs, and refreshes
// the leader's prices now and then.
func (c *Core) readMachineTypes() {
	every := 30 * time.Second
	if len(c.view.MachineTypes) == 0 {
		every = time.Second
	} else if c.leader == nil {
		return
	}
	if c.typesInFlight || (!c.typesRequestedAt.IsZero() && c.loop.Now.Sub(c.typesRequestedAt) < every) {
		return
	}
	c.typesInFlight, c.typesRequestedAt = true, c.loop.Now
	c.loop.Emit(eventloop.CloudTypes{ID: c.loop.Call(func(d eventloop.Completion) {
		c.typesInFlight = false
		if d.Outcome != eventloop.Succeeded {
			return
		}
		for _, t := range d.Types.Types {
			if t.Name != "" && t.CPUs > 0 {
				c.view.MachineTypes[t.Name] = t
			}
		}
	})})
}

// heartbeatPeers keeps the links to the peers alive and carries counts for display.
func (c *Core) heartbeatPeers() {
	if c.loop.Now.Before(c.nextHeartbeatAt) {
		return
	}
	c.nextHeartbeatAt = c.loop.Now.Add(time.Second)
	f := c.newFrame()
	busy, _, size := c.owner.ProcessorUse()
	c.spareCPUs = size - busy
	f.SpareCpus = c.spareCPUs
	f.Teams = c.owner.PublishedTeamUse()
	c.capacity = c.owner.Capacity()
	c.capacity.Size = size
	f.FreeCpus, f.ImageCpus, f.SizeCpus = c.capacity.Free, c.capacity.Images, size
	f.FreeSlots = c.owner.FreeSlots()
	f.Progress = c.owner.ChangedCounts()
	f.NoHeartbeats = c.owner.NoHeartbeats()
	f.ForeignWorkers = c.owner.ForeignWorkersByHolder()
	c.addFreshnessRequest(f)
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
	}
}

// newFrame is the beginning of every message to another controller.
func (c *Core) newFrame() *peerpb.Frame {
	f := &peerpb.Frame{From: c.view.Self, Incarnation: c.blockLease.Incarnation(), StateOk: c.stateReachable(),
		LeaseForm: leasevalue.FormPages}
	c.addGeneration(f)
	if c.view.Params.Levels.KnowsLevels() {
		f.Form, f.NewestLevel, f.SeenLevel = frameForm, uint32(c.view.Params.Levels.Newest), c.view.Lease.Level
		f.AcceptsRaisedTokens, f.AcceptsJobMoves = true, true
	}
	return f
}

// missedFrameAfter is after what silence another controller may have missed a frame, of
// those that go out every second.
const missedFrameAfter = 1500 * time.Millisecond

func (c *Core) handlePeerFrame(f *peerpb.Frame) {
	p := c.view.Peers[f.GetFrom()]
	if p == nil {
		c.log.Warn("frame from an unknown peer", "from", f.GetFrom())
		return
	}
	if c.view.Params.Levels.KnowsLevels() && (f.GetForm() > frameForm || f.GetRenewal().GetForm() > renewalForm) {
		c.log.Warn("frame in a form that is unknown to this version", "from", f.GetFrom(), "form", f.GetForm(), "renewal", f.GetRenewal().GetForm())
		return
	}
	if f.GetHello() {
		c.loop.Emit(eventloop.PeerSend{To: f.GetFrom(), Frame: c.newFrame()})
		return
	}
	if f.GetIncarnation() != p.Incarnation || c.loop.Now.Sub(p.LastFrame) > missedFrameAfter {
		c.owner.ResendCounts()
	}
	p.Incarnation, p.SeenLevel = f.GetIncarnation(), feature.Level(f.GetSeenLevel())
	p.Generation, p.StateLost, p.StateRestored, p.Revision = f.GetGeneration(), f.GetStateLost(), f.GetStateRestored(), f.GetRevision()
	if f.GetStateOk() && (!p.StateReachable || c.loop.Now.Sub(p.LastFrame) > cluster.PeerTimeout) {
		p.StateReachableSince = c.loop.Now
	}
	p.LastFrame, p.StateReachable, p.LeaseForm, p.AcceptsRaisedTokens = c.loop.Now, f.GetStateOk(), f.GetLeaseForm(), f.GetAcceptsRaisedTokens()
	if f.GetRenewal() == nil {
		p.SpareCPUs = f.GetSpareCpus()
	}
	if f.GetImageCpus() != nil {
		p.Capacity = cluster.Capacity{Free: f.GetFreeCpus(), Size: f.GetSizeCpus(), Images: f.GetImageCpus()}
	}
	p.AcceptsJobMoves = f.GetAcceptsJobMoves()
	if f.GetRenewal() == nil {
		p.UpdateFreeSlots(f.GetFreeSlots())
		p.NoHeartbeats, p.ForeignWorkers = f.GetNoHeartbeats(), int(f.GetForeignWorkers()[c.view.Self])
	}
	p.UpdateTeamUse(f.GetTeams())
	c.handleFreshnessReplies(p, f)
	for _, g := range f.GetProgress() {
		if j := c.owner.Job(g.GetId()); j != nil {
			j.ApplyReportedCounts(int(g.GetDone()), int(g.GetRunning()))
		}
	}
	c.owner.LearnMachines(f.GetKnownMachines())
	if r := f.GetRenewal(); r != nil && r.GetNode() == f.GetFrom() {
		c.handleRenewal(r)
	}
	c.handlePeerGeneration(p, f.GetRecoveryView())
}
