package owner

import (
	"slices"
	"time"

	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// blockState says whether a machine stays in this controller's block.
//
//	assigned ⇄ draining   as the lease value says
//	draining → released   once the machine is known to run nothing; final
type blockState int

const (
	// machineAssigned: tasks may be placed on the machine.
	machineAssigned blockState = iota
	// machineDraining: the leader wants the machine back.
	machineDraining
	// machineReleased: given back to the leader, which takes it out of the block. Nothing
	// is ever started on it again.
	machineReleased
)

// machine is a machine of this controller's block, with the worker on it.
type machine struct {
	name        string
	endpoint    string // "": not known yet
	machineType string
	zone        string
	spot        bool
	size        sched.Resources

	// The newest heartbeat.
	agentEpoch    uint64 // 0: none yet
	sequence      uint64
	lastHeartbeat time.Time // of one that proves that the worker is alive
	lastStatus    time.Time // when a status last came, in whichever way; zero: none yet

	// Fencing, see fencing.go.
	token          wire.FencingToken // highest that the worker has reported
	tokenIncrement uint64            // raises this machine's token above earlier starts
	firstToken     wire.FencingToken // first token of this block lease; a heartbeat below it may be a copy of any age
	sentToken      wire.FencingToken // highest that was sent to the worker
	minAckToken    wire.FencingToken // token that the worker has to show to count as one that receives commands
	lastAnswered   time.Time         // when a heartbeat of this agent epoch was last answered here

	// What it runs.
	attempts            map[attemptKey]*attempt
	needsReconciliation bool // may run tasks this controller knows nothing of
	unknownAttempts     int  // tasks there that belong to no job known here
	images              []image
	idleSince           time.Time // zero: it has tasks

	// Health.
	state       blockState
	liveness    liveness
	terminated  bool            // the cloud has confirmed here that it is gone
	quarantined bool            // fails its tasks, see failure.go
	failedTasks map[string]bool // tasks, or faulty jobs, that failed on it since one last completed
	reclaimAt   time.Time       // when the cloud takes it; zero: no notice

	// Commands, see commands.go, and probes, see probe.go.
	commands           directCommands
	noTasksBefore      time.Time
	answeringHeartbeat bool   // its commands go out with the answer
	expectedEpoch      uint64 // of its agent, as far as others know
	nextProbe          time.Time
}

// image is a container image on a machine or on its way there.
type image struct {
	name   string
	sizeGB float64
	cached bool // a task has run from it
}

// released reports whether the machine was given back to the leader.
func (m *machine) released() bool { return m.state == machineReleased }

// draining reports whether the leader wants the machine back and it is still in use.
func (m *machine) draining() bool { return m.state == machineDraining }

// setDraining applies whether the leader wants the machine back. A released machine stays
// released.
func (m *machine) setDraining(draining bool) {
	switch {
	case m.state == machineReleased:
	case draining:
		m.state = machineDraining
	default:
		m.state = machineAssigned
	}
}

// mayRunUnknownTasks reports whether the machine may run tasks that are not known here.
func (m *machine) mayRunUnknownTasks() bool { return m.needsReconciliation || m.unknownAttempts > 0 }

// runsOnDemandOnlyTasks reports whether the machine runs tasks that may not run on a spot
// machine.
func (m *machine) runsOnDemandOnlyTasks() bool {
	for _, a := range m.attempts {
		if a.job != nil && !a.ended() && !a.job.Record.Spot {
			return true
		}
	}
	return false
}

// free returns what the machine has left for new tasks.
func (m *machine) free() sched.Resources {
	free := m.size
	for _, a := range m.attempts {
		if a.job != nil && !a.ended() {
			free = free.Add(a.job.need(), -1)
		}
	}
	return free
}

// eventualRoom returns what the machine has left once everything that ends by itself has
// ended there.
func (m *machine) eventualRoom() sched.Resources {
	room := m.size
	for _, a := range m.attempts {
		if a.job != nil && a.job.Record.Shape == wire.Daemon && !a.ended() && !a.stopping {
			room = room.Add(a.job.need(), -1)
		}
	}
	return room
}

// updateIdle sets since when the machine has had no task.
func (o *Owner) updateIdle(m *machine) {
	for _, a := range m.attempts {
		if !a.ended() {
			m.idleSince = time.Time{}
			return
		}
	}
	if m.idleSince.IsZero() {
		m.idleSince = o.loop.Now
	}
}

// fetchSeconds estimates how long the job's image takes to get to the machine, at a rate in
// gigabytes per second. Images from which no task has run yet count as being fetched.
func (m *machine) fetchSeconds(j *Job, rate float64) float64 {
	if rate <= 0 || j.Record.ImageGB <= 0 {
		return 0
	}
	seconds := j.Record.ImageGB / rate
	fetching := 0
	for i := range m.images {
		img := &m.images[i]
		switch {
		case img.name == j.Record.Image && img.cached:
			return 0
		case img.name == j.Record.Image:
			return seconds / 2
		case !img.cached:
			fetching++
		}
	}
	return seconds * float64(1+fetching)
}

// recordImage notes that the machine fetches or uses an image, the most recently used one
// first, and drops those that its cache has no room for.
func (m *machine) recordImage(name string, sizeGB, cacheGB float64, cached bool) {
	if len(m.images) > 0 && m.images[0].name == name {
		m.images[0].cached = m.images[0].cached || cached
		return
	}
	if i := slices.IndexFunc(m.images, func(img image) bool { return img.name == name }); i >= 0 {
		cached = cached || m.images[i].cached
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = slices.Insert(m.images, 0, image{name, sizeGB, cached})
	total := 0.0
	for i, img := range m.images {
		if total += img.sizeGB; total > cacheGB && i > 0 {
			m.images = m.images[:i]
			break
		}
	}
}
