package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestUnheardMachineIsNotGivenBack: a restarted controller must not release a machine as empty
// that has not reported to it yet: its tasks were then started elsewhere while it still ran
// them.
func TestUnheardMachineIsNotGivenBack(t *testing.T) {
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Unreconciled: wire.NameSet{"host-000001"}, Draining: wire.NameSet{"host-000001"}}},
		Partitions: map[string]string{"free": "n0"}})
	m := o.workers.machines["host-000001"]
	if m == nil || !m.needsReconciliation || !m.draining() {
		t.Fatalf("not taken over as it should: %+v", m)
	}
	tick(o, now.Add(time.Second))
	if m.released() {
		t.Fatal("released before it has reported")
	}
	r := wire.Heartbeat{Machine: m.name, Endpoint: "10.1.0.1:9000", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3}
	sendHeartbeat(o, now.Add(2*time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: r}) // from before it saw our token
	tick(o, now.Add(2100*time.Millisecond))
	if m.released() {
		t.Fatal("released before it had seen the new token")
	}
	r.Sequence, r.Token = 4, o.fencingToken(m)
	o.known.changesUntil = now.Add(2 * time.Second)
	sendHeartbeat(o, now.Add(3*time.Second), eventloop.HeartbeatRequest{Req: 2, Heartbeat: r})
	tick(o, now.Add(3200*time.Millisecond))
	if !m.released() {
		t.Error("not released though it is known to be empty")
	}
}

// TestIdleMachineStaysWhileWorkAwaitsReconciliation guards against sound machines that are returned as idle
// after a restart of all controllers, though there is work for them: it waits until it is known what
// runs on a machine that is silent.
func TestIdleMachineStaysWhileWorkAwaitsReconciliation(t *testing.T) {
	o, all, now := newBlock(t, 2)
	longestIdle := func(at time.Time) (longest time.Duration) {
		o.loop.Begin(at)
		o.EachMachine(func(_ string, idle time.Duration, _, _ bool) { longest = max(longest, idle) })
		return longest
	}
	later := now.Add(20 * time.Second)
	if longestIdle(later) < 15*time.Second {
		t.Fatal("no machine is idle without work")
	}
	all[1].needsReconciliation = true
	o.workers.noteUnreconciled(now)
	if longestIdle(later) < 15*time.Second {
		t.Error("a silent machine keeps others though no work waits")
	}
	o.ApplyJob(cancelledRecord(""), RecordInfo{Version: 2, FirstVersion: 2}) // stored before the block was this controller's
	if idle := longestIdle(later); idle > 0 {
		t.Errorf("idle for %v while work waits", idle)
	}
	all[1].needsReconciliation = false
	o.workers.takeAllReconciled(later)
	if longestIdle(later) < 15*time.Second {
		t.Error("no machine is idle once all are reconciled")
	}
}
