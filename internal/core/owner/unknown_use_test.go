package owner

import (
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestNoShareIsGivenUpForUnknownMachines guards against taking what runs on a machine of
// unknown size for nothing: while no machine type is known, or the machine's own is not
// listed, no share is reduced; otherwise it stays above the size of the machine.
func TestNoShareIsGivenUpForUnknownMachines(t *testing.T) {
	for _, c := range []struct {
		name        string
		types       map[string]wire.MachineType
		machineType string
		want        []int // processors reserved
	}{
		{"no types known", nil, "", nil},
		{"machine's type not listed", map[string]wire.MachineType{"s4": {Name: "s4", CPUs: 4}}, "b8", nil},
		{"machine's type not known", map[string]wire.MachineType{"s4": {Name: "s4", CPUs: 4}}, "", []int{4}},
		{"machine's type known", map[string]wire.MachineType{"s4": {Name: "s4", CPUs: 4}}, "s4", []int{4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, now := newOwner(t, []config.Team{{Name: "red", CPUsMax: 24}}, wire.LeaseRecord{Term: 3, Leader: "n1",
				Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Unreconciled: wire.NameSet{"host-000001"}},
					"n1": {Grant: 1<<18 + 1, Incarnation: 8}},
				Partitions: map[string]string{"red #1": "n0", "red #2": "n1"},
				Shares:     map[string]wire.Shares{"red": {"n0": {CPUs: 12}, "n1": {CPUs: 12}}}})
			renewLease(o)
			o.view.MachineTypes = c.types
			o.workers.machines["host-000001"].machineType = c.machineType
			o.view.Peers["n1"].LastFrame = now
			o.view.Peers["n1"].UpdateTeamUse([]*peerpb.TeamUse{{Team: "red", Cpus: 12, WantCpus: 40, MinCpus: 2}})
			var r peerpb.Renewal
			r.Number = o.blockLease.NextRenewal()
			o.AddOffers(&r)
			var reserved []int
			for _, reservation := range r.GetReservations() {
				reserved = append(reserved, int(reservation.GetCpus()))
			}
			if len(reserved) != len(c.want) || len(c.want) > 0 && reserved[0] != c.want[0] {
				t.Errorf("reserved %v processors, want %v", reserved, c.want)
			}
		})
	}
}

// TestNothingStartsBesideUnknownMachines: while what runs on an unreconciled machine has no
// bound, no task of a team with a limit starts, and one of a team without does.
func TestNothingStartsBesideUnknownMachines(t *testing.T) {
	o, now := newOwner(t, []config.Team{{Name: "red", CPUsMax: 24}, {Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1",
		Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}, Unreconciled: wire.NameSet{"host-000002"}}},
		Partitions: map[string]string{"red": "n0", "free": "n0"}})
	renewLease(o)
	m := o.workers.machines["host-000001"]
	sendHeartbeat(o, now, eventloop.HeartbeatRequest{Req: 1, Heartbeat: heartbeatOf(m, 1, 1, m.firstToken)})
	o.workers.machines["host-000002"].machineType = "b8"
	for id, team := range map[string]string{"wk-000001": "red", "wk-000002": "free"} {
		o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: id, Team: team, Shape: wire.Array, Priority: "urgent", Tasks: 1, CPUs: 1, Spot: true},
			SubmittedAtMs: now.UnixMilli()}, RecordInfo{Version: 6})
	}
	tick(o, now.Add(placeInterval))
	if got := len(o.jobs["wk-000001"].attempts); got != 0 {
		t.Errorf("%d attempts of the team with a limit, want none", got)
	}
	if got := len(o.jobs["wk-000002"].attempts); got != 1 {
		t.Errorf("%d attempts of the team without, want 1", got)
	}
}
