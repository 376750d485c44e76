package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// A foreign worker is redirected to the holder of its machine's block. While it cannot reach
// that one, its heartbeats are answered here, which keeps its tasks alive without starting
// anything.

const (
	// redirectInterval spaces the redirects of a worker to the holder of its machine. A
	// worker that does not get through is back after answerTimeout and must then be
	// answered: redirected again it would never be, and lose its tasks with its lease.
	redirectInterval = 8 * time.Second
	// holderReserveS is how many seconds before a cancellation has to be in effect answers
	// stop, so that the holder can act on it.
	holderReserveS = 7
	// unassignedWait is how long the heartbeat of a machine in no block waits for the
	// machine to be given to one.
	unassignedWait = 2 * time.Second
	// foreignForgetAfter is how long after its last heartbeat a foreign worker is forgotten.
	foreignForgetAfter = time.Minute
	// maxForeignTTL bounds for how long the heartbeat of a foreign worker proves that its
	// machine is alive.
	maxForeignTTL = 10 * time.Second
	// provingReports is how many report intervals a new worker counts as alive, beside two
	// tries at other controllers, without having shown that it receives answers.
	provingReports = 1.5
)

// foreignWorker is a worker that reports here and whose machine is in another block, or in
// none.
type foreignWorker struct {
	heartbeat     wire.Heartbeat // the newest
	lastHeartbeat time.Time
	firstSeen     time.Time // here, whatever its agent epoch
	epochSince    time.Time // when its agent epoch was first seen here

	redirectedAt    time.Time // zero: never
	pendingRequests []uint64  // heartbeats to be answered once the machine is in a block

	token            wire.FencingToken // the highest it was answered with, see raiseForeignToken
	tokenRaisedAt    time.Time
	answeredSequence uint64    // the heartbeat that was last answered; 0: the newest was not
	lastConsecutive  time.Time // when the heartbeat right after an answered one last came here
}

// provesAlive reports whether the worker's heartbeats prove that its machine is alive. Only
// a worker that stays where it was answered receives answers; a new one has not had the
// chance to show that.
func (o *Owner) provesAlive(w *foreignWorker) bool {
	provingTime := 2*answerTimeout + config.Seconds(provingReports*o.view.Settings.Cluster.Workers.ReportS)
	return o.loop.Now.Sub(w.lastHeartbeat) < o.foreignHeartbeatTTL() &&
		(o.loop.Now.Sub(w.firstSeen) < provingTime || o.loop.Now.Sub(w.lastConsecutive) < o.foreignHeartbeatTTL())
}

// foreignHeartbeatTTL returns for how long the heartbeat of a foreign worker proves that its
// machine is alive. A machine that has died since would otherwise not be released, and
// everything that may have run on it would wait.
func (o *Owner) foreignHeartbeatTTL() time.Duration {
	return min(maxForeignTTL, silentAfter(o.view.Settings.Cluster.Workers))
}

// handleForeignHeartbeat handles the heartbeat of a machine that is not in this controller's
// block.
func (o *Owner) handleForeignHeartbeat(e eventloop.HeartbeatRequest) {
	hb := &e.Heartbeat
	w := o.workers.foreign[hb.Machine]
	if w != nil && !isNewer(hb, w.heartbeat.AgentEpoch, w.heartbeat.Sequence) {
		o.loop.Unavailable(e.Req) // a late copy
		return
	}
	leaseS := o.view.Settings.Cluster.Workers.LeaseS
	if w == nil || hb.AgentEpoch > w.heartbeat.AgentEpoch || o.loop.Now.Sub(w.lastHeartbeat) > config.Seconds(leaseS) {
		firstSeen := o.loop.Now
		if w != nil {
			firstSeen = w.firstSeen // a machine that receives nothing does not become new by that
		}
		w = &foreignWorker{epochSince: o.loop.Now, firstSeen: firstSeen}
		o.workers.foreign[hb.Machine] = w
		o.blockLease.RequestRenewal() // its holder may take it to be unreachable
	}
	if w.answeredSequence != 0 && hb.Sequence == w.answeredSequence+1 {
		w.lastConsecutive = o.loop.Now
	}
	w.heartbeat, w.lastHeartbeat, w.answeredSequence = *hb, o.loop.Now, 0
	o.answerForeignWorker(e, w)
}

// answerForeignWorker answers the newest heartbeat of a foreign worker: it redirects the
// worker to the holder of its machine, or keeps its tasks alive.
func (o *Owner) answerForeignWorker(e eventloop.HeartbeatRequest, w *foreignWorker) {
	holder := o.view.HolderOf(e.Heartbeat.Machine)
	if holder == "" {
		if o.deferUnassigned(e, w) {
			return
		}
	} else if o.redirectToHolder(e, w, holder) {
		return
	}
	o.keepAlive(e, w, holder)
}

// deferUnassigned handles the heartbeat of a machine in no block, and reports whether that
// is all: the leader has to put the machine into a block.
func (o *Owner) deferUnassigned(e eventloop.HeartbeatRequest, w *foreignWorker) bool {
	o.blockLease.RequestRenewal() // tells the leader of the machine
	if !o.view.IsLeader && o.view.IsReachable(o.view.Lease.Leader, o.loop.Now) {
		o.loop.Reply(e.Req, eventloop.ReplyMisdirected, wire.Redirect{Controller: o.view.Lease.Leader})
		return true
	}
	if o.view.IsLeader && e.Heartbeat.Token <= o.blockLease.Token(0) {
		w.pendingRequests = append(w.pendingRequests, e.Req) // see answerPendingForeign
		return true
	}
	return false
}

// redirectToHolder redirects a worker to the holder of its machine, and reports whether it
// did.
func (o *Owner) redirectToHolder(e eventloop.HeartbeatRequest, w *foreignWorker, holder string) bool {
	if holder == o.view.Self || !o.view.IsReachable(holder, o.loop.Now) || o.loop.Now.Sub(w.redirectedAt) <= redirectInterval {
		return false
	}
	first := w.redirectedAt.IsZero()
	w.redirectedAt = o.loop.Now
	// Where no worker reaches the holder, this one is kept here at first. Later it is to
	// try all the same.
	if first && o.view.Peers[holder].NoHeartbeats {
		return false
	}
	o.loop.Reply(e.Req, eventloop.ReplyMisdirected, wire.Redirect{Controller: holder})
	return true
}

// keepAlive answers a worker that cannot reach the holder of its machine. The answer keeps
// its tasks alive without a right to start any. Not for long: meanwhile the holder does not
// know what became of them.
func (o *Owner) keepAlive(e eventloop.HeartbeatRequest, w *foreignWorker, holder string) {
	limits := o.view.Settings.Cluster.Workers
	kept := o.loop.Now.Sub(w.epochSince)
	if kept > config.Seconds(max(0, limits.CancelS-limits.LeaseS-holderReserveS)) {
		o.loop.Unavailable(e.Req)
		if kept > config.Seconds(limits.CancelS+2*limits.LeaseS) {
			delete(o.workers.foreign, e.Heartbeat.Machine)
		}
		return
	}
	commands, ok := o.haltsForEndedJobs(&e.Heartbeat)
	if !ok {
		o.loop.Unavailable(e.Req)
		return
	}
	w.answeredSequence = e.Heartbeat.Sequence
	token := e.Heartbeat.Token
	if holder == o.view.Self || o.acceptsRaisedTokens(holder) {
		token = o.raiseForeignToken(w)
	}
	o.answerHeartbeat(e.Req, o.answerDeadline(), token, commands)
}

// acceptsRaisedTokens reports whether a holder continues from a token that was raised here.
func (o *Owner) acceptsRaisedTokens(holder string) bool {
	return holder != "" && o.view.Peers[holder] != nil && o.view.Peers[holder].AcceptsRaisedTokens
}

// haltsForEndedJobs returns the commands that halt the tasks of jobs that have ended: these
// must not be kept alive. A job cancelled long ago may be unknown here, after a
// restart all that have ended are. While this controller's knowledge is old, such a task
// may also belong to a new job: ok is false then, and another controller has to answer.
func (o *Owner) haltsForEndedJobs(hb *wire.Heartbeat) (commands []wire.Command, ok bool) {
	commands = []wire.Command{}
	for _, t := range hb.Tasks {
		id, _, _ := splitTask(t.Task)
		if j := o.jobs[id]; t.State == wire.TaskEnded || (j != nil && !j.Ended) {
			continue
		}
		if !o.records.HasEnded(id) && o.loop.Now.Sub(o.known.changesUntil) > cluster.WatchHold+time.Second {
			return nil, false
		}
		noGrace := 0.0
		commands = append(commands, wire.Command{Op: wire.CommandHalt, Task: t.Task, Attempt: t.Attempt, GraceS: &noGrace})
	}
	return commands, true
}

// answerPendingForeign answers the heartbeats that waited for their machine to be put into
// a block, and refuses those that have waited long enough.
func (o *Owner) answerPendingForeign() {
	pending := false
	for _, w := range o.workers.foreign {
		pending = pending || len(w.pendingRequests) > 0
	}
	if !pending {
		return
	}
	for _, name := range cluster.SortedKeys(o.workers.foreign) {
		w := o.workers.foreign[name]
		if w == nil || len(w.pendingRequests) == 0 {
			continue
		}
		if o.view.HolderOf(name) != "" || o.loop.Now.Sub(w.lastHeartbeat) >= unassignedWait {
			o.answerPending(name, w)
		}
	}
}

// answerPending answers the last of a foreign worker's waiting heartbeats, if its machine is
// in a block, and refuses the others.
func (o *Owner) answerPending(name string, w *foreignWorker) {
	requests := w.pendingRequests
	w.pendingRequests = nil
	for _, req := range requests[:len(requests)-1] {
		o.loop.Unavailable(req)
	}
	last := requests[len(requests)-1]
	if o.view.HolderOf(name) == "" {
		o.loop.Unavailable(last)
		return
	}
	e := eventloop.HeartbeatRequest{Req: last, Heartbeat: w.heartbeat}
	if o.workers.machines[name] != nil {
		o.HandleHeartbeat(e)
	} else {
		o.answerForeignWorker(e, w)
	}
}

// forgetForeign forgets foreign workers that have not reported for long.
func (o *Owner) forgetForeign() {
	for name, w := range o.workers.foreign {
		if o.loop.Now.Sub(w.lastHeartbeat) > foreignForgetAfter {
			delete(o.workers.foreign, name)
		}
	}
}

// ForeignWorkers returns the machines of other blocks, or of none, that have reported lately.
func (o *Owner) ForeignWorkers() []string {
	var names []string
	for name, w := range o.workers.foreign {
		if o.provesAlive(w) {
			names = append(names, name)
		}
	}
	return names
}

// ForeignWorkersByHolder returns, for each other controller, how many machines of its block
// report here and stay.
func (o *Owner) ForeignWorkersByHolder() map[string]int32 {
	var counts map[string]int32
	for name, w := range o.workers.foreign {
		holder := o.view.HolderOf(name)
		if holder == "" || holder == o.view.Self || o.loop.Now.Sub(w.lastConsecutive) > o.foreignHeartbeatTTL() {
			continue
		}
		if counts == nil {
			counts = map[string]int32{}
		}
		counts[holder]++
	}
	return counts
}
