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
