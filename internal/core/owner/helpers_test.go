package owner

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/blocklease"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// noRecords is a JobRecords without records: nothing is refused, and nothing is stored.
type noRecords struct{}

func (noRecords) WorkersServed() bool                           { return true }
func (noRecords) HasEnded(string) bool                          { return false }
func (noRecords) StoreEnd(*Job, string, int, func(stored bool)) {}
func (noRecords) JobKey(id string) string                       { return "fc/j/" + id }
func (noRecords) CancellationKey(id string) string              { return "fc/c/" + id }
func (noRecords) LeaseUnchanged() []wire.Condition              { return nil }
func (noRecords) UserWrites() (int, time.Time)                  { return 0, time.Time{} }

// newOwner returns an owner, n0, to which a lease value gives what it says of n0. It is version 5.
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
	params := cluster.Defaults()
	view, blockLease := cluster.New(s, params), blocklease.New(7, params.LeaseDuration)
	view.MachineTypes["s4"] = wire.MachineType{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}}
	view.ApplyLease(rec, 5)
	o := New(loop, view, blockLease, noRecords{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	o.ChangesKnown(o.view.LeaseVersion, now)
	blockLease.Renewed(rec.Blocks["n0"])
	o.ApplyBlock(rec.Blocks["n0"])
	return o, now
}

// newOneMachine returns an owner of one machine, which needs reconciliation if unreconciled says so.
func newOneMachine(t *testing.T, unreconciled bool) (*Owner, *machine, time.Time) {
	t.Helper()
	b := wire.Block{Grant: 1 << 18, Incarnation: 7}
	if names := (wire.NameSet{"host-000001"}); unreconciled {
		b.Unreconciled = names
	} else {
		b.Machines = names
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": b}, Partitions: map[string]string{"free": "n0"}})
	renewLease(o)
	return o, o.workers.machines["host-000001"], now
}

// newBlock returns an owner of some machines, each of which has sent a heartbeat.
func newBlock(t *testing.T, machines int) (*Owner, []*machine, time.Time) {
	t.Helper()
	var names wire.NameSet
	for i := range machines {
		names = append(names, fmt.Sprintf("host-%06d", i+1))
	}
	o, now := newOwner(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: names}}, Partitions: map[string]string{"free": "n0"}})
	renewLease(o)
	var all []*machine
	for i, name := range names {
		all = append(all, o.workers.machines[name])
		sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: uint64(i), Heartbeat: heartbeatOf(all[i], 1, 1, all[i].firstToken)})
	}
	return o, all, now
}

// submitArray accepts an array job.
func submitArray(o *Owner, id, priority string, tasks int, cpus float64, at time.Time) *Job {
	o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: "free", Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus, Spot: true},
		SubmittedAtMs: at.UnixMilli()}, RecordInfo{Version: 6})
	return o.jobs[id]
}

// heartbeatOf returns a heartbeat of a machine of type s4 in zone x.
func heartbeatOf(m *machine, agentEpoch, sequence uint64, token wire.FencingToken, tasks ...wire.TaskStatus) wire.Heartbeat {
	return wire.Heartbeat{Machine: m.name, Endpoint: "e", Type: "s4", Zone: "x", AgentEpoch: agentEpoch, Sequence: sequence, Token: token, Tasks: tasks}
}

// heartbeatAnswers returns the answers to heartbeats among some effects.
func heartbeatAnswers(effects []eventloop.Effect) (out []wire.HeartbeatAnswer) {
	for _, e := range effects {
		if r, ok := e.(eventloop.Reply); ok && r.Code == eventloop.ReplyOK {
			out = append(out, r.Body.(wire.HeartbeatAnswer))
		}
	}
	return out
}

// sendHeartbeat has the owner handle a heartbeat.
func sendHeartbeat(o *Owner, now time.Time, r eventloop.HeartbeatRequest) {
	o.loop.Begin(now)
	o.HandleHeartbeat(r)
	o.PlaceAndSend()
}

// complete has the owner handle the result of a call.
func complete(o *Owner, now time.Time, d eventloop.Completion) {
	o.loop.Begin(now)
	o.loop.Complete(d)
	o.PlaceAndSend()
}

// tick has the owner handle a tick, and returns its effects.
func tick(o *Owner, now time.Time) []eventloop.Effect {
	o.loop.Begin(now)
	o.StorePending()
	o.CheckMachines()
	o.PlaceAndSend()
	return o.loop.Effects()
}

// beginCurrent begins a step at now, with all changes known and the lease renewed.
func beginCurrent(o *Owner, now time.Time) {
	o.ChangesKnown(o.view.LeaseVersion, now)
	o.loop.Begin(now)
	renewLease(o)
}

// renewLease has the lease value apply a renewal that is sent now.
func renewLease(o *Owner) {
	b := o.view.Lease.Blocks["n0"]
	b.Renewal = o.blockLease.RecordRenewal(o.loop.Now)
	o.blockLease.Renewed(b)
}
