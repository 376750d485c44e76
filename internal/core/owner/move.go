package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// A home moves only when nothing of it runs (yield.go), so where homes are parted a job
// could wait for good for room that another controller's machines have. A job of which
// nothing is anywhere moves by itself: its owner, who could start it at that moment and so
// knows that it is nowhere, has its record name a home of the controller with room.
//
// The record is written under its version, and under that of the lease value by which
// the owner has the job and the other one has that home. From then on the owner starts
// nothing of it until it is sure what became of the write: a late one is void as soon as
// the lease value has changed. To the new owner it is a job accepted under its ownership,
// of which nothing can run; or, if tasks of it are completed, which must be stored and only
// an envelope can say, one older than any home, whose pages it reads first. Whoever gets
// either home from its holder, by a lease value that may be read before the watch has shown
// the record, starts what was there before only once all changes up to that value are
// known (current).
//
// All controllers have to be there and know of this: an earlier version that took over
// the former home would not wait. It needs no level, as it ends with the first frame
// that does not say so.

const (
	// moveEvery spaces the looks for jobs that could move, of which one does.
	moveCheckInterval = time.Second
	// steadyFor is for how long others must have told of room: between the end of a
	// task and the start of the next there is always some.
	roomStableFor = 3 * time.Second
)

// current tells whether all is known of the job that was stored before its home came
// here.
func (o *Owner) changesCurrent(j *Job) bool {
	since := o.partitions[j.partition()]
	return j.firstVersion > since || o.knownRevision >= since
}

// FreeSlots are, for each type, zone and kind of machine, those of the block with most room
// of each resource.
func (o *Owner) FreeSlots() []*peerpb.FreeSlot {
	type group struct {
		kind, zone string
		spot, late bool
	}
	of := [...]func(a sched.Resources) float64{
		func(a sched.Resources) float64 { return a.CPUs },
		func(a sched.Resources) float64 { return a.GPUs },
		func(a sched.Resources) float64 { return a.MemoryGB },
	}
	type roomiest struct {
		m    *machine
		free sched.Resources
	}
	best := map[group]*[len(of)]roomiest{}
	kept := o.reservations()
	for _, m := range o.machinesByName() {
		open, late := o.offersRoom(m, kept)
		if !open || len(m.attempts) >= maxAttemptsPerMachine {
			continue
		}
		g, free := group{m.machineType, m.zone, m.spot, late}, m.free()
		if best[g] == nil {
			best[g] = &[len(of)]roomiest{}
		}
		for i, amount := range of {
			if b := &best[g][i]; amount(free) > amount(b.free) {
				*b = roomiest{m, free}
			}
		}
	}
	var out []*peerpb.FreeSlot
	for _, m := range o.machinesByName() {
		_, late := o.offersRoom(m, kept)
		b := best[group{m.machineType, m.zone, m.spot, late}]
		if b == nil {
			continue
		}
		if i := slices.IndexFunc(b[:], func(r roomiest) bool { return r.m == m }); i >= 0 {
			free := b[i].free
			out = append(out, &peerpb.FreeSlot{Type: m.machineType, Zone: m.zone, Spot: m.spot, OverdueOnly: late,
				Cpus: free.CPUs, Gpus: free.GPUs, MemoryGb: free.MemoryGB})
		}
	}
	return out
}

// keptOn are the overdue jobs by the machines on which room is kept for them.
func (o *Owner) reservations() map[string]*Job {
	kept := map[string]*Job{}
	for _, j := range o.jobs {
		if j.reservedMachine != "" && o.Owns(j) && o.overdue(j) {
			kept[j.reservedMachine] = j
		}
	}
	return kept
}

// opens tells whether a machine takes tasks that room is not kept for there, and whether
// only those of jobs that have waited for long (takes).
func (o *Owner) offersRoom(m *machine, kept map[string]*Job) (open, late bool) {
	k := kept[m.name]
	return o.canRunTasks(m) && (k == nil || o.reservationShared(k)), m.draining || k != nil
}

// look is one look for jobs that could move, with what is the same for all of them.
type moveCheck struct {
	owner        *Owner
	unreconciled []*machine
	unknownUse   sched.Resources // what may be on them
	reservations map[string]*Job
	shards       map[string][]string // of each team
}

// moveJobs moves a job that waits here without room to a controller that has some. It
// is called with every tick.
func (o *Owner) moveJobs() {
	o.resolveUncertainMoves()
	if o.loop.Now.Sub(o.movesCheckedAt) < moveCheckInterval || !o.blockLease.MayStart(o.loop.Now) || !o.allPeersAcceptMoves() {
		return
	}
	o.movesCheckedAt = o.loop.Now
	l := moveCheck{owner: o, unknownUse: o.unknownUse(), reservations: o.reservations(), shards: map[string][]string{}}
	for _, m := range o.machinesByName() {
		if m.mayRunUnknownTasks() {
			l.unreconciled = append(l.unreconciled, m)
		}
	}
	for _, j := range o.readyJobs() {
		node, part := "", ""
		if l.movable(j) {
			node, part = l.roomElsewhere(j)
		}
		switch {
		case part == "" || l.roomHere(j):
			j.roomElsewhereSince = time.Time{}
		case j.roomElsewhereSince.IsZero():
			j.roomElsewhereSince = o.loop.Now
		case o.loop.Now.Sub(j.roomElsewhereSince) >= roomStableFor:
			o.moveJob(j, node, part)
			return
		}
	}
}

// allFollowMoves tells whether every other controller of the settings is in reach and
// knows that jobs move.
func (o *Owner) allPeersAcceptMoves() bool {
	for name, p := range o.view.Peers {
		if !p.AcceptsJobMoves || !o.view.IsReachable(name, o.loop.Now) {
			return false
		}
	}
	return true
}

// movable tells whether the job has waited here for long though its team's limit allows
// for a task of it, nothing of it is anywhere and all that is completed is stored. A gang needs room for
// all its tasks, of which others do not tell.
func (l *moveCheck) movable(j *Job) bool {
	o, since := l.owner, j.waitSince
	if j.readySince.After(since) {
		since = j.readySince
	}
	return o.loop.Now.Sub(since) > o.view.Params.MoveJobAfter && j.Record.Shape != wire.Group && !j.EndInFlight && !j.likelyFaulty() &&
		len(j.attempts) == 0 && (j.doneCount == 0 || o.view.FeatureOpen(feature.Envelope) && j.allStored()) && !o.waitsForReconciliation(j, l.unreconciled) &&
		o.view.LimitOf(j.Record.Team).Allows(o.clusterUse(j.Record.Team), j.need()) &&
		o.localLimit(j.Record.Team).Allows(o.used[j.Record.Team].Add(l.unknownUse, 1), j.need())
}

// roomHere tells whether a machine of the block has room for a task of the job that is
// not kept for others.
func (l *moveCheck) roomHere(j *Job) bool {
	return slices.ContainsFunc(l.owner.machinesByName(), func(m *machine) bool {
		if !j.need().Fits(m.free()) || !l.owner.feasible(j, m) {
			return false
		}
		open, late := l.owner.offersRoom(m, l.reservations)
		return open && (!late || l.owner.waitsLong(j)) || l.reservations[m.name] == j && l.owner.usable(m)
	})
}

// roomElsewhere names the controller that has most room on one machine for a task of
// the job, and its first home of the job's team; or none.
func (l *moveCheck) roomElsewhere(j *Job) (node, part string) {
	o, team := l.owner, j.Record.Team
	parts, known := l.shards[team]
	if !known {
		parts = cluster.Shards(o.view.Lease.Partitions, team)
		l.shards[team] = parts
	}
	most := 0.0
	for _, home := range parts {
		to := o.view.Lease.Partitions[home]
		if to == o.view.Self || to == node || o.view.Peers[to] == nil {
			continue
		}
		if s := o.slotFor(j, to); s != nil && s.Free.CPUs > most {
			node, part, most = to, home, s.Free.CPUs
		}
	}
	return node, part
}

// slotFor is the roomiest slot of a controller that a task of the job fits, or nil.
func (o *Owner) slotFor(j *Job, node string) (best *cluster.FreeSlot) {
	slots := o.view.Peers[node].FreeSlots
	for i := range slots {
		s := &slots[i]
		m := machine{machineType: s.MachineType, zone: s.Zone, spot: s.Spot}
		if (!s.OverdueOnly || o.waitsLong(j)) && j.mayRunOn(&m) && j.need().Fits(s.Free) && (best == nil || s.Free.CPUs > best.Free.CPUs) {
			best = s
		}
	}
	return best
}

// move has the job's record name a home of another controller.
func (o *Owner) moveJob(j *Job, node, part string) {
	rec := j.Record
	rec.Shard, rec.Owner = part, node
	at := RecordInfo{}
	if j.doneCount > 0 {
		at.FirstVersion = 1 // older than any home: the new owner reads what is completed
	}
	value, err := wire.WithFields(rec, rec.Unknown)
	if err == nil && o.view.FeatureOpen(feature.Envelope) {
		var env wire.Envelope
		env, err = wire.Wrap(value, o.view.Lease.Generation, at.FirstVersion)
		value, at.Form = env, env.Form
	}
	if err != nil {
		o.log.Error("record of a job that moves", "job", rec.ID, "err", err)
		return
	}
	// Until the other one tells its new figures the job counts against them.
	s := o.slotFor(j, node)
	s.Free = s.Free.Add(j.need(), -1)
	key := o.records.JobKey(rec.ID)
	j.movingAtLease, j.roomElsewhereSince = o.view.LeaseVersion, time.Time{}
	o.loop.Emit(eventloop.StateTxn{
		Txn: wire.Txn{If: append(o.records.LeaseUnchanged(), wire.Condition{Key: key, Version: j.Version}), Then: []wire.Op{{Put: key, Value: value}}},
		ID: o.loop.Call(func(d eventloop.Completion) {
			switch d.Outcome {
			case eventloop.Succeeded:
				o.log.Info("job moved", "job", rec.ID, "tasks", rec.Tasks, "waits", j.age(o.loop.Now).Round(time.Second), "to", node)
				if at.Version = d.Txn.Revision; !j.Ended {
					o.ApplyJob(rec, at)
				}
			case eventloop.NoAnswer: // perhaps it does move, or will: see settleMoves
			default:
				j.movingAtLease = 0
			}
		}),
	})
}

// settleMoves goes on with jobs that were to move and whose write had no answer: it can
// be carried out no more once the lease value has changed, and if it was, that is known
// once all changes up to then are.
func (o *Owner) resolveUncertainMoves() {
	for _, j := range o.jobs {
		if j.movingAtLease != 0 && o.view.LeaseVersion > j.movingAtLease && o.knownRevision >= o.view.LeaseVersion {
			j.movingAtLease = 0
		}
	}
}

// moved takes in that a job's record names another home than before; mine says that it
// was this controller's. Its former owner knew that nothing of it was anywhere.
func (o *Owner) handleMoved(j *Job, at RecordInfo, mine bool) {
	j.movingAtLease, j.roomElsewhereSince, j.reservedMachine = 0, time.Time{}, ""
	if j.firstVersion = at.FirstVersion; at.FirstVersion == 0 {
		j.firstVersion = at.Version
	}
	if mine && !o.Owns(j) {
		j.clearOwnerState()
	}
}
