package owner

import (
	"time"

	"fawncove/internal/core/cluster"
)

// A controller that was away long enough to be taken over finds its homes with
// others when it is back. It gets a new one, for new jobs, and the old ones move
// on as they fall dry: an owner that holds more homes of a team than another
// controller, or that has no room for what waits in one, offers a home of which
// nothing runs. As with shares the offer is a promise in a numbered renewal:
// nothing of the home is started until a value honours it, and only the write
// that does so may move the home. Either side, or the leader, may crash at any
// moment: the home is then where it was, or moved with nothing running of it.
//
// The first home of each team stays, and new jobs are filed under it, so that
// the others do fall dry.

// yieldEvery spaces the offers of one home: each of them holds up what waits in
// it for a moment, whether or not anybody has use for it.
const handoverInterval = 15 * time.Second

// yields lists the homes that this controller would rather give up, and can.
func (o *Owner) partitionsToHandOver() []string {
	if !o.blockLease.Held() {
		return nil
	}
	var out []string
	for _, t := range o.view.Settings.Cluster.Teams {
		mine, least := o.teamPartitions(t.Name)
		if len(mine) < 2 || least < 0 || o.UnreconciledMachines() > 0 {
			continue
		}
		for i := len(mine) - 1; i > 0; i-- {
			if at, ok := o.handoverOfferedAt[mine[i]]; ok && o.loop.Now.Sub(at) < handoverInterval {
				continue
			}
			waits, dry := o.drained(mine[i])
			if dry && (len(mine)-least >= 2 || (waits > 0 && o.hasRoomElsewhere(waits))) {
				out = append(out, mine[i])
				break // one at a time: the next look sees what came of it
			}
		}
	}
	return out
}

// spread returns the homes of a team that are here, the one for new jobs first,
// and how many the reachable controller with the fewest has; -1 when there is
// none.
func (o *Owner) teamPartitions(team string) (mine []string, least int) {
	homes := o.view.Lease.Partitions
	for _, home := range cluster.Partitions(homes, team) {
		if homes[home] == o.view.Self {
			mine = append(mine, home)
		}
	}
	count := cluster.CountPartitions(homes, team)
	least = -1
	for node := range o.view.Peers {
		if _, ok := o.view.Lease.Blocks[node]; ok && o.view.IsReachable(node, o.loop.Now) && (least < 0 || count[node] < least) {
			least = count[node]
		}
	}
	return mine, least
}

// UnreconciledMachines counts the machines that may run tasks which are not known here.
func (o *Owner) UnreconciledMachines() int {
	n := 0
	for _, m := range o.machines {
		if m.mayRunUnknownTasks() {
			n++
		}
	}
	return n
}

// dry tells whether no task of a home is anywhere, and all that is completed of
// it is stored, so that another owner would find it. waits is what its waiting
// tasks need, in processors.
func (o *Owner) drained(home string) (waits float64, dry bool) {
	for _, j := range o.jobs {
		if j.partition() != home {
			continue
		}
		// A completed task that is not stored would be run again: its worker
		// reports to this controller only.
		if len(j.attempts) > 0 || j.EndInFlight || (!j.Ended && (!j.ready || j.doneCount == j.Record.Tasks || !j.allStored())) {
			return 0, false
		}
		waits += float64(len(j.queue)) * j.Record.CPUs
	}
	return waits, true
}

// allStored tells whether all completed tasks of the job are stored.
func (j *Job) allStored() bool {
	for i, d := range j.done {
		if d&^j.stored[i] != 0 {
			return false
		}
	}
	return true
}

// elsewhere tells whether work has no room here that it would have with another
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

// leave forgets what this controller knows of a home's jobs as their owner. The
// next owner goes on from what is stored, and so would this one, should the home
// come back: what it remembers would be out of date by then.
func (o *Owner) releasePartition(home string) {
	moved := 0
	for _, j := range o.jobs {
		if j.partition() != home || j.Ended {
			continue
		}
		moved++
		j.clearOwnerState()
	}
	o.log.Info("home moved", "home", home, "to", o.view.Lease.Partitions[home], "jobs", moved)
}
