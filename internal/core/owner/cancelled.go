package owner

import (
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// A task of a cancelled job has to be gone cancel_s after its user was told. A machine that
// hangs does not end its tasks, so that its return to the cloud is the only means. Who holds the
// machine then may know neither its tasks nor how long it has been silent: the block may have
// changed hands since, the process may have started anew or been suspended. So the time by
// which it is given up counts from when users may have been told, which is stored with each
// cancellation (cancelled_store.go), not from when this controller began to wait for the machine.

// returnReserve is how long before a cancellation has to be in effect a silent machine is given up:
// the leader has to learn of it, and the cloud to terminate it. Both take a second or two; a
// request to the cloud that gets no answer is sent again within these seconds.
const returnReserve = 5 * time.Second

// cancelledJob is a job that has ended and is not known to be done, so that its user may have been
// told that it is cancelled.
type cancelledJob struct {
	id string
	// since is the earliest time at which its user may have been told.
	since time.Time
	// record says where its tasks may be, a copy, as the job itself is large; nil: it is not
	// known, they may be anywhere.
	record *wire.JobRecord
	// machines are the only ones on which its tasks may be; nil: that is not known.
	machines map[string]bool
	// stored is the version of its cancellation record; 0: none has been seen.
	stored      wire.Revision
	storedAtMs  int64 // the time of day in that record
	done        bool  // it was done, as was learnt later
	gone        bool  // none of its tasks is on a machine any more, as is stored
	foundGone   bool  // the same, as its owner has found
	learntAt    time.Time
	rewrittenAt time.Time // when its cancellation record was last written here
}

// over reports whether no task of the job is left, as far as is known.
func (c *cancelledJob) over() bool { return c.done || c.gone || c.foundGone }

// mayRunOn reports whether tasks of the job may be on a machine whose tasks are not known.
func (c *cancelledJob) mayRunOn(m *machine) bool { return !c.over() && c.allows(m) }

// allows reports whether tasks of the job may have come to a machine.
func (c *cancelledJob) allows(m *machine) bool {
	if c.machines != nil {
		return c.machines[m.name]
	}
	return c.record == nil || m.machineType == "" || mayRunOn(c.record, m)
}

// partition returns the job's ownership partition; "" if it is not known.
func (c *cancelledJob) partition() string {
	if c.record == nil {
		return ""
	}
	return partitionOf(c.record)
}

// cancelledJobs are the jobs that were cancelled of late, and those whose tasks are not known to be
// gone.
type cancelledJobs struct {
	jobs []*cancelledJob // in the order in which they were learnt of
	byID map[string]*cancelledJob
	// readAt is the revision of the state when it was first read. What was cancelled up to it
	// has a cancellation record, unless its tasks are gone.
	readAt wire.Revision
	// knownUntil is the time before which all confirmed cancellations are known.
	knownUntil time.Time

	checkedAt     time.Time // when the tasks that may be left were last looked for
	storeInFlight bool      // a write of cancellation records has no answer yet
}

func newCancelledJobs() cancelledJobs { return cancelledJobs{byID: map[string]*cancelledJob{}} }

// noteRead notes the revision as of which the state was first read.
func (c *cancelledJobs) noteRead(revision wire.Revision) {
	if c.readAt == 0 {
		c.readAt = revision
	}
}

// advance notes that all cancellations that were confirmed before a time are known.
func (c *cancelledJobs) advance(at time.Time) {
	if at.After(c.knownUntil) {
		c.knownUntil = at
	}
}

// add notes that a job was cancelled, as far as is known now. Its user was not told before all that
// had been confirmed was last known, or it would have been known then.
func (c *cancelledJobs) add(id string, record *wire.JobRecord, now time.Time) *cancelledJob {
	if known := c.byID[id]; known != nil {
		return known
	}
	since := now
	if !c.knownUntil.IsZero() && c.knownUntil.Before(now) {
		since = c.knownUntil
	}
	job := &cancelledJob{id: id, since: since, record: record, learntAt: now}
	c.jobs, c.byID[id] = append(c.jobs, job), job
	return job
}

// markDone notes that a job was done rather than cancelled.
func (c *cancelledJobs) markDone(id string) {
	if job := c.byID[id]; job != nil {
		job.done = true
	}
}

// forgetBefore forgets the jobs that were cancelled before a time. Those that have a cancellation
// record are kept until that is removed.
func (c *cancelledJobs) forgetBefore(at time.Time) {
	c.jobs = slices.DeleteFunc(c.jobs, func(job *cancelledJob) bool {
		forget := job.since.Before(at) && (job.stored == 0 || job.done || job.gone)
		if forget {
			delete(c.byID, job.id)
		}
		return forget
	})
}

// NoteCancelled notes that a job was cancelled whose record may not be known here, by an end that
// was stored at a revision. One that was stored before this process read the state may be of any
// age: users ask for jobs at any later time.
func (o *Owner) NoteCancelled(id string, revision wire.Revision) {
	if revision > o.cancelled.readAt {
		o.cancelled.add(id, nil, o.loop.Now)
	}
}

// NoteDone notes that a job that has ended was done.
func (o *Owner) NoteDone(id string) { o.cancelled.markDone(id) }

// InheritCancellations takes over what another owner of this process knew of cancellations, before
// a recovery: revisions count anew since.
func (o *Owner) InheritCancellations(earlier *Owner) {
	o.cancelled = earlier.cancelled
	o.cancelled.readAt, o.cancelled.storeInFlight = 0, false
	for _, job := range o.cancelled.jobs {
		job.stored = 0
	}
}

// forgetCancelled forgets cancellations so old that whoever held the machines then has dealt with
// them: they are in effect after cancel_s, or their block has changed hands after a lease.
func (o *Owner) forgetCancelled() {
	o.cancelled.forgetBefore(o.loop.Now.Add(-o.CancelTime() - o.view.Params.LeaseDuration))
}

// CancelTime returns the time after which a cancellation has to be in effect.
func (o *Owner) CancelTime() time.Duration {
	return config.Seconds(o.view.Settings.Cluster.Workers.CancelS)
}

// returnBy returns when a machine is to be given up on which a task of a job may be whose user may have
// been told since a time.
func (o *Owner) returnBy(since time.Time) time.Time {
	return since.Add(o.CancelTime() - returnReserve)
}

// returnDue returns when a silent machine is to be given up because of cancelled tasks; ok is false
// if no such task may be there.
func (o *Owner) returnDue(m *machine) (due time.Time, ok bool) {
	since, listed := o.listedCancelledSince(m)
	if listed {
		due = o.returnBy(since)
		if m.commands.unanswered > 0 {
			// It does not answer direct commands either. Another controller, should this
			// one end, is to have the time to find it silent and return it: until the
			// block has lapsed nobody can.
			due = due.Add(-handoverTime(o.view.Settings.Cluster.Workers, o.view.Params))
		}
	}
	if since, possible := o.possiblyCancelledSince(m); possible && (!listed || o.returnBy(since).Before(due)) {
		return o.returnBy(since), true
	}
	return due, listed
}

// listedCancelledSince returns since when a user may have been told that a job is cancelled of which
// a task is known to be on the machine; ok is false if there is none.
func (o *Owner) listedCancelledSince(m *machine) (since time.Time, ok bool) {
	for _, a := range m.attempts {
		at, cancelled := o.attemptCancelledSince(a)
		if cancelled && (!ok || at.Before(since)) {
			since, ok = at, true
		}
	}
	return since, ok
}

// possiblyCancelledSince returns since when a user may have been told that a job is cancelled of
// which a task may be on a machine whose tasks are not known; ok is false if there is none.
func (o *Owner) possiblyCancelledSince(m *machine) (since time.Time, ok bool) {
	if !m.needsReconciliation {
		return since, false
	}
	for _, job := range o.cancelled.jobs {
		if job.mayRunOn(m) && (!ok || job.since.Before(since)) {
			since, ok = job.since, true
		}
	}
	return since, ok
}

// handoverTime returns how long it takes until another controller finds a machine silent, if its
// holder ends: the block lease lapses, and reports are missing.
func handoverTime(workers config.Workers, params cluster.Params) time.Duration {
	return cluster.RemoteDuration(params.LeaseDuration) + silentAfter(workers)
}

// MinCancelTime returns the least cancel_s that can be kept with these settings where a machine
// hangs as a job on it is cancelled, and its holder ends at any moment after that. Either the holder
// has given the machine up by then, or another has the time to find it silent and return it.
func MinCancelTime(workers config.Workers, params cluster.Params) time.Duration {
	return max(silentAfter(workers)+handoverTime(workers, params), leaseOverAfter(workers)) + returnReserve
}

// attemptCancelledSince returns since when a user may have been told that the job of an attempt
// is cancelled; cancelled is false if the attempt has ended, or its job has not. An attempt of
// a job that is not known here was cancelled at some time.
func (o *Owner) attemptCancelledSince(a *attempt) (since time.Time, cancelled bool) {
	if a.ended() || (a.job != nil && !a.job.Ended) {
		return since, false
	}
	id, _, _ := splitTask(a.task)
	if job := o.cancelled.byID[id]; job != nil {
		return job.since, !job.done || a.job != nil
	}
	if j := o.jobs[id]; j != nil && !j.Ended {
		return since, false // superseded, by an attempt at another machine
	}
	return a.startedAt, true
}
