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
	loop    *eventloop.Loop
	view    *cluster.View
	hold    *blocklease.Holder
	records JobRecords
	log     *slog.Logger

	fresh   time.Time // all changes of jobs before this time are known
	seen    uint64    // and all up to this revision
	clear   time.Time // and all cancellations that were told before this one
	jobs    map[string]*Job
	homes   map[string]uint64    // home -> version of the lease value with which it became ours
	offered map[string]time.Time // when each home was last offered, see yield.go
	writing int                  // ends under way
	ending  map[string]bool      // jobs whose end is to be stored

	// The pages of completed tasks, see pages.go.
	pages     []*page
	pageOf    map[string]*page  // by entry
	facts     map[string][]byte // what the pages say, by entry
	pageReads uint64            // readings of all pages begun
	pagesBusy bool
	pagesRead bool // all of them, at least once
	pagesNext time.Time
	rewriting rewriting

	token uint64 // the highest that any worker has shown here

	machines  map[string]*machine
	reported  time.Time  // when a machine of the block last reported
	order     []*machine // the block by name, see machineOrder
	orderDue  bool
	guests    map[string]*guest
	hurried   map[string]bool      // machines with commands that should go out at once
	strangers map[string]bool      // machines to be asked for their tasks
	asking    int                  // such questions under way
	cutUntil  map[string]time.Time // zones whose machines may yet come back together

	used      map[string]sched.Resources // by team
	startedAt map[string]time.Time       // when something of each team was last started
	stopping  map[string]sched.Resources // the part of used that is being stopped
	classes   map[string]*classStats
	Served    servicereport.Tally
	inflow    sched.ArrivalCounter
	placeDue  bool
	placedAt  time.Time
	preemptAt time.Time
	passedAt  time.Time // when an overdue job was last said to be passed over
	choices   []choice  // reused by placeTasks
	movedAt   time.Time // when jobs that could move were last looked for, see move.go
}

// New returns the role of an owner that has no jobs and no machines yet.
func New(loop *eventloop.Loop, view *cluster.View, hold *blocklease.Holder, records JobRecords, log *slog.Logger) *Owner {
	return &Owner{loop: loop, view: view, hold: hold, records: records, log: log,
		jobs:      map[string]*Job{},
		homes:     map[string]uint64{},
		offered:   map[string]time.Time{},
		ending:    map[string]bool{},
		pageOf:    map[string]*page{},
		facts:     map[string][]byte{},
		machines:  map[string]*machine{},
		guests:    map[string]*guest{},
		hurried:   map[string]bool{},
		strangers: map[string]bool{},
		cutUntil:  map[string]time.Time{},
		used:      map[string]sched.Resources{},
		startedAt: map[string]time.Time{},
		stopping:  map[string]sched.Resources{},
		classes:   map[string]*classStats{},
	}
}

// ChangesKnown notes that all changes of jobs up to a revision, and all made before a moment,
// have been taken in.
func (o *Owner) ChangesKnown(revision uint64, at time.Time) {
	o.seen = max(o.seen, revision)
	if at.After(o.fresh) {
		o.fresh = at
	}
}

// CancellationsKnown notes that all cancellations told to their users before a moment are known.
func (o *Owner) CancellationsKnown(at time.Time) {
	if at.After(o.clear) {
		o.clear = at
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
		j = &Job{first: at.FirstVersion, waitSince: o.loop.Now}
		if at.FirstVersion == 0 {
			j.first = at.Version
		}
		o.jobs[rec.ID] = j
		if rec.Shape != wire.Daemon { // one is never done; its processors are taken off what there is
			o.inflow.Add(time.UnixMilli(rec.SubmittedAtMs), float64(rec.Tasks)*rec.CPUs*max(1, o.runSeconds(&rec)))
		}
	}
	if at.Version <= j.Version {
		return
	}
	mine, moved := o.Owns(j), j.Version != 0 && j.Record.Shard != rec.Shard
	j.Record, j.Version, j.form = rec, at.Version, at.Form
	if moved {
		o.moved(j, at, mine)
	}
	o.adopt(j)
}

// StorePending stores completed tasks and the ends of jobs, and reads what earlier
// owners stored. It is called with every tick.
func (o *Owner) StorePending() {
	o.readPages()
	o.endJobs()
	o.rewritePages()
	o.moveJobs()
	o.flushPages()
	o.rewrite()
}

// CheckMachines looks after the machines. It is called with every tick.
func (o *Owner) CheckMachines() {
	o.checkMachines()
	o.askWorkers()
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
		o.take(name, false)
	}
	for _, name := range b.Unreconciled {
		held[name] = true
		o.take(name, true)
	}
	recalled := map[string]bool{}
	for _, name := range b.Draining {
		recalled[name] = true
	}
	for name, m := range o.machines {
		switch {
		case held[name]:
			m.recall = recalled[name]
		case m.gave:
			delete(o.machines, name)
			o.orderDue = true
		default:
			// A machine leaves a block without being given back only when
			// the cloud has confirmed that it is gone.
			o.machineGone(m)
		}
	}
	o.settle()
	o.placeDue = true
	o.releaseGuests(false)
}

// ReleasesMachines tells whether a machine of the block is to go back to the leader.
func (o *Owner) ReleasesMachines() bool {
	for _, m := range o.machines {
		if m.gave {
			return true
		}
	}
	return false
}

// take takes a machine into the block. A dirty one may run tasks that this
// controller knows nothing of.
func (o *Owner) take(name string, dirty bool) {
	if o.machines[name] != nil {
		return
	}
	m := &machine{name: name, runs: map[runKey]*run{}, heard: o.loop.Now, idle: o.loop.Now,
		dirty: dirty, fence: o.hold.Token(0)}
	if len(o.machines) == 0 {
		o.reported = o.loop.Now // from now on there is something to hear
	}
	o.machines[name] = m
	o.orderDue = true
	if dirty {
		o.hold.RequestRenewal() // the leader can tell how to reach it
	}
	g := o.guests[name]
	if g == nil {
		return
	}
	if !dirty {
		m.kind, m.zone, m.spot = g.rep.Type, g.rep.Zone, g.rep.Spot
	}
	o.introduce(m, &peerpb.MachineInfo{Endpoint: g.rep.Endpoint, Type: g.rep.Type, Zone: g.rep.Zone, Spot: g.rep.Spot, AgentEpoch: g.rep.AgentEpoch})
}

// settle takes over the homes that the lease value gives this controller.
func (o *Owner) settle() {
	homes := o.view.Lease.Partitions
	for home := range o.homes {
		if homes[home] != o.view.Self {
			delete(o.homes, home)
			o.leave(home)
		}
	}
	gained := map[string]bool{}
	for home, node := range homes {
		if _, known := o.homes[home]; node == o.view.Self && !known {
			o.homes[home], gained[home] = o.view.LeaseVersion, true
		}
	}
	if len(gained) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(o.jobs) {
		if j := o.jobs[id]; gained[j.home()] {
			o.adopt(j)
		}
	}
	o.readPages()
}

// ReleaseBlock forgets all that the right to a block was the ground of.
func (o *Owner) ReleaseBlock() {
	clear(o.machines)
	o.orderDue = true
	clear(o.used)
	clear(o.homes)
	for id, j := range o.jobs {
		j.disown()
		if j.Ended {
			delete(o.jobs, id)
		}
	}
}
