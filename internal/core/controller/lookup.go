package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/owner"
	"fawncove/internal/wire"
)

const (
	// resumeSettleTime is how long after a suspension, or a time without the state
	// service, no job is reported as unknown: the other controllers take that long to
	// say what they have seen meanwhile, should the state have lost it.
	resumeSettleTime = 1500 * time.Millisecond
	// cancelRetries is how often a cancellation is tried again when the job's record
	// changes meanwhile.
	cancelRetries = 3
)

// handleQuery answers a user's query for the state of a job.
func (c *Core) handleQuery(e eventloop.QueryRequest) {
	if !c.acceptsLookup(e.Req, e.ID) {
		return
	}
	c.lookUpJob(e.ID, forQuery, func(l lookup) {
		if !c.replyJob(e.Req, e.ID, l) {
			c.replyNotFound(e.Req, l.absent)
		}
	})
}

// handleCancel cancels a job and answers its user. A job that has ended stays as it is.
func (c *Core) handleCancel(e eventloop.CancelRequest) {
	if !c.acceptsLookup(e.Req, e.ID) {
		return
	}
	c.lookUpJob(e.ID, forChange, func(l lookup) {
		switch {
		case l.end != nil:
			c.loop.Reply(e.Req, eventloop.ReplyOK, endAnswer(e.ID, *l.end))
		case l.job != nil:
			c.StoreEnd(l.job, wire.Cancelled, cancelRetries, func(bool) { c.replyCancelled(e) })
		default:
			c.replyNotFound(e.Req, l.absent)
		}
	})
}

// replyCancelled answers a cancellation after the attempt to store it.
func (c *Core) replyCancelled(e eventloop.CancelRequest) {
	end, ok := c.ended.get(e.ID)
	if !ok || c.recovery != nil {
		c.loop.Unavailable(e.Req)
		return
	}
	c.confirm(claim{e.ID, standingOfEnd(end)}, changeConfirmTimeout, func(v verdict) {
		if v == claimConfirmed {
			c.loop.Reply(e.Req, eventloop.ReplyOK, endAnswer(e.ID, end))
		} else {
			c.loop.Unavailable(e.Req)
		}
	})
}

// acceptsLookup reports whether a job can be looked up here, and answers the user if
// not.
func (c *Core) acceptsLookup(req uint64, id string) bool {
	switch {
	case !wire.ValidJobID(id):
		c.replyNotFound(req, true)
	case !c.serves():
		c.loop.Unavailable(req)
	default:
		return true
	}
	return false
}

// knowsAllJobs reports whether a job that the state service does not have was never
// accepted.
func (c *Core) knowsAllJobs() bool {
	return c.recovery == nil && c.loop.Now.Sub(c.resumedAt) >= resumeSettleTime
}

// replyNotFound answers a user whose job is not known: that it does not exist if that
// is certain, otherwise to come back.
func (c *Core) replyNotFound(req uint64, absent bool) {
	if absent && c.knowsAllJobs() {
		c.loop.Reply(req, eventloop.ReplyNotFound, wire.ErrorAnswer{Error: "no such job"})
	} else {
		c.loop.Unavailable(req)
	}
}

// replyJob answers a user with the state of a job. It returns false, without an
// answer, when the lookup found neither the job nor its end.
func (c *Core) replyJob(req uint64, id string, l lookup) bool {
	switch {
	case l.end != nil:
		c.loop.Reply(req, eventloop.ReplyOK, endAnswer(id, *l.end))
	case l.job != nil:
		c.loop.Reply(req, eventloop.ReplyOK, c.jobAnswer(l.job))
	default:
		return false
	}
	return true
}

// jobAnswer describes a job that has not ended, by its own counts or those that its
// owner reported last.
func (c *Core) jobAnswer(j *owner.Job) wire.JobAnswer {
	a := wire.JobAnswer{ID: j.Record.ID, State: wire.Pending, Done: j.ReportedCounts[0], Running: j.ReportedCounts[1]}
	if c.owner.Owns(j) {
		a.Done, a.Running = j.Counts()
	}
	if a.Running > 0 {
		a.State = wire.Running
	}
	return a
}

func endAnswer(id string, end wire.EndRecord) wire.JobAnswer {
	return wire.JobAnswer{ID: id, State: end.State, Done: end.Done}
}
