package leader

import (
	"fmt"
	"testing"

	"fawncove/internal/config"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestNoDrainWithoutMachineTypes guards against draining the on-demand machines of a large
// fleet by a leader that does not know the machine types yet: each counts as a machine of 0
// processors, so that any room on a spot machine seems to be enough for the work of all.
func TestNoDrainWithoutMachineTypes(t *testing.T) {
	const machines = 120
	var names wire.NameSet
	for i := range machines {
		names = append(names, fmt.Sprintf("host-%06d", i+1))
	}
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7, Machines: names}}})
	clear(l.view.MachineTypes)
	for _, name := range names {
		known := &instance{}
		known.machineType = "s4"
		l.autoscaler.instances[name] = known
	}
	l.renewals["n0"] = &peerpb.Renewal{Node: "n0", FreeSpotCpus: 4}
	l.drainOnDemand()
	if drained := len(l.draining); drained != 0 {
		t.Errorf("%d of %d on-demand machines are drained, want none", drained, machines)
	}
}

// TestNoIdleReleaseWithoutMachineTypes guards against giving back idle spot machines that the
// load needs, each taken for one of 0 processors by a leader without machine types.
func TestNoIdleReleaseWithoutMachineTypes(t *testing.T) {
	l := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7, Machines: wire.NameSet{"host-000001", "host-000002"}}}})
	for _, name := range []string{"host-000001", "host-000002"} {
		known := &instance{}
		known.machineType, known.spot = "s4", true
		l.autoscaler.instances[name] = known
	}
	l.autoscaler.spotTarget = 100
	const longIdleS = 1e6
	clear(l.view.MachineTypes)
	l.reviewInstance("host-000001", longIdleS, false)
	l.reviewInstance("host-000002", longIdleS, true)
	if l.draining["host-000001"] || !l.draining["host-000002"] {
		t.Errorf("draining %v, want the quarantined one", l.draining)
	}
}
