package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Workers are answered, which keeps their tasks alive, only while no cancellation that
// its user has been told of can have been unknown here for too long
// (owner.answerDeadline). The watch proves that as long as the state service answers.
// Where it does not, the controllers prove it to one another.
//
// A controller answers a cancellation once the state service has shown it the revision.
// So each frame carries the highest revision of a cancellation that its sender, or an
// earlier process of it, may have confirmed; a process that has read the state sends the
// revision that it read. When every other controller has replied to a freshness request
// with a revision up to which all changes are known here, then all cancellations that were
// answered before the request was sent are known. A controller that is absent, suspended,
// cut off, just started or of an earlier version does not reply, and the watermark stops
// advancing.

// maxFreshnessRequests bounds the requests whose replies still count, one a second.
const maxFreshnessRequests = 16

// cancellationProof is this controller's part in the proof.
type cancellationProof struct {
	answeredRevision wire.Revision // no cancellation beyond it has been answered from here
	requests         uint64        // sent so far
	sentAt           [maxFreshnessRequests]time.Time
}

// mayHaveAnswered notes that a cancellation of a revision may be answered from here.
func (p *cancellationProof) mayHaveAnswered(revision wire.Revision) {
	p.answeredRevision = max(p.answeredRevision, revision)
}

// nextRequest numbers a request that goes out now.
func (p *cancellationProof) nextRequest(now time.Time) uint64 {
	p.requests++
	p.sentAt[p.requests%maxFreshnessRequests] = now
	return p.requests
}

// requestSentAt returns when a request went out; ok is false for one that was never
// sent, or too long ago.
func (p *cancellationProof) requestSentAt(request uint64) (at time.Time, ok bool) {
	if request > p.requests || request+maxFreshnessRequests <= p.requests {
		return at, false
	}
	return p.sentAt[request%maxFreshnessRequests], true
}

// addFreshnessRequest writes a request, and the replies to others, into a frame for all
// peers.
func (c *Core) addFreshnessRequest(f *peerpb.Frame) {
	if !c.view.Params.Levels.KnowsLevels() || !c.state.loaded() || c.recovery != nil {
		return
	}
	f.FreshnessRequest, f.CancelledRevision = c.cancellations.nextRequest(c.loop.Now), uint64(c.cancellations.answeredRevision)
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if p := c.view.Peers[name]; p.FreshnessRequest > 0 {
			f.FreshnessReplies = append(f.FreshnessReplies, &peerpb.FreshnessReply{To: name, Incarnation: uint64(p.Incarnation), Request: p.FreshnessRequest})
		}
	}
}

// handleFreshnessReplies notes a peer's request, and what its replies prove.
func (c *Core) handleFreshnessReplies(p *cluster.Peer, f *peerpb.Frame) {
	if f.GetFreshnessRequest() > 0 {
		p.FreshnessRequest = f.GetFreshnessRequest()
	}
	if !c.provesCancellations(f) {
		return
	}
	for _, reply := range f.GetFreshnessReplies() {
		if reply.GetTo() != c.view.Self || wire.Incarnation(reply.GetIncarnation()) != c.blockLease.Incarnation() {
			continue
		}
		if at, ok := c.cancellations.requestSentAt(reply.GetRequest()); ok && at.After(p.CancellationsKnownUntil) {
			p.CancellationsKnownUntil = at
		}
	}
	if until, ok := c.cancellationsKnownUntil(); ok {
		c.owner.CancellationsKnown(until)
	}
}

// provesCancellations reports whether a frame is of the generation that this controller
// works with, and every cancellation that its sender may have answered is known here.
func (c *Core) provesCancellations(f *peerpb.Frame) bool {
	if !c.state.loaded() || c.recovery != nil || f.GetStateLost() || f.GetGeneration() != c.generation() {
		return false
	}
	return f.GetCancelledRevision() > 0 && wire.Revision(f.GetCancelledRevision()) <= c.state.revision
}

// cancellationsKnownUntil returns up to which moment every cancellation that any peer
// has answered is known here; ok is false while a peer has proved nothing.
func (c *Core) cancellationsKnownUntil() (until time.Time, ok bool) {
	for _, p := range c.view.Peers {
		if p.CancellationsKnownUntil.IsZero() {
			return until, false
		}
		if until.IsZero() || p.CancellationsKnownUntil.Before(until) {
			until = p.CancellationsKnownUntil
		}
	}
	return until, true
}
