package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// stateReading is one reading of the whole state: its generation, all jobs page by
// page, then the cancellation records and the lease value.
type stateReading struct {
	core      *Core
	startedAt time.Time       // when the first page was asked for
	revision  wire.Revision   // of the first page; the watch goes on from there
	seen      map[string]bool // keys of the records read so far
	partsLeft int             // of those that are read side by side after the jobs
	failed    bool
}

// readState starts to read the whole state, unless a reading is under way.
func (c *Core) readState() {
	if !c.state.begin(c.loop.Now) {
		return
	}
	r := &stateReading{core: c, seen: map[string]bool{}}
	c.readGeneration(r.generationRead)
}

// fail ends the reading; it begins anew after a moment.
func (r *stateReading) fail(what string, outcome eventloop.Outcome) {
	c := r.core
	c.log.Info("state read failed", "reading", what, "outcome", outcome)
	if !r.failed {
		r.failed = true
		c.state.fail(c.loop.Now)
	}
}

// generationRead goes on with the jobs.
func (r *stateReading) generationRead(outcome eventloop.Outcome) {
	c := r.core
	if !readOrAbsent(outcome) {
		r.fail("generation", outcome)
		return
	}
	if c.recovery != nil || c.stateUnsettled() {
		r.fail("recovery under way", outcome)
		return
	}
	c.state.beginReadingJobs()
	r.startedAt = c.loop.Now
	r.readRecords(jobPrefix, "", r.jobsRead)
}

// readRecords reads the records below a prefix, from the page behind a key on, and then calls done.
func (r *stateReading) readRecords(prefix, after string, done func()) {
	c := r.core
	c.loop.Emit(eventloop.StateRange{Prefix: prefix, After: after, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		if d.Outcome != eventloop.Succeeded {
			r.fail(prefix, d.Outcome)
			return
		}
		if r.hasMetLoss() {
			r.fail("state lost meanwhile", d.Outcome)
			return
		}
		// Changes made while the pages are read come again with the watch, which starts
		// at the revision of the first page.
		if r.revision == 0 {
			r.revision = d.Page.Revision
		}
		for _, p := range d.Page.Pairs {
			r.seen[p.Key] = true
			c.applyPut(p.Key, p.Value, p.Version)
		}
		if n := len(d.Page.Pairs); d.Page.More && n > 0 {
			r.readRecords(prefix, d.Page.Pairs[n-1].Key, done)
			return
		}
		done()
	})})
}

// jobsRead goes on with the cancellation records and the lease value, side by side. A job that was
// cancelled while the jobs were read has a cancellation record by then.
func (r *stateReading) jobsRead() {
	c := r.core
	r.endMissingJobs()
	c.state.beginReadingLease()
	r.partsLeft = 2
	r.readRecords(cancellationPrefix, "", r.cancellationsRead)
	c.readLease(r.leaseRead)
}

func (r *stateReading) cancellationsRead() {
	isStored := func(id string) bool { return r.seen[cancellationPrefix+id] }
	r.core.owner.NoteStoredCancellations(isStored, r.revision)
	r.partRead()
}

// partRead ends the reading with its last part.
func (r *stateReading) partRead() {
	if r.partsLeft--; r.partsLeft == 0 && !r.failed {
		r.complete()
	}
}

// endMissingJobs ends the jobs that are known here and were not read.
func (r *stateReading) endMissingJobs() {
	for id, j := range r.core.owner.Jobs() {
		if r.seen[jobPrefix+id] || j.Version > r.revision {
			continue
		}
		if !j.Ended && !r.core.HasEnded(id) {
			r.core.memory.expectStored(id, rankAccepted) // its end, as the record is gone
		}
		r.core.owner.EndJob(j)
	}
}

// leaseRead notes the outcome of reading the lease value.
func (r *stateReading) leaseRead(outcome eventloop.Outcome) {
	c := r.core
	if !readOrAbsent(outcome) {
		r.fail("leases", outcome)
		return
	}
	if r.hasMetLoss() || c.stateUnsettled() {
		r.fail("recovery under way", outcome)
		return
	}
	r.partRead()
}

// hasMetLoss reports whether the state has lost data since the reading began: its pages
// may be of before and after, and it is not to end with what was known before forgotten.
func (r *stateReading) hasMetLoss() bool {
	return r.core.recovery != nil || r.core.startup.hasStaleAnswerSince(r.startedAt)
}

// complete makes what was read the current state, and starts what waited for it.
func (r *stateReading) complete() {
	c := r.core
	c.state.complete(r.revision)
	c.history.beginWatch(r.revision)
	c.previousState = recovery.KnownState{}
	// The first page may be old: a change since then may be missing on any page.
	c.owner.ChangesKnown(r.revision, r.startedAt)
	// An earlier process may have answered any cancellation that is stored.
	c.cancellations.mayHaveAnswered(max(r.revision, 1))
	c.election.leaderSeenAt = c.loop.Now
	c.raiseIncarnationAboveStored()
	c.renewal.nextAt = c.loop.Now
	c.log.Info("state read", "jobs", len(c.owner.Jobs()), "revision", r.revision, "lease_revision", c.view.LeaseVersion, "duration", c.sinceStart())
	c.watchState()
	c.campaign()
	c.renewBlockLease()
}

// raiseIncarnationAboveStored raises the incarnation above that of an earlier process which
// the lease value names as holder of the block, or as leader.
func (c *Core) raiseIncarnationAboveStored() {
	lease, own := &c.view.Lease, c.blockLease
	if b, ok := lease.Blocks[c.view.Self]; ok && b.Incarnation >= own.Incarnation() && !own.Held() {
		own.RaiseIncarnationAbove(b.Incarnation)
	}
	if lease.Leader == c.view.Self && lease.Incarnation >= own.Incarnation() && c.leader == nil {
		own.RaiseIncarnationAbove(lease.Incarnation)
	}
}

// readOrAbsent reports whether a read has an answer: a value, or that there is none.
func readOrAbsent(outcome eventloop.Outcome) bool {
	return outcome == eventloop.Succeeded || outcome == eventloop.NotFound
}
