package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// heartbeatSource says how the status of a worker came.
type heartbeatSource int

const (
	// heartbeatReceived: the worker sent it by itself. Only this proves that the answer to
	// the heartbeat before it was executed or dropped.
	heartbeatReceived heartbeatSource = iota
	// statusInAnswer: it came in the answer to a direct command.
	statusInAnswer
)

// observe applies a worker's status to what is known of its machine and its attempts.
//
// It returns false for a status that says nothing: one that is older than the newest known,
// below this block lease's first token, or from a worker that has restarted. Copies of
// heartbeats come late, by more than a worker's lease, and a controller that has just taken a
// machine over knows no newer one: from such a heartbeat it learns only the endpoint to probe.
func (o *Owner) observe(m *machine, hb *wire.Heartbeat, source heartbeatSource) bool {
	if !isNewer(hb, m.agentEpoch, m.sequence) {
		return false
	}
	if m.agentEpoch != 0 && hb.Token < m.token {
		o.handleWorkerRestart(m, hb, tokenFell)
		return false
	}
	if hb.Token < m.firstToken {
		o.learnEndpoint(m, machineInfo(hb))
		m.expectedEpoch = max(m.expectedEpoch, hb.AgentEpoch)
		o.workers.toProbe[m.name] = true
		return false
	}
	epochEnded := hb.AgentEpoch > m.agentEpoch && m.agentEpoch != 0
	if epochEnded && o.loop.Now.Sub(m.lastAnswered) < config.Seconds(o.view.Settings.Cluster.Workers.LeaseS) {
		o.raiseToken(m) // its lease ended although it was answered: it does not receive answers
	}
	m.agentEpoch, m.sequence, m.token = hb.AgentEpoch, hb.Sequence, max(m.token, hb.Token)
	m.lastStatus = o.loop.Now
	o.observeLiveness(m, source)
	o.observeMachine(m, hb)
	o.observeReclaimNotice(m, hb)
	reconciles := m.needsReconciliation
	if reconciles {
		// The worker has seen this controller's token: it executes no command of an earlier
		// holder any more, and its list of tasks is complete.
		m.needsReconciliation = false
		o.placement.due = true
		if took, all := o.workers.takeAllReconciled(o.loop.Now); all {
			o.log.Info("block reconciled", "machines", len(o.workers.machines), "grant", o.blockLease.Grant(), "duration", took.Round(time.Millisecond))
		}
	}
	listed := o.observeTasks(m, hb)
	if !epochEnded && !reconciles && m.missesAttempts(listed) {
		o.handleWorkerRestart(m, hb, attemptsMissing)
		return false
	}
	o.dropUnlisted(m, listed, endOfUnlisted{epochEnded: epochEnded, reconciles: reconciles},
		startEvidence{shownToken: m.token, sequence: hb.Sequence, source: source})
	o.updateIdle(m)
	return true
}

// isNewer reports whether a worker's status is newer than the one with this agent epoch and
// sequence number.
func isNewer(hb *wire.Heartbeat, agentEpoch, sequence uint64) bool {
	return hb.AgentEpoch > agentEpoch || (hb.AgentEpoch == agentEpoch && hb.Sequence > sequence)
}

// observeLiveness counts a machine as alive that has reported and receives commands.
func (o *Owner) observeLiveness(m *machine, source heartbeatSource) {
	if !m.hasShownToken() {
		return
	}
	m.commands.acknowledge()
	if source != heartbeatReceived {
		return
	}
	o.workers.lastHeartbeat = o.loop.Now
	m.lastHeartbeat = o.loop.Now
	// A machine that was given up and reports after all, say after a network partition, is
	// as good as before, unless it is being returned already.
	if m.unreachable() {
		o.blockLease.RequestRenewal() // the leader may still keep it
	}
	m.markAlive()
}

// observeMachine applies what a worker says of the machine itself.
func (o *Owner) observeMachine(m *machine, hb *wire.Heartbeat) {
	m.endpoint, m.zone, m.spot, m.machineType = hb.Endpoint, hb.Zone, hb.Spot, hb.Type
	if t, ok := o.view.MachineTypes[m.machineType]; ok {
		m.size = cluster.MachineSize(t)
	}
}

// observeReclaimNotice applies the notice that the cloud takes the machine. What can be
// saved is saved now and goes on elsewhere, and replicas move. The rest runs on: it may
// still complete.
func (o *Owner) observeReclaimNotice(m *machine, hb *wire.Heartbeat) {
	if hb.NoticeS == nil || !m.reclaimAt.IsZero() {
		return
	}
	m.reclaimAt = o.loop.Now.Add(config.Seconds(*hb.NoticeS))
	o.blockLease.RequestRenewal() // the leader can rent another meanwhile
	for _, a := range m.attempts {
		if a.job == nil || a.ended() || a.state == attemptQueued {
			continue
		}
		if a.job.Record.CheckpointS > 0 || a.job.Record.Shape == wire.Daemon {
			o.halt(a)
		}
	}
}

// observeTasks applies the states of the tasks that a worker lists, and returns which those
// are.
func (o *Owner) observeTasks(m *machine, hb *wire.Heartbeat) (listed map[attemptKey]bool) {
	listed = make(map[attemptKey]bool, len(hb.Tasks))
	m.unknownAttempts = 0
	for i := range hb.Tasks {
		t := &hb.Tasks[i]
		key := attemptKey{t.Task, t.Attempt}
		listed[key] = true
		a := m.attempts[key]
		switch {
		case a == nil:
			a = o.adoptAttempt(m, t)
		case a.ended() && t.State != wire.TaskEnded:
			a = o.adoptListedAlive(a, t, hb)
		}
		a.reported = true
		if a.job == nil && t.State != wire.TaskEnded {
			m.unknownAttempts++
		}
		if !a.ended() && a.state != attemptState(t.State) {
			o.setState(a, t)
		}
	}
	return listed
}

// setState applies a state that a worker reports of an attempt.
func (o *Owner) setState(a *attempt, t *wire.TaskStatus) {
	m := a.machine
	if t.State == wire.TaskRunning {
		a.startedAt = o.loop.Now
		if a.job != nil {
			m.recordImage(a.job.Record.Image, a.job.Record.ImageGB, o.view.MachineTypes[m.machineType].CacheGB, true)
		}
	}
	a.state = attemptState(t.State)
	o.log.Debug("task", "task", t.Task, "attempt", t.Attempt, "machine", m.name, "state", t.State, "reason", t.Reason)
	if a.ended() {
		o.handleAttemptEnd(a, t)
	}
}

// endOfUnlisted is what ended attempts that a worker does not list.
type endOfUnlisted struct {
	epochEnded bool // they were killed with their agent epoch
	reconciles bool // the status is the first under a token that makes all earlier starts void
}

// dropUnlisted drops the attempts that the worker does not list and that therefore are
// certainly not running. One whose start may still arrive stays.
func (o *Owner) dropUnlisted(m *machine, listed map[attemptKey]bool, end endOfUnlisted, evidence startEvidence) {
	for key, a := range m.attempts {
		if listed[key] || a.state == attemptQueued {
			continue
		}
		if !end.epochEnded && !a.reported && a.delivery.mayTakeEffect(evidence) {
			continue
		}
		o.dropAttempt(a, a.whyUnlisted(end))
	}
}

// whyUnlisted says why an attempt that its worker does not list is not running.
func (a *attempt) whyUnlisted(end endOfUnlisted) uncountReason {
	switch {
	case end.epochEnded:
		return agentEpochOver
	case end.reconciles:
		return workerRestarted
	case a.reported:
		return attemptForgotten
	default:
		return attemptNotListed
	}
}
