package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// frameForm and renewalForm are the newest forms of messages between controllers.
	frameForm   = 1
	renewalForm = 1

	// heartbeatInterval spaces the frames to all peers.
	heartbeatInterval = time.Second
	// missedFrameAfter is the silence after which a peer may have missed a frame, of
	// those that go out every second.
	missedFrameAfter = 1500 * time.Millisecond
)

// newFrame returns what every message to another controller begins with.
func (c *Core) newFrame() *peerpb.Frame {
	f := &peerpb.Frame{From: c.view.Self, Incarnation: uint64(c.blockLease.Incarnation()), StateOk: c.stateReachable(),
		LeaseForm: leasevalue.FormPages}
	c.addGeneration(f)
	if c.view.Params.Levels.KnowsLevels() {
		f.Form, f.NewestLevel, f.SeenLevel = frameForm, uint32(c.view.Params.Levels.Newest), c.view.Lease.Level
		f.AcceptsRaisedTokens, f.AcceptsJobMoves, f.ConfirmsJobs, f.KeepsCancellations = true, true, true, true
	}
	return f
}

// sendFrames keeps the links to the peers alive and publishes this controller's
// figures.
func (c *Core) sendFrames() {
	if c.loop.Now.Before(c.nextFramesAt) {
		return
	}
	c.nextFramesAt = c.loop.Now.Add(heartbeatInterval)
	f := c.newFrame()
	busy, _, size := c.owner.ProcessorUse()
	c.load.spareCPUs = size - busy
	f.SpareCpus = c.load.spareCPUs
	f.Teams = c.owner.PublishedTeamUse()
	c.load.capacity = c.owner.Capacity()
	c.load.capacity.Size = size
	f.FreeCpus, f.ImageCpus, f.SizeCpus = c.load.capacity.Free, c.load.capacity.Images, size
	f.FreeSlots = c.owner.FreeSlots()
	f.Progress = c.owner.ChangedCounts()
	f.NoHeartbeats = c.owner.NoHeartbeats()
	f.ForeignWorkers = c.owner.ForeignWorkersByHolder()
	c.addFreshnessRequest(f)
	c.addRecentChanges(f)
	c.addTerminations(f)
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
	}
}

// handlePeerFrame handles a frame from another controller.
func (c *Core) handlePeerFrame(f *peerpb.Frame) {
	p := c.view.Peers[f.GetFrom()]
	if !c.acceptsFrame(p, f) {
		return
	}
	switch {
	case f.GetHello():
		p.ConfirmsJobs, p.LastHello = f.GetConfirmsJobs(), c.loop.Now
		c.noteTerminations(p, f)
		c.loop.Emit(eventloop.PeerSend{To: f.GetFrom(), Frame: c.newFrame()})
		return
	case f.GetJobClaims() != nil:
		c.handleJobClaims(f)
		return
	case f.GetJobClaimsReply() != nil:
		c.handleJobClaimsReply(f)
		return
	case f.GetJobMemoryRequest() != nil:
		c.handleJobMemoryRequest(f)
		return
	case f.GetJobMemory() != nil:
		c.handleJobMemory(f)
		return
	}
	if wire.Incarnation(f.GetIncarnation()) != p.Incarnation || c.loop.Now.Sub(p.LastFrame) > missedFrameAfter {
		c.owner.ResendCounts()
	}
	c.updatePeer(p, f)
	c.handleFreshnessReplies(p, f)
	for _, count := range f.GetProgress() {
		if j := c.owner.Job(count.GetId()); j != nil {
			j.ApplyReportedCounts(int(count.GetDone()), int(count.GetRunning()))
		}
	}
	c.owner.LearnMachines(f.GetKnownMachines())
	if r := f.GetRenewal(); r != nil && r.GetNode() == f.GetFrom() {
		c.handleRenewal(r)
	}
	c.handlePeerGeneration(p, f.GetRecoveryView())
	c.handleRecentChanges(p, f)
}

// acceptsFrame reports whether a frame comes from a known peer, in a form that this
// version reads.
func (c *Core) acceptsFrame(p *cluster.Peer, f *peerpb.Frame) bool {
	if p == nil {
		c.log.Warn("frame from unknown controller", "controller", f.GetFrom())
		return false
	}
	if c.view.Params.Levels.KnowsLevels() && (f.GetForm() > frameForm || f.GetRenewal().GetForm() > renewalForm) {
		c.log.Warn("frame form unknown to this version", "controller", f.GetFrom(), "form", f.GetForm(), "renewal_form", f.GetRenewal().GetForm())
		return false
	}
	return true
}

// updatePeer notes what a peer says of itself. A frame with a renewal has no figures of
// its machines.
func (c *Core) updatePeer(p *cluster.Peer, f *peerpb.Frame) {
	p.Incarnation, p.SeenLevel = wire.Incarnation(f.GetIncarnation()), feature.Level(f.GetSeenLevel())
	p.Generation, p.StateLost, p.StateRestored = f.GetGeneration(), f.GetStateLost(), f.GetStateRestored()
	p.Revision, p.RecoveryMark = wire.Revision(f.GetRevision()), 0
	if p.StateLost {
		p.Revision, p.RecoveryMark = 0, wire.Revision(f.GetRevision())
	}
	if p.StateLost && !p.StateRestored {
		p.UnrestoredAt = c.loop.Now
	}
	if f.GetStateOk() && (!p.StateReachable || c.loop.Now.Sub(p.LastFrame) > cluster.PeerTimeout) {
		p.StateReachableSince = c.loop.Now
	}
	if f.GetCancelledRevision() > 0 || f.GetStateLost() {
		p.InformedAt = c.loop.Now
	}
	p.LastFrame, p.StateReachable = c.loop.Now, f.GetStateOk()
	p.LeaseForm, p.AcceptsRaisedTokens, p.AcceptsJobMoves = f.GetLeaseForm(), f.GetAcceptsRaisedTokens(), f.GetAcceptsJobMoves()
	p.ConfirmsJobs, p.KeepsCancellations = f.GetConfirmsJobs(), f.GetKeepsCancellations()
	if f.GetImageCpus() != nil {
		p.Capacity = cluster.Capacity{Free: f.GetFreeCpus(), Size: f.GetSizeCpus(), Images: f.GetImageCpus()}
	}
	if f.GetRenewal() == nil {
		p.SpareCPUs = f.GetSpareCpus()
		p.UpdateFreeSlots(f.GetFreeSlots())
		c.noteTerminations(p, f)
		p.NoHeartbeats, p.ForeignWorkers = f.GetNoHeartbeats(), int(f.GetForeignWorkers()[c.view.Self])
	}
	p.UpdateTeamUse(f.GetTeams())
}
