package owner

import (
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// shardedLease returns a lease value by which n0 has three partitions of a team and n1 has one,
// and n0 holds one machine and some unreconciled ones.
func shardedLease(unreconciled wire.NameSet) wire.LeaseRecord {
	return wire.LeaseRecord{Term: 3, Leader: "n1",
		Partitions: map[string]string{"red #1": "n0", "red #2": "n0", "red #3": "n0", "red #4": "n1"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}, Unreconciled: unreconciled},
			"n1": {Grant: 1<<18 + 1, Incarnation: 9}}}
}

// TestOnlyDryHomesAreOffered: a partition is handed over with nothing but its records. A task of
// it that runs, may run, or was completed without that being stored would run again with the
// next owner.
func TestOnlyDryHomesAreOffered(t *testing.T) {
	for _, c := range []struct {
		name         string
		unreconciled wire.NameSet
		do           func(o *Owner, j *Job)
		want         []string
	}{
		{"nothing runs", nil, func(*Owner, *Job) {}, []string{"red #3"}},
		{"a task runs", nil, func(o *Owner, j *Job) { o.bind(j, o.workers.machines["host-000001"]) }, []string{"red #2"}},
		{"a machine has not reported yet", wire.NameSet{"host-000002"}, func(*Owner, *Job) {}, nil},
		{"a machine runs what is not known", nil, func(o *Owner, j *Job) { o.workers.machines["host-000001"].unknownAttempts = 1 }, nil},
		{"a completed task is not stored", nil, func(o *Owner, j *Job) { o.markDone(j, 3) }, []string{"red #2"}},
		{"a completed task is stored", nil, func(o *Owner, j *Job) { o.markDone(j, 3); j.stored[0] = 1 << 3 }, []string{"red #3"}},
		{"its end is being stored", nil, func(o *Owner, j *Job) { j.EndInFlight = true }, []string{"red #2"}},
		{"what was completed is still being read", nil, func(o *Owner, j *Job) { j.ownership = awaitingPages }, []string{"red #2"}},
		{"it was offered a moment ago", nil, func(o *Owner, j *Job) { o.partitions.offeredAt["red #3"] = o.loop.Now }, []string{"red #2"}},
		{"the others are out of reach", nil, func(o *Owner, j *Job) { o.view.Peers["n1"].LastFrame = time.Time{} }, nil},
	} {
		o, now := newOwner(t, []config.Team{{Name: "red"}}, shardedLease(c.unreconciled))
		o.view.Peers["n1"].LastFrame = now
		o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 8, CPUs: 1}, Shard: "red #3"}, RecordInfo{Version: 9})
		c.do(o, o.jobs["wk-000001"])
		if got := o.partitionsToHandOver(); !slices.Equal(got, c.want) {
			t.Errorf("%s: offers %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOfferedHomeStaysQuiet: nothing of an offered partition is started until a lease value
// applies the offer, and a partition that comes back is owned as if it never had been here: what
// this controller remembers of it is old.
func TestOfferedHomeStaysQuiet(t *testing.T) {
	rec := shardedLease(nil)
	o, now := newOwner(t, []config.Team{{Name: "red"}}, rec)
	o.view.Peers["n1"].LastFrame = now
	renewLease(o)
	m := o.workers.machines["host-000001"]
	m.machineType, m.zone, m.agentEpoch, m.endpoint, m.size = "s4", "x", 1, "e", sched.Resources{CPUs: 4, MemoryGB: 16}
	o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 8, CPUs: 1}, Shard: "red #3"}, RecordInfo{Version: 9})
	j := o.jobs["wk-000001"]
	r := &peerpb.Renewal{Number: o.blockLease.RecordRenewal(now)}
	o.AddOffers(r)
	if !slices.Equal(r.Handovers, []string{"red #3"}) || r.Grant != 1<<18 {
		t.Fatalf("offers %v under grant %d", r.Handovers, r.Grant)
	}
	o.place()
	if len(j.attempts) > 0 {
		t.Fatal("started though its partition is offered")
	}
	// The lease value that applies the offer assigns the partition to n1.
	lease := func(version wire.Revision, node string) {
		next := rec.Clone()
		b := next.Blocks["n0"]
		b.Renewal = r.Number
		next.Blocks["n0"], next.Partitions["red #3"] = b, node
		o.view.ApplyLease(next, version)
		o.blockLease.Renewed(b)
		o.ApplyBlock(b)
	}
	lease(10, "n1")
	o.place()
	if o.Owns(j) || j.ready() || len(j.attempts) > 0 {
		t.Errorf("after it has moved: owned %v, ready %v, %d tasks started", o.Owns(j), j.ready(), len(j.attempts))
	}
	lease(11, "n0")
	o.place()
	if !o.Owns(j) || j.ready() || !j.awaitsPages() || len(j.attempts) > 0 {
		t.Errorf("when it is back: owned %v, ready %v, reading %v, %d tasks started", o.Owns(j), j.ready(), j.awaitsPages(), len(j.attempts))
	}
}
