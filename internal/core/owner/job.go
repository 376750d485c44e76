package owner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// writesAtOnce bounds the ends under way, so that submissions and
// cancellations find room in the write limit.
const maxEndsInFlight = 4

// Job is a job that is not over, or whose tasks are not all gone yet.
type Job struct {
	Record         wire.JobRecord
	Version        uint64 // of the record
	Ended          bool
	ReportedCounts [2]int // counts heard from the owner, for display
	// EndInFlight says that an end is being stored; until NextWrite none is tried.
	EndInFlight bool
	RetryEndAt  time.Time

	firstVersion    uint64 // version under which it was first stored
	envelopeForm    int    // of the envelope of its record
	publishedCounts [2]int // counts last sent to the peers

	// The owner's part.
	ready              bool // what earlier owners stored is known
	awaitsPages        bool // waits for a reading of the pages
	done               []uint64
	doneCount          int
	queue              []int // tasks that wait, lowest number first
	attempts           map[int]*attempt
	stored             []uint64  // completed tasks whose completion is stored
	pageReadNeeded     uint64    // the first reading of the pages that will do
	retryAt            time.Time // back-off after errors
	failures           int
	failedOn           map[string]bool // since one of its tasks last completed
	waitSince          time.Time
	protectedUntil     time.Time // not stopped for others before then
	started            bool      // a task of it was started, by whomever
	reservedMachine    string    // machine on which room is kept for it
	reservedSince      time.Time // there
	overdueLoggedAt    time.Time // when it was last said to be overdue
	readySince         time.Time // since when it is ready here
	roomElsewhereSince time.Time // since when another controller has had room for it
	movingAtLease      uint64    // version of the lease value under which it is to move; 0: it is not
}

// age is how long ago the job was submitted.
func (j *Job) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(j.Record.SubmittedAtMs))
}

// Started tells whether a task of the job was started, as far as is known here.
func (j *Job) Started() bool { return j.started }

// Counts are the tasks that are completed and those that run, as far as the
// job's owner knows. It may not have read yet what an earlier owner has told.
func (j *Job) Counts() (done, running int) { return max(j.doneCount, j.ReportedCounts[0]), j.running() }

// ApplyReportedCounts takes counts that the job's owner tells. What was once completed remains so,
// also when an owner has not read of it yet.
func (j *Job) ApplyReportedCounts(done, running int) {
	j.ReportedCounts = [2]int{max(done, j.ReportedCounts[0]), running}
}

// untold are counts that were never told.
var countsUnpublished = [2]int{-1, -1}

func (j *Job) need() sched.Resources {
	return sched.Resources{CPUs: j.Record.CPUs, GPUs: j.Record.GPUs, MemoryGB: j.Record.MemoryGB}
}

func (j *Job) running() int {
	n := 0
	for _, r := range j.attempts {
		if r.state == wire.TaskRunning || r.state == wire.TaskFlushing {
			n++
		}
	}
	return n
}

// home is the key in the lease value at which the job's owner stands: its
// team, or the part of the team's jobs that it was filed under.
func (j *Job) partition() string {
	if j.Record.Shard != "" {
		return j.Record.Shard
	}
	return j.Record.Team
}

// disown forgets what an owner knows of the job, but for what it would have told.
func (j *Job) clearOwnerState() {
	if j.ready {
		j.ReportedCounts[0], j.ReportedCounts[1] = j.Counts()
	}
	j.publishedCounts = countsUnpublished
	j.ready, j.awaitsPages, j.attempts, j.done, j.stored, j.doneCount, j.queue = false, false, nil, nil, nil, 0, nil
}

// Owns tells whether this controller places the job's tasks.
func (o *Owner) Owns(j *Job) bool {
	_, mine := o.partitions[j.partition()]
	return mine
}

// isStored tells whether the completion of task i is stored.
func (j *Job) isStored(i int) bool { return j.stored != nil && j.stored[i/64]&(1<<(i%64)) != 0 }

func (j *Job) isDone(i int) bool { return j.done != nil && j.done[i/64]&(1<<(i%64)) != 0 }

func taskName(id string, i int) string { return id + "/" + strconv.Itoa(i) }

// splitTask takes a task's name apart.
func splitTask(name string) (id string, i int, ok bool) {
	id, num, found := strings.Cut(name, "/")
	i, err := strconv.Atoi(num)
	return id, i, found && err == nil && i >= 0
}

// adopt makes the job ready for placing when this controller is its home.
func (o *Owner) adoptJob(j *Job) {
	since, mine := o.partitions[j.partition()]
	if !mine || j.ready || j.awaitsPages || j.Ended {
		return
	}
	if j.attempts == nil {
		j.attempts = map[int]*attempt{}
		j.done, j.stored = make([]uint64, (j.Record.Tasks+63)/64), make([]uint64, (j.Record.Tasks+63)/64)
	}
	if j.firstVersion > since {
		o.markJobReady(j) // accepted under this ownership: nothing can have run
		return
	}
	j.publishedCounts = countsUnpublished // what an earlier owner told last may not have come everywhere
	// A reading that is under way may have passed the page already.
	j.awaitsPages, j.pageReadNeeded = true, o.pageReadsBegun+1
}

func (o *Owner) markJobReady(j *Job) {
	j.ready, j.readySince = true, o.loop.Now
	j.queue = j.queue[:0]
	for i := range j.Record.Tasks {
		if !j.isDone(i) && j.attempts[i] == nil {
			j.queue = append(j.queue, i)
		}
	}
	o.placeDue = true
}

func (o *Owner) markDone(j *Job, i int) {
	if j.isDone(i) {
		return
	}
	j.done[i/64] |= 1 << (i % 64)
	j.doneCount++
	j.started = true
	if j.doneCount == j.Record.Tasks {
		o.pendingEnds[j.Record.ID] = true
	} else if !j.isStored(i) {
		o.queueCompletion(j, i)
	}
	if k, ok := slices.BinarySearch(j.queue, i); ok {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
}

// EndJob stops all tasks of a job that is over. The job is kept while some
// task of it is still somewhere, since that counts against the team's limit.
func (o *Owner) EndJob(j *Job) {
	if !j.Ended {
		j.Ended = true
		o.dropEntries(j)
		j.queue = nil
		for _, r := range j.attempts {
			if r.state == attemptQueued {
				o.dropAttempt(r)
			} else {
				r.stopping = true
				o.markUrgent(r.machine)
			}
		}
		o.placeDue = true
	}
	if len(j.attempts) == 0 {
		delete(o.jobs, j.Record.ID)
	}
}

// endJobs stores the ends of jobs whose tasks are all completed.
func (o *Owner) storeJobEnds() {
	if len(o.pendingEnds) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(o.pendingEnds) {
		j := o.jobs[id]
		if j == nil || j.Ended || !o.Owns(j) {
			delete(o.pendingEnds, id)
			continue
		}
		if o.endsInFlight >= maxEndsInFlight {
			return
		}
		if j.EndInFlight || !j.ready || o.loop.Now.Before(j.RetryEndAt) {
			continue
		}
		o.endsInFlight++
		o.records.StoreEnd(j, wire.Done, 0, func(bool) { o.endsInFlight-- })
	}
}
