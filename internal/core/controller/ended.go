package controller

import (
	"maps"
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// maxEndedJobs bounds the memory for jobs that have ended.
const maxEndedJobs = 20000

// endedJobs holds the ends of jobs, of which the oldest are forgotten first.
type endedJobs struct {
	records map[string]endedJob
	order   []string // ids in the order in which they were added
}

// endedJob is the end of a job.
type endedJob struct {
	record    wire.EndRecord
	revision  wire.Revision // at which it was stored; 0: not known
	confirmed bool          // to another controller, which may have told users
	told      bool          // a majority has confirmed it: users may be told at once
}

// stays reports whether it stays though another end is stored: one that users may have been told. Of
// two that were confirmed, none by a majority as far as is known, all controllers keep the same.
func (e endedJob) stays() bool {
	return e.told || e.confirmed && e.record.State == wire.Cancelled
}

func newEndedJobs() endedJobs { return endedJobs{records: map[string]endedJob{}} }

// get returns the end of a job, if it is known.
func (e *endedJobs) get(id string) (rec wire.EndRecord, ok bool) {
	end, ok := e.records[id]
	return end.record, ok
}

// noteConfirmed notes that the end of a job was confirmed to another controller.
func (e *endedJobs) noteConfirmed(id string) {
	if end, ok := e.records[id]; ok {
		end.confirmed = true
		e.records[id] = end
	}
}

// noteTold notes that a majority of the controllers has confirmed the end of a job.
func (e *endedJobs) noteTold(id string) {
	if end, ok := e.records[id]; ok {
		end.confirmed, end.told = true, true
		e.records[id] = end
	}
}

// replace puts another end in place of the one that is known.
func (e *endedJobs) replace(id string, rec wire.EndRecord, revision wire.Revision) {
	if _, ok := e.records[id]; ok {
		e.records[id] = endedJob{record: rec, revision: revision}
	}
}

// add notes the end of a job. The first end that is known stays.
func (e *endedJobs) add(id string, rec wire.EndRecord, revision wire.Revision) {
	if _, ok := e.records[id]; ok {
		return
	}
	e.records[id] = endedJob{record: rec, revision: revision}
	e.order = append(e.order, id)
	if len(e.order) > maxEndedJobs {
		delete(e.records, e.order[0])
		e.order = e.order[1:]
	}
}

// addAll notes the ends that were known before a recovery. Their revisions have changed with it.
func (e *endedJobs) addAll(known *recovery.KnownState) {
	for _, id := range slices.Sorted(maps.Keys(known.Ends)) {
		e.add(id, known.Ends[id], 0)
		if known.StayingEnds[id] {
			e.noteTold(id)
		}
	}
}

// forget forgets the end of a job.
func (e *endedJobs) forget(id string) {
	delete(e.records, id)
	e.order = slices.DeleteFunc(e.order, func(ended string) bool { return ended == id })
}

// staying returns the jobs whose end stays though another one is stored.
func (e *endedJobs) staying() map[string]bool {
	ids := map[string]bool{}
	for id, end := range e.records {
		if end.stays() {
			ids[id] = true
		}
	}
	return ids
}

// clone returns a copy of the ends by job.
func (e *endedJobs) clone() map[string]wire.EndRecord {
	ends := make(map[string]wire.EndRecord, len(e.records))
	for id, end := range e.records {
		ends[id] = end.record
	}
	return ends
}

// HasEnded reports whether a job is known to have ended.
func (c *Core) HasEnded(id string) bool {
	_, ok := c.ended.get(id)
	return ok
}

// JobKey is where a job's record is stored.
func (c *Core) JobKey(id string) string { return jobPrefix + id }

// CancellationKey is where the cancellation record of a job is stored.
func (c *Core) CancellationKey(id string) string { return cancellationPrefix + id }

// endRetryDelay spaces the attempts to store the end of a job.
const endRetryDelay = 300 * time.Millisecond

// endWrite stores the end of one job.
type endWrite struct {
	core    *Core
	job     *owner.Job
	end     wire.EndRecord
	retries int
	done    func(stored bool)

	expected wire.Revision // version of the record that the write is conditional on
}

// StoreEnd stores the end of a job by a compare on the version of its record, so that
// of a completion and a cancellation exactly one wins. When the record has changed it
// tries again, retries times at most. done receives whether an end is stored.
//
// A cancellation follows a lookup, which a majority has confirmed. Before a job is stored as done
// the others are asked whether they know of its end: the state may have lost a cancellation.
func (c *Core) StoreEnd(j *owner.Job, state string, retries int, done func(stored bool)) {
	completed, _ := j.Counts()
	end := wire.EndRecord{State: state, Tasks: j.Record.Tasks, Done: completed}
	if c.view.FeatureOpen(feature.Envelope) {
		end.Form = wire.EndForm
	}
	w := &endWrite{core: c, job: j, end: end, retries: retries, done: done}
	if state == wire.Cancelled {
		w.send()
		return
	}
	j.EndInFlight = true
	c.confirm(claim{j.Record.ID, standingAccepted}, endConfirmTimeout, w.asked)
}

// asked stores the end unless the job is known to have ended. Where no majority is in reach it is
// stored all the same: work is not held up, and no user is told before a majority has it.
func (w *endWrite) asked(v verdict) {
	c, id := w.core, w.job.Record.ID
	switch {
	case c.recovery == nil && v != claimSuperseded && !w.job.Ended:
		w.send()
		return
	case c.recovery == nil && !c.HasEnded(id):
		c.verifyStored(id, rankEnded, func(lookup) {})
	}
	w.job.EndInFlight, w.job.RetryEndAt = false, c.loop.Now.Add(endRetryDelay)
	w.done(c.HasEnded(id))
}

func (w *endWrite) send() {
	id := w.job.Record.ID
	txn := wire.Txn{
		If:   []wire.Condition{{Key: jobPrefix + id, Version: w.job.Version}, {Key: endPrefix + id}},
		Then: []wire.Op{{Delete: jobPrefix + id}, {Put: endPrefix + id, Value: w.end}},
	}
	if w.end.State == wire.Cancelled && w.core.view.Params.Levels.KnowsLevels() {
		txn.Then = append(txn.Then, wire.Op{Put: cancellationPrefix + id, Value: owner.NewCancellationRecord(w.job, w.core.loop.Now)})
	}
	w.job.EndInFlight, w.expected = true, w.job.Version
	w.core.loop.Emit(eventloop.StateTxn{Txn: txn, ID: w.core.loop.OnCompletion(w.completed)})
}

func (w *endWrite) completed(d eventloop.Completion) {
	c, id := w.core, w.job.Record.ID
	w.job.EndInFlight = false
	w.job.RetryEndAt = c.loop.Now.Add(endRetryDelay)
	switch d.Outcome {
	case eventloop.Succeeded:
		c.owner.Served.Ended(&w.job.Record.Job, w.end.State == wire.Cancelled, mayHaveStarted(w.job))
		c.applyEnd(id, w.end, d.Txn.Revision)
		c.spreadEnd(id)
		w.done(true)
	case eventloop.NoAnswer:
		w.readBack()
	case eventloop.Conflict:
		c.refresh(id, conflictOf(id, d.Txn.Failed, w.expected), w.retry)
	default:
		w.done(false)
	}
}

// readBack reads what the state service has after a write without an answer, which may
// have been executed. An end that is not there may still come, and is asked for again.
func (w *endWrite) readBack() {
	c, job, started := w.core, w.job.Record.Job, mayHaveStarted(w.job)
	c.refresh(job.ID, conflict{}, func(bool) {
		if end, ok := c.ended.get(job.ID); ok && end.State == w.end.State {
			c.owner.Served.Ended(&job, end.State == wire.Cancelled, started)
			c.spreadEnd(job.ID)
		}
		w.done(c.HasEnded(job.ID))
	})
}

// spreadEnd has the others know the end of a job before users ask for it.
func (c *Core) spreadEnd(id string) {
	if end, ok := c.ended.get(id); ok {
		c.confirm(claim{id, standingOfEnd(end)}, changeConfirmTimeout, func(verdict) {})
	}
}

// retry stores the end again after the job's record was read anew.
func (w *endWrite) retry(read bool) {
	c := w.core
	if j := c.owner.Job(w.job.Record.ID); read && j != nil && !j.Ended && w.retries > 0 {
		c.StoreEnd(j, w.end.State, w.retries-1, w.done)
		return
	}
	w.done(read)
}

// mayHaveStarted reports whether tasks of a job have been started, as far as is known
// here.
func mayHaveStarted(j *owner.Job) bool { return j.Started() || j.ReportedCounts != [2]int{} }
