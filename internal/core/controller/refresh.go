package controller

import (
	"slices"

	"fawncove/internal/core/eventloop"
)

// readKey reads one key and applies its value. Of absent and done exactly one is
// called: absent when the key does not exist, otherwise done with whether it was read.
func (c *Core) readKey(key string, absent func(), done func(read bool)) {
	c.loop.Emit(eventloop.StateGet{Key: key, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		switch d.Outcome {
		case eventloop.Succeeded:
			c.applyPut(key, d.Pair.Value, d.Pair.Version)
			done(true)
		case eventloop.NotFound:
			absent()
		default:
			done(false)
		}
	})})
}

// refresh reads a job's end or record again; done receives whether one was read.
func (c *Core) refresh(id string, done func(read bool)) {
	c.readKey(endPrefix+id, func() { c.refreshRecord(id, done) }, done)
}

// refreshRecord reads the record of a job that had not ended a moment ago. As it is
// read second, a job that ends in between has neither end nor record, and nothing is
// concluded from that.
func (c *Core) refreshRecord(id string, done func(read bool)) {
	known := c.owner.Job(id) != nil
	c.readKey(jobPrefix+id, func() { c.confirmMissing(id, known, done) }, done)
}

// refreshAfterConflict is refresh after a transaction that failed by these keys. A
// record that is there, where none was known, needs no reading of the job's end first.
func (c *Core) refreshAfterConflict(id string, failed []string, done func(read bool)) {
	if c.owner.Job(id) != nil || !slices.Contains(failed, jobPrefix+id) {
		c.refresh(id, done)
		return
	}
	c.readKey(jobPrefix+id, func() { c.refresh(id, done) }, done) // absent: ended since
}

// confirmMissing reads the end of a job once more whose record is missing. A record is
// deleted in the transaction that stores the end: if neither is there, the state has
// lost data. known says that the job was known when its record was asked for; one that
// became known since, by a submission that was executed late, proves nothing.
func (c *Core) confirmMissing(id string, known bool, done func(read bool)) {
	j := c.owner.Job(id)
	c.readKey(endPrefix+id, func() {
		if known && j != nil && !j.Ended && !j.EndInFlight {
			c.startRecovery(stateLoss{reason: lossJob, job: id, revisionSeen: c.loop.HighestRevision()})
		}
		done(false)
	}, done)
}
