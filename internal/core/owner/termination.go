package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/termination"
	"fawncove/internal/wire"
)

// cancellationsDue returns the jobs whose tasks may be on a machine, and have to be given up there
// within a time.
func (o *Owner) cancellationsDue(within time.Duration) []*cancelledJob {
	var due []*cancelledJob
	for _, job := range o.cancelled.jobs {
		if !job.over() && o.isDue(job, within) {
			due = append(due, job)
		}
	}
	return due
}

// isDue reports whether machines are to be given up within a time for the tasks of a job.
func (o *Owner) isDue(job *cancelledJob, within time.Duration) bool {
	return !o.returnBy(job.since).After(o.loop.Now.Add(within))
}

// CancellationsDue reports whether any controller may take it that machines are to be given up within a
// time. While the state service does not answer, others may not know which tasks are gone.
func (o *Owner) CancellationsDue(within time.Duration, stateReachable bool) bool {
	return slices.ContainsFunc(o.cancelled.jobs, func(job *cancelledJob) bool {
		return !job.done && !(job.gone && stateReachable) && o.isDue(job, within)
	})
}

// TerminationCandidates returns the machines of all blocks on which tasks of cancelled jobs may be
// that have to be gone within a time, and which neither this controller nor another in reach
// has heard of lately. stateReachable says that the state service answers: then a cancellation
// without a record is the concern of the machine's holder alone.
func (o *Owner) TerminationCandidates(within time.Duration, stateReachable bool, locate func(name string) (wire.Machine, bool)) []termination.Candidate {
	due := o.cancellationsDue(within)
	if len(due) == 0 {
		return nil
	}
	var candidates []termination.Candidate
	for _, node := range cluster.SortedKeys(o.view.Lease.Blocks) {
		block := o.view.Lease.Blocks[node]
		for _, names := range []wire.NameSet{block.Machines, block.Unreconciled} {
			for _, name := range names {
				if !o.concernsAll(node) || o.IsHeard(name) {
					continue
				}
				c, ok := o.terminationCandidate(name, due, stateReachable, locate)
				if ok && !o.loop.Now.Before(c.Due.Add(-within)) {
					c.Machine, c.Holder = name, node
					candidates = append(candidates, c)
				}
			}
		}
	}
	return candidates
}

// concernsAll reports whether the machines of a controller are the concern of all. Those of a version in
// reach that removes no cancellation records, and does not say what it hears, are not.
func (o *Owner) concernsAll(holder string) bool {
	p := o.view.Peers[holder]
	return p == nil || p.KeepsCancellations || !o.view.IsReachable(holder, o.loop.Now)
}

// terminationCandidate returns when a machine has to be gone because of cancelled jobs, and where it
// can be asked; ok is false if none of their tasks can be there.
func (o *Owner) terminationCandidate(name string, due []*cancelledJob, stateReachable bool, locate func(string) (wire.Machine, bool)) (c termination.Candidate, ok bool) {
	listed, found := locate(name)
	if m := o.workers.machines[name]; m != nil {
		since, cancelled := o.cancelledSince(m)
		c.Endpoint = m.endpoint
		if c.Endpoint == "" && found {
			c.Endpoint = listed.Endpoint
		}
		c.Due = o.returnBy(since)
		return c, cancelled
	}
	m := &machine{name: name, machineType: listed.Type, zone: listed.Zone, spot: listed.Spot}
	c.Endpoint = listed.Endpoint
	for _, job := range due {
		if (job.stored == 0 && stateReachable) || !job.mayRunOn(m) {
			continue
		}
		if at := o.returnBy(job.since); !ok || at.Before(c.Due) {
			c.Due, ok = at, true
		}
	}
	return c, ok
}

// cancelledSince returns since when a user may have been told that a job is cancelled of which a task
// is or may be on a machine of the block; ok is false if there is none.
func (o *Owner) cancelledSince(m *machine) (since time.Time, ok bool) {
	since, ok = o.listedCancelledSince(m)
	if possibly, possible := o.possiblyCancelledSince(m); possible && (!ok || possibly.Before(since)) {
		return possibly, true
	}
	return since, ok
}

// LeaseOverAfter returns after which time without an answer the lease of a worker has surely ended.
func (o *Owner) LeaseOverAfter() time.Duration {
	return leaseOverAfter(o.view.Settings.Cluster.Workers)
}

// IsHeard reports whether this controller, or another in reach, has heard of a machine lately.
func (o *Owner) IsHeard(name string) bool {
	if o.hears(name) {
		return true
	}
	for _, p := range o.view.Peers {
		if p.HeardMachines[name] && o.loop.Now.Sub(p.HeardAt) < cluster.PeerTimeout {
			return true
		}
	}
	return false
}

// hears reports whether this controller has heard of a machine lately, by a heartbeat or an answer.
func (o *Owner) hears(name string) bool {
	lately := o.loop.Now.Add(-silentAfter(o.view.Settings.Cluster.Workers))
	if m := o.workers.machines[name]; m != nil && m.lastStatus.After(lately) {
		return true
	}
	if o.workers.refused[name].at.After(lately) {
		return true
	}
	w := o.workers.foreign[name]
	return w != nil && w.lastHeartbeat.After(lately)
}

// HearsWorkers reports whether any worker has reported here lately.
func (o *Owner) HearsWorkers() bool {
	return o.loop.Now.Sub(o.workers.lastReport) < silentAfter(o.view.Settings.Cluster.Workers)
}

// HeardMachines returns the machines of which this controller has heard lately, whoever holds them.
func (o *Owner) HeardMachines() termination.Heard {
	heard := termination.Heard{}
	for name := range o.workers.machines {
		if o.hears(name) {
			heard[name] = true
		}
	}
	for name := range o.workers.foreign {
		if o.hears(name) {
			heard[name] = true
		}
	}
	for name := range o.workers.refused {
		if o.hears(name) {
			heard[name] = true
		}
	}
	return heard
}

// GiveUpTerminated applies that a machine of the block is gone: the leader takes it out of the block
// once the cloud has told it so, too.
func (o *Owner) GiveUpTerminated(name string) {
	if m := o.workers.machines[name]; m != nil {
		m.giveUp()
		m.terminated = true
		o.blockLease.RequestRenewal()
	}
}
