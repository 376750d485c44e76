package owner

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// TestGuaranteeWaitsNoLongerThanABlock guards against a team below its guarantee that waits for
// ever for the use of a controller that is gone: it waits until that holds no machines.
func TestGuaranteeWaitsNoLongerThanABlock(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines wire.NameSet // of the controller that is gone
		want     bool
	}{
		{"its block has machines", wire.NameSet{"host-000002"}, false},
		{"its machines are another's", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, now := newOwner(t, []config.Team{{Name: "red", CPUs: 12}}, wire.LeaseRecord{Term: 3, Leader: "n0",
				Blocks:     map[string]wire.Block{"n0": {Grant: 1 << 18, Incarnation: 7, Machines: wire.NameSet{"host-000001"}}, "n1": {Grant: 1<<18 + 1, Incarnation: 8, Machines: c.machines}},
				Partitions: map[string]string{"red": "n0"}})
			o.ApplyJob(wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "red", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1, Spot: true},
				SubmittedAtMs: now.UnixMilli()}, RecordInfo{Version: 6})
			o.view.Peers["n1"].LastFrame = now.Add(-cluster.UsageMaxAge - time.Second)
			p := o.newPreemption(&round{unknownUse: unknownUse{bounded: true}}, o.jobs["wk-000001"])
			if p.guaranteed != c.want {
				t.Errorf("the guarantee covers the task: %v, want %v", p.guaranteed, c.want)
			}
		})
	}
}
