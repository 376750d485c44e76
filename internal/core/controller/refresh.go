package controller

import (
	"slices"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// conflict is what a transaction that failed has shown of a job. The zero value is that of
// one that has shown nothing.
type conflict struct {
	recordDiffers bool          // the record does not have the version that was expected
	expected      wire.Revision // that version; 0: no record was expected
	ended         bool          // there is an end, and none was expected
}

// conflictOf returns what the keys by which a transaction failed say of a job whose record
// was expected to have a version.
func conflictOf(id string, failed []string, expected wire.Revision) conflict {
	return conflict{recordDiffers: slices.Contains(failed, jobPrefix+id), expected: expected, ended: slices.Contains(failed, endPrefix+id)}
}

// readKey reads one key and applies its value. Of absent and done exactly one is
// called: absent when the key does not exist, otherwise done with whether its current value
// was read.
func (c *Core) readKey(key string, absent func(), done func(read bool)) {
	c.loop.Emit(eventloop.StateGet{Key: key, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		switch d.Outcome {
		case eventloop.Succeeded:
			c.applyPut(key, d.Pair.Value, d.Pair.Version)
			done(c.recovery == nil) // else it may be of before what was lost
		case eventloop.NotFound:
			absent()
		default:
			done(false)
		}
	})})
}

// refresh reads a job's end or record again, of which a conflict may have shown something;
// done receives whether one was read.
func (c *Core) refresh(id string, shown conflict, done func(read bool)) {
	c.readKey(endPrefix+id, func() { c.refreshRecord(id, shown, done) }, done)
}

// refreshRecord reads the record of a job that had not ended a moment ago. As it is
// read second, a job that ends in between has neither end nor record, and nothing is
// concluded from that.
func (c *Core) refreshRecord(id string, shown conflict, done func(read bool)) {
	known := c.owner.Job(id) != nil
	c.readKey(jobPrefix+id, func() { c.confirmMissing(id, known, done) }, func(read bool) {
		done(read && !c.noteOlderRecord(id, shown))
	})
}

// noteOlderRecord reports whether a record that was read, beside which there was no end, is
// older than what a conflict had shown before. An end is never deleted, and versions only
// rise: the state has lost data in between, and the job may have ended in what is lost.
func (c *Core) noteOlderRecord(id string, shown conflict) bool {
	j := c.owner.Job(id)
	if c.recovery != nil || j == nil || j.Ended {
		return false
	}
	unchanged := shown.recordDiffers && shown.expected > 0 && j.Version <= shown.expected
	if !shown.ended && !unchanged {
		return false
	}
	c.startRecovery(stateLoss{reason: lossOlder, job: id, revisionSeen: c.loop.HighestRevision(), revisionFound: j.Version})
	return true
}

// refreshAfterConflict is refresh after a transaction that failed by these keys. A
// record that is there, where none was known, needs no reading of the job's end first.
func (c *Core) refreshAfterConflict(id string, shown conflict, done func(read bool)) {
	if c.owner.Job(id) != nil || !shown.recordDiffers {
		c.refresh(id, shown, done)
		return
	}
	c.readKey(jobPrefix+id, func() { c.refresh(id, shown, done) }, done) // absent: ended since
}

// confirmMissing reads the end of a job once more whose record is missing. A record is
// deleted in the transaction that stores the end: if neither is there, the state has
// lost data. known says that the job was known when its record was asked for; one that
// became known since, by a submission that was executed late, proves nothing.
func (c *Core) confirmMissing(id string, known bool, done func(read bool)) {
	j := c.owner.Job(id)
	c.readKey(endPrefix+id, func() {
		if c.recovery == nil && known && j != nil && !j.Ended && !j.EndInFlight {
			c.startRecovery(stateLoss{reason: lossJob, job: id, revisionSeen: c.loop.HighestRevision()})
		}
		done(false)
	}, done)
}
