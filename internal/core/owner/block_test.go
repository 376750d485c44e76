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
