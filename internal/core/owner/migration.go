package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// A partition is handed over only when nothing of it runs (handover.go), so where a team's
// jobs are sharded a job could wait for good for room that another controller's machines
// have. A job of which nothing is anywhere is moved by itself: its owner, which could start
// it at that moment and so knows that it is nowhere, has its record name a partition of the
// controller with room.
//
// The record is written under its version, and under that of the lease value by which the
// owner has the job and the other controller has that partition. From then on the owner
// starts nothing of it until it knows for certain what became of the write: a late one is
// void as soon as the lease value has changed. To the new owner it is a job accepted under
// its ownership, of which nothing can run; or, if tasks of it are completed, which must be
// stored and only an envelope can say, one older than any partition, whose pages it reads
// first. A controller that gets either partition by a lease value that it may read before
// the watch has shown the record starts what was there before only once all changes up to
// that value are known (changesCurrent).
//
// All controllers have to be there and know of this: an earlier version that took over the
// former partition would not wait. It needs no feature level, as it ends with the first
// frame that does not say so.

const (
	// moveCheckInterval spaces the looks for jobs that could be moved, of which one is.
	moveCheckInterval = time.Second
	// roomStableFor is for how long others must have published room: between the end of a
	// task and the start of the next there is always some.
	roomStableFor = 3 * time.Second
)

// changesCurrent reports whether everything is known of the job that was stored before its
// partition was assigned to this controller.
func (o *Owner) changesCurrent(j *Job) bool {
	ownedSince := o.partitions.owned[j.partition()]
	return j.firstVersion > ownedSince || o.known.revision >= ownedSince
}

// moveCheck is one look for jobs that could be moved, with what is the same for all of them.
type moveCheck struct {
	owner        *Owner
	unreconciled []*machine
	unknownUse   unknownUse          // of what may run on them
	reservations map[string]*Job     // by machine
	shards       map[string][]string // partitions by team
}

// moveJobs moves a job that waits here without room to a controller that has some. It is
// called with every tick.
func (o *Owner) moveJobs() {
	o.resolveUncertainMoves()
	if o.loop.Now.Sub(o.movesCheckedAt) < moveCheckInterval || !o.blockLease.MayStart(o.loop.Now) || !o.allPeersAcceptMoves() {
		return
	}
	o.movesCheckedAt = o.loop.Now
	c := o.newMoveCheck()
	for _, j := range o.readyJobs() {
		controller, partition := "", ""
		if c.movable(j) {
			controller, partition = c.roomElsewhere(j)
		}
		switch {
		case partition == "" || c.roomHere(j):
			j.roomElsewhereSince = time.Time{}
		case j.roomElsewhereSince.IsZero():
			j.roomElsewhereSince = o.loop.Now
		case o.loop.Now.Sub(j.roomElsewhereSince) >= roomStableFor:
			o.moveJob(j, controller, partition)
			return
		}
	}
}

func (o *Owner) newMoveCheck() *moveCheck {
	unreconciled := o.workers.unreconciled()
	return &moveCheck{
		owner:        o,
		unreconciled: unreconciled,
		unknownUse:   o.maxUse(unreconciled),
		reservations: o.reservations(),
		shards:       map[string][]string{},
	}
}

// allPeersAcceptMoves reports whether every other controller of the settings is reachable
// and knows that jobs are moved.
func (o *Owner) allPeersAcceptMoves() bool {
	for name, p := range o.view.Peers {
		if !p.AcceptsJobMoves || !o.view.IsReachable(name, o.loop.Now) {
			return false
		}
	}
	return true
}

// movable reports whether the job has waited here for long although its team's limit allows
// for a task of it, and may leave: nothing of it is anywhere, and everything that is
// completed is stored. A gang needs room for all its tasks, which others do not publish.
func (c *moveCheck) movable(j *Job) bool {
	o := c.owner
	if j.Record.Shape == wire.Group || j.EndInFlight || j.likelyFaulty() || len(j.attempts) > 0 {
		return false
	}
	return c.waitedLong(j) && o.completionsMovable(j) && !o.waitsForReconciliation(j, c.unreconciled) &&
		o.view.LimitOf(j.Record.Team).Allows(o.clusterUse(j.Record.Team), j.need()) &&
		o.limitAllows(j, c.unknownUse)
}

// waitedLong reports whether the job has waited here for long enough to be moved.
func (c *moveCheck) waitedLong(j *Job) bool {
	since := j.waitSince
	if j.readySince.After(since) {
		since = j.readySince
	}
	return c.owner.loop.Now.Sub(since) > c.owner.view.Params.MoveJobAfter
}

// completionsMovable reports whether another owner would find what is completed of the job.
func (o *Owner) completionsMovable(j *Job) bool {
	return j.doneCount == 0 || (o.view.FeatureOpen(feature.Envelope) && j.allStored())
}

// roomHere reports whether a machine of the block has room for a task of the job that is not
// reserved for others.
func (c *moveCheck) roomHere(j *Job) bool {
	o := c.owner
	for _, m := range o.workers.machinesByName() {
		if !j.need().Fits(m.free()) || !o.feasible(j, m) {
			continue
		}
		open, overdueOnly := o.offersRoom(m, c.reservations)
		if open && (!overdueOnly || o.waitsLong(j)) || c.reservations[m.name] == j && o.usable(m) {
			return true
		}
	}
	return false
}

// roomElsewhere returns the controller that has most room on one machine for a task of the
// job, and the first partition of the job's team there; empty if no other has room.
func (c *moveCheck) roomElsewhere(j *Job) (controller, partition string) {
	o, team := c.owner, j.Record.Team
	shards, known := c.shards[team]
	if !known {
		shards = cluster.Shards(o.view.Lease.Partitions, team)
		c.shards[team] = shards
	}
	maxCPUs := 0.0
	for _, shard := range shards {
		holder := o.view.Lease.Partitions[shard]
		if holder == o.view.Self || holder == controller || o.view.Peers[holder] == nil {
			continue
		}
		if s := o.slotFor(j, holder); s != nil && s.Free.CPUs > maxCPUs {
			controller, partition, maxCPUs = holder, shard, s.Free.CPUs
		}
	}
	return controller, partition
}

// slotFor returns the roomiest slot of a controller that a task of the job fits, or nil.
func (o *Owner) slotFor(j *Job, controller string) (best *cluster.FreeSlot) {
	slots := o.view.Peers[controller].FreeSlots
	for i := range slots {
		s := &slots[i]
		m := machine{machineType: s.MachineType, zone: s.Zone, spot: s.Spot}
		fits := (!s.LongWaitOnly || o.waitsLong(j)) && j.mayRunOn(&m) && j.need().Fits(s.Free)
		if fits && (best == nil || s.Free.CPUs > best.Free.CPUs) {
			best = s
		}
	}
	return best
}

// moveJob has the job's record name a partition of another controller.
func (o *Owner) moveJob(j *Job, controller, partition string) {
	rec := j.Record
	rec.Shard, rec.Owner = partition, controller
	info := RecordInfo{}
	if j.doneCount > 0 {
		info.FirstVersion = olderThanAnyPartition // the new owner reads what is completed
	}
	value, form, err := o.movedRecord(&rec, info.FirstVersion)
	if err != nil {
		o.log.Error("cannot encode moved job record", "job", rec.ID, "err", err)
		return
	}
	info.Form = form
	// Until the other controller publishes new figures the job counts against its slot.
	s := o.slotFor(j, controller)
	s.Free = s.Free.Add(j.need(), -1)
	key := o.records.JobKey(rec.ID)
	j.movingAtLease, j.roomElsewhereSince = o.view.LeaseVersion, time.Time{}
	o.loop.Emit(eventloop.StateTxn{
		Txn: wire.Txn{
			If:   append(o.records.LeaseUnchanged(), wire.Condition{Key: key, Version: j.Version}),
			Then: []wire.Op{{Put: key, Value: value}},
		},
		ID: o.loop.OnCompletion(func(d eventloop.Completion) {
			switch d.Outcome {
			case eventloop.Succeeded:
				o.log.Info("job moved", "job", rec.ID, "tasks", rec.Tasks, "duration", j.age(o.loop.Now).Round(time.Second), "controller", controller)
				if info.Version = d.Txn.Revision; !j.Ended {
					o.ApplyJob(rec, info)
				}
			case eventloop.NoAnswer: // it may have moved, or still will: see resolveUncertainMoves
			default:
				j.movingAtLease = 0
			}
		}),
	})
}

// movedRecord returns the value to be stored for a record that moves, and the form of its
// envelope.
func (o *Owner) movedRecord(rec *wire.JobRecord, firstVersion wire.Revision) (value any, form int, err error) {
	value, err = wire.WithFields(*rec, rec.Unknown)
	if err != nil || !o.view.FeatureOpen(feature.Envelope) {
		return value, 0, err
	}
	env, err := wire.Wrap(value, o.view.Lease.Generation, firstVersion)
	return env, env.Form, err
}

// resolveUncertainMoves goes on with jobs whose move had no answer: the write can be carried
// out no more once the lease value has changed, and if it was, that is known once all changes
// up to then are.
func (o *Owner) resolveUncertainMoves() {
	for _, j := range o.jobs {
		if j.movingAtLease != 0 && o.view.LeaseVersion > j.movingAtLease && o.known.revision >= o.view.LeaseVersion {
			j.movingAtLease = 0
		}
	}
}

// handleMoved applies that a job's record names another partition than before; wasOwned says
// that the former one was this controller's. Its former owner knew that nothing of the job
// was anywhere.
func (o *Owner) handleMoved(j *Job, info RecordInfo, wasOwned bool) {
	j.movingAtLease, j.roomElsewhereSince, j.reservedMachine = 0, time.Time{}, ""
	j.firstVersion = info.firstVersion()
	if wasOwned && !o.Owns(j) {
		j.clearOwnerState()
	}
}

// slotGroup is machines that are alike to every job.
type slotGroup struct {
	machineType, zone string
	spot, overdueOnly bool
}

// roomiest is the machine with most room of one resource.
type roomiest struct {
	machine *machine
	free    sched.Resources
}

// slotResources are the resources for each of which a group publishes its roomiest machine.
var slotResources = [...]func(sched.Resources) float64{
	func(r sched.Resources) float64 { return r.CPUs },
	func(r sched.Resources) float64 { return r.GPUs },
	func(r sched.Resources) float64 { return r.MemoryGB },
}

// FreeSlots returns, for each group of like machines of the block, those with most room of
// each resource.
func (o *Owner) FreeSlots() []*peerpb.FreeSlot {
	reservations := o.reservations()
	best := o.roomiestMachines(reservations)
	var slots []*peerpb.FreeSlot
	for _, m := range o.workers.machinesByName() {
		_, overdueOnly := o.offersRoom(m, reservations)
		for _, b := range best[slotGroup{m.machineType, m.zone, m.spot, overdueOnly}] {
			if b.machine != m {
				continue
			}
			slots = append(slots, &peerpb.FreeSlot{
				Type: m.machineType, Zone: m.zone, Spot: m.spot, OverdueOnly: overdueOnly,
				Cpus: b.free.CPUs, Gpus: b.free.GPUs, MemoryGb: b.free.MemoryGB,
			})
			break // once, also if it has most room of several resources
		}
	}
	return slots
}

// roomiestMachines returns the machines with most room of each resource, by group.
func (o *Owner) roomiestMachines(reservations map[string]*Job) map[slotGroup][]roomiest {
	best := map[slotGroup][]roomiest{}
	for _, m := range o.workers.machinesByName() {
		open, overdueOnly := o.offersRoom(m, reservations)
		if !open || len(m.attempts) >= maxAttemptsPerMachine {
			continue
		}
		group, free := slotGroup{m.machineType, m.zone, m.spot, overdueOnly}, m.free()
		if best[group] == nil {
			best[group] = make([]roomiest, len(slotResources))
		}
		for i, amount := range slotResources {
			if b := &best[group][i]; amount(free) > amount(b.free) {
				*b = roomiest{m, free}
			}
		}
	}
	return best
}

// offersRoom reports whether a machine takes tasks for which it is not reserved, and whether
// only those of jobs that have waited for long (accepts).
func (o *Owner) offersRoom(m *machine, reservations map[string]*Job) (open, overdueOnly bool) {
	reserved := reservations[m.name]
	return o.canRunTasks(m) && (reserved == nil || o.reservationShared(reserved)), m.draining() || reserved != nil
}
