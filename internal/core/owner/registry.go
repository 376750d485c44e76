package owner

import (
	"slices"
	"strings"
	"time"

	"fawncove/internal/wire"
)

// workerRegistry is the set of workers that this controller hears: the machines of its
// block, and foreign workers, whose machines are in another block or in none.
type workerRegistry struct {
	machines  map[string]*machine // the block, by name
	sorted    []*machine          // the block in order of name, see machinesByName
	sortStale bool
	foreign   map[string]*foreignWorker

	lastHeartbeat time.Time                // of any machine of the block
	lastReport    time.Time                // when any worker last reported here, whether it was answered or not
	refused       map[string]refusedReport // the newest reports that could not be answered, by machine
	unheardSince  time.Time                // since when machines of the block need reconciliation; zero: none does
	highestToken  wire.FencingToken        // that any worker has shown

	endedListedAlive int // attempts that were listed alive after their end
	restarts         int // of workers, see restart.go

	urgent          map[string]bool      // machines with commands that should not wait for a heartbeat
	toProbe         map[string]bool      // machines to be asked for their tasks
	probesInFlight  int                  // at most maxProbesInFlight
	zoneCutOffUntil map[string]time.Time // until when the silent machines of a zone count as cut off
}

func newWorkerRegistry() workerRegistry {
	return workerRegistry{
		machines:        map[string]*machine{},
		foreign:         map[string]*foreignWorker{},
		refused:         map[string]refusedReport{},
		urgent:          map[string]bool{},
		toProbe:         map[string]bool{},
		zoneCutOffUntil: map[string]time.Time{},
	}
}

// add puts a machine into the block.
func (w *workerRegistry) add(m *machine) {
	w.machines[m.name] = m
	w.sortStale = true
}

// noteUnreconciled notes that a machine of the block needs reconciliation.
func (w *workerRegistry) noteUnreconciled(now time.Time) {
	if w.unheardSince.IsZero() {
		w.unheardSince = now
	}
}

// takeAllReconciled reports, once, that no machine of the block needs reconciliation any
// more, and how long that took.
func (w *workerRegistry) takeAllReconciled(now time.Time) (took time.Duration, all bool) {
	if w.unheardSince.IsZero() {
		return 0, false
	}
	for _, m := range w.machines {
		if m.needsReconciliation {
			return 0, false
		}
	}
	took, w.unheardSince = now.Sub(w.unheardSince), time.Time{}
	return took, true
}

// remove takes a machine out of the block.
func (w *workerRegistry) remove(name string) {
	delete(w.machines, name)
	w.sortStale = true
}

// machinesByName returns the machines of the block in order of name. The slice is reused
// until the block changes.
func (w *workerRegistry) machinesByName() []*machine {
	if len(w.sorted) != len(w.machines) || w.sortStale {
		w.sortStale = false
		w.sorted = w.sorted[:0]
		for _, m := range w.machines {
			w.sorted = append(w.sorted, m)
		}
		slices.SortFunc(w.sorted, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return w.sorted
}

// unreconciled returns the machines that may run tasks which are not known here, by name.
func (w *workerRegistry) unreconciled() []*machine {
	var found []*machine
	for _, m := range w.machinesByName() {
		if m.mayRunUnknownTasks() {
			found = append(found, m)
		}
	}
	return found
}

// MachineCount returns how many machines are in the block.
func (o *Owner) MachineCount() int { return len(o.workers.machines) }

// HighestToken returns the highest fencing token that any worker has shown here.
func (o *Owner) HighestToken() wire.FencingToken { return o.workers.highestToken }

// EndedAttemptsListedAlive returns how many attempts were listed alive after workers had reported
// their end.
func (o *Owner) EndedAttemptsListedAlive() int { return o.workers.endedListedAlive }

// WorkerRestarts returns how many times workers of the block are known to have restarted.
func (o *Owner) WorkerRestarts() int { return o.workers.restarts }

// UnreconciledMachines returns how many machines may run tasks that are not known here.
func (o *Owner) UnreconciledMachines() int {
	n := 0
	for _, m := range o.workers.machines {
		if m.mayRunUnknownTasks() {
			n++
		}
	}
	return n
}

// ResumedAfter notes that this controller was suspended for a while: the heartbeats it
// missed meanwhile say nothing about the machines. Otherwise a leader that resumes would
// return its whole block before it reads a single heartbeat.
func (o *Owner) ResumedAfter(gap time.Duration) {
	o.workers.lastHeartbeat = o.loop.Now
	for _, m := range o.workers.machines {
		m.lastHeartbeat = m.lastHeartbeat.Add(gap)
	}
}

// EachMachine calls f for each machine of the block, in order of name.
func (o *Owner) EachMachine(f func(name string, idle time.Duration, quarantined, unreachable bool)) {
	idle := o.idleTimes()
	for _, m := range o.workers.machinesByName() {
		f(m.name, idle(m), m.quarantined, m.unreachable())
	}
}

// idleTimes returns a function that returns for how long a machine that has reported has had no task,
// while there was none for it. Work that waits until it is known what runs on other machines is not
// there yet only because their holder has changed.
func (o *Owner) idleTimes() func(m *machine) time.Duration {
	workWaits := o.workWaitsForReconciliation()
	return func(m *machine) time.Duration {
		if workWaits || m.idleSince.IsZero() || m.agentEpoch == 0 {
			return 0
		}
		return o.loop.Now.Sub(m.idleSince)
	}
}

// workWaitsForReconciliation reports whether a job waits until it is known what runs on some machines.
func (o *Owner) workWaitsForReconciliation() bool {
	if o.workers.unheardSince.IsZero() {
		return false
	}
	unreconciled := o.workers.unreconciled()
	for _, j := range o.jobs {
		waits := len(j.queue) > 0 || j.awaitsPages()
		if waits && !j.Ended && o.Owns(j) && o.waitsForReconciliation(j, unreconciled) {
			return true
		}
	}
	return false
}
