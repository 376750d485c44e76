package controller

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// newCore returns a core that has read an empty state and holds machines that
// came from a holder that ended.
func newCore(t *testing.T, teams []config.Team, rec wire.LeaseRecord) (*Core, time.Time) {
	t.Helper()
	s := &config.Settings{HostName: "n0", Area: "x", Peers: []config.Peer{{HostName: "n1", Area: "y"}},
		Cluster: config.Cluster{InitialSize: 2, Zones: []string{"x", "y"}, Teams: teams,
			Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
			State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
			Cloud:   config.Cloud{RPS: 5, ListLagS: 4}}}
	c := New(s, cluster.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil)), 7)
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	c.loop.Begin(now)
	c.state.phase = stateRead
	c.owner.ChangesKnown(5, now)
	c.state.lastAnswer = now
	c.view.MachineTypes["s4"] = wire.MachineType{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}}
	c.applyLease(rec, 5)
	return c, now
}

// TestOutageIsNotTakenForRefusal lets an outage for all end. Somebody is
// answered first; the others must not take themselves for refused and give up
// their blocks in that moment.
func TestOutageIsNotTakenForRefusal(t *testing.T) {
	c, start := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}, Partitions: map[string]string{"free": "n0"}})
	c.state.lastAnswer = start
	for ms := 500; ms <= 16000; ms += 500 {
		c.Step(start.Add(time.Duration(ms)*time.Millisecond), eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", StateOk: ms < 4000 || ms > 10000}})
		if got, want := c.isolatedFromState(), ms > 10000+int(peerReachableFor.Milliseconds())+500; got != want {
			t.Errorf("refused alone at %d ms: %v, want %v", ms, got, want)
		}
	}
}

// TestJobsAreFiledEvenly guards against the machines of a quiet fleet ending up
// with one controller: they follow the work, so a job must not go to a large
// block only because it is large, though it goes there when it cannot start
// elsewhere.
func TestJobsAreFiledEvenly(t *testing.T) {
	core, _ := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Partitions: map[string]string{"free": "n0", "free #1": "n0", "free #2": "n1"},
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}, "n1": {Grant: 1<<18 + 1, Incarnation: 9}}})
	job := func(priority, image string) *wire.Job {
		return &wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: priority, Tasks: 10, CPUs: 2, Image: image}
	}
	p := core.view.Peers["n1"]
	p.LastFrame = core.loop.Now
	for _, c := range []struct {
		name            string
		own, other      cluster.Capacity
		ownSpare, spare float64
		priority, image string
		want            string
	}{
		{"the larger block has a little more to spare", cluster.Capacity{Size: 300}, cluster.Capacity{Size: 900}, 80, 120, "standard", "a", "free #1"},
		{"the smaller one is full", cluster.Capacity{Size: 300}, cluster.Capacity{Size: 900}, -400, 500, "standard", "a", "free #2"},
		{"urgent, both have room", cluster.Capacity{Free: 50, Size: 300}, cluster.Capacity{Free: 150, Size: 900}, 50, 150, "urgent", "a", "free #1"},
		{"urgent, only the larger one has room", cluster.Capacity{Size: 300}, cluster.Capacity{Free: 150, Size: 900}, -10, 150, "urgent", "a", "free #2"},
		{"urgent, even blocks, one has the image", cluster.Capacity{Free: 50, Size: 300},
			cluster.Capacity{Free: 50, Size: 300, Images: map[string]float64{"a": 40}}, 50, 50, "urgent", "a", "free #2"},
	} {
		core.load.capacity, core.load.spareCPUs, p.Capacity, p.SpareCPUs = c.own, c.ownSpare, c.other, c.spare
		if got := core.chooseShard(job(c.priority, c.image)); got != c.want {
			t.Errorf("%s: filed under %s, want %s", c.name, got, c.want)
		}
	}
}

// TestWriteThatIsTooLargeIsCutDown guards against a leader that tries the same
// write, too large for a transaction, until all leases have lapsed.
func TestWriteThatIsTooLargeIsCutDown(t *testing.T) {
	c, now := largeFleet(t, 10000)
	rec := c.view.Lease.Clone()
	for node, b := range rec.Blocks {
		b.Machines = slices.Clone(b.Machines)
		b.Machines = slices.DeleteFunc(b.Machines, func(n string) bool { return n[len(n)-1] == '7' }) // off every page
		rec.Blocks[node] = b
	}
	c.leaseWriter.inFlight = false
	c.loop.Begin(now)
	c.writeLease(rec, func() { t.Error("stored") })
	if len(c.loop.Effects()) != 0 || c.leaseWriter.inFlight {
		t.Fatalf("%d effects, busy %v after a write that does not fit", len(c.loop.Effects()), c.leaseWriter.inFlight)
	}
	for i := 7; i < 10000; i += 10 {
		c.leader.MachineDeleted(fmt.Sprintf("host-%06d", i))
	}
	for i, most := range []int{1, 12} { // first the value alone, then as much as fits
		changes := 0
		c.leaseWriter.inFlight = false
		for _, e := range c.Step(now.Add(time.Duration(1+i)*6*time.Second), eventloop.Tick{}) {
			if txn, ok := e.(eventloop.StateTxn); ok && txn.LeaseBudget {
				changes = len(txn.Txn.Then)
			}
		}
		if changes == 0 || changes > most || (i > 0 && changes < 4) {
			t.Errorf("write %d takes %d changes", i+1, changes)
		}
	}
}

// TestClockBehindPredecessor starts a process whose clock stands lower than its
// predecessor's, as may be when it is back within a moment: the lease value names
// a block of a later process. It has to outgrow that one, or nobody hears it.
func TestClockBehindPredecessor(t *testing.T) {
	c, _ := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 20}}})
	if got := c.blockLease.Incarnation(); got <= 20 || c.blockLease.Held() {
		t.Errorf("incarnation %d, holds a block: %v", got, c.blockLease.Held())
	}
}

// TestStandstillIsNoSilence lets a process stand still for longer than a worker's
// lease. In its first step afterwards it has heard nobody for so long, and must
// not take its machines for lost; a silence that it was awake for counts.
func TestStandstillIsNoSilence(t *testing.T) {
	for _, awake := range []bool{false, true} {
		c, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}})
		c.Step(now, eventloop.Tick{})
		for ms := 150; awake && ms < 20000; ms += 150 {
			c.Step(now.Add(time.Duration(ms)*time.Millisecond), eventloop.Tick{})
		}
		c.Step(now.Add(20*time.Second), eventloop.Tick{})
		if lost := c.Renewal().GetSilentMachines() != ""; lost != awake {
			t.Errorf("awake: %v, its machine is lost: %v", awake, lost)
		}
	}
}

// TestWhatUsersAreRefused: what can never run is 422, what is malformed 400 and an
// unknown id 404, but each only once it is sure that the job was never accepted.
func TestWhatUsersAreRefused(t *testing.T) {
	teams := []config.Team{{Name: "free"}, {Name: "red", CPUsMax: 8}}
	fits := wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 9, CPUs: 2}
	with := func(change func(j *wire.Job)) eventloop.SubmitRequest {
		j := fits
		change(&j)
		return eventloop.SubmitRequest{Req: 1, Job: j}
	}
	for name, c := range map[string]struct {
		ev   eventloop.Event
		want eventloop.ReplyCode
	}{
		"malformed":             {eventloop.SubmitRequest{Req: 1, Job: wire.Job{ID: fits.ID}, Err: io.ErrUnexpectedEOF}, eventloop.ReplyInvalid},
		"unknown team":          {with(func(j *wire.Job) { j.Team = "nobody" }), eventloop.ReplyUnprocessable},
		"fits no machine":       {with(func(j *wire.Job) { j.CPUs = 5 }), eventloop.ReplyUnprocessable},
		"wrong zone":            {with(func(j *wire.Job) { j.Zone = "z" }), eventloop.ReplyUnprocessable},
		"service over a limit":  {with(func(j *wire.Job) { j.Team, j.Shape = "red", wire.Daemon }), eventloop.ReplyUnprocessable},
		"poll for nobody's job": {eventloop.QueryRequest{Req: 1, ID: fits.ID}, eventloop.ReplyNotFound},
	} {
		for what, want := range map[string]eventloop.ReplyCode{"says so": c.want, "does not answer": eventloop.ReplyUnavailable, "says so to one that just woke": eventloop.ReplyUnavailable} {
			outcome := eventloop.Succeeded
			if what == "does not answer" {
				outcome = eventloop.NoAnswer
			}
			core, now := newCore(t, teams, wire.LeaseRecord{Term: 3, Leader: "n1", Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7}}})
			if what == "says so to one that just woke" {
				core.resumedAt = now // the state may have lost the job meanwhile
			}
			got := eventloop.NoReply
			// Without an answer it is asked again until its user waits no longer.
			for events, end := []eventloop.Event{c.ev}, now.Add(4*time.Second); got == eventloop.NoReply && now.Before(end); now = now.Add(150 * time.Millisecond) {
				for events = append(events, eventloop.Tick{}); len(events) > 0; events = events[1:] {
					for _, e := range core.Step(now, events[0]) {
						switch e := e.(type) {
						case eventloop.StateTxn:
							if len(e.Txn.Then) == 0 {
								events = append(events, eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome})
							}
						case eventloop.Reply:
							got = e.Code
						}
					}
				}
			}
			if got != want {
				t.Errorf("%s, the state service %s: answered %s, want %s", name, what, got, want)
			}
		}
	}
}
