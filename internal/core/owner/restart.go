package owner

import "fawncove/internal/wire"

// A worker may end and be back within a second, without the tasks, the sequence and the token of
// the process before; its agent epoch is then the first again. What it has shown before proves
// nothing any more: a copy of an earlier start is executed if its token is not below the one that
// the new process has seen, and its list of tasks says only what runs now. So its token is raised,
// and the machine is reconciled as after a takeover: the list counts once it comes under the raised
// token, which makes all earlier starts void.
//
// A start that arrives before the first answer to the new process cannot be held off.

// restartEvidence says what shows that a worker has restarted.
type restartEvidence string

const (
	tokenFell       restartEvidence = "token fell"
	sequenceFell    restartEvidence = "sequence fell" // in the answer to a command, which is no late copy
	attemptsMissing restartEvidence = "attempts missing"
)

// handleWorkerRestart applies that the worker of a machine has restarted, as its status shows.
func (o *Owner) handleWorkerRestart(m *machine, hb *wire.Heartbeat, evidence restartEvidence) {
	o.workers.restarts++
	o.log.Warn("worker has restarted", "machine", m.name, "evidence", string(evidence), "attempts", len(m.attempts),
		"token", hb.Token, "shown_token", m.token, "epoch", hb.AgentEpoch, "shown_epoch", m.agentEpoch)
	o.raiseToken(m)
	m.firstToken = m.minAckToken // older heartbeats have larger sequences
	m.agentEpoch, m.sequence, m.token = 0, 0, 0
	m.expectedEpoch = hb.AgentEpoch
	m.commands.forgetKnown()
	m.needsReconciliation = true
	o.workers.noteUnreconciled(o.loop.Now)
	o.workers.toProbe[m.name] = true
}

// missesAttempts reports whether a status of the same agent epoch lacks attempts that the worker has
// listed and was not told to forget.
func (m *machine) missesAttempts(listed map[attemptKey]bool) bool {
	for key, a := range m.attempts {
		if a.reported && !a.forgetSent && !listed[key] {
			return true
		}
	}
	return false
}

// fenceStaleHeartbeat raises the token with which an outdated heartbeat is answered that shows a lower
// token than others: it is a late copy, or the first of a worker that has restarted.
func (o *Owner) fenceStaleHeartbeat(m *machine, hb *wire.Heartbeat) {
	if m.agentEpoch != 0 && hb.Token < m.token && o.fencingToken(m) <= m.token {
		m.tokenIncrement++
	}
}
