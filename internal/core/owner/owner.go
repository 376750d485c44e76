// Package owner is the role that runs jobs. An owner holds a block of machines and a set
// of ownership partitions, each with the jobs filed under it. It places the tasks of those
// jobs on those machines, answers the heartbeats of workers, and stores which tasks are
// completed.
//
// The package owns the state of machines, attempts and foreign workers, the queue of
// waiting tasks of each job, the pages of completed tasks and what its teams use of their
// quota. It assumes that one goroutine calls it, that package blocklease says until when
// the block is held, and that the lease value alone says which machines and partitions are
// this controller's.
//
// It never starts a task without a valid block lease, beyond a team's limit or this
// controller's share of it, or one that may already run on a machine whose tasks are not
// known yet. It never lets a worker forget a completed task before that is stored. It reads
// no clock and does no I/O but its log: it takes events, and emits effects through the event
// loop.
//
// The code by concern:
//
//	workers       registry.go, machine.go, heartbeat.go, observe.go, attempt.go, commands.go,
//	              probe.go, fencing.go, foreign.go, health.go, cancelled.go,
//	              cancelled_store.go, failure.go, watermark.go
//	jobs          job.go, job_state.go, job_end.go, run_time.go, completion_log.go,
//	              completion_read.go, record_upgrade.go, snapshot.go
//	placement     order.go, placement.go, filter.go, score.go, reservation.go, preemption.go
//	quota         quota_use.go, quota_share.go
//	block         block.go, handover.go, migration.go
//	publication   renewal.go, demand.go, published.go
package owner

import (
	"log/slog"
	"time"

	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/core/servicereport"
	"fawncove/internal/wire"
)

// JobRecords is how the owner reads and changes the records of jobs in the state service.
// The controller implements it.
type JobRecords interface {
	// WorkersServed reports whether workers may be answered at all.
	WorkersServed() bool
	// HasEnded reports whether a job is known to have ended.
	HasEnded(id string) bool
	// StoreEnd stores that a job has ended in a state, unless it has ended otherwise. It
	// retries at most retries times after a conflict; done receives whether an end is
	// stored.
	StoreEnd(j *Job, state string, retries int, done func(stored bool))
	// JobKey returns the key of a job's record.
	JobKey(id string) string
	// CancellationKey returns the key of a job's cancellation record.
	CancellationKey(id string) string
	// LeaseUnchanged returns the conditions under which the lease value is still the one
	// known here.
	LeaseUnchanged() []wire.Condition
	// UserWrites returns how many submissions are being stored, and when one was last
	// refused by the write limit.
	UserWrites() (pending int, refusedAt time.Time)
}

// Owner is the state of the role. One goroutine owns it.
type Owner struct {
	loop       *eventloop.Loop
	view       *cluster.View
	blockLease *blocklease.Holder
	records    JobRecords
	log        *slog.Logger

	known      watermarks
	cancelled  cancelledJobs
	workers    workerRegistry
	jobs       map[string]*Job // by id: those that have not ended, or whose tasks may still run
	partitions partitionTable
	placement  placementState
	quota      quotaUse
	runTimes   runTimes
	inflow     sched.ArrivalCounter // of work, in processors

	ends        jobEnds
	completions completionLog
	upgrade     recordUpgrade

	movesCheckedAt time.Time // when jobs that could move were last looked for

	// Served counts what users got of the service.
	Served servicereport.Tally
}

// New returns an owner that has no jobs and no machines yet.
func New(loop *eventloop.Loop, view *cluster.View, blockLease *blocklease.Holder, records JobRecords, log *slog.Logger) *Owner {
	return &Owner{
		loop:        loop,
		view:        view,
		blockLease:  blockLease,
		records:     records,
		log:         log,
		cancelled:   newCancelledJobs(),
		workers:     newWorkerRegistry(),
		jobs:        map[string]*Job{},
		partitions:  newPartitionTable(),
		quota:       newQuotaUse(),
		runTimes:    runTimes{},
		ends:        jobEnds{pending: map[string]bool{}},
		completions: newCompletionLog(),
	}
}

// StorePending stores completed tasks and the ends of jobs, and reads what earlier
// owners stored. The controller calls it with every tick.
func (o *Owner) StorePending() {
	o.readPages()
	o.storeJobEnds()
	o.storeTasksGone()
	o.upgradePages()
	o.moveJobs()
	o.flushPages()
	o.upgradeRecords()
}

// CheckMachines looks for machines that have fallen silent and probes them. The
// controller calls it with every tick.
func (o *Owner) CheckMachines() {
	o.checkMachines()
	o.probeWorkers()
	o.placement.due = true
}

// PlaceAndSend places waiting tasks, unless that was done a moment ago, and sends the
// commands that should not wait for a heartbeat. It ends every step.
func (o *Owner) PlaceAndSend() {
	o.placeSoon()
	o.sendCommands()
}
