package controller

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// changeConfirmTimeout is how long a submission or a cancellation waits for each of its
	// rounds: users wait 5 s in all.
	changeConfirmTimeout = time.Second
	// endConfirmTimeout is how long the end of a job that is done waits before it is stored all
	// the same.
	endConfirmTimeout = 250 * time.Millisecond
	// confirmInterval is when the next round begins though the one before it is not settled.
	confirmInterval = 100 * time.Millisecond
	// confirmRetry is when what a round has not settled goes into another one: frames get lost.
	confirmRetry = 300 * time.Millisecond
	// maxConfirmRound is how many claims a frame has at most. A record takes some 400 bytes, and
	// a frame may have 1 MB.
	maxConfirmRound = 1000
	// maxQueuedConfirmations bounds the claims that wait for a round.
	maxQueuedConfirmations = 20000
)

// verdict is what the controllers say of a claim.
type verdict int

const (
	claimUnconfirmed verdict = iota // a majority could not be had in time
	claimConfirmed                  // a majority has it, and knows nothing newer
	claimSuperseded                 // some controller knows something newer, or another end
)

// confirmation is a claim that waits for a majority.
type confirmation struct {
	claim    claim
	deadline time.Time
	answer   func(verdict)
	settled  bool
	round    uint64 // the last one that it was sent with
	// votes are the controllers that confirm it, with the process that did; forgotten those whose
	// earlier processes have forgotten what they confirmed.
	votes, forgotten map[string]wire.Incarnation
}

// vote notes that a process of another controller confirms the claim.
func (w *confirmation) vote(controller string, incarnation wire.Incarnation) {
	if incarnation >= w.forgotten[controller] {
		w.votes[controller] = incarnation
	}
}

// forget notes that the processes of a controller before this one have forgotten what they
// confirmed.
func (w *confirmation) forget(controller string, incarnation wire.Incarnation) {
	w.forgotten[controller] = max(w.forgotten[controller], incarnation)
	if voter, ok := w.votes[controller]; ok && voter < incarnation {
		delete(w.votes, controller)
	}
}

// confirmRound is a request to all other controllers to confirm some claims.
type confirmRound struct {
	number        uint64
	sentAt        time.Time
	retried       bool
	confirmations []*confirmation
}

// open reports whether a claim of the round is not settled, and in no later round.
func (r *confirmRound) open() bool {
	return slices.ContainsFunc(r.confirmations, func(w *confirmation) bool { return !w.settled && w.round == r.number })
}

// confirmer has a majority of the controllers confirm what users are told, in one round after the
// other: claims that come during a round go into the next one.
type confirmer struct {
	lastRound uint64
	queued    []*confirmation
	rounds    []*confirmRound    // open ones, the oldest first
	told      []*peerpb.JobClaim // ends of which the others have yet to hear that a majority has confirmed them
	log       confirmLog
}

// failAll answers all claims: they are not confirmed.
func (f *confirmer) failAll() {
	waiting := f.queued
	for _, r := range f.rounds {
		waiting = append(waiting, r.confirmations...)
	}
	f.queued, f.rounds, f.told = nil, nil, nil
	for _, w := range waiting {
		f.settle(w, claimUnconfirmed)
	}
}

// settle answers a claim, once.
func (f *confirmer) settle(w *confirmation, v verdict) {
	if w.settled {
		return
	}
	w.settled = true
	f.log.count(v)
	w.answer(v)
}

// confirm has a majority of the controllers take over what is claimed of a job, and confirm that
// they know nothing newer. All of them are asked after this call.
func (c *Core) confirm(cl claim, timeout time.Duration, answer func(verdict)) {
	c.confirmBy(cl, c.loop.Now.Add(timeout), answer)
}

// confirmBy is confirm with the moment from which on an answer is of no use.
func (c *Core) confirmBy(cl claim, deadline time.Time, answer func(verdict)) {
	w := &confirmation{claim: cl, deadline: deadline, answer: answer, votes: map[string]wire.Incarnation{}, forgotten: map[string]wire.Incarnation{}}
	if len(c.confirmer.queued) >= maxQueuedConfirmations {
		c.confirmer.settle(w, claimUnconfirmed)
		return
	}
	if !c.settleConfirmation(w, c.quorum()) {
		c.confirmer.queued = append(c.confirmer.queued, w)
	}
}

// settleConfirmation answers a claim if its verdict is known, and reports whether it is settled.
func (c *Core) settleConfirmation(w *confirmation, q quorum) bool {
	if w.settled {
		return true
	}
	if v, known := c.verdictOf(w, q); known {
		c.confirmer.settle(w, v)
	}
	return w.settled
}

// verdictOf returns the verdict on a claim, if it is known.
func (c *Core) verdictOf(w *confirmation, q quorum) (v verdict, known bool) {
	own := c.standingOf(w.claim.id)
	switch {
	case !c.view.Params.Levels.KnowsLevels():
		return claimConfirmed, true
	case c.recovery != nil:
		return claimUnconfirmed, true
	case supersedes(own, w.claim.standing):
		return claimSuperseded, true
	case rankOf(own) < rankOf(w.claim.standing):
		return claimUnconfirmed, true // ended for so long that it is forgotten here
	case !c.loop.Now.Before(w.deadline):
		c.logNoMajority(q)
		return claimUnconfirmed, true
	case c.votes(w, q) >= q.majority:
		c.noteMajorityHas(w.claim)
		return claimConfirmed, true
	case !c.isMajorityInReach(q):
		c.logNoMajority(q)
		return claimUnconfirmed, true
	default:
		return claimUnconfirmed, false
	}
}

// votes counts the controllers that confirm a claim.
func (c *Core) votes(w *confirmation, q quorum) (votes int) {
	if c.remembers() {
		votes++
	}
	for _, name := range q.members {
		if process, voted := w.votes[name]; voted && process >= c.view.Peers[name].Incarnation {
			votes++
		}
	}
	return votes
}

// noteMajorityHas notes that a majority has the record of a job, or has confirmed its end.
func (c *Core) noteMajorityHas(cl claim) {
	switch rankOf(cl.standing) {
	case rankAccepted:
		c.owner.Job(cl.id).KnownToMajority = true
	case rankEnded:
		if !c.ended.records[cl.id].told {
			c.ended.noteTold(cl.id)
			c.confirmer.told = append(c.confirmer.told, c.encodeClaim(cl))
		}
	}
}

// stepConfirmations sends the next round, if there are claims and the one before is settled or
// lasts too long.
func (c *Core) stepConfirmations() {
	c.sendDueRound()
	if f := &c.confirmer; len(f.told) > 0 {
		c.sendClaims(c.quorum(), &peerpb.JobClaims{Told: f.told})
		f.told = nil
	}
}

// sendDueRound sends the next round, if it is due.
func (c *Core) sendDueRound() {
	f := &c.confirmer
	if len(f.queued) == 0 || f.lastRoundOpen() && c.loop.Now.Sub(f.rounds[len(f.rounds)-1].sentAt) < confirmInterval {
		return
	}
	q, waiting := c.quorum(), f.queued
	f.queued = nil
	var due []*confirmation
	for i, w := range waiting {
		if len(due) == maxConfirmRound {
			f.queued = append(f.queued, waiting[i:]...)
			break
		}
		if !c.settleConfirmation(w, q) {
			due = append(due, w)
		}
	}
	if c.recovery != nil { // begun by one of the answers
		for _, w := range due {
			f.settle(w, claimUnconfirmed)
		}
		return
	}
	if len(due) > 0 {
		c.sendConfirmRound(due, q)
	}
}

// lastRoundOpen reports whether the last round is not settled.
func (f *confirmer) lastRoundOpen() bool {
	return len(f.rounds) > 0 && f.rounds[len(f.rounds)-1].number == f.lastRound && f.rounds[len(f.rounds)-1].open()
}

// sendConfirmRound sends a round.
func (c *Core) sendConfirmRound(due []*confirmation, q quorum) {
	f := &c.confirmer
	f.lastRound++
	f.log.rounds++
	r := &confirmRound{number: f.lastRound, sentAt: c.loop.Now, confirmations: due}
	f.rounds = append(f.rounds, r)
	for _, w := range due {
		w.round = r.number
	}
	c.sendClaims(q, &peerpb.JobClaims{Number: r.number, Claims: c.encodeClaims(r), Told: f.told})
	f.told = nil
}

// sendClaims sends claims to all members of the quorum that are known to confirm.
func (c *Core) sendClaims(q quorum, claims *peerpb.JobClaims) {
	frame := c.newJobFrame()
	frame.JobClaims = claims
	for _, name := range q.members {
		if c.view.Peers[name].ConfirmsJobs {
			c.emitPeerFrame(name, frame)
		}
	}
}

// encodeClaims returns the claims of a round, each job once: what is known here of a job is the
// same for all who ask.
func (c *Core) encodeClaims(r *confirmRound) []*peerpb.JobClaim {
	sorted := slices.SortedFunc(slices.Values(r.confirmations), func(a, b *confirmation) int { return cmp.Compare(a.claim.id, b.claim.id) })
	sorted = slices.CompactFunc(sorted, func(a, b *confirmation) bool { return a.claim == b.claim })
	claims := make([]*peerpb.JobClaim, 0, len(sorted))
	for _, w := range sorted {
		claims = append(claims, c.encodeClaim(w.claim))
	}
	return claims
}

// emitPeerFrame sends a frame to another controller.
func (c *Core) emitPeerFrame(to string, f *peerpb.Frame) {
	c.loop.Emit(eventloop.PeerSend{To: to, Frame: f})
}

// tickConfirmations does what is due by time alone: claims whose time is over are answered, and
// what a round has not settled goes into another one.
func (c *Core) tickConfirmations() {
	f, q := &c.confirmer, c.quorum()
	for _, r := range slices.Clone(f.rounds) {
		retry := !r.retried && c.loop.Now.Sub(r.sentAt) >= confirmRetry
		for _, w := range r.confirmations {
			if !c.settleConfirmation(w, q) && retry && w.round == r.number {
				f.queued = append(f.queued, w)
			}
		}
		r.retried = r.retried || retry
	}
	c.dropSettledRounds()
	c.logConfirmations()
}

// dropSettledRounds forgets the rounds whose claims are all settled.
func (c *Core) dropSettledRounds() {
	f := &c.confirmer
	f.rounds = slices.DeleteFunc(f.rounds, func(r *confirmRound) bool {
		return !slices.ContainsFunc(r.confirmations, func(w *confirmation) bool { return !w.settled })
	})
}

// handleJobClaimsReply notes what another controller says of the claims of a round. A reply to an
// earlier process, or of one that works with another generation of the state, says nothing.
func (c *Core) handleJobClaimsReply(f *peerpb.Frame) {
	reply := f.GetJobClaimsReply()
	if c.recovery != nil || f.GetGeneration() != c.generation() || wire.Incarnation(reply.GetIncarnation()) != c.blockLease.Incarnation() {
		return
	}
	i := slices.IndexFunc(c.confirmer.rounds, func(r *confirmRound) bool { return r.number == reply.GetNumber() })
	if i < 0 {
		return
	}
	superseded, missing := setOf(reply.GetSupersededIds()), setOf(reply.GetMissingIds())
	q := c.quorum()
	for _, w := range slices.Clone(c.confirmer.rounds[i].confirmations) {
		for _, p := range reply.GetStarted() {
			w.forget(p.GetController(), wire.Incarnation(p.GetIncarnation()))
		}
		switch {
		case superseded[w.claim.id]:
			c.log.Debug("claim superseded", "job", w.claim.id, "standing", w.claim.standing, "controller", f.GetFrom())
			c.confirmer.settle(w, claimSuperseded)
		case missing[w.claim.id]:
			c.noteMissingElsewhere(w.claim.id)
		case reply.GetCounts():
			w.vote(f.GetFrom(), wire.Incarnation(f.GetIncarnation()))
			c.settleConfirmation(w, q)
		}
	}
	c.dropSettledRounds()
}

// noteMissingElsewhere has a job's record sent along with the next claim.
func (c *Core) noteMissingElsewhere(id string) {
	if j := c.owner.Job(id); j != nil {
		j.KnownToMajority = false
	}
}

func setOf(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
