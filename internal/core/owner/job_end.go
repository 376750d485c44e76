package owner

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// maxEndsInFlight bounds the ends being stored, so that submissions and cancellations find
// room in the write limit.
const maxEndsInFlight = 4

// jobEnds is the set of jobs whose tasks are all completed and whose end is to be stored.
type jobEnds struct {
	pending  map[string]bool // by id
	inFlight int             // writes, at most maxEndsInFlight
}

// markDone notes that a task is completed. Its completion is put on a page, or the end of
// the job, if this was its last task, is to be stored.
func (o *Owner) markDone(j *Job, i int) {
	if j.isDone(i) {
		return
	}
	j.done[i/64] |= 1 << (i % 64)
	j.doneCount++
	j.started = true
	if j.doneCount == j.Record.Tasks {
		o.ends.pending[j.Record.ID] = true
	} else if !j.isStored(i) {
		o.queueCompletion(j, i)
	}
	j.dequeue(i)
}

// storeJobEnds stores the ends of jobs whose tasks are all completed.
func (o *Owner) storeJobEnds() {
	if len(o.ends.pending) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(o.ends.pending) {
		j := o.jobs[id]
		if j == nil || j.Ended || !o.Owns(j) {
			delete(o.ends.pending, id)
			continue
		}
		if o.ends.inFlight >= maxEndsInFlight {
			return
		}
		if j.EndInFlight || !j.ready() || o.loop.Now.Before(j.RetryEndAt) {
			continue
		}
		o.ends.inFlight++
		o.records.StoreEnd(j, wire.Done, 0, func(bool) { o.ends.inFlight-- })
	}
}

// EndJob stops all tasks of a job that has ended; it counts as cancelled unless NoteDone says
// otherwise. The job is kept while a task of it may
// still run somewhere, since that counts against the team's limit.
func (o *Owner) EndJob(j *Job) {
	if !j.Ended {
		j.Ended = true
		record := j.Record
		o.cancelled.add(record.ID, &record, o.loop.Now)
		o.dropEntries(j)
		j.queue = nil
		for _, a := range j.attempts {
			if a.state == attemptQueued {
				o.dropAttempt(a, startNotSent)
			} else {
				o.halt(a)
			}
		}
		o.placement.due = true
	}
	if len(j.attempts) == 0 {
		delete(o.jobs, j.Record.ID)
	}
}
