package controller

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// SubmissionError says why a job can never be accepted. Any other error leaves open
// whether it can.
type SubmissionError struct {
	Code   eventloop.ReplyCode // what the user is answered
	Field  string              // of the job; "" when it is no single one
	Reason string              // as the user reads it
}

// Error returns the reason, as the user reads it.
func (e *SubmissionError) Error() string { return e.Reason }

// errMachineTypesUnknown says that it cannot be decided yet whether a job fits.
var errMachineTypesUnknown = errors.New("machine types not known yet")

// errAlreadyKnown says that a job of this id was accepted before.
var errAlreadyKnown = errors.New("the job is known already")

// userWrites counts what users' writes take of the state service.
type userWrites struct {
	pending     int       // submissions being stored
	throttledAt time.Time // when one last found no room in the write limit
}

func (w *userWrites) begin() { w.pending++ }

func (w *userWrites) end(outcome eventloop.Outcome, now time.Time) {
	w.pending--
	switch outcome {
	case eventloop.Succeeded, eventloop.Conflict, eventloop.NoAnswer:
	default:
		w.throttledAt = now
	}
}

// UserWrites returns how many submissions are being stored, and when one last found no
// room in the write limit.
func (c *Core) UserWrites() (pending int, throttledAt time.Time) {
	return c.userWrites.pending, c.userWrites.throttledAt
}

// handleSubmit stores a user's job, or answers why not.
func (c *Core) handleSubmit(e eventloop.SubmitRequest) {
	if e.Job.ID == "" {
		c.loop.Reply(e.Req, eventloop.ReplyInvalid, wire.ErrorAnswer{Error: fmt.Sprint(e.Err)})
		return
	}
	if !c.serves() {
		c.loop.Unavailable(e.Req)
		return
	}
	if err := c.checkSubmission(&e); err != nil {
		c.rejectSubmission(e.Req, e.Job.ID, err)
		return
	}
	if !c.stateReachable() {
		c.loop.Unavailable(e.Req)
		return
	}
	s := &submission{core: c, req: e.Req, rec: c.newRecord(e.Job)}
	c.owner.Served.Submitted(&s.rec.Job) // once, however often it is stored
	c.confirm(claim{e.Job.ID, standingUnknown}, changeConfirmTimeout, s.asked)
}

// checkSubmission returns why a job is not to be stored, or nil.
func (c *Core) checkSubmission(e *eventloop.SubmitRequest) error {
	if e.Err != nil {
		return &SubmissionError{Code: eventloop.ReplyInvalid, Reason: e.Err.Error()}
	}
	if err := c.checkRunnable(&e.Job); err != nil {
		return err
	}
	if c.owner.Job(e.Job.ID) != nil || c.HasEnded(e.Job.ID) {
		return errAlreadyKnown
	}
	return nil
}

// checkRunnable returns why a job can never run, or errMachineTypesUnknown when that
// cannot be decided yet.
func (c *Core) checkRunnable(j *wire.Job) error {
	if len(c.view.MachineTypes) == 0 {
		return errMachineTypesUnknown
	}
	if _, known := c.view.TeamOf(j.Team); !known {
		return &SubmissionError{Code: eventloop.ReplyUnprocessable, Field: "team", Reason: "unknown team"}
	}
	need := sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	if !c.fitsAnyMachineType(j, need) {
		return &SubmissionError{Code: eventloop.ReplyUnprocessable, Reason: "a task fits no allowed machine type"}
	}
	together := 1.0 // tasks that have to run at the same time
	if j.Shape != wire.Array {
		together = float64(j.Tasks)
	}
	if !c.view.LimitOf(j.Team).Allows(sched.Resources{}, sched.Resources{}.Add(need, together)) {
		return &SubmissionError{Code: eventloop.ReplyUnprocessable, Reason: "more than the team's limit"}
	}
	return nil
}

// fitsAnyMachineType reports whether a task of a job fits on an empty machine of a type
// and in a zone that the job allows.
func (c *Core) fitsAnyMachineType(j *wire.Job, need sched.Resources) bool {
	for name, t := range c.view.MachineTypes {
		allowed := len(j.Types) == 0 || slices.Contains(j.Types, name)
		inZone := j.Zone == "" || slices.Contains(t.Zones, j.Zone)
		if allowed && inZone && need.Fits(cluster.MachineSize(t)) {
			return true
		}
	}
	return false
}

// rejectSubmission answers a submission that is not to be stored. A job that is known
// is answered as it stands, whatever the body says; a final refusal is given only once
// it is certain that the job was never accepted.
func (c *Core) rejectSubmission(req uint64, id string, err error) {
	c.lookUpJob(id, forChange, func(l lookup) {
		var final *SubmissionError
		switch {
		case c.replyJob(req, id, l):
		case l.absent && c.knowsAllJobs() && errors.As(err, &final):
			c.loop.Reply(req, final.Code, wire.ErrorAnswer{Error: final.Reason})
		default:
			c.loop.Unavailable(req)
		}
	})
}

// newRecord returns the record of a new job, with the partition that it goes to.
func (c *Core) newRecord(j wire.Job) wire.JobRecord {
	rec := wire.JobRecord{Job: j, Shard: c.shardLoads().chooseShard(&j), SubmittedAtMs: c.loop.Now.UnixMilli()}
	partition := rec.Team
	if rec.Shard != "" {
		partition = rec.Shard
	}
	rec.Owner = c.view.Lease.Partitions[partition]
	return rec
}

// submission stores the record of one new job and answers its user.
type submission struct {
	core *Core
	req  uint64
	rec  wire.JobRecord
	form int // of the envelope; 0 without one
}

// asked goes on once the other controllers have said whether they know the job. One that
// does may run its tasks, though the state has lost it: a second record would start them beside
// these.
func (s *submission) asked(v verdict) {
	c := s.core
	switch {
	case !c.serves(), v == claimUnconfirmed:
		c.loop.Unavailable(s.req)
	case v == claimSuperseded, c.owner.Job(s.rec.ID) != nil:
		c.rejectSubmission(s.req, s.rec.ID, errAlreadyKnown)
	default:
		s.store(c.view.FeatureOpen(feature.Envelope))
	}
}

// store writes the record, in an envelope or without.
func (s *submission) store(envelope bool) {
	c, id := s.core, s.rec.ID
	var value any = s.rec
	s.form = 0
	if envelope {
		env, err := wire.Wrap(s.rec, c.view.Lease.Generation, 0)
		if err != nil {
			c.log.Error("cannot encode job record", "job", id, "err", err)
			c.loop.Unavailable(s.req)
			return
		}
		value, s.form = env, env.Form
	}
	c.userWrites.begin()
	c.loop.Emit(eventloop.StateTxn{
		Txn: wire.Txn{
			If:   []wire.Condition{{Key: jobPrefix + id}, {Key: endPrefix + id}},
			Then: []wire.Op{{Put: jobPrefix + id, Value: value}},
		},
		ID: c.loop.OnCompletion(s.completed),
	})
}

func (s *submission) completed(d eventloop.Completion) {
	c := s.core
	c.userWrites.end(d.Outcome, c.loop.Now)
	switch d.Outcome {
	case eventloop.Succeeded:
		s.accepted(d.Txn.Revision)
	case eventloop.Conflict, eventloop.NoAnswer: // known already, or perhaps stored and only the answer lost
		s.readBack(d.Outcome, d.Txn.Failed)
	case eventloop.Rejected:
		if s.form != 0 { // perhaps only the envelope is too much
			s.store(false)
			return
		}
		c.rejectSubmission(s.req, s.rec.ID, &SubmissionError{Code: eventloop.ReplyInvalid, Reason: "too large"})
	default:
		c.loop.Unavailable(s.req)
	}
}

// accepted answers the user of a job that was stored under a version, once a majority of the
// controllers has its record.
func (s *submission) accepted(version wire.Revision) {
	c, rec := s.core, &s.rec
	c.owner.Served.Accepted(&rec.Job)
	c.applyJob(*rec, owner.RecordInfo{Version: version, Form: s.form})
	if c.recovery != nil {
		c.loop.Unavailable(s.req) // perhaps it was stored in what is lost
		return
	}
	c.log.Debug("job stored", "job", rec.ID, "class", rec.Class, "tasks", rec.Tasks, "image", rec.Image, "owner", rec.Owner)
	c.confirm(claim{rec.ID, standingAccepted}, changeConfirmTimeout, func(v verdict) {
		switch v {
		case claimConfirmed:
			c.loop.Reply(s.req, eventloop.ReplyCreated, wire.JobAnswer{ID: rec.ID, State: wire.Pending})
		case claimSuperseded:
			c.rejectSubmission(s.req, rec.ID, errAlreadyKnown)
		default:
			c.loop.Unavailable(s.req)
		}
	})
}

// readBack answers the user by what the state service has of the job now.
func (s *submission) readBack(outcome eventloop.Outcome, failed []string) {
	c, id := s.core, s.rec.ID
	c.refreshAfterConflict(id, conflictOf(id, failed, 0), func(read bool) {
		j := c.owner.Job(id)
		if outcome == eventloop.NoAnswer && (c.HasEnded(id) || (read && j != nil)) {
			c.owner.Served.Accepted(&s.rec.Job)
		}
		q := pendingLookup{id: id, deadline: c.loop.Now.Add(changeConfirmTimeout), answer: func(l lookup) {
			if !c.replyJob(s.req, id, l) {
				c.loop.Unavailable(s.req)
			}
		}}
		c.answerLookup(q, read, false)
	})
}
