package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// writes returns the operations of the transactions among the effects of a step.
func writes(o *Owner) (ops []wire.Op, ids []uint64) {
	for _, e := range o.loop.Effects() {
		if txn, ok := e.(eventloop.StateTxn); ok {
			ops, ids = append(ops, txn.Txn.Then...), append(ids, txn.ID)
		}
	}
	return ops, ids
}

// cancelWithRecord ends a job as cancelled, with its record.
func cancelWithRecord(o *Owner, j *Job, at time.Time) {
	o.loop.Begin(at)
	o.EndJob(j)
	o.ApplyCancellation(j.Record.ID, NewCancellationRecord(j, at), 9)
}

// TestCancellationRecordIsRemovedOnceTasksAreGone guards against a record that is removed while a task of
// its job may be on a machine, or stays when none can be; and against one that names no machine though
// the tasks do not end.
func TestCancellationRecordIsRemovedOnceTasksAreGone(t *testing.T) {
	o, _, now := newBlock(t, 2)
	j := submitArray(o, "wk-000001", "standard", 1, 3, now)
	tick(o, now.Add(200*time.Millisecond))
	if len(j.attempts) != 1 {
		t.Fatalf("%d attempts", len(j.attempts))
	}
	name := j.attempts[0].machine.name
	cancelWithRecord(o, j, now.Add(time.Second))
	o.loop.Begin(now.Add(1500 * time.Millisecond))
	o.storeTasksGone()
	if ops, _ := writes(o); len(ops) != 0 {
		t.Fatalf("written at once: %v", ops)
	}
	o.loop.Begin(now.Add(4 * time.Second))
	o.storeTasksGone()
	ops, ids := writes(o)
	if len(ops) != 1 || ops[0].Put != "fc/c/wk-000001" {
		t.Fatalf("written while the task is left: %v", ops)
	}
	rec := ops[0].Value.(wire.CancellationRecord)
	if len(rec.Machines) != 1 || rec.Machines[0] != name || rec.CancelledAtMs != now.Add(time.Second).UnixMilli() {
		t.Errorf("record %+v", rec)
	}
	o.loop.Complete(eventloop.Completion{ID: ids[0], Outcome: eventloop.Succeeded})
	o.ApplyCancellation(j.Record.ID, rec, 10)

	o.loop.Begin(now.Add(8 * time.Second))
	o.GiveUpTerminated(name)
	o.storeTasksGone()
	ops, ids = writes(o)
	if len(ops) != 1 || ops[0].Delete != "fc/c/wk-000001" {
		t.Fatalf("written once the task is gone: %v", ops)
	}
	o.loop.Complete(eventloop.Completion{ID: ids[0], Outcome: eventloop.Unavailable})
	if o.cancelled.byID["wk-000001"].gone {
		t.Error("taken for removed though it is not")
	}
	o.loop.Begin(now.Add(time.Minute)) // the block lease is over
	o.storeTasksGone()
	if ops, _ := writes(o); len(ops) != 0 {
		t.Errorf("written without a block lease: %v", ops)
	}
}

// TestRecordStaysWhileAMachineIsUnreconciled guards against an owner that has taken machines over and
// takes the tasks of a cancelled job for gone before it knows what runs there.
func TestRecordStaysWhileAMachineIsUnreconciled(t *testing.T) {
	o, m, now := newOneMachine(t, true)
	o.loop.Begin(now.Add(time.Second))
	o.ApplyCancellation("wk-000001", wire.CancellationRecord{Form: 1, CancelledAtMs: now.UnixMilli(), Team: "free", Spot: true}, 3)
	o.storeTasksGone()
	if ops, _ := writes(o); len(ops) != 0 {
		t.Errorf("written: %v", ops)
	}
	m.needsReconciliation = false
	o.loop.Begin(now.Add(2 * time.Second))
	o.storeTasksGone()
	if ops, _ := writes(o); len(ops) != 1 || ops[0].Delete == "" {
		t.Errorf("written once the machine is reconciled: %v", ops)
	}
}

// TestJobIsGoneOnTheWordOfItsOwner guards against machines that are terminated while the state service is
// out, though the owner of the cancelled job has found that none of its tasks is left; and against
// such a word of a controller that does not own the job.
func TestJobIsGoneOnTheWordOfItsOwner(t *testing.T) {
	for controller, want := range map[string]bool{"n1": true, "n2": false} {
		rec := wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n1"}, Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}}
		o, now := newOwner(t, []config.Team{{Name: "free"}}, rec)
		o.ApplyCancellation("wk-000001", wire.CancellationRecord{Form: 1, CancelledAtMs: now.UnixMilli(), Team: "free", Spot: true}, 3)
		o.NoteJobGone("wk-000001", controller)
		if gone := len(o.cancellationsDue(o.CancelTime())) == 0; gone != want {
			t.Errorf("%s says that the tasks are gone: taken for gone %v", controller, gone)
		}
	}
}

// TestAllJobsAreFoundGoneWithoutTheStateService guards against cancelled jobs that the others take for left
// while the state service is out, as their records have not been seen, or are too many for a write.
func TestAllJobsAreFoundGoneWithoutTheStateService(t *testing.T) {
	o, _, now := newBlock(t, 2)
	for i := range 3 * maxRecordsPerWrite {
		id := fmt.Sprintf("wk-%06d", i+1)
		o.cancelled.add(id, new(cancelledRecord("")), now)
		if i%2 == 0 {
			o.ApplyCancellation(id, wire.CancellationRecord{Form: 1, CancelledAtMs: now.UnixMilli(), Team: "free", Spot: true}, 3)
		}
	}
	o.loop.Begin(now.Add(time.Second))
	o.storeTasksGone()
	if ops, _ := writes(o); len(ops) != maxRecordsPerWrite {
		t.Errorf("%d records are written at once", len(ops))
	}
	if gone := o.JobsGone(); len(gone) != 3*maxRecordsPerWrite {
		t.Errorf("%d jobs are found gone, want %d", len(gone), 3*maxRecordsPerWrite)
	}
}

// TestVersionWithoutRecordsKeepsItsMachines guards against machines of a controller of an earlier version
// that are asked and terminated as it does not say what it hears, and removes no record.
func TestVersionWithoutRecordsKeepsItsMachines(t *testing.T) {
	for _, keeps := range []bool{false, true} {
		rec := wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n1"}, Blocks: map[string]wire.Block{
			"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1 << 17, Incarnation: 7, Machines: wire.NameSet{"host-000009"}}}}
		o, now := newOwner(t, []config.Team{{Name: "free"}}, rec)
		o.ApplyCancellation("wk-000001", wire.CancellationRecord{Form: 1, CancelledAtMs: now.UnixMilli(), Team: "free", Spot: true}, 3)
		later := now.Add(o.CancelTime())
		o.loop.Begin(later)
		o.view.Peers["n1"].LastFrame, o.view.Peers["n1"].KeepsCancellations = later, keeps
		got := o.TerminationCandidates(0, true, func(string) (wire.Machine, bool) { return wire.Machine{}, false })
		if (len(got) == 1) != keeps {
			t.Errorf("the holder keeps cancellations %v: %v", keeps, got)
		}
	}
}

// TestTerminationCandidates guards against a machine that may run a cancelled task and is nobody's
// concern as another controller holds it, and against sound machines that are taken for one.
func TestTerminationCandidates(t *testing.T) {
	const other = "host-000009"
	for _, c := range []struct {
		name           string
		stored         bool
		zone           string
		machines       wire.NameSet
		gone           bool
		heardHere      bool
		heardByPeer    bool
		stateReachable bool
		want           bool
	}{
		{name: "anywhere", stored: true, stateReachable: true, want: true},
		{name: "on that machine", stored: true, machines: wire.NameSet{other}, stateReachable: true, want: true},
		{name: "on another machine", stored: true, machines: wire.NameSet{"host-000008"}, stateReachable: true},
		{name: "in another zone", stored: true, zone: "y", stateReachable: true},
		{name: "gone", stored: true, gone: true, stateReachable: true},
		{name: "heard here", stored: true, heardHere: true, stateReachable: true},
		{name: "heard by another controller", stored: true, heardByPeer: true, stateReachable: true},
		{name: "without a record", stateReachable: true},
		{name: "without a record, state service away", want: true},
	} {
		rec := wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n1"}, Blocks: map[string]wire.Block{
			"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1 << 17, Incarnation: 7, Machines: wire.NameSet{other}}}}
		o, now := newOwner(t, []config.Team{{Name: "free"}}, rec)
		if c.stored {
			o.ApplyCancellation("wk-000001", wire.CancellationRecord{Form: 1, CancelledAtMs: now.UnixMilli(), Team: "free", Zone: c.zone, Spot: true, Machines: c.machines}, 3)
		} else {
			o.cancelled.add("wk-000001", nil, now)
		}
		if c.gone {
			o.NoteTasksGone("wk-000001", 4)
		}
		later := now.Add(o.CancelTime() - returnReserve - time.Second)
		o.loop.Begin(later)
		if c.heardHere {
			o.noteRefused(&wire.Heartbeat{Machine: other, AgentEpoch: 1, Sequence: 1})
		}
		if c.heardByPeer {
			o.view.Peers["n1"].HeardMachines, o.view.Peers["n1"].HeardAt = map[string]bool{other: true}, later.Add(-cluster.PeerTimeout/2)
		}
		locate := func(name string) (wire.Machine, bool) {
			return wire.Machine{Name: name, Endpoint: "nine:9000", Type: "s4", Zone: "x", Spot: true}, true
		}
		got := o.TerminationCandidates(2*time.Second, c.stateReachable, locate)
		if (len(got) == 1) != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		if c.want && len(got) == 1 && (got[0].Holder != "n1" || got[0].Endpoint != "nine:9000" || got[0].Due.After(later.Add(time.Second))) {
			t.Errorf("%s: %+v", c.name, got[0])
		}
		if early := o.TerminationCandidates(0, c.stateReachable, locate); len(early) != 0 {
			t.Errorf("%s: before it is due: %v", c.name, early)
		}
	}
}
