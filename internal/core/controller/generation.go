package controller

import (
	"slices"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/recovery"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// generationKey is where the generation of the state is stored, see
// recovery.Generation.
const generationKey = recovery.Key

// generation is that of the state this controller works with.
func (c *Core) generation() uint64 {
	return max(1, c.storedGeneration.Value.Generation, c.recoveredGeneration)
}

// readGeneration reads the generation of the state.
func (c *Core) readGeneration(done func(outcome eventloop.Outcome)) {
	known := c.storedGeneration.Version
	c.loop.Emit(eventloop.StateGet{Key: generationKey, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		if c.recovery == nil && readOrAbsent(d.Outcome) && d.Pair.Version < known {
			// A copy of before the last recovery may be newer than what that began with:
			// its revisions are then higher, and only the generation shows the loss.
			c.startRecovery(stateLoss{reason: lossGeneration, revisionSeen: known, revisionFound: d.Pair.Version})
		}
		if d.Outcome == eventloop.Succeeded {
			c.applyGeneration(d.Pair.Value, d.Pair.Version)
		}
		if c.recovery == nil && readOrAbsent(d.Outcome) && max(1, c.storedGeneration.Value.Generation) < c.recoveredGeneration {
			c.startRecovery(stateLoss{reason: lossGeneration, revisionSeen: c.loop.HighestRevision(), revisionFound: d.Pair.Version})
		}
		c.startup.noteGenerationRead(d.Outcome)
		done(d.Outcome)
	})})
}

// applyGeneration applies the generation of the state. One that is newer, or that is
// being recovered, says that the state has lost data.
func (c *Core) applyGeneration(value []byte, version wire.Revision) {
	if version <= c.storedGeneration.Version {
		return
	}
	g, err := recovery.Decode(value)
	if err != nil {
		c.log.Error("cannot decode generation", "err", err)
		return
	}
	if c.recovery == nil {
		switch {
		case c.state.loaded() && g.Generation > c.generation():
			c.startRecovery(stateLoss{reason: lossRecovered, revisionSeen: c.loop.HighestRevision(), revisionFound: version})
		case c.knowsState() && g.Rebuilding:
			c.startRecovery(stateLoss{reason: lossMarked, revisionSeen: c.loop.HighestRevision(), revisionFound: version, generation: g.Generation})
		}
	}
	if c.recovery == nil { // during a recovery the one that lost data is compared with
		c.storedGeneration = cluster.Stored[recovery.Generation]{Value: g, Version: version}
	}
}

// addGeneration writes into a frame what this controller knows of the state: its
// generation and revision, or how far its recovery has come and in which attempt.
func (c *Core) addGeneration(f *peerpb.Frame) {
	if !c.view.Params.Levels.KnowsLevels() {
		return
	}
	r := c.recovery
	if r == nil {
		f.Generation = c.generation() // also while the state is read: this controller can recover it
		if c.state.loaded() {
			f.Revision = uint64(c.loop.HighestRevision())
		}
		return
	}
	f.Generation, f.StateLost, f.StateRestored, f.Revision = r.generation, true, r.restored, uint64(r.attempt.mark)
	raw, err := wire.Encode(c.leaseView())
	if err != nil {
		c.log.Error("cannot encode recovery view", "err", err)
	}
	f.RecoveryView = raw
}

// leaseView is what this controller knows of leases and machines: as long as it has not read
// them since a recovery, what it knew before.
func (c *Core) leaseView() recovery.View {
	v := recovery.ViewOf(c.view.Lease)
	if c.view.LeaseVersion == 0 {
		v = c.previousLease
	}
	v.Machines, v.Token = c.owner.ForeignWorkers(), c.owner.HighestToken()
	slices.Sort(v.Machines)
	return v
}

// handlePeerGeneration handles what a peer says of the state: the revision that it has
// seen, that the state has lost data, or that it was recovered without this controller.
func (c *Core) handlePeerGeneration(p *cluster.Peer, rawView []byte) {
	if view := c.decodeView(rawView); view != nil || c.recovery == nil {
		// During a recovery the last view stays: a controller that has ended it, or itself,
		// has machines of which nobody else may know once the state is lost again.
		p.RecoveryView = view
	}
	if c.recovery == nil && c.startup.generationRead && p.Generation == c.generation() && !p.StateLost {
		c.loop.RaiseHighestRevision(p.Revision) // calls made from now on are answered with it at least
	}
	switch {
	case c.recovery != nil || !c.knowsState() || p.Generation == 0:
	case p.StateLost && (p.Generation == c.generation() || !c.state.loaded() && p.Generation > c.generation()):
		c.startRecovery(stateLoss{reason: lossPeer, revisionSeen: c.loop.HighestRevision(), generation: p.Generation})
	case !c.state.loaded():
	case !p.StateLost && p.Generation > c.generation():
		c.startRecovery(stateLoss{reason: lossRecovered, revisionSeen: c.loop.HighestRevision()})
	}
}

// decodeView decodes a peer's view of the leases; nil if there is none.
func (c *Core) decodeView(raw []byte) *recovery.View {
	if len(raw) == 0 {
		return nil
	}
	v := new(recovery.View)
	if err := wire.Decode(raw, v); err != nil {
		c.log.Error("cannot decode recovery view", "err", err)
		return nil
	}
	return v
}

// peerKnowsNewerGeneration reports whether a peer works with a newer generation than the
// one that is stored: the state has lost it, and the peer may have yet to notice.
func (c *Core) peerKnowsNewerGeneration() bool {
	for name, p := range c.view.Peers {
		if p.Generation > max(1, c.storedGeneration.Value.Generation) && c.view.IsReachable(name, c.loop.Now) {
			return true
		}
	}
	return false
}

// peerRecovering reports whether a peer recovers the generation that was read here: a
// process that has just started has nothing to add, and waits.
func (c *Core) peerRecovering() bool {
	for name, p := range c.view.Peers {
		if p.StateLost && p.Generation >= c.generation() && c.view.IsReachable(name, c.loop.Now) {
			return true
		}
	}
	return false
}
