package controller

import (
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/termination"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// holderHeadStart is how long a machine that is due is left to its holder, while that is
	// in reach. Without the state service the holder may know of tasks that are gone, and
	// the others do not: then it is longer.
	holderHeadStart      = 1500 * time.Millisecond
	holderHeadStartAlone = 3 * time.Second
	// terminationStagger is how much longer each controller waits than the one before it by
	// name, so that they do not all ask the cloud at the same moment.
	terminationStagger = 300 * time.Millisecond
	// maxTerminationDelay leaves time for the cloud.
	maxTerminationDelay = 3600 * time.Millisecond
	// maxToldTerminations bounds the machines to be terminated in a frame.
	maxToldTerminations = 500
)

// guardHost is what the guard of overdue machines asks its controller.
type guardHost struct{ core *Core }

// TerminationCandidates returns the machines that have to be gone within a time.
func (h guardHost) TerminationCandidates(within time.Duration, locate func(name string) (wire.Machine, bool)) []termination.Candidate {
	return h.core.owner.TerminationCandidates(within, h.core.stateReachable(), locate)
}

// TerminationDelay returns how long a machine that is due is left to other controllers.
func (h guardHost) TerminationDelay(holder string) time.Duration {
	c := h.core
	if holder == c.view.Self {
		return 0
	}
	delay := time.Duration(0)
	if c.view.IsReachable(holder, c.loop.Now) {
		if delay = holderHeadStart; !c.stateReachable() {
			delay = holderHeadStartAlone
		}
	}
	for name := range c.view.Peers {
		if name < c.view.Self && name != holder {
			delay += terminationStagger
		}
	}
	return min(delay, maxTerminationDelay)
}

// Informed reports whether this controller has read the state, and so all cancellation records.
func (h guardHost) Informed() bool { return h.core.state.loaded() || h.core.recovery != nil }

// UnknownDue returns when machines are due of which nothing is known: when the leases of all workers
// have ended that another process answered before this one began. Without a majority in reach
// others may know.
func (h guardHost) UnknownDue() (due time.Time, ok bool) {
	c := h.core
	if c.stateReachable() || !c.reachesMajority() {
		return due, false
	}
	for _, p := range c.view.Peers {
		if c.loop.Now.Sub(p.InformedAt) < cluster.PeerTimeout {
			return due, false
		}
	}
	return c.startedAt.Add(c.owner.LeaseOverAfter()), true
}

// LeaseOverAfter returns after which time without an answer a worker's lease has surely ended.
func (h guardHost) LeaseOverAfter() time.Duration { return h.core.owner.LeaseOverAfter() }

// IsHeard reports whether this controller, or another in reach, has heard of a machine lately.
func (h guardHost) IsHeard(machine string) bool { return h.core.owner.IsHeard(machine) }

// Connected reports whether this controller is not cut off from all: it reaches the state service, a
// majority of the controllers, or a machine.
func (h guardHost) Connected() bool {
	c := h.core
	return c.stateReachable() || c.isMajorityInReach(c.quorum()) || c.owner.HearsWorkers()
}

// MachinesTerminated notes that machines are gone.
func (h guardHost) MachinesTerminated(names []string) {
	for _, name := range names {
		h.core.owner.GiveUpTerminated(name)
		if h.core.leader != nil {
			h.core.leader.MachineDeleted(name)
		}
	}
}

// guardCancellations returns machines to the cloud that may run tasks of cancelled jobs.
func (c *Core) guardCancellations() {
	if c.incompatible == nil {
		c.guard.Step()
	}
}

// addTerminations writes into a frame for all peers which machines are heard here, while that may
// decide whether one is terminated, and, while the state service does not answer, which machines
// are to be terminated.
func (c *Core) addTerminations(f *peerpb.Frame) {
	uninformed := !c.state.loaded() && c.recovery == nil && !c.stateReachable()
	if uninformed || c.owner.CancellationsDue(termination.AskAhead+2*heartbeatInterval, c.stateReachable()) {
		f.HeardMachines = termination.PackHeard(c.owner.HeardMachines())
	}
	if c.stateReachable() {
		return
	}
	f.JobsGone = c.owner.JobsGone()
	for _, candidate := range c.guard.Known(c.owner.CancelTime()) {
		if len(f.OverdueMachines) == maxToldTerminations {
			return
		}
		f.OverdueMachines = append(f.OverdueMachines, &peerpb.OverdueMachine{Name: candidate.Machine, Endpoint: candidate.Endpoint,
			Holder: candidate.Holder, DueInMs: candidate.Due.Sub(c.loop.Now).Milliseconds()})
	}
}

// noteTerminations notes which machines a peer hears, and which it knows to be overdue.
func (c *Core) noteTerminations(p *cluster.Peer, f *peerpb.Frame) {
	heard, err := termination.UnpackHeard(f.GetHeardMachines())
	if err != nil {
		c.log.Error("cannot decode names in frame", "controller", f.GetFrom(), "err", err)
	}
	p.HeardMachines, p.HeardAt = heard, c.loop.Now
	for _, id := range f.GetJobsGone() {
		c.owner.NoteJobGone(id, f.GetFrom())
	}
	for _, m := range f.GetOverdueMachines() {
		c.guard.Inherit(termination.Candidate{Machine: m.GetName(), Endpoint: m.GetEndpoint(), Holder: m.GetHolder(),
			Due: c.loop.Now.Add(time.Duration(m.GetDueInMs()) * time.Millisecond)})
	}
}
