package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// A cancellation record is stored in the transaction that ends the job, and says since when its user
// may have been told and where its tasks may be. The owner of the job removes it once it knows that
// no task of the job is on a machine, and names the machines if that takes long. So a process that
// knows nothing but the state knows which cancellations may not be in effect, however long it and
// all others were away.

const (
	// tasksGoneInterval spaces the looks at what may be left of cancelled jobs.
	tasksGoneInterval = 500 * time.Millisecond
	// nameMachinesAfter is how long tasks of a cancelled job may be left before the machines
	// on which they are get into its record. Most end within a second.
	nameMachinesAfter = 2 * time.Second
	// maxNamedMachines bounds the machines in a record, which has to fit a stored value.
	maxNamedMachines = 100
	// maxRecordsPerWrite bounds the records in a write, of which several a second are allowed.
	maxRecordsPerWrite = 6
	// maxRecordAge is after which time the leader removes a record whose job nobody owns who
	// would.
	maxRecordAge = 10 * time.Minute
	// maxToldGone bounds the jobs of JobsGone.
	maxToldGone = 500
	// maxUserPriority is for how long the removal of a record waits for users whose writes
	// are refused by the write limit.
	maxUserPriority = 10 * time.Second
)

// NewCancellationRecord returns the record that is stored when a job is cancelled now.
func NewCancellationRecord(j *Job, now time.Time) wire.CancellationRecord {
	return cancellationRecord(&j.Record, now.UnixMilli())
}

// cancellationRecord returns the record of a job whose user was not told before a time of day.
func cancellationRecord(job *wire.JobRecord, atMs int64) wire.CancellationRecord {
	return wire.CancellationRecord{Form: wire.CancellationForm, CancelledAtMs: atMs,
		Team: job.Team, Shard: job.Shard, Types: job.Types, Zone: job.Zone, Spot: job.Spot}
}

// ApplyCancellation applies the cancellation record of a job, as stored at a version.
func (o *Owner) ApplyCancellation(id string, rec wire.CancellationRecord, version wire.Revision) {
	told, known := o.toldAfter(rec.CancelledAtMs), o.cancelled.byID[id] != nil
	job := o.cancelled.add(id, nil, o.loop.Now)
	if version <= job.stored {
		return
	}
	if !known || told.After(job.since) {
		job.since = told
	}
	job.stored, job.storedAtMs = version, rec.CancelledAtMs
	if job.record == nil {
		job.record = &wire.JobRecord{Job: wire.Job{ID: id, Team: rec.Team, Types: rec.Types, Zone: rec.Zone, Spot: rec.Spot}, Shard: rec.Shard}
	}
	if len(rec.Machines) == 0 {
		return
	}
	job.machines = map[string]bool{}
	for _, name := range rec.Machines {
		job.machines[name] = true
	}
}

// toldAfter returns the earliest time, by this controller's clock, at which a user can have been told
// who was not told before a time of day of another controller.
func (o *Owner) toldAfter(atMs int64) time.Time {
	clockError := time.Duration(o.view.Settings.Cluster.ClockErrorMs * float64(time.Millisecond))
	age := time.Duration(o.loop.Now.UnixMilli()-atMs)*time.Millisecond + 2*clockError
	return o.loop.Now.Add(-max(0, age))
}

// NoteTasksGone notes that the cancellation record of a job is removed, at a version: its tasks are
// gone.
func (o *Owner) NoteTasksGone(id string, version wire.Revision) {
	if job := o.cancelled.byID[id]; job != nil && version >= job.stored {
		job.gone = true
	}
}

// NoteStoredCancellations notes which jobs have a cancellation record, as of a reading of the whole
// state whose first page was of a revision.
func (o *Owner) NoteStoredCancellations(isStored func(id string) bool, revision wire.Revision) {
	for _, job := range o.cancelled.jobs {
		if job.stored != 0 && job.stored <= revision && !isStored(job.id) {
			job.gone = true
		}
	}
}

// tasksLeft is where tasks of cancelled jobs may be that are not attempts of a job known here.
type tasksLeft struct {
	unreconciled []*machine
	unknown      map[string][]string // machines that list tasks of a job that is not known here, by job
}

// cancellationWrite is a write of cancellation records under way.
type cancellationWrite struct {
	conditions []wire.Condition
	ops        []wire.Op
	removed    []*cancelledJob
}

// storeTasksGone finds the cancelled jobs of this controller's partitions whose tasks are gone and removes
// their records, and names the machines of those whose tasks are not.
func (o *Owner) storeTasksGone() {
	c := &o.cancelled
	if c.storeInFlight || o.loop.Now.Sub(c.checkedAt) < tasksGoneInterval || !o.blockLease.Held() {
		return
	}
	c.checkedAt = o.loop.Now
	var left *tasksLeft
	var w cancellationWrite
	for _, job := range c.jobs {
		if job.done || job.gone || !o.settles(job) {
			continue
		}
		if left == nil {
			left = o.findTasksLeft()
		}
		o.settle(job, left, &w)
	}
	if len(w.ops) > 0 && o.blockLease.MayStart(o.loop.Now) {
		o.writeCancellations(w)
	}
}

// settle finds whether tasks of a cancelled job are left, and decides what becomes of its record, which
// may not have been seen yet.
func (o *Owner) settle(job *cancelledJob, left *tasksLeft, w *cancellationWrite) {
	names := o.machinesLeft(job, left)
	job.foundGone = len(names) == 0
	key := o.records.CancellationKey(job.id)
	switch {
	case job.stored == 0 || len(w.ops) >= min(maxRecordsPerWrite, o.view.Settings.Cluster.State.TxnOps):
	case job.foundGone && o.usersAwaitWrites() && o.loop.Now.Sub(job.learntAt) < maxUserPriority:
	case job.foundGone:
		w.ops, w.removed = append(w.ops, wire.Op{Delete: key}), append(w.removed, job)
	case o.namesMachines(job, names):
		job.rewrittenAt = o.loop.Now
		o.log.Info("tasks of cancelled job left", "job", job.id, "duration", o.loop.Now.Sub(job.since).Round(time.Millisecond), "machines", []string(names))
		rec := cancellationRecord(job.record, job.storedAtMs)
		rec.Machines = names
		w.ops = append(w.ops, wire.Op{Put: key, Value: rec})
		w.conditions = append(w.conditions, wire.Condition{Key: key, Version: job.stored})
	}
}

// writeCancellations writes cancellation records, and removes some. Under its block lease this controller
// alone knows where tasks of its jobs are, and what is gone stays so: a removal needs no condition,
// however late it is carried out.
func (o *Owner) writeCancellations(w cancellationWrite) {
	c := &o.cancelled
	c.storeInFlight = true
	o.loop.Emit(eventloop.StateTxn{Txn: wire.Txn{If: w.conditions, Then: w.ops}, ID: o.loop.OnCompletion(func(d eventloop.Completion) {
		c.storeInFlight = false
		if d.Outcome != eventloop.Succeeded {
			return
		}
		for _, job := range w.removed {
			job.gone = true
		}
	})})
}

// settles reports whether this controller decides whether tasks of a cancelled job are left: it owns
// the job's partition, or leads and nobody owns it.
func (o *Owner) settles(job *cancelledJob) bool {
	owner, owned := o.view.Lease.Partitions[job.partition()]
	tooOld := o.loop.Now.Sub(job.since) > maxRecordAge
	return owner == o.view.Self || (o.view.IsLeader && (!owned || tooOld))
}

// JobsGone returns the cancelled jobs of this controller's partitions of which no task is left, and
// whose records are yet to be removed.
func (o *Owner) JobsGone() (ids []string) {
	for _, job := range o.cancelled.jobs {
		if job.foundGone && !job.gone && !job.done {
			ids = append(ids, job.id)
		}
		if len(ids) == maxToldGone {
			break
		}
	}
	return ids
}

// NoteJobGone notes that a controller has found no task of a cancelled job left, if it owns the job.
func (o *Owner) NoteJobGone(id, controller string) {
	job := o.cancelled.byID[id]
	if job != nil && o.view.Lease.Partitions[job.partition()] == controller && controller != o.view.Self {
		job.foundGone = true
	}
}

// usersAwaitWrites reports whether a user's write was refused by the write limit of late.
func (o *Owner) usersAwaitWrites() bool {
	_, refusedAt := o.records.UserWrites()
	return !refusedAt.IsZero() && o.loop.Now.Sub(refusedAt) < time.Second
}

// findTasksLeft looks at all machines of the block.
func (o *Owner) findTasksLeft() *tasksLeft {
	left := &tasksLeft{unknown: map[string][]string{}}
	for _, m := range o.workers.machinesByName() {
		if m.terminated {
			continue
		}
		if m.needsReconciliation {
			left.unreconciled = append(left.unreconciled, m)
		}
		if m.unknownAttempts == 0 {
			continue
		}
		for _, a := range m.attempts {
			if a.job == nil && !a.ended() {
				id, _, _ := splitTask(a.task)
				left.unknown[id] = append(left.unknown[id], m.name)
			}
		}
	}
	return left
}

// machinesLeft returns the machines of the block on which tasks of a cancelled job may be.
func (o *Owner) machinesLeft(job *cancelledJob, left *tasksLeft) wire.NameSet {
	names := map[string]bool{}
	if j := o.jobs[job.id]; j != nil {
		for _, a := range j.attempts {
			if !a.machine.terminated {
				names[a.machine.name] = true
			}
		}
	}
	for _, name := range left.unknown[job.id] {
		names[name] = true
	}
	for _, m := range left.unreconciled {
		if job.allows(m) {
			names[m.name] = true
		}
	}
	return cluster.SortedKeys(names)
}

// namesMachines reports whether the machines on which tasks of a cancelled job may be are to be put
// into its record.
func (o *Owner) namesMachines(job *cancelledJob, names wire.NameSet) bool {
	if len(names) > maxNamedMachines || o.loop.Now.Sub(job.learntAt) < nameMachinesAfter || o.loop.Now.Sub(job.rewrittenAt) < nameMachinesAfter {
		return false
	}
	return !slices.Equal(names, cluster.SortedKeys(job.machines))
}
