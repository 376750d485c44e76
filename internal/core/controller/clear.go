package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
)

// Workers are answered, which keeps tasks alive, only while no cancellation can have
// been told to its user for too long that is not known here (owner.answerUntil). The
// watch shows that as long as the state service answers. Where it does not, the
// controllers show it one another.
//
// A cancellation is told by a controller that has had its revision from the state
// service. So each says up to which revision it, or an earlier process of it, may have
// told any; a process that has read the state says the revision that it read. When
// every other controller has answered an ask with a revision up to which all changes
// are known here, then all cancellations that were told before the ask was sent are
// known. One that is missing, stands still, is cut off, has just started or belongs to
// an earlier version does not answer, and the proof ends by itself.

// maxFreshnessRequests bounds the asks whose answers still count, one a second.
const maxFreshnessRequests = 16

// addFreshnessRequest notes that a frame which asks is sent, and writes the ask and the answers to
// others into it.
func (c *Core) addFreshnessRequest(f *peerpb.Frame) {
	if !c.view.Params.Levels.KnowsLevels() || !c.state.loaded() || c.recovery != nil {
		return
	}
	c.freshnessRequests++
	c.freshnessRequestedAt[c.freshnessRequests%maxFreshnessRequests] = c.loop.Now
	f.FreshnessRequest, f.CancelledRevision = c.freshnessRequests, c.cancelledRevision
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if p := c.view.Peers[name]; p.FreshnessRequest > 0 {
			f.FreshnessReplies = append(f.FreshnessReplies, &peerpb.FreshnessReply{To: name, Process: p.Incarnation, Request: p.FreshnessRequest})
		}
	}
}

// handleFreshnessReplies takes in what a frame says of cancellations.
func (c *Core) handleFreshnessReplies(p *cluster.Peer, f *peerpb.Frame) {
	if f.GetFreshnessRequest() > 0 {
		p.FreshnessRequest = f.GetFreshnessRequest()
	}
	if !c.state.loaded() || c.recovery != nil || f.GetStateLost() || f.GetGeneration() != c.generation() ||
		f.GetCancelledRevision() == 0 || f.GetCancelledRevision() > c.state.revision {
		return
	}
	for _, e := range f.GetFreshnessReplies() {
		if e.GetTo() != c.view.Self || e.GetProcess() != c.blockLease.Incarnation() || e.GetRequest() > c.freshnessRequests || e.GetRequest()+maxFreshnessRequests <= c.freshnessRequests {
			continue
		}
		if at := c.freshnessRequestedAt[e.GetRequest()%maxFreshnessRequests]; at.After(p.CancellationsKnownUntil) {
			p.CancellationsKnownUntil = at
		}
	}
	var least time.Time
	for _, p := range c.view.Peers {
		if p.CancellationsKnownUntil.IsZero() {
			return
		}
		if least.IsZero() || p.CancellationsKnownUntil.Before(least) {
			least = p.CancellationsKnownUntil
		}
	}
	c.owner.CancellationsKnown(least)
}
