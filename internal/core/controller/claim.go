package controller

import (
	"strings"

	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// The standings of a job, see peerpb.JobStanding.
const (
	standingUnknown   = peerpb.JobStanding_JOB_STANDING_UNKNOWN
	standingAccepted  = peerpb.JobStanding_JOB_STANDING_ACCEPTED
	standingDone      = peerpb.JobStanding_JOB_STANDING_DONE
	standingCancelled = peerpb.JobStanding_JOB_STANDING_CANCELLED
)

// rank orders standings: a job only goes from a lower to a higher one. Ends have the same rank.
type rank int

const (
	rankUnknown rank = iota
	rankAccepted
	rankEnded
)

func rankOf(s peerpb.JobStanding) rank {
	switch s {
	case standingUnknown:
		return rankUnknown
	case standingAccepted:
		return rankAccepted
	default:
		return rankEnded
	}
}

// claim is what a user is to be told of a job: its standing.
type claim struct {
	id       string
	standing peerpb.JobStanding
}

// standingOf returns the standing of a job as it is known here.
func (c *Core) standingOf(id string) peerpb.JobStanding {
	if end, ok := c.ended.get(id); ok {
		return standingOfEnd(end)
	}
	if j := c.owner.Job(id); j != nil && !j.Ended {
		return standingAccepted
	}
	return standingUnknown
}

func standingOfEnd(end wire.EndRecord) peerpb.JobStanding {
	if end.State == wire.Cancelled {
		return standingCancelled
	}
	return standingDone
}

// supersedes reports whether what is known of a job is newer than what is claimed, or another end.
func supersedes(known, claimed peerpb.JobStanding) bool {
	if rankOf(known) == rankEnded {
		return known != claimed
	}
	return rankOf(known) > rankOf(claimed)
}

// newJobFrame returns a frame about jobs, which says nothing else of the sender.
func (c *Core) newJobFrame() *peerpb.Frame {
	return &peerpb.Frame{From: c.view.Self, Incarnation: uint64(c.blockLease.Incarnation()), Form: frameForm, Generation: c.generation()}
}

// encodeClaim returns a claim for other controllers, with the record or end unless a majority has
// it already.
func (c *Core) encodeClaim(cl claim) *peerpb.JobClaim {
	out := &peerpb.JobClaim{Id: cl.id, Standing: cl.standing}
	var value any
	switch rankOf(cl.standing) {
	case rankAccepted:
		j := c.owner.Job(cl.id)
		out.Revision = uint64(j.Version)
		if j.KnownToMajority {
			return out
		}
		var err error
		if value, err = c.owner.StoredRecord(j); err != nil {
			c.log.Error("cannot encode job to claim", "job", cl.id, "err", err)
			return out
		}
	case rankEnded:
		end := c.ended.records[cl.id]
		out.Revision, out.Confirmed, value = uint64(end.revision), end.confirmed, end.record
	default:
		return out
	}
	raw, err := wire.Encode(value)
	if err != nil {
		c.log.Error("cannot encode job to claim", "job", cl.id, "err", err)
	}
	out.Value = raw
	return out
}

// handleJobClaims replies to another controller which of its claims are confirmed here. During a
// recovery there is no reply: what is known here may be missing in the state. What is of another
// generation may be of a state that is gone.
func (c *Core) handleJobClaims(f *peerpb.Frame) {
	if !c.serves() || f.GetGeneration() != c.generation() {
		return
	}
	c.noteToldEnds(f.GetJobClaims().GetTold())
	if len(f.GetJobClaims().GetClaims()) == 0 {
		return
	}
	reply := &peerpb.JobClaimsReply{Incarnation: f.GetIncarnation(), Number: f.GetJobClaims().GetNumber(), Counts: c.remembers(), Started: c.memory.startedProcesses(c.loop.Now)}
	for _, claimed := range f.GetJobClaims().GetClaims() {
		switch c.answerClaim(claimed) {
		case claimSuperseded:
			reply.SupersededIds = append(reply.SupersededIds, claimed.GetId())
		case claimUnconfirmed:
			reply.MissingIds = append(reply.MissingIds, claimed.GetId())
		case claimConfirmed:
			c.ended.noteConfirmed(claimed.GetId())
		}
	}
	c.sendJobFrame(f.GetFrom(), func(out *peerpb.Frame) { out.JobClaimsReply = reply })
}

// noteToldEnds notes the ends that a majority has confirmed, in place of others.
func (c *Core) noteToldEnds(told []*peerpb.JobClaim) {
	for _, claimed := range told {
		var end wire.EndRecord
		known, ended := c.ended.get(claimed.GetId())
		if err := wire.Decode(claimed.GetValue(), &end); err != nil || !ended {
			continue
		}
		if !isSameEnd(known, end) {
			c.ended.replace(claimed.GetId(), end, wire.Revision(claimed.GetRevision()))
		}
		c.ended.noteTold(claimed.GetId())
	}
}

// answerClaim takes over what another controller claims, and returns whether it is confirmed here.
func (c *Core) answerClaim(claimed *peerpb.JobClaim) verdict {
	id, revision := claimed.GetId(), wire.Revision(claimed.GetRevision())
	known := c.standingOf(id)
	switch {
	case c.memory.unverified[id] > rankOf(claimed.GetStanding()):
		return claimSuperseded
	case supersedes(known, claimed.GetStanding()), c.isOtherEnd(claimed):
		if rankOf(claimed.GetStanding()) == rankEnded {
			c.resolveOtherEnd(id)
		}
		return claimSuperseded
	case rankOf(known) == rankOf(claimed.GetStanding()):
		return claimConfirmed
	case revision > c.state.revision:
		return c.applyClaim(claimed)
	case rankOf(known) == rankUnknown && rankOf(claimed.GetStanding()) == rankEnded:
		return c.applyClaim(claimed) // it ended before this process began
	default:
		// The watch has passed the claim and has not shown it: the state may have lost it.
		c.verifyStored(id, rankOf(claimed.GetStanding()), func(lookup) {})
		return claimUnconfirmed
	}
}

// isOtherEnd reports whether an end is claimed of a job that is known here to have ended with other
// counts: users are told them too.
func (c *Core) isOtherEnd(claimed *peerpb.JobClaim) bool {
	known, ended := c.ended.get(claimed.GetId())
	var end wire.EndRecord
	if !ended || rankOf(claimed.GetStanding()) != rankEnded || wire.Decode(claimed.GetValue(), &end) != nil {
		return false
	}
	return end.Done != known.Done
}

// applyClaim applies what another controller has read or stored, as the watch will.
func (c *Core) applyClaim(claimed *peerpb.JobClaim) verdict {
	id, revision := claimed.GetId(), wire.Revision(claimed.GetRevision())
	key := jobPrefix + id
	if rankOf(claimed.GetStanding()) == rankEnded {
		key = endPrefix + id
	}
	if len(claimed.GetValue()) == 0 {
		return claimUnconfirmed
	}
	c.applyPut(key, claimed.GetValue(), revision)
	if c.standingOf(id) != claimed.GetStanding() {
		return claimUnconfirmed
	}
	if revision > c.state.revision {
		c.loop.RaiseHighestRevision(revision)
		c.expected.expect(key, revision)
	}
	return claimConfirmed
}

// sendJobFrame sends another controller a frame about jobs.
func (c *Core) sendJobFrame(to string, fill func(f *peerpb.Frame)) {
	f := c.newJobFrame()
	fill(f)
	c.emitPeerFrame(to, f)
}

// expectedChanges are the changes that other controllers have claimed and that the watch has yet to
// show. One that it passes without showing is lost.
type expectedChanges struct {
	revisions map[string]wire.Revision // by key
}

// expect notes that the watch will show a change of a key at a revision.
func (e *expectedChanges) expect(key string, revision wire.Revision) {
	if e.revisions == nil {
		e.revisions = map[string]wire.Revision{}
	}
	e.revisions[key] = revision
}

// clear forgets all that is expected, as the watch goes on from elsewhere.
func (e *expectedChanges) clear() { e.revisions = nil }

// noteShown notes what the watch shows, and returns the key of a change that it has passed without
// showing it, or "".
func (e *expectedChanges) noteShown(shown wire.Changes) (lostKey string, revision wire.Revision) {
	if len(e.revisions) == 0 {
		return "", 0
	}
	for _, change := range shown.Log {
		key := change.Put + change.Delete
		if expected, ok := e.revisions[key]; ok && change.Version >= expected {
			delete(e.revisions, key)
		}
	}
	for key, expected := range e.revisions {
		if expected <= shown.Revision && (lostKey == "" || key < lostKey) {
			lostKey, revision = key, expected
		}
	}
	return lostKey, revision
}

// checkExpectedChanges looks for a loss of data in what the watch shows: a change that another
// controller has claimed and that is not there.
func (c *Core) checkExpectedChanges(shown wire.Changes) {
	key, revision := c.expected.noteShown(shown)
	if key == "" || c.recovery != nil {
		return
	}
	c.startRecovery(stateLoss{reason: lossClaim, job: jobOfKey(key), revisionSeen: revision, revisionFound: shown.Revision})
}

// jobOfKey returns the job whose record or end is stored under a key.
func jobOfKey(key string) string {
	return strings.TrimPrefix(strings.TrimPrefix(key, jobPrefix), endPrefix)
}

// verifyStored has the state service asked for a job that is known to have come to a rank. If it
// has not come as far there, the state has lost data. done receives what was found.
func (c *Core) verifyStored(id string, atLeast rank, done func(lookup)) {
	c.queueLookup(pendingLookup{id: id, deadline: c.loop.Now.Add(queryTimeout), answer: done, atLeast: atLeast, stateOnly: true}, priorityUnknownJob)
}
