package owner

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestSilentSpotMachineIsLostSooner: a spot machine that falls silent by itself is given up
// before its worker's lease ends. Many that do so together count as cut off, unless on-demand
// machines beside them are heard all the while.
func TestSilentSpotMachineIsLostSooner(t *testing.T) {
	for _, c := range []struct {
		silent, spot int
		lost         bool
	}{{1, 30, true}, {2, 30, true}, {12, 30, false}, {12, 18, true}} {
		var names wire.NameSet
		for i := range 30 {
			names = append(names, fmt.Sprintf("host-%06d", i))
		}
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
		for s := range 13 { // the last heartbeat is 11.1 s old at the end, the lease 12 s
			now = now.Add(time.Second)
			o.known.changesUntil = now
			for i, name := range names {
				if i >= c.silent || s < 2 {
					sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: name, Endpoint: "e", Type: "s4", Zone: []string{"x", "y"}[i%2],
						Spot: i < c.spot, AgentEpoch: 1, Sequence: uint64(s + 1), Token: o.fencingToken(o.workers.machines[name])}})
				}
			}
			tick(o, now.Add(100*time.Millisecond))
			// Another can be rented before it is given up.
			if m := o.workers.machines[names[0]]; s == 8 && m.suspected() != c.lost {
				t.Errorf("%d of 30 silent, %d spot ones: missed %v, want %v", c.silent, c.spot, m.suspected(), c.lost)
			}
		}
		if got := o.workers.machines[names[0]].unreachable(); got != c.lost {
			t.Errorf("%d of 30 silent, %d spot ones: lost %v, want %v", c.silent, c.spot, got, c.lost)
		}
		if o.workers.machines[names[20]].unreachable() {
			t.Error("a machine that reports counts as lost")
		}
	}
}

// TestZoneIsWaitedForAfterACut: machines of a zone that fell silent together get time when the
// first of them are heard again. At that moment those that were still on their way used to be
// given up, tasks and all.
func TestZoneIsWaitedForAfterACut(t *testing.T) {
	var names wire.NameSet
	for i := range 12 {
		names = append(names, fmt.Sprintf("host-%06d", i))
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	for s := range 26 { // silent from 2 s to 22 s, which is well beyond a lease
		now = now.Add(time.Second)
		o.known.changesUntil = now
		for i, name := range names {
			if back := s - 22; s < 2 || i < 4*back {
				sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: name, Endpoint: "e", Type: "s4", Zone: "x",
					AgentEpoch: 1, Sequence: uint64(s + 1), Token: o.fencingToken(o.workers.machines[name])}})
			}
		}
		tick(o, now.Add(100*time.Millisecond))
		for _, name := range names {
			if o.workers.machines[name].unreachable() {
				t.Fatalf("%s given up %d s after the start", name, s+1)
			}
		}
	}
	for range 60 { // now all of them are gone
		now = now.Add(time.Second)
		tick(o, now)
	}
	if !o.workers.machines[names[11]].unreachable() {
		t.Error("never given up")
	}
}

// TestCalledOffMachineIsGivenUp: half of a zone falls silent. Machines that are cut off get more
// time, as their workers end their tasks by themselves. One with a cancelled task does not: it
// may hang, keep the task for as long as it does, and use up its team's limit.
func TestCalledOffMachineIsGivenUp(t *testing.T) {
	o, all, now := newBlock(t, 4)
	j, other := submitArray(o, "wk-000001", "standard", 1, 3, now), submitArray(o, "wk-000002", "standard", 1, 3, now)
	tick(o, now.Add(200*time.Millisecond))
	on := func(j *Job) *machine {
		for _, m := range all {
			for _, r := range m.attempts {
				if r.job == j {
					return m
				}
			}
		}
		t.Fatal("not placed")
		return nil
	}
	cancelled, cutOff := on(j), on(other)
	o.EndJob(j)
	w := o.view.Settings.Cluster.Workers
	for s := 1; s < 60 && !cancelled.unreachable(); s++ {
		at := now.Add(time.Duration(s) * time.Second)
		o.ChangesKnown(o.view.LeaseVersion, at)
		tick(o, at)
		if waits := at.Sub(now); waits > config.Seconds(w.LeaseS)+3*time.Second {
			t.Errorf("not given up %v after it fell silent, %v before its user may expect the task to be gone", waits, config.Seconds(w.CancelS)-waits)
			break
		}
	}
	if cutOff.unreachable() {
		t.Error("a machine that was only cut off is given up as well")
	}
}
