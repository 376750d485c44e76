package owner

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
)

// A controller that was away long enough to be taken over finds its partitions with others
// when it is back. It gets a new one, for new jobs, and the old ones move on as they drain:
// an owner that holds more partitions of a team than another controller, or that has no room
// for what waits in one, offers a partition of which nothing runs. As with quota shares the
// offer is a reservation in a numbered renewal: nothing of the partition is started until a
// lease value applies it, and only the write that does so may assign the partition to
// another. Either side, or the leader, may crash at any moment: the partition is then where
// it was, or handed over with nothing of it running.
//
// The first partition of each team stays, and new jobs are filed under it, so that the
// others do drain.

const (
	// handoverInterval spaces the offers of one partition: each of them holds up what waits
	// in it for a moment, whether or not any controller has use for it.
	handoverInterval = 15 * time.Second
	// minImbalance is how many more partitions than another controller an owner holds before
	// it offers one for that alone.
	minImbalance = 2
)

// partitionsToHandOver returns the partitions to offer in the next renewal: those that can
// move, while another controller has fewer of the team or free capacity for what waits. It is
// at most one of each team, so that the next review sees what became of it.
func (o *Owner) partitionsToHandOver() []string {
	if !o.blockLease.Held() || o.UnreconciledMachines() > 0 {
		return nil
	}
	var list []string
	for _, t := range o.view.Settings.Cluster.Teams {
		if partition := o.partitionToHandOver(t.Name); partition != "" {
			list = append(list, partition)
		}
	}
	return list
}

// partitionToHandOver returns the last partition of a team to be offered, or "".
func (o *Owner) partitionToHandOver(team string) string {
	own, fewest := o.teamPartitions(team)
	if len(own) < 2 || fewest < 0 {
		return ""
	}
	for i := len(own) - 1; i > 0; i-- {
		if at, ok := o.partitions.offeredAt[own[i]]; ok && o.loop.Now.Sub(at) < handoverInterval {
			continue
		}
		waitingCPUs, drained := o.partitionMovable(own[i])
		if drained && (len(own)-fewest >= minImbalance || (waitingCPUs > 0 && o.hasRoomElsewhere(waitingCPUs))) {
			return own[i]
		}
	}
	return ""
}

// teamPartitions returns the partitions of a team that are here, the one for new jobs first,
// and how many the reachable controller with the fewest has; -1 if none is reachable.
func (o *Owner) teamPartitions(team string) (own []string, fewest int) {
	assigned := o.view.Lease.Partitions
	for _, partition := range cluster.Partitions(assigned, team) {
		if assigned[partition] == o.view.Self {
			own = append(own, partition)
		}
	}
	count := cluster.CountPartitions(assigned, team)
	fewest = -1
	for node := range o.view.Peers {
		if _, ok := o.view.Lease.Blocks[node]; ok && o.view.IsReachable(node, o.loop.Now) && (fewest < 0 || count[node] < fewest) {
			fewest = count[node]
		}
	}
	return own, fewest
}

// partitionMovable reports whether no attempt of a partition exists, and everything that is
// completed of it is stored, so that another owner would find it. waitingCPUs is what its
// waiting tasks need.
func (o *Owner) partitionMovable(partition string) (waitingCPUs float64, movable bool) {
	for _, j := range o.jobs {
		if j.partition() == partition && !j.movable() {
			return 0, false
		}
	}
	return o.waitingCPUs(partition), true
}

// waitingCPUs returns the processors that the waiting tasks of a partition need.
func (o *Owner) waitingCPUs(partition string) float64 {
	var sum sched.Sum
	for _, j := range o.jobs {
		if j.partition() == partition {
			sum.Add(float64(len(j.queue)) * j.Record.CPUs)
		}
	}
	return sum.Value()
}

// movable reports whether no attempt of the job exists, and everything that is completed
// is stored. A completed task that is not stored would be run again: its worker reports to
// this controller only.
func (j *Job) movable() bool {
	if len(j.attempts) > 0 || j.EndInFlight {
		return false
	}
	return j.Ended || (j.ready() && j.doneCount != j.Record.Tasks && j.allStored())
}

// hasRoomElsewhere reports whether work has no room here that it would have with another
// controller.
func (o *Owner) hasRoomElsewhere(cpus float64) bool {
	busy, _, size := o.ProcessorUse()
	if busy <= size {
		return false
	}
	for node, p := range o.view.Peers {
		if o.view.IsReachable(node, o.loop.Now) && p.SpareCPUs >= cpus {
			return true
		}
	}
	return false
}
