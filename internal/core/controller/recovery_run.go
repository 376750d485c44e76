package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// recoveryPhase is how far an attempt of a recovery has come.
//
//	recoveryMarking → recoveryRestoring → recoveryRestored
//	recoveryRestored → recoveryRestoring    when something known is found to be missing after all
//	any → recoveryMarking                   another attempt, as the state has lost data once more
type recoveryPhase int

const (
	// recoveryMarking: the state does not say yet that this attempt recovers it.
	recoveryMarking recoveryPhase = iota
	// recoveryRestoring: it says so. The others join, then each in turn stores what it
	// knows.
	recoveryRestoring
	// recoveryRestored: all that this controller knows is stored.
	recoveryRestored
)

// String names a phase in logs.
func (p recoveryPhase) String() string {
	switch p {
	case recoveryMarking:
		return "marking"
	case recoveryRestoring:
		return "restoring"
	default:
		return "restored"
	}
}

// recoveryRun is a recovery of the state under way: it has the state say that it is being
// recovered, lets the others join, restores what was known here and waits for the
// recovered state.
//
// Another loss of data begins another attempt. What an attempt has read or stored says
// nothing about the state after that loss, so each step belongs to the attempt in which it
// began, and an answer that comes back to a later one changes nothing. Controllers tell
// the attempts of one another apart by the revision of the mark in the state: each
// controller that has evidence of a loss writes a new mark.
type recoveryRun struct {
	generation    uint64        // that has lost data
	revisionSeen  wire.Revision // the highest before the first loss
	revisionFound wire.Revision
	startedAt     time.Time // of the first attempt
	nextAt        time.Time // no step begins before
	jobs, ends    int       // stored again

	attempt  recoveryAttempt
	inFlight bool // a step of this attempt waits for the state service
	phase    recoveryPhase
	restored bool // the phase is recoveryRestored; kept by enter

	usedMarks map[wire.Revision]bool // revisions of the marks of earlier attempts
}

// recoveryAttempt is one attempt of a recovery.
type recoveryAttempt struct {
	number    int // from 1 on
	startedAt time.Time
	// hasEvidence says that this controller itself has seen that data is lost. What the
	// state says may then be older than the loss: only a mark that this controller has
	// written since begins the attempt.
	hasEvidence bool
	mark        wire.Revision // of the mark that the attempt belongs to; 0 while marking
}

// newRecoveryRun returns a recovery that begins now.
func newRecoveryRun(generation uint64, now time.Time, loss stateLoss) *recoveryRun {
	return &recoveryRun{generation: generation, revisionSeen: loss.revisionSeen, revisionFound: loss.revisionFound,
		startedAt: now, usedMarks: map[wire.Revision]bool{},
		attempt: recoveryAttempt{number: 1, startedAt: now, hasEvidence: loss.reason.isEvidence()}}
}

// enter makes a phase the current one.
func (r *recoveryRun) enter(phase recoveryPhase) {
	r.phase, r.restored = phase, phase == recoveryRestored
}

// startOver begins another attempt.
func (r *recoveryRun) startOver(now time.Time, hasEvidence bool) {
	if r.attempt.mark != 0 {
		r.usedMarks[r.attempt.mark] = true
	}
	r.attempt = recoveryAttempt{number: r.attempt.number + 1, startedAt: now, hasEvidence: hasEvidence}
	r.inFlight = false
	r.enter(recoveryMarking)
}

// noteMarked notes that the state says that this attempt recovers it.
func (r *recoveryRun) noteMarked(mark wire.Revision) {
	r.attempt.mark = mark
	r.enter(recoveryRestoring)
}

// noteRestored notes that all that was known here is stored.
func (r *recoveryRun) noteRestored() { r.enter(recoveryRestored) }

// resumeRestoring notes that something that is known here is not stored after all.
func (r *recoveryRun) resumeRestoring() { r.enter(recoveryRestoring) }

// stepDue reports whether the next step may begin now.
func (r *recoveryRun) stepDue(now time.Time) bool { return !r.inFlight && !now.Before(r.nextAt) }

// beginStep notes that a step waits for the state service.
func (r *recoveryRun) beginStep() { r.inFlight = true }

// stepDone ends a step; the next one comes after a pause.
func (r *recoveryRun) stepDone(now time.Time) {
	r.inFlight, r.nextAt = false, now.Add(recoveryRetryInterval)
}

// joining reports whether the others still get time to notice the loss.
func (r *recoveryRun) joining(now time.Time) bool {
	return now.Sub(r.attempt.startedAt) < recoveryJoinTime
}

// acceptsMark reports whether a mark that is stored, and that another controller may have
// written, begins this attempt, which has none yet.
func (r *recoveryRun) acceptsMark(version wire.Revision) bool {
	// Revisions count again from below: a write that is conditional on the mark of an
	// earlier attempt could be carried out late, and pass.
	return !r.attempt.hasEvidence && !r.usedMarks[version]
}

// hasRestored reports whether another controller has stored in this attempt what it knew.
// One of an earlier version does not say to which attempt that belongs: it has to have
// said in this one that it has not, or for long nothing else.
func (r *recoveryRun) hasRestored(p *cluster.Peer, now time.Time) bool {
	switch {
	case !p.StateRestored:
		return false
	case p.RecoveryMark != 0:
		return p.RecoveryMark == r.attempt.mark
	case r.attempt.number == 1 && !r.attempt.hasEvidence:
		return true
	default:
		return !p.UnrestoredAt.Before(r.attempt.startedAt) || now.Sub(r.attempt.startedAt) > earlierVersionTimeout
	}
}
