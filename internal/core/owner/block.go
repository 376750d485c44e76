package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// ApplyBlock applies a newer lease value, in which the block is this process's: the machines
// it holds, those that the leader wants back, and the partitions that it owns.
func (o *Owner) ApplyBlock(b wire.Block) {
	held := make(map[string]bool, len(b.Machines)+len(b.Unreconciled))
	for _, name := range b.Machines {
		held[name] = true
		o.addMachine(name, false)
	}
	for _, name := range b.Unreconciled {
		held[name] = true
		o.addMachine(name, true)
	}
	draining := map[string]bool{}
	for _, name := range b.Draining {
		draining[name] = true
	}
	for name, m := range o.workers.machines {
		switch {
		case held[name]:
			m.setDraining(draining[name])
		case m.released():
			o.workers.remove(name)
		default:
			// A machine leaves a block without having been released only when the cloud
			// has confirmed that it is terminated.
			o.removeMachine(m)
		}
	}
	o.assignPartitions()
	o.placement.due = true
	o.answerPendingForeign()
}

// ReleasesMachines reports whether a machine of the block is to go back to the leader.
func (o *Owner) ReleasesMachines() bool {
	for _, m := range o.workers.machines {
		if m.released() {
			return true
		}
	}
	return false
}

// ReleaseBlock drops all state that depends on holding a block lease.
func (o *Owner) ReleaseBlock() {
	clear(o.workers.machines)
	o.workers.sortStale, o.workers.unheardSince = true, time.Time{}
	clear(o.quota.used)
	clear(o.partitions.owned)
	for id, j := range o.jobs {
		j.clearOwnerState()
		if j.Ended {
			delete(o.jobs, id)
		}
	}
}

// addMachine takes a machine into the block, unless it is there already. One that needs
// reconciliation may run tasks that this controller knows nothing of.
func (o *Owner) addMachine(name string, needsReconciliation bool) {
	if o.workers.machines[name] != nil {
		return
	}
	m := &machine{
		name:                name,
		attempts:            map[attemptKey]*attempt{},
		lastHeartbeat:       o.loop.Now,
		idleSince:           o.loop.Now,
		needsReconciliation: needsReconciliation,
		firstToken:          o.blockLease.Token(0),
	}
	if len(o.workers.machines) == 0 {
		o.workers.lastHeartbeat = o.loop.Now // heartbeats can be expected from now on
	}
	o.workers.add(m)
	if needsReconciliation {
		o.workers.noteUnreconciled(o.loop.Now)
		o.blockLease.RequestRenewal() // the leader may know the endpoint
	}
	w := o.workers.foreign[name]
	if w == nil {
		return
	}
	hb := &w.heartbeat
	if !needsReconciliation {
		m.machineType, m.zone, m.spot = hb.Type, hb.Zone, hb.Spot
	}
	o.learnEndpoint(m, machineInfo(hb))
}

// machineInfo returns what a heartbeat says about how to reach its machine.
func machineInfo(hb *wire.Heartbeat) *peerpb.MachineInfo {
	return &peerpb.MachineInfo{Endpoint: hb.Endpoint, Type: hb.Type, Zone: hb.Zone, Spot: hb.Spot, AgentEpoch: hb.AgentEpoch}
}

// removeMachine removes a machine that the cloud has confirmed to be terminated. Its tasks
// wait again.
func (o *Owner) removeMachine(m *machine) {
	o.workers.remove(m.name)
	for _, a := range m.attempts {
		o.detach(a, machineTerminated)
	}
	o.placement.due = true
}

// partitionTable is the set of ownership partitions of this controller.
type partitionTable struct {
	owned     map[string]wire.Revision // version of the lease value that assigned each partition
	offeredAt map[string]time.Time     // when each partition was last offered for handover
}

func newPartitionTable() partitionTable {
	return partitionTable{owned: map[string]wire.Revision{}, offeredAt: map[string]time.Time{}}
}

// assignPartitions takes over the partitions that the lease value gives this controller,
// and releases those that it gives to others.
func (o *Owner) assignPartitions() {
	assigned := o.view.Lease.Partitions
	for partition := range o.partitions.owned {
		if assigned[partition] != o.view.Self {
			delete(o.partitions.owned, partition)
			o.releasePartition(partition)
		}
	}
	gained := map[string]bool{}
	for partition, node := range assigned {
		if _, owned := o.partitions.owned[partition]; node == o.view.Self && !owned {
			o.partitions.owned[partition], gained[partition] = o.view.LeaseVersion, true
		}
	}
	if len(gained) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(o.jobs) {
		if j := o.jobs[id]; gained[j.partition()] {
			o.adoptJob(j)
		}
	}
	o.readPages()
}

// releasePartition drops what this controller knows of a partition's jobs as their owner.
// The next owner goes on from what is stored, and so would this one, should the partition
// come back: what it remembers would be out of date then.
func (o *Owner) releasePartition(partition string) {
	jobs := 0
	for _, j := range o.jobs {
		if j.partition() != partition || j.Ended {
			continue
		}
		jobs++
		j.clearOwnerState()
	}
	o.log.Info("partition handed over", "partition", partition, "controller", o.view.Lease.Partitions[partition], "jobs", jobs)
}
