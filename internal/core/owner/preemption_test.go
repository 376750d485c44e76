package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestDaemonPreemptsUrgentTaskOfSpotJob: urgent tasks fill all on-demand machines. A daemon that
// may use no others gets room at once if those tasks could run on spot machines as well, and is
// left to wait if they could not.
func TestDaemonPreemptsUrgentTaskOfSpotJob(t *testing.T) {
	for _, spot := range []bool{true, false} {
		o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
			Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}}, Partitions: map[string]string{"free": "n0"}})
		renewLease(o)
		submit := func(id string, shape wire.Shape, priority string, tasks int, spot bool) *Job {
			o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: shape, Priority: priority, Tasks: tasks, CPUs: 1, Spot: spot}}, RecordInfo{Version: 6})
			return o.jobs[id]
		}
		urgent := submit("wk-000001", wire.Array, "urgent", 40, spot)
		sendHeartbeat(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: wire.Heartbeat{Machine: "host-000001", Endpoint: "e", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3, Token: o.blockLease.Token(0)}})
		if len(urgent.attempts) != 4 {
			t.Fatalf("%d urgent tasks started, want 4", len(urgent.attempts))
		}
		submit("wk-000002", wire.Daemon, "production", 1, false)
		o.placement.due = true
		tick(o, now.Add(1700*time.Millisecond))
		stopped := 0
		for _, a := range urgent.attempts {
			if a.stopping {
				stopped++
			}
		}
		if want := map[bool]int{true: 1, false: 0}[spot]; stopped != want {
			t.Errorf("urgent tasks may use spot machines: %v; %d stopped for the service, want %d", spot, stopped, want)
		}
	}
}
