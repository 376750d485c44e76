package owner

import (
	"time"

	"fawncove/internal/wire"
)

// RecordInfo is what the state service says of a job's record.
type RecordInfo struct {
	Version      wire.Revision
	FirstVersion wire.Revision // version under which it was first stored; 0: this one
	Form         int           // of its envelope; 0: it has none
}

// firstVersion returns the version under which the record was first stored.
func (r RecordInfo) firstVersion() wire.Revision {
	if r.FirstVersion == 0 {
		return r.Version
	}
	return r.FirstVersion
}

// Job returns a job that has not ended, or whose tasks may still run, or nil.
func (o *Owner) Job(id string) *Job { return o.jobs[id] }

// Jobs returns the jobs by id. The caller must not change the map.
func (o *Owner) Jobs() map[string]*Job { return o.jobs }

// Owns reports whether this controller places the job's tasks.
func (o *Owner) Owns(j *Job) bool {
	_, owned := o.partitions.owned[j.partition()]
	return owned
}

// ApplyJob applies a job's record, unless a newer one is known.
func (o *Owner) ApplyJob(rec wire.JobRecord, info RecordInfo) {
	j := o.jobs[rec.ID]
	if j == nil {
		j = &Job{firstVersion: info.firstVersion(), waitSince: o.loop.Now}
		o.jobs[rec.ID] = j
		o.recordArrival(&rec)
	}
	if info.Version <= j.Version {
		return
	}
	wasOwned, moved := o.Owns(j), j.Version != 0 && j.Record.Shard != rec.Shard
	j.Record, j.Version, j.envelopeForm = rec, info.Version, info.Form
	if moved {
		o.handleMoved(j, info, wasOwned)
	}
	o.adoptJob(j)
}

// recordArrival counts the work of a new job. A daemon never ends: its processors are taken
// off what there is instead.
func (o *Owner) recordArrival(rec *wire.JobRecord) {
	if rec.Shape != wire.Daemon {
		work := float64(rec.Tasks) * rec.CPUs * max(1, o.estimatedRunSeconds(rec))
		o.inflow.Add(time.UnixMilli(rec.SubmittedAtMs), work)
	}
}

// ArrivalRate returns the work that has arrived lately, in processors.
func (o *Owner) ArrivalRate() float64 { return o.inflow.Rate(o.loop.Now) }

// adoptJob prepares the job for placing, if this controller owns its partition.
func (o *Owner) adoptJob(j *Job) {
	ownedSince, owned := o.partitions.owned[j.partition()]
	if !owned || j.ownership != notOwned || j.Ended {
		return
	}
	if j.attempts == nil {
		words := (j.Record.Tasks + 63) / 64
		j.attempts = map[int]*attempt{}
		j.done, j.stored = make([]uint64, words), make([]uint64, words)
	}
	if j.firstVersion > ownedSince {
		o.markReady(j) // accepted under this ownership: nothing can have run
		return
	}
	j.publishedCounts = countsUnpublished // what an earlier owner sent last may not have come everywhere
	// A read that is in flight may have passed the job's page already.
	j.ownership, j.pageReadNeeded = awaitingPages, o.completions.readsBegun+1
}

// markReady queues the tasks of a job that are neither completed nor started.
func (o *Owner) markReady(j *Job) {
	j.ownership, j.readySince = ready, o.loop.Now
	j.queue = j.queue[:0]
	for i := range j.Record.Tasks {
		if !j.isDone(i) && j.attempts[i] == nil {
			j.queue = append(j.queue, i)
		}
	}
	o.placement.due = true
}

// clearOwnerState drops what only an owner knows of the job, but for the counts that it
// would have reported.
func (j *Job) clearOwnerState() {
	if j.ready() {
		j.ReportedCounts[0], j.ReportedCounts[1] = j.Counts()
	}
	j.publishedCounts = countsUnpublished
	j.ownership = notOwned
	j.attempts, j.done, j.stored, j.doneCount, j.queue = nil, nil, nil, 0, nil
}
