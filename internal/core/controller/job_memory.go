package controller

import (
	"maps"
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// A process that has just started has forgotten what an earlier one confirmed. It counts for a
// majority again once it has read the state and has heard from so many others what they know of
// the latest changes that each majority of before has one among them. What is not in the state,
// though another controller knows it, is a loss of data.
//
// Where too many have forgotten at the same time nobody is left to be heard: then those who may
// remember are. After maxMemoryWait nobody is waited for.

const (
	// memoryRequestInterval spaces the requests to a controller that has not replied.
	memoryRequestInterval = 300 * time.Millisecond
	// minMemoryWait is how long those who may remember are waited for, though there are too few.
	minMemoryWait = 500 * time.Millisecond
	// maxMemoryWait is how long those who remember are waited for: by then each controller that
	// reaches the state service has had an answer that shows a loss, and has marked the state. A
	// lease would be 20 s without answers wherever one of a bare majority starts anew.
	maxMemoryWait = stateTimeout + cluster.WatchHold
	// memoryRevisions is how many of the latest revisions a reply covers. What is older has been
	// read by all that reach the state service, and its loss shows by the revision.
	memoryRevisions = 1024
	// startedProcessAge is how long replies name a process that has asked: longer than any claim
	// waits for its majority.
	startedProcessAge = 10 * time.Second
)

// jobMemory is how far this process knows what the controllers have confirmed.
type jobMemory struct {
	complete    bool
	requestedAt map[string]time.Time // by controller
	replies     map[string]bool      // whether the controller that replied counts
	// unverified are the jobs that are known, and that the state as it was read does not have as
	// they are known. The state service is asked for each.
	unverified map[string]rank
	checking   map[string]bool
	requests   map[string]memoryRequest // of other controllers, the last of each
}

// memoryRequest is a request of a process of another controller.
type memoryRequest struct {
	incarnation wire.Incarnation
	at          time.Time
}

// expectStored notes that the state has to have a job that has come to a rank.
func (m *jobMemory) expectStored(id string, atLeast rank) {
	if m.unverified == nil {
		m.unverified, m.checking = map[string]rank{}, map[string]bool{}
	}
	m.unverified[id] = max(m.unverified[id], atLeast)
}

// startedProcesses returns the processes that have asked of late.
func (m *jobMemory) startedProcesses(now time.Time) (started []*peerpb.StartedProcess) {
	for _, name := range cluster.SortedKeys(m.requests) {
		if r := m.requests[name]; now.Sub(r.at) < startedProcessAge {
			started = append(started, &peerpb.StartedProcess{Controller: name, Incarnation: uint64(r.incarnation)})
		}
	}
	return started
}

// remembers reports whether this process counts for a majority.
func (c *Core) remembers() bool {
	m := &c.memory
	if len(m.unverified) > 0 {
		return false
	}
	if !m.complete && c.state.loaded() && c.recovery == nil && m.isComplete(c.quorum(), c.loop.Now.Sub(c.startedAt)) {
		m.complete = true
		c.log.Info("confirmed jobs known", "controllers", len(m.replies), "duration", c.sinceStart())
	}
	return m.complete
}

// isComplete reports whether enough was heard from the others.
func (m *jobMemory) isComplete(q quorum, sinceStart time.Duration) bool {
	needed := min(len(q.members), len(q.members)+2-q.majority)
	remembering, silent := 0, 0
	for _, name := range q.members {
		counts, replied := m.replies[name]
		switch {
		case counts:
			remembering++
		case !replied:
			silent++
		}
	}
	switch {
	case remembering >= needed, silent == 0, sinceStart >= maxMemoryWait:
		return true
	default:
		return remembering+silent < needed && sinceStart >= minMemoryWait
	}
}

// verifyKnownJobs asks the state service for the jobs that it has yet to show.
func (c *Core) verifyKnownJobs() {
	m := &c.memory
	for _, id := range cluster.SortedKeys(m.unverified) {
		if m.checking[id] {
			continue
		}
		m.checking[id] = true
		c.verifyStored(id, m.unverified[id], func(l lookup) {
			delete(m.checking, id)
			if l.job != nil || l.end != nil {
				delete(m.unverified, id)
			}
		})
	}
}

// requestJobMemory asks the others what they know, until enough was heard.
func (c *Core) requestJobMemory() {
	m := &c.memory
	c.verifyKnownJobs()
	if !c.view.Params.Levels.KnowsLevels() || c.remembers() {
		return
	}
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		_, replied := m.replies[name]
		if replied || !c.view.Peers[name].ConfirmsJobs || c.loop.Now.Sub(m.requestedAt[name]) < memoryRequestInterval {
			continue
		}
		if m.requestedAt == nil {
			m.requestedAt = map[string]time.Time{}
		}
		m.requestedAt[name] = c.loop.Now
		c.sendJobFrame(name, func(f *peerpb.Frame) { f.JobMemoryRequest = new(peerpb.JobMemoryRequest) })
	}
}

// handleJobMemoryRequest replies which jobs are known here of the latest changes.
func (c *Core) handleJobMemoryRequest(f *peerpb.Frame) {
	if !c.serves() || f.GetGeneration() != c.generation() {
		return
	}
	if c.memory.requests == nil {
		c.memory.requests = map[string]memoryRequest{}
	}
	c.memory.requests[f.GetFrom()] = memoryRequest{wire.Incarnation(f.GetIncarnation()), c.loop.Now}
	reply := &peerpb.JobMemory{Incarnation: f.GetIncarnation(), Counts: c.remembers()}
	oldest := wire.Revision(0)
	if highest := c.loop.HighestRevision(); highest > memoryRevisions {
		oldest = highest - memoryRevisions
	}
	for _, id := range slices.Sorted(maps.Keys(c.ended.records)) {
		if end := c.ended.records[id]; end.revision > oldest {
			reply.Jobs = append(reply.Jobs, c.encodeClaim(claim{id, standingOfEnd(end.record)}))
		}
	}
	jobs := c.owner.Jobs()
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		if j := jobs[id]; !j.Ended && j.Version > oldest {
			reply.Jobs = append(reply.Jobs, &peerpb.JobClaim{Id: id, Standing: standingAccepted, Revision: uint64(j.Version)})
		}
	}
	c.sendJobFrame(f.GetFrom(), func(out *peerpb.Frame) { out.JobMemory = reply })
}

// handleJobMemory notes what another controller knows.
func (c *Core) handleJobMemory(f *peerpb.Frame) {
	memory, m := f.GetJobMemory(), &c.memory
	if !c.serves() || m.complete || f.GetGeneration() != c.generation() || wire.Incarnation(memory.GetIncarnation()) != c.blockLease.Incarnation() {
		return
	}
	if m.replies == nil {
		m.replies = map[string]bool{}
	}
	m.replies[f.GetFrom()] = memory.GetCounts()
	for _, known := range memory.GetJobs() {
		c.learnKnownJob(known)
	}
}

// learnKnownJob takes over what another controller knows of a job. What the state does not have,
// as it was read, is asked for there.
func (c *Core) learnKnownJob(known *peerpb.JobClaim) {
	own := c.standingOf(known.GetId())
	switch {
	case rankOf(own) >= rankOf(known.GetStanding()):
		return
	case rankOf(own) == rankUnknown && rankOf(known.GetStanding()) == rankEnded:
		c.applyClaim(known) // ends are not read when a process starts
		if known.GetConfirmed() && c.standingOf(known.GetId()) == known.GetStanding() {
			c.ended.noteConfirmed(known.GetId())
		}
	default:
		c.memory.expectStored(known.GetId(), rankOf(known.GetStanding()))
	}
}
