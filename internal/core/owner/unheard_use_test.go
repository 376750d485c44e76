package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestGuaranteeNeedsTheUseOfAll guards against stopping the tasks of others for a team that
// has its guarantee already: what a controller with machines and jobs of the team has not
// told of late counts as nothing.
func TestGuaranteeNeedsTheUseOfAll(t *testing.T) {
	for _, c := range []struct {
		name string
		told time.Duration // so long ago
		want bool
	}{
		{"just told, guarantee in use", time.Second, false},
		{"told too long ago", cluster.UsageMaxAge + time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, now := newOwner(t, []config.Team{{Name: "red", CPUs: 12}}, wire.LeaseRecord{Term: 3, Leader: "n1",
				Blocks: map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}},
					"n1": {Grant: 1<<18 + 1, Incarnation: 8, Machines: wire.NameSet{"host-000002", "host-000003", "host-000004"}}},
				Partitions: map[string]string{"red #1": "n0", "red #2": "n1"}})
			o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1, Spot: true}, Shard: "red #1",
				SubmittedAtMs: now.UnixMilli()}, RecordInfo{Version: 6})
			o.view.Peers["n1"].LastFrame = now.Add(-c.told)
			o.view.Peers["n1"].UpdateTeamUse([]*peerpb.TeamUse{{Team: "red", Cpus: 12, WantCpus: 12}})
			p := o.newPreemption(&round{unknownUse: unknownUse{bounded: true}}, o.jobs["wk-000001"])
			if p.guaranteed != c.want {
				t.Errorf("the guarantee covers the task: %v, want %v", p.guaranteed, c.want)
			}
		})
	}
}
