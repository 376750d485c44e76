package owner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// ownership says what this controller knows of a job as its owner.
//
//	notOwned → awaitingPages → ready   the job may have run before; its pages are read first
//	notOwned → ready                   the job was accepted under this ownership
//	any → notOwned                     its partition went to another controller
type ownership int

const (
	// notOwned: another controller owns the job, or nobody, or it has ended.
	notOwned ownership = iota
	// awaitingPages: what earlier owners stored of the job has to be read first.
	awaitingPages
	// ready: its waiting tasks may be placed.
	ready
)

// Job is a job that has not ended, or whose tasks may still run.
type Job struct {
	Record         wire.JobRecord
	Version        wire.Revision // of the record
	Ended          bool
	ReportedCounts [2]int // completed and running tasks that the job's owner reported, for display
	// KnownToMajority says that a majority of the controllers has had the record.
	KnownToMajority bool

	// EndInFlight says that an end is being stored; until RetryEndAt none is tried.
	EndInFlight bool
	RetryEndAt  time.Time

	firstVersion    wire.Revision // version under which the record was first stored
	envelopeForm    int           // of the record's envelope; 0: it has none
	publishedCounts [2]int        // counts last sent to the peers

	// What only the owner knows; see clearOwnerState.
	ownership      ownership
	pageReadNeeded uint64 // awaitingPages: the first read of all pages that is late enough
	done           []uint64
	doneCount      int
	stored         []uint64 // completed tasks whose completion is stored
	queue          []int    // waiting tasks, lowest number first
	attempts       map[int]*attempt

	started    bool      // a task was started, by any owner
	readySince time.Time // here
	waitSince  time.Time // when a task of it was last started here, or began to wait
	retryAt    time.Time // back-off after errors
	failures   int
	failedOn   map[string]bool // machines, since one of its tasks last completed

	protectedUntil  time.Time // no task is preempted before then
	reservedMachine string    // machine on which room is reserved for it, while it is overdue
	reservedSince   time.Time // there
	overdueLoggedAt time.Time

	roomElsewhereSince time.Time     // since when another controller has had room for it
	movingAtLease      wire.Revision // version of the lease value under which it is being moved; 0: it is not
}

// ready reports whether the job's waiting tasks may be placed here.
func (j *Job) ready() bool { return j.ownership == ready }

// awaitsPages reports whether what earlier owners stored of the job has to be read first.
func (j *Job) awaitsPages() bool { return j.ownership == awaitingPages }

// age returns how long ago the job was submitted.
func (j *Job) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(j.Record.SubmittedAtMs))
}

// need returns what one task of the job needs.
func (j *Job) need() sched.Resources {
	return sched.Resources{CPUs: j.Record.CPUs, GPUs: j.Record.GPUs, MemoryGB: j.Record.MemoryGB}
}

// urgentRank is the last rank of priority that is urgent: its jobs may preempt others.
const urgentRank = 1

// urgent reports whether the job's priority is urgent.
func (j *Job) urgent() bool { return j.Record.Rank() <= urgentRank }

// partition returns the job's ownership partition, a key of the lease value: its team, or
// the shard of the team that it is filed under.
func (j *Job) partition() string { return partitionOf(&j.Record) }

// partitionOf returns the ownership partition of a job by its record.
func partitionOf(record *wire.JobRecord) string {
	if record.Shard != "" {
		return record.Shard
	}
	return record.Team
}

// Started reports whether a task of the job was started, as far as is known here.
func (j *Job) Started() bool { return j.started }

// running returns how many tasks run.
func (j *Job) running() int {
	n := 0
	for _, a := range j.attempts {
		if a.state == attemptRunning || a.state == attemptFlushing {
			n++
		}
	}
	return n
}

// countsUnpublished are counts that no job has: whatever its counts are, they are published.
var countsUnpublished = [2]int{-1, -1}

// Counts returns how many tasks are completed and how many run, as far as the job's owner
// knows. It may not have read yet what an earlier owner has reported.
func (j *Job) Counts() (done, running int) { return max(j.doneCount, j.ReportedCounts[0]), j.running() }

// ApplyReportedCounts applies counts that the job's owner reports. What was once completed
// remains so, also if an owner has not read of it yet.
func (j *Job) ApplyReportedCounts(done, running int) {
	j.ReportedCounts = [2]int{max(done, j.ReportedCounts[0]), running}
}

// isDone reports whether task i is completed.
func (j *Job) isDone(i int) bool { return j.done != nil && j.done[i/64]&(1<<(i%64)) != 0 }

// isStored reports whether the completion of task i is stored.
func (j *Job) isStored(i int) bool { return j.stored != nil && j.stored[i/64]&(1<<(i%64)) != 0 }

// allStored reports whether all completed tasks of the job are stored.
func (j *Job) allStored() bool {
	for i, done := range j.done {
		if done&^j.stored[i] != 0 {
			return false
		}
	}
	return true
}

// enqueue adds a task to those that wait, unless it is there.
func (j *Job) enqueue(i int) {
	if k, found := slices.BinarySearch(j.queue, i); !found {
		j.queue = slices.Insert(j.queue, k, i)
	}
}

// dequeue takes a task off those that wait.
func (j *Job) dequeue(i int) {
	if k, found := slices.BinarySearch(j.queue, i); found {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
}

// taskName returns the name of task i of a job.
func taskName(id string, i int) string { return id + "/" + strconv.Itoa(i) }

// splitTask splits a task's name into its job and its number there.
func splitTask(name string) (id string, i int, ok bool) {
	id, number, found := strings.Cut(name, "/")
	i, err := strconv.Atoi(number)
	return id, i, found && err == nil && i >= 0
}
