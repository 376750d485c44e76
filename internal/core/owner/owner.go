// Package owner runs jobs: it keeps the machines of its controller's block and
// the jobs that its controller is home to, places tasks on the former, reads the
// reports of workers and answers them, and stores what is completed.
//
// It starts nothing without the right to that, which package blocklease keeps, and
// nothing that its team's limit, or its share of that, does not allow. What it
// is home to and which machines it holds stands in the lease value alone.
package owner

import (
	"log/slog"
	"time"

	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/core/servicereport"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// JobRecords is the controller's dealing with the records of jobs in the state
// service.
type JobRecords interface {
	// WorkersServed tells whether workers may be answered at all.
	WorkersServed() bool
	// HasEnded tells whether a job is known to be over.
	HasEnded(id string) bool
	// StoreEnd stores the end of a job in a state, unless it has ended otherwise. It
	// tries again as often as tries says when the record has changed; then is
	// told whether an end is stored.
	StoreEnd(j *Job, state string, tries int, then func(stored bool))
	// JobKey is where a job's record is stored.
	JobKey(id string) string
	// LeaseUnchanged are the conditions under which the lease value has not changed since.
	LeaseUnchanged() []wire.Condition
	// UserWrites tells how many submissions are being stored, and when one last found
	// no room in the write limit.
	UserWrites() (pending int, short time.Time)
}

// Owner is the state of the role. One goroutine owns it.
type Owner struct {
	loop       *eventloop.Loop
	view       *cluster.View
	blockLease *blocklease.Holder
	records    JobRecords
	log        *slog.Logger

	changesKnownUntil       time.Time // all changes of jobs before this time are known
	knownRevision           uint64    // and all up to this revision
	cancellationsKnownUntil time.Time // and all cancellations that were told before this one
	jobs                    map[string]*Job
	partitions              map[string]uint64    // home -> version of the lease value with which it became ours
	handoverOfferedAt       map[string]time.Time // when each home was last offered, see yield.go
	endsInFlight            int                  // ends under way
	pendingEnds             map[string]bool      // jobs whose end is to be stored

	// The pages of completed tasks, see pages.go.
	pages            []*page
	pageByEntry      map[string]*page  // by entry
	completedByEntry map[string][]byte // what the pages say, by entry
	pageReadsBegun   uint64            // readings of all pages begun
	readingPages     bool
	pagesLoaded      bool // all of them, at least once
	nextPageRead     time.Time
	upgrade          recordUpgrade

	highestToken uint64 // the highest that any worker has shown here

	machines        map[string]*machine
	lastHeartbeat   time.Time  // when a machine of the block last reported
	sortedMachines  []*machine // the block by name, see machineOrder
	sortStale       bool
	foreignWorkers  map[string]*foreignWorker
	urgentMachines  map[string]bool      // machines with commands that should go out at once
	toProbe         map[string]bool      // machines to be asked for their tasks
	probesInFlight  int                  // such questions under way
	zoneCutOffUntil map[string]time.Time // zones whose machines may yet come back together

	used            map[string]sched.Resources // by team
	lastStart       map[string]time.Time       // when something of each team was last started
	stopping        map[string]sched.Resources // the part of used that is being stopped
	classes         map[string]*classStats
	Served          servicereport.Tally
	inflow          sched.Inflow
	placeDue        bool
	placedAt        time.Time
	preemptedAt     time.Time
	overdueLoggedAt time.Time         // when an overdue job was last said to be passed over
	scored          []scoredCandidate // reused by placeTasks
	movesCheckedAt  time.Time         // when jobs that could move were last looked for, see move.go
}

// New returns the role of an owner that has no jobs and no machines yet.
func New(loop *eventloop.Loop, view *cluster.View, hold *blocklease.Holder, records JobRecords, log *slog.Logger) *Owner {
	return &Owner{loop: loop, view: view, blockLease: hold, records: records, log: log,
		jobs:              map[string]*Job{},
		partitions:        map[string]uint64{},
		handoverOfferedAt: map[string]time.Time{},
		pendingEnds:       map[string]bool{},
		pageByEntry:       map[string]*page{},
		completedByEntry:  map[string][]byte{},
		machines:          map[string]*machine{},
		foreignWorkers:    map[string]*foreignWorker{},
		urgentMachines:    map[string]bool{},
		toProbe:           map[string]bool{},
		zoneCutOffUntil:   map[string]time.Time{},
		used:              map[string]sched.Resources{},
		lastStart:         map[string]time.Time{},
		stopping:          map[string]sched.Resources{},
		classes:           map[string]*classStats{},
	}
}

// ChangesKnown notes that all changes of jobs up to a revision, and all made before a moment,
// have been taken in.
func (o *Owner) ChangesKnown(revision uint64, at time.Time) {
	o.knownRevision = max(o.knownRevision, revision)
	if at.After(o.changesKnownUntil) {
		o.changesKnownUntil = at
	}
}

// CancellationsKnown notes that all cancellations told to their users before a moment are known.
func (o *Owner) CancellationsKnown(at time.Time) {
	if at.After(o.cancellationsKnownUntil) {
		o.cancellationsKnownUntil = at
	}
}

// MachineCount tells how many machines are in the block.
func (o *Owner) MachineCount() int { return len(o.machines) }

// Job returns a job that is not over, or whose tasks are not all gone, or nil.
func (o *Owner) Job(id string) *Job { return o.jobs[id] }

// Jobs are the jobs by id, not to be changed.
func (o *Owner) Jobs() map[string]*Job { return o.jobs }

// RecordInfo is what a job's record bears beside itself.
type RecordInfo struct {
	Version      uint64
	FirstVersion uint64 // version under which it was first stored; 0: this one
	Form         int    // of its envelope; 0: it has none
}

// ApplyJob takes in a job's record.
func (o *Owner) ApplyJob(rec wire.JobRecord, at RecordInfo) {
	j := o.jobs[rec.ID]
	if j == nil {
		j = &Job{firstVersion: at.FirstVersion, waitSince: o.loop.Now}
		if at.FirstVersion == 0 {
			j.firstVersion = at.Version
		}
		o.jobs[rec.ID] = j
		if rec.Shape != wire.Daemon { // one is never done; its processors are taken off what there is
			o.inflow.Add(time.UnixMilli(rec.SubmittedAtMs), float64(rec.Tasks)*rec.CPUs*max(1, o.estimatedRunSeconds(&rec)))
		}
	}
	if at.Version <= j.Version {
		return
	}
	mine, moved := o.Owns(j), j.Version != 0 && j.Record.Shard != rec.Shard
	j.Record, j.Version, j.envelopeForm = rec, at.Version, at.Form
	if moved {
		o.handleMoved(j, at, mine)
	}
	o.adoptJob(j)
}

// StorePending stores completed tasks and the ends of jobs, and reads what earlier
// owners stored. It is called with every tick.
func (o *Owner) StorePending() {
	o.readPages()
	o.storeJobEnds()
	o.upgradePages()
	o.moveJobs()
	o.flushPages()
	o.upgradeRecords()
}

// CheckMachines looks after the machines. It is called with every tick.
func (o *Owner) CheckMachines() {
	o.checkMachines()
	o.probeWorkers()
	o.placeDue = true
}

// PlaceAndSend places what waits, unless that was done a moment ago, and sends what
// should not wait for reports. It ends every step.
func (o *Owner) PlaceAndSend() {
	o.placeSoon()
	o.sendCommands()
}

// ApplyBlock takes in a newer lease value, in which the block is this process's:
// the machines it holds, those that are recalled, and the homes that it has.
func (o *Owner) ApplyBlock(b wire.Block) {
	held := make(map[string]bool, len(b.Machines)+len(b.Unreconciled))
	for _, name := range b.Machines {
		held[name] = true
		o.addMachine(name, false)
	}
	for _, name := range b.Unreconciled {
		held[name] = true
		o.addMachine(name, true)
	}
	recalled := map[string]bool{}
	for _, name := range b.Draining {
		recalled[name] = true
	}
	for name, m := range o.machines {
		switch {
		case held[name]:
			m.draining = recalled[name]
		case m.released:
			delete(o.machines, name)
			o.sortStale = true
		default:
			// A machine leaves a block without being given back only when
			// the cloud has confirmed that it is gone.
			o.removeMachine(m)
		}
	}
	o.assignPartitions()
	o.placeDue = true
	o.answerPendingForeign(false)
}

// ReleasesMachines tells whether a machine of the block is to go back to the leader.
func (o *Owner) ReleasesMachines() bool {
	for _, m := range o.machines {
		if m.released {
			return true
		}
	}
	return false
}

// take takes a machine into the block. A dirty one may run tasks that this
// controller knows nothing of.
func (o *Owner) addMachine(name string, dirty bool) {
	if o.machines[name] != nil {
		return
	}
	m := &machine{name: name, attempts: map[attemptKey]*attempt{}, lastHeartbeat: o.loop.Now, idleSince: o.loop.Now,
		needsReconciliation: dirty, firstToken: o.blockLease.Token(0)}
	if len(o.machines) == 0 {
		o.lastHeartbeat = o.loop.Now // from now on there is something to hear
	}
	o.machines[name] = m
	o.sortStale = true
	if dirty {
		o.blockLease.RequestRenewal() // the leader can tell how to reach it
	}
	g := o.foreignWorkers[name]
	if g == nil {
		return
	}
	if !dirty {
		m.machineType, m.zone, m.spot = g.heartbeat.Type, g.heartbeat.Zone, g.heartbeat.Spot
	}
	o.learnEndpoint(m, &peerpb.MachineInfo{Endpoint: g.heartbeat.Endpoint, Type: g.heartbeat.Type, Zone: g.heartbeat.Zone, Spot: g.heartbeat.Spot, AgentEpoch: g.heartbeat.AgentEpoch})
}

// settle takes over the homes that the lease value gives this controller.
func (o *Owner) assignPartitions() {
	homes := o.view.Lease.Partitions
	for home := range o.partitions {
		if homes[home] != o.view.Self {
			delete(o.partitions, home)
			o.releasePartition(home)
		}
	}
	gained := map[string]bool{}
	for home, node := range homes {
		if _, known := o.partitions[home]; node == o.view.Self && !known {
			o.partitions[home], gained[home] = o.view.LeaseVersion, true
		}
	}
	if len(gained) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(o.jobs) {
		if j := o.jobs[id]; gained[j.partition()] {
			o.adoptJob(j)
		}
	}
	o.readPages()
}

// ReleaseBlock forgets all that the right to a block was the ground of.
func (o *Owner) ReleaseBlock() {
	clear(o.machines)
	o.sortStale = true
	clear(o.used)
	clear(o.partitions)
	for id, j := range o.jobs {
		j.clearOwnerState()
		if j.Ended {
			delete(o.jobs, id)
		}
	}
}
