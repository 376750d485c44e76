package owner

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// noRecords stands in for the records of jobs.
type noRecords struct{}

func (noRecords) WorkersServed() bool                           { return true }
func (noRecords) HasEnded(string) bool                          { return false }
func (noRecords) StoreEnd(*Job, string, int, func(stored bool)) {}
func (noRecords) JobKey(id string) string                       { return "fc/j/" + id }
func (noRecords) LeaseUnchanged() []wire.Condition              { return nil }
func (noRecords) UserWrites() (int, time.Time)                  { return 0, time.Time{} }

// newOwner returns an owner to whom the lease value grants what it says of n0.
func newOwner(t testing.TB, teams []config.Team, rec wire.LeaseRecord) (*Owner, time.Time) {
	t.Helper()
	s := &config.Settings{HostName: "n0", Area: "x", Peers: []config.Peer{{HostName: "n1", Area: "y"}},
		Cluster: config.Cluster{InitialSize: 2, Zones: []string{"x", "y"}, Teams: teams,
			Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
			State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 4}}}
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	loop := &eventloop.Loop{}
	loop.Begin(now)
	par := cluster.Defaults()
	view, hold := cluster.New(s, par), blocklease.New(7, par.LeaseDuration)
	view.MachineTypes["s4"] = wire.MachineType{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}}
	view.ApplyLease(rec, 5)
	o := New(loop, view, hold, noRecords{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	o.ChangesKnown(o.view.LeaseVersion, now)
	hold.Renewed(rec.Blocks["n0"])
	o.ApplyBlock(rec.Blocks["n0"])
	return o, now
}

func tick(o *Owner, now time.Time) []eventloop.Effect {
	o.loop.Begin(now)
	o.StorePending()
	o.CheckMachines()
	o.PlaceAndSend()
	return o.loop.Effects()
}

func report(o *Owner, now time.Time, r eventloop.HeartbeatRequest) {
	o.loop.Begin(now)
	o.HandleHeartbeat(r)
	o.PlaceAndSend()
}

func complete(o *Owner, now time.Time, d eventloop.Completion) {
	o.loop.Begin(now)
	o.loop.Complete(d)
	o.PlaceAndSend()
}

// mayStart has the lease value honour a renewal sent at this moment.
func mayStart(o *Owner) {
	b := o.view.Lease.Blocks["n0"]
	b.Renewal = o.blockLease.RecordRenewal(o.loop.Now)
	o.blockLease.Renewed(b)
}

// TestUnheardMachineIsNotGivenBack guards against a machine being given back
// as empty that a restarted controller has not heard yet: its tasks were then
// started elsewhere while it still ran them.
func TestUnheardMachineIsNotGivenBack(t *testing.T) {
	c, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Unreconciled: wire.NameSet{"host-000001"}, Draining: wire.NameSet{"host-000001"}}},
		Partitions: map[string]string{"free": "n0"}})
	m := c.workers.machines["host-000001"]
	if m == nil || !m.needsReconciliation || !m.draining() {
		t.Fatalf("not taken over as it should: %+v", m)
	}
	tick(c, now.Add(time.Second))
	if m.released() {
		t.Fatal("given back before it was heard")
	}
	r := wire.Heartbeat{Machine: m.name, Endpoint: "10.1.0.1:9000", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3}
	report(c, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: r}) // from before it saw our token
	tick(c, now.Add(2100*time.Millisecond))
	if m.released() {
		t.Fatal("given back before it had seen the new token")
	}
	r.Sequence, r.Token = 4, c.fencingToken(m)
	c.known.changesUntil = now.Add(2 * time.Second)
	report(c, now.Add(3*time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: r})
	tick(c, now.Add(3200*time.Millisecond))
	if !m.released() {
		t.Error("not given back though it is known to be empty")
	}
}

// TestPagesHoldManyJobs stores the completed tasks of many jobs in one page,
// and finds them again in another controller's hands.
func TestPagesHoldManyJobs(t *testing.T) {
	lease := wire.LeaseRecord{Term: 3, Leader: "n1", Partitions: map[string]string{"free": "n0"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}}
	job := func(i int) wire.JobRecord {
		return wire.JobRecord{Job: wire.Job{ID: fmt.Sprintf("wk-%06d", i), Team: "free", Shape: wire.Array,
			Priority: "standard", Tasks: 100 + 3000*(i%3), CPUs: 1}}
	}
	a, now := newOwner(t, []config.Team{{Name: "free"}}, lease)
	for i := range 40 {
		a.ApplyJob(job(i), RecordInfo{Version: uint64(10 + i)})
		for k := 0; k < a.jobs[job(i).ID].Record.Tasks; k += 7 + i {
			a.markDone(a.jobs[job(i).ID], k)
		}
	}
	stored := map[string]any{}
	for _, e := range tick(a, now.Add(flushInterval+time.Second)) {
		if txn, ok := e.(eventloop.StateTxn); ok {
			for _, op := range txn.Txn.Then {
				body, err := wire.Encode(op.Value)
				if err != nil || len(body) > 8<<10 {
					t.Fatalf("%s: %d bytes, %v", op.Put, len(body), err)
				}
				stored[op.Put] = body
			}
		}
	}
	if len(stored) == 0 || len(stored) > 6 {
		t.Fatalf("%d writes for forty jobs", len(stored))
	}
	b, _ := newOwner(t, []config.Team{{Name: "free"}}, lease)
	for i := range 40 {
		b.ApplyJob(job(i), RecordInfo{Version: uint64(3)}) // before the lease: taken over
	}
	for key, body := range stored {
		b.readPage(key, body.([]byte))
	}
	for i := range 40 {
		j := b.jobs[job(i).ID]
		b.applyCompleted(j)
		if want := a.jobs[j.Record.ID].doneCount; j.doneCount != want || want == 0 {
			t.Errorf("%s: %d tasks known to be completed, want %d", j.Record.ID, j.doneCount, want)
		}
	}
}

// TestSilentAloneIsLostSooner expects a spot machine that falls silent by
// itself to be given up before its worker's lease ends, and many that do so
// together to be taken for a cut, unless ordinary machines beside them are
// heard all the while.
func TestSilentAloneIsLostSooner(t *testing.T) {
	for _, c := range []struct {
		silent, spot int
		lost         bool
	}{{1, 30, true}, {2, 30, true}, {12, 30, false}, {12, 18, true}} {
		var names wire.NameSet
		for i := range 30 {
			names = append(names, fmt.Sprintf("host-%06d", i))
		}
		core, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
		for s := range 13 { // the last report is 11.1 s old at the end, the lease 12 s
			now = now.Add(time.Second)
			core.known.changesUntil = now
			for i, name := range names {
				if i >= c.silent || s < 2 {
					report(core, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: name, Endpoint: "e", Type: "s4", Zone: []string{"x", "y"}[i%2],
						Spot: i < c.spot, AgentEpoch: 1, Sequence: uint64(s + 1), Token: core.fencingToken(core.workers.machines[name])}})
				}
			}
			tick(core, now.Add(100*time.Millisecond))
			// Another can be rented before it is given up.
			if m := core.workers.machines[names[0]]; s == 8 && m.suspected != c.lost {
				t.Errorf("%d of 30 silent, %d spot ones: missed %v, want %v", c.silent, c.spot, m.suspected, c.lost)
			}
		}
		if got := core.workers.machines[names[0]].unreachable; got != c.lost {
			t.Errorf("%d of 30 silent, %d spot ones: lost %v, want %v", c.silent, c.spot, got, c.lost)
		}
		if core.workers.machines[names[20]].unreachable {
			t.Error("a machine that reports counts as lost")
		}
	}
}

// TestCutEnds expects machines of a zone that fell silent together to be given
// time when the first of them are heard again: in that moment those that were
// still on their way used to be given up, tasks and all.
func TestCutEnds(t *testing.T) {
	var names wire.NameSet
	for i := range 12 {
		names = append(names, fmt.Sprintf("host-%06d", i))
	}
	core, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	for s := range 26 { // silent from 2 s to 22 s, which is well beyond a lease
		now = now.Add(time.Second)
		core.known.changesUntil = now
		for i, name := range names {
			if back := s - 22; s < 2 || i < 4*back {
				report(core, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: name, Endpoint: "e", Type: "s4", Zone: "x",
					AgentEpoch: 1, Sequence: uint64(s + 1), Token: core.fencingToken(core.workers.machines[name])}})
			}
		}
		tick(core, now.Add(100*time.Millisecond))
		for _, name := range names {
			if core.workers.machines[name].unreachable {
				t.Fatalf("%s given up %d s after the start", name, s+1)
			}
		}
	}
	for range 60 { // now all of them are gone
		now = now.Add(time.Second)
		tick(core, now)
	}
	if !core.workers.machines[names[11]].unreachable {
		t.Error("never given up")
	}
}

// TestOnlyWhatMayRunThereWaits takes a block over in which a spot machine does
// not answer. Jobs that earlier owners may have started there wait until it is
// heard or gone; a service that may not use spot machines does not.
func TestOnlyWhatMayRunThereWaits(t *testing.T) {
	c, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Unreconciled: wire.NameSet{"host-000001", "host-000002"}}},
		Partitions: map[string]string{"free": "n0"}})
	mayStart(c)
	job := func(id string, shape wire.Shape, spot bool) *Job {
		c.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: shape, Priority: "standard", Tasks: 1, CPUs: 1, Spot: spot}}, RecordInfo{Version: 3})
		j := c.jobs[id]
		c.markReady(j)
		return j
	}
	service, array := job("wk-000001", wire.Daemon, false), job("wk-000002", wire.Array, true)
	ordinary, spot := c.workers.machines["host-000001"], c.workers.machines["host-000002"]
	r := wire.Heartbeat{Machine: ordinary.name, Endpoint: "e1", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3, Token: c.fencingToken(ordinary)}
	report(c, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: r})
	if len(service.attempts) != 0 || len(array.attempts) != 0 {
		t.Fatal("started though a machine may run anything")
	}
	c.learnEndpoint(spot, &peerpb.MachineInfo{Endpoint: "e2", Type: "s4", Zone: "x", Spot: true})
	c.placement.due = true
	tick(c, now.Add(2*time.Second))
	if len(service.attempts) != 1 {
		t.Error("the service waits for a machine on which it cannot be")
	}
	if len(array.attempts) != 0 {
		t.Error("started though the spot machine may run it")
	}
}

// TestSilentMachinesAreAsked expects a spot machine of a zone that is
// otherwise heard to be asked when it misses its reports, and to be given up
// without the usual patience when it does not answer either.
func TestSilentMachinesAreAsked(t *testing.T) {
	for _, answers := range []bool{false, true} {
		var names wire.NameSet
		for i := range 6 {
			names = append(names, fmt.Sprintf("host-%06d", i))
		}
		c, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
		mayStart(c)
		asked := 0
		var answer []eventloop.Completion
		for s := range 9 { // the last report is 7 s old at the end
			now = now.Add(time.Second)
			c.known.changesUntil = now
			for _, d := range answer {
				complete(c, now, d)
			}
			answer = nil
			for i, name := range names {
				rep := wire.Heartbeat{Machine: name, Endpoint: name, Type: "s4", Zone: "x", Spot: i == 0, AgentEpoch: 1, Sequence: uint64(s + 1), Token: c.fencingToken(c.workers.machines[name])}
				if i > 0 || s < 2 {
					report(c, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: rep})
				}
			}
			for _, e := range tick(c, now.Add(100*time.Millisecond)) {
				if d, ok := e.(eventloop.WorkerCommands); ok && d.Endpoint == names[0] {
					asked++
					done := eventloop.Completion{ID: d.ID}
					if answers {
						done.Outcome = eventloop.Succeeded
						done.Heartbeat = &wire.Heartbeat{Machine: names[0], Endpoint: names[0], Type: "s4", Zone: "x", Spot: true, AgentEpoch: 1, Sequence: uint64(100 + s), Token: d.Body.Token}
					}
					answer = append(answer, done)
				}
			}
		}
		if asked == 0 {
			t.Fatal("not asked")
		}
		if got := c.workers.machines[names[0]].unreachable; got == answers {
			t.Errorf("it answers: %v, given up: %v", answers, got)
		}
	}
}

// TestServicesFindRoom fills all ordinary machines with urgent tasks. A service
// that may use no others gets room at once where these could run on spot
// machines as well, and is left to wait where they could not.
func TestServicesFindRoom(t *testing.T) {
	for _, spot := range []bool{true, false} {
		c, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}, Partitions: map[string]string{"free": "n0"}})
		mayStart(c)
		submit := func(id string, shape wire.Shape, priority string, tasks int, spot bool) *Job {
			c.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: shape, Priority: priority, Tasks: tasks, CPUs: 1, Spot: spot}}, RecordInfo{Version: 6})
			return c.jobs[id]
		}
		urgent := submit("wk-000001", wire.Array, "urgent", 40, spot)
		report(c, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", Endpoint: "e", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3, Token: c.blockLease.Token(0)}})
		if len(urgent.attempts) != 4 {
			t.Fatalf("%d urgent tasks started, want 4", len(urgent.attempts))
		}
		submit("wk-000002", wire.Daemon, "production", 1, false)
		c.placement.due = true
		tick(c, now.Add(1700*time.Millisecond))
		stopped := 0
		for _, r := range urgent.attempts {
			if r.stopping {
				stopped++
			}
		}
		if want := map[bool]int{true: 1, false: 0}[spot]; stopped != want {
			t.Errorf("urgent tasks may use spot machines: %v; %d stopped for the service, want %d", spot, stopped, want)
		}
	}
}

// twoHomes is a lease value in which n0 has three homes of a team and n1 one.
func twoHomes(old wire.NameSet) wire.LeaseRecord {
	return wire.LeaseRecord{Term: 3, Leader: "n1",
		Partitions: map[string]string{"red #1": "n0", "red #2": "n0", "red #3": "n0", "red #4": "n1"},
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}, Unreconciled: old},
			"n1": {Grant: 1<<18 + 1, Incarnation: 9}}}
}

// TestOnlyDryHomesAreOffered: a home moves with nothing but its records. A task
// of it that runs, may run, or was completed without that being stored would run
// again with the next owner.
func TestOnlyDryHomesAreOffered(t *testing.T) {
	for _, c := range []struct {
		name string
		old  wire.NameSet
		do   func(o *Owner, j *Job)
		want []string
	}{
		{"nothing runs", nil, func(*Owner, *Job) {}, []string{"red #3"}},
		{"a task runs", nil, func(o *Owner, j *Job) { o.bind(j, o.workers.machines["host-000001"]) }, []string{"red #2"}},
		{"a machine is not heard yet", wire.NameSet{"host-000002"}, func(*Owner, *Job) {}, nil},
		{"a machine runs what is not known", nil, func(o *Owner, j *Job) { o.workers.machines["host-000001"].unknownAttempts = 1 }, nil},
		{"a completed task is not stored", nil, func(o *Owner, j *Job) { o.markDone(j, 3) }, []string{"red #2"}},
		{"a completed task is stored", nil, func(o *Owner, j *Job) { o.markDone(j, 3); j.stored[0] = 1 << 3 }, []string{"red #3"}},
		{"its end is being stored", nil, func(o *Owner, j *Job) { j.EndInFlight = true }, []string{"red #2"}},
		{"what was completed is still being read", nil, func(o *Owner, j *Job) { j.ownership = awaitingPages }, []string{"red #2"}},
		{"it was offered a moment ago", nil, func(o *Owner, j *Job) { o.partitions.offeredAt["red #3"] = o.loop.Now }, []string{"red #2"}},
		{"the others are out of reach", nil, func(o *Owner, j *Job) { o.view.Peers["n1"].LastFrame = time.Time{} }, nil},
	} {
		o, now := newOwner(t, []config.Team{{Name: "red"}}, twoHomes(c.old))
		o.view.Peers["n1"].LastFrame = now
		o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 8, CPUs: 1}, Shard: "red #3"}, RecordInfo{Version: 9})
		c.do(o, o.jobs["wk-000001"])
		if got := o.partitionsToHandOver(); !slices.Equal(got, c.want) {
			t.Errorf("%s: offers %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOfferedHomeStaysQuiet expects that nothing of an offered home is started
// until a value honours the offer, and that a home which comes back is owned as
// if it never had been here: what this controller remembers of it is old.
func TestOfferedHomeStaysQuiet(t *testing.T) {
	rec := twoHomes(nil)
	o, now := newOwner(t, []config.Team{{Name: "red"}}, rec)
	o.view.Peers["n1"].LastFrame = now
	mayStart(o)
	m := o.workers.machines["host-000001"]
	m.machineType, m.zone, m.agentEpoch, m.endpoint, m.size = "s4", "x", 1, "e", sched.Resources{CPUs: 4, MemoryGB: 16}
	o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 8, CPUs: 1}, Shard: "red #3"}, RecordInfo{Version: 9})
	j := o.jobs["wk-000001"]
	r := &peerpb.Renewal{Number: o.blockLease.RecordRenewal(now)}
	o.ReserveQuota(r)
	if !slices.Equal(r.Handovers, []string{"red #3"}) || r.Grant != 1<<18 {
		t.Fatalf("offers %v under grant %d", r.Handovers, r.Grant)
	}
	o.place()
	if len(j.attempts) > 0 {
		t.Fatal("started though its home is on offer")
	}
	// The value that honours the offer moves the home.
	lease := func(version uint64, node string) {
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
