package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// newCrowdedOwner returns an owner of one machine, which is full and has reported, with a job
// that has waited for long while another controller has room. The machines of unreconciled
// have not reported.
func newCrowdedOwner(t *testing.T, unreconciled wire.NameSet) (o *Owner, waits *Job, now time.Time) {
	t.Helper()
	o, now = newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1", Blocks: map[string]wire.Block{
		"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}, Unreconciled: unreconciled}, "n1": {Grant: 1<<18 + 1, Incarnation: 7}},
		Partitions: map[string]string{"free": "n0", "free #1": "n0", "free #2": "n1"}})
	renewLease(o)
	m := o.workers.machines["host-000001"]
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
	o.bind(submitSharded(o, "wk-000001", 6, 4, now), m)
	waits = submitSharded(o, "wk-000002", 7, 3, now)
	*o.view.Peers["n1"] = cluster.Peer{AcceptsJobMoves: true, FreeSlots: []cluster.FreeSlot{{MachineType: "s4", Zone: "y", Free: sched.Resources{CPUs: 4, MemoryGB: 16}}}}
	return o, waits, now
}

// submitSharded stores a job of one task, filed under the first shard of its team.
func submitSharded(o *Owner, id string, version wire.Revision, cpus float64, at time.Time) *Job {
	o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 1, CPUs: cpus, MemoryGB: 1},
		Shard: "free #1", Owner: "n0", SubmittedAtMs: at.UnixMilli()}, RecordInfo{Version: version})
	return o.jobs[id]
}

// playUntilMove has the owner go on for some time and returns the first transaction that moves a
// job.
func playUntilMove(o *Owner, now time.Time, length time.Duration) *eventloop.StateTxn {
	for end := now.Add(length); now.Before(end); now = now.Add(500 * time.Millisecond) {
		o.loop.Begin(now)
		renewLease(o)
		o.ChangesKnown(o.view.LeaseVersion, now)
		for _, m := range o.workers.machines {
			m.lastHeartbeat = now
		}
		o.view.Peers["n1"].LastFrame = now
		for _, e := range tick(o, now) {
			if x, ok := e.(eventloop.StateTxn); ok && x.Txn.Then[0].Put == "fc/j/wk-000002" {
				return &x
			}
		}
	}
	return nil
}

// TestJobsMoveOnlyFromNowhere: a job is moved from a full block to a controller with room, once
// it has waited, and not while something of it may be anywhere, while a peer is unreachable or of
// a version that does not know of it, or if room is not the reason.
func TestJobsMoveOnlyFromNowhere(t *testing.T) {
	for _, c := range []struct {
		name         string
		unreconciled wire.NameSet
		change       func(o *Owner, j *Job)
		moves        bool
	}{
		{"as it should", nil, func(*Owner, *Job) {}, true},
		{"another machine has not reported, the job came since", wire.NameSet{"host-000002"}, func(*Owner, *Job) {}, true},
		{"another machine has not reported, the job came before", wire.NameSet{"host-000002"}, func(o *Owner, j *Job) { j.firstVersion = 4 }, false},
		{"a task is completed, no envelopes yet", nil, func(o *Owner, j *Job) { j.doneCount = 1 }, false},
		{"a task is completed and stored", nil, func(o *Owner, j *Job) {
			o.view.Lease.Level, o.view.Lease.Confirmed = 2, 2
			j.envelopeForm, j.doneCount, j.done[0], j.stored[0] = wire.EnvelopeForm, 1, 1, 1
		}, true},
		{"a task is completed and not stored", nil, func(o *Owner, j *Job) {
			o.view.Lease.Level, o.view.Lease.Confirmed = 2, 2
			j.envelopeForm, j.doneCount, j.done[0] = wire.EnvelopeForm, 1, 1
		}, false},
		{"a task is somewhere", nil, func(o *Owner, j *Job) { j.attempts[0] = &attempt{job: j, machine: o.workers.machines["host-000001"]} }, false},
		{"a gang", nil, func(o *Owner, j *Job) { j.Record.Shape = wire.Group }, false},
		{"a mistaken job", nil, func(o *Owner, j *Job) { j.failedOn = map[string]bool{"a": true, "b": true, "c": true} }, false},
		{"its end is being stored", nil, func(o *Owner, j *Job) { j.EndInFlight = true }, false},
		{"room for less", nil, func(o *Owner, j *Job) { o.view.Peers["n1"].FreeSlots[0].Free.CPUs = 2 }, false},
		{"room in another zone", nil, func(o *Owner, j *Job) { j.Record.Zone = "x" }, false},
		{"room on spot machines", nil, func(o *Owner, j *Job) { o.view.Peers["n1"].FreeSlots[0].Spot = true }, false},
		{"no partition there", nil, func(o *Owner, j *Job) { delete(o.view.Lease.Partitions, "free #2") }, false},
		{"an earlier version", nil, func(o *Owner, j *Job) { o.view.Peers["n1"].AcceptsJobMoves = false }, false},
		{"one is out of reach", nil, func(o *Owner, j *Job) { o.view.Peers["n2"] = &cluster.Peer{AcceptsJobMoves: true} }, false},
		{"the team is at its limit", nil, func(o *Owner, j *Job) { o.view.Settings.Cluster.Teams[0].CPUsMax = 5 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, j, now := newCrowdedOwner(t, c.unreconciled)
			c.change(o, j)
			if x := playUntilMove(o, now, o.view.Params.MoveJobAfter); x != nil {
				t.Error("moves before its time")
			}
			if x := playUntilMove(o, now.Add(o.view.Params.MoveJobAfter), 20*time.Second); (x != nil) != c.moves {
				t.Errorf("moves: %v, want %v", x != nil, c.moves)
			}
		})
	}
}

// TestMoveInDoubt: the write that moves a job has no answer. Nothing of the job is started here
// until the lease value has changed and everything is known up to then; after a refusal the job
// goes on at once.
func TestMoveInDoubt(t *testing.T) {
	for _, c := range []struct {
		name           string
		outcome        eventloop.Outcome
		version, known wire.Revision // of the lease value, and up to which all changes are
		goesOn         bool
	}{
		{"no answer", eventloop.NoAnswer, 5, 90, false},
		{"no answer, the value has changed", eventloop.NoAnswer, 9, 8, false},
		{"no answer, all is known", eventloop.NoAnswer, 9, 9, true},
		{"refused", eventloop.Conflict, 5, 5, true},
		{"stored", eventloop.Succeeded, 5, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, j, now := newCrowdedOwner(t, nil)
			x := playUntilMove(o, now, time.Minute)
			if x == nil {
				t.Fatal("does not move")
			}
			at := o.loop.Now
			complete(o, at, eventloop.Completion{ID: x.ID, FromStateService: true, Outcome: c.outcome, Txn: wire.TxnAnswer{Revision: 8}})
			rec := o.view.Lease
			o.view.ApplyLease(rec, c.version)
			o.loop.Begin(at)
			full := o.jobs["wk-000001"]
			o.EndJob(full)
			for _, r := range full.attempts { // room at last
				o.dropAttempt(r, attemptReportedEnded)
			}
			o.known.revision = c.known
			o.view.Peers["n1"].AcceptsJobMoves = false
			for range 10 {
				at = at.Add(200 * time.Millisecond)
				o.loop.Begin(at)
				o.ChangesKnown(0, at)
				o.workers.machines["host-000001"].lastHeartbeat = at
				tick(o, at)
			}
			if len(j.attempts) > 0 != c.goesOn {
				t.Errorf("%d tasks placed, want %v", len(j.attempts), c.goesOn)
			}
		})
	}
}

// TestTakenOverBeforeTheMoveIsSeen: a partition is assigned to this controller by a lease value
// that was read before the watch has shown that one of its jobs was moved away before. The job is
// started elsewhere, and not here; one that was not moved is started once all changes up to the
// value are known.
func TestTakenOverBeforeTheMoveIsSeen(t *testing.T) {
	for _, moved := range []bool{false, true} {
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}},
			Partitions: map[string]string{"free #1": "n1", "free #2": "n1"}})
		m := o.workers.machines["host-000001"]
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
		j := submitSharded(o, "wk-000001", 6, 1, now)
		rec := o.view.Lease.Clone()
		rec.Partitions["free #1"] = "n0"
		o.view.ApplyLease(rec, 20)
		o.ApplyBlock(rec.Blocks["n0"])
		o.markReady(j) // what earlier owners stored is read
		play := func() {
			for range 10 {
				now = now.Add(200 * time.Millisecond)
				o.loop.Begin(now)
				renewLease(o)
				o.ChangesKnown(0, now)
				m.lastHeartbeat = now
				tick(o, now)
			}
		}
		if play(); len(j.attempts) > 0 {
			t.Errorf("moved %v: started at revision %d", moved, o.known.revision)
		}
		if moved {
			later := j.Record
			later.Shard = "free #2"
			o.ApplyJob(later, RecordInfo{Version: 15})
		}
		o.ChangesKnown(20, now)
		if play(); len(j.attempts) > 0 == moved {
			t.Errorf("moved %v: %d tasks are placed", moved, len(j.attempts))
		}
	}
}

// TestCompletedTasksAreReadFirst: a job that moves here with completed tasks is started only once
// they have been read; one without is ready at once.
func TestCompletedTasksAreReadFirst(t *testing.T) {
	for _, born := range []wire.Revision{0, 1} {
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}, Partitions: map[string]string{"free #1": "n1", "free #2": "n0"}})
		j := submitSharded(o, "wk-000001", 6, 1, now)
		later := j.Record
		later.Shard = "free #2"
		if o.ApplyJob(later, RecordInfo{Version: 8, FirstVersion: born}); j.ready() == (born == 1) || j.awaitsPages() != (born == 1) {
			t.Errorf("first stored under %d: ready %v, being read %v", born, j.ready(), j.awaitsPages())
		}
	}
}
