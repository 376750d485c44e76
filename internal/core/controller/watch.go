package controller

import (
	"fmt"
	"strings"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/wire"
)

// watchState keeps one watch open over everything below root.
func (c *Core) watchState() {
	if !c.state.openWatch(c.loop.Now) {
		return
	}
	sent := c.loop.Now
	// Many changes in a row are read together, to save requests.
	pause := c.requestInterval(watchRequestShare)
	c.loop.Emit(eventloop.StateWatch{Prefix: root, After: c.state.revision, Hold: cluster.WatchHold, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		c.state.closeWatch(sent.Add(pause))
		switch d.Outcome {
		case eventloop.Succeeded:
			c.applyChanges(d.Changes)
			c.owner.ChangesKnown(c.state.revision, sent)
			c.watchState()
		case eventloop.Compacted:
			c.log.Info("watch compacted, reading the state again")
			c.previousState = c.knownState() // should the state lose data before it is read
			c.state.invalidate()
			c.expected.clear()
			c.readState()
		default:
			c.state.nextWatchAt = c.loop.Now.Add(watchRetry)
		}
	})})
}

// applyChanges applies what a watch shows.
func (c *Core) applyChanges(changes wire.Changes) {
	for _, e := range changes.Log {
		if e.Put != "" {
			c.applyPut(e.Put, e.Value, e.Version)
		} else {
			c.applyDelete(e.Delete, e.Version)
		}
	}
	c.state.revision = max(c.state.revision, changes.Revision)
	c.checkExpectedChanges(changes)
}

// applyPut applies the value of a key, by the role that it belongs to.
func (c *Core) applyPut(key string, value []byte, version wire.Revision) {
	switch {
	case key == leaseKey:
		c.applyLeaseValue(wire.Pair{Key: key, Value: value, Version: version})
	case strings.HasPrefix(key, leasevalue.PagePrefix):
		c.applyLeasePage(key, value)
	case strings.HasPrefix(key, jobPrefix):
		c.applyJobRecord(key, value, version)
	case strings.HasPrefix(key, endPrefix):
		c.applyEndRecord(key, value, version)
	case strings.HasPrefix(key, cancellationPrefix):
		c.applyCancellation(key, value, version)
	case key == generationKey:
		c.applyGeneration(value, version)
	case strings.HasPrefix(key, renewalPrefix):
		c.applyStoredRenewal(value)
	case strings.HasPrefix(key, LevelPrefix):
		c.applyLevel(key, value, version)
	}
}

// applyDelete applies the removal of a key. A job's record goes when the job ends.
func (c *Core) applyDelete(key string, version wire.Revision) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		if j := c.owner.Job(id); j != nil && version >= j.Version {
			c.owner.EndJob(j)
		}
	} else if id, ok := strings.CutPrefix(key, cancellationPrefix); ok {
		c.owner.NoteTasksGone(id, version)
	} else if strings.HasPrefix(key, LevelPrefix) {
		c.applyLevel(key, nil, version)
	}
}

// applyCancellation applies the cancellation record of a job.
func (c *Core) applyCancellation(key string, value []byte, version wire.Revision) {
	var rec wire.CancellationRecord
	err := wire.Decode(value, &rec)
	if err == nil && rec.Form > wire.CancellationForm {
		err = wire.FormError{What: "cancellation record", Form: rec.Form}
	}
	if err != nil {
		c.log.Error("cannot decode cancellation record", "key", key, "err", err)
		return
	}
	c.owner.ApplyCancellation(key[len(cancellationPrefix):], rec, version)
}

func (c *Core) applyJobRecord(key string, value []byte, version wire.Revision) {
	env, rec, err := c.decodeJob(key, value)
	if err != nil {
		c.log.Error("cannot decode job record", "key", key, "err", err)
		return
	}
	c.applyJob(rec, owner.RecordInfo{Version: version, FirstVersion: env.FirstVersion, Form: env.Form})
}

// decodeJob decodes a job's record, in its envelope or as earlier versions store it.
func (c *Core) decodeJob(key string, value []byte) (env wire.Envelope, rec wire.JobRecord, err error) {
	if env, err = c.view.Unwrap(key, value); err != nil {
		return env, rec, err
	}
	unknown, err := wire.DecodeKeeping(env.Value, &rec)
	if err != nil {
		return env, rec, err
	}
	if rec.ID != key[len(jobPrefix):] {
		return env, rec, fmt.Errorf("is of job %q", rec.ID)
	}
	rec.Unknown = unknown
	return env, rec, nil
}

// applyJob applies a job's record, unless the job is known to have ended.
func (c *Core) applyJob(rec wire.JobRecord, at owner.RecordInfo) {
	if c.HasEnded(rec.ID) {
		return
	}
	c.owner.ApplyJob(rec, at)
}

func (c *Core) applyEndRecord(key string, value []byte, version wire.Revision) {
	var rec wire.EndRecord
	err := wire.Decode(value, &rec)
	if err == nil && rec.Form > wire.EndForm && c.view.Params.Levels.KnowsLevels() {
		err = wire.FormError{What: "end record", Form: rec.Form}
	}
	if err != nil {
		c.log.Error("cannot decode end record", "key", key, "err", err)
		return
	}
	c.applyEnd(key[len(endPrefix):], rec, version)
}

// applyEnd notes that a job has ended. An end is final.
func (c *Core) applyEnd(id string, rec wire.EndRecord, version wire.Revision) {
	if rec.State == wire.Cancelled {
		c.cancellations.mayHaveAnswered(version)
	}
	if c.recovery != nil {
		// Decided on what is left of the state, by a record of a job that may have
		// ended before the loss; it cannot overrule what was known then.
		return
	}
	if known, ok := c.ended.get(id); ok && !isSameEnd(known, rec) {
		c.resolveOtherEnd(id)
		return
	}
	news := !c.HasEnded(id)
	c.ended.add(id, rec, version)
	if j := c.owner.Job(id); j != nil {
		c.owner.EndJob(j)
	}
	switch {
	case rec.State != wire.Cancelled:
		c.owner.NoteDone(id)
	case news:
		c.owner.NoteCancelled(id, version)
	}
}
