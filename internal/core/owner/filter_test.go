package owner

import (
	"encoding/json"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestOnlyWhatMayRunThereWaits: a block is taken over in which a spot machine does not answer.
// Jobs that earlier owners may have started there wait until it is heard or terminated; a daemon
// that may not use spot machines does not.
func TestOnlyWhatMayRunThereWaits(t *testing.T) {
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Unreconciled: wire.NameSet{"host-000001", "host-000002"}}},
		Partitions: map[string]string{"free": "n0"}})
	renewLease(o)
	job := func(id string, shape wire.Shape, spot bool) *Job {
		o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: shape, Priority: "standard", Tasks: 1, CPUs: 1, Spot: spot}}, RecordInfo{Version: 3})
		j := o.jobs[id]
		o.markReady(j)
		return j
	}
	service, array := job("wk-000001", wire.Daemon, false), job("wk-000002", wire.Array, true)
	ordinary, spot := o.workers.machines["host-000001"], o.workers.machines["host-000002"]
	r := wire.Heartbeat{Machine: ordinary.name, Endpoint: "e1", Type: "s4", Zone: "x", AgentEpoch: 1, Sequence: 3, Token: o.fencingToken(ordinary)}
	sendHeartbeat(o, now.Add(time.Second), eventloop.HeartbeatRequest{Req: 1, Heartbeat: r})
	if len(service.attempts) != 0 || len(array.attempts) != 0 {
		t.Fatal("started though a machine may run anything")
	}
	o.learnEndpoint(spot, &peerpb.MachineInfo{Endpoint: "e2", Type: "s4", Zone: "x", Spot: true})
	o.placement.due = true
	tick(o, now.Add(2*time.Second))
	if len(service.attempts) != 1 {
		t.Error("the service waits for a machine on which it cannot be")
	}
	if len(array.attempts) != 0 {
		t.Error("started though the spot machine may run it")
	}
}

// TestReportsStayWithinTheirLimit: a crowd of tiny tasks waits for a machine that could run
// thousands of them. Its heartbeats must not outgrow what may be sent.
func TestReportsStayWithinTheirLimit(t *testing.T) {
	o, m, now := newOneMachine(t, false)
	submitArray(o, "wk-000001", "idle", 50000, 0.001, now)
	rep := heartbeatOf(m, 1, 1, m.firstToken)
	for range 8 {
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: rep})
		rep.Sequence, rep.Tasks = rep.Sequence+1, nil
		for _, key := range sortedAttempts(m) {
			rep.Tasks = append(rep.Tasks, wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskEnded, Reason: wire.ReasonDone})
		}
		now = now.Add(time.Second)
	}
	body, err := json.Marshal(rep.Tasks)
	if err != nil || len(rep.Tasks) < 100 || len(body) > wire.MaxBody {
		t.Errorf("%d tasks in a report of %d bytes, %v", len(rep.Tasks), len(body), err)
	}
}
