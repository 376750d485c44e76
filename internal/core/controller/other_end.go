package controller

import (
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// A job has one end. Two controllers know different ones when one of them was decided by a
// controller that had not noticed that the state had lost the other, and reached no majority, or
// had asked it just before. Who has confirmed an end to another controller keeps to it, so that at
// most one end is ever confirmed by a majority and told to users. That one stays, and its loss is
// made good; who knows another one, and has confirmed it to nobody, takes over what is stored.

// resolveOtherEnd deals with a job of which another end is known elsewhere: the end that is stored
// decides whether data is lost.
func (c *Core) resolveOtherEnd(id string) {
	known, ok := c.ended.records[id]
	if !ok || c.recovery != nil {
		return
	}
	if known.told {
		c.confirmer.told = append(c.confirmer.told, c.encodeClaim(claim{id, standingOfEnd(known.record)}))
	}
	key := endPrefix + id
	c.loop.Emit(eventloop.StateGet{Key: key, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		if c.recovery != nil {
			return
		}
		switch d.Outcome {
		case eventloop.Succeeded:
			c.compareStoredEnd(id, d.Pair)
		case eventloop.NotFound:
			c.startRecovery(stateLoss{reason: lossOtherEnd, job: id, revisionSeen: c.ended.records[id].revision})
		}
	})})
}

// compareStoredEnd takes over the end of a job that is stored, unless the known one stays.
func (c *Core) compareStoredEnd(id string, pair wire.Pair) {
	var stored wire.EndRecord
	if err := wire.Decode(pair.Value, &stored); err != nil {
		c.log.Error("cannot decode end record", "key", pair.Key, "err", err)
		return
	}
	known, ok := c.ended.records[id]
	switch {
	case !ok || isSameEnd(known.record, stored):
	case known.stays():
		c.startRecovery(stateLoss{reason: lossOtherEnd, job: id, revisionSeen: known.revision, revisionFound: pair.Version})
	default:
		c.log.Warn("another end of a job is stored", "job", id, "known", known.record.State, "stored", stored.State)
		c.ended.replace(id, stored, pair.Version)
	}
}

// isSameEnd reports whether users are told the same by two ends.
func isSameEnd(a, b wire.EndRecord) bool { return a.State == b.State && a.Done == b.Done }
