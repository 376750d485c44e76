package owner

import (
	"time"

	"fawncove/internal/wire"
)

// Each message to a worker carries a fencing token. A worker ignores commands with a token
// below the highest it has seen, and reports that one with each heartbeat. A token belongs
// to a grant of the block lease; within the grant it is raised, for each machine by itself,
// to make void what was sent before.

// tokenRaiseInterval spaces the raises of a foreign worker's token while it stays here: a
// start that its owner sends in between must not be held back for as long as cancel_s.
const tokenRaiseInterval = 10 * time.Second

// fencingToken returns the token with which messages to the machine are sent.
func (o *Owner) fencingToken(m *machine) wire.FencingToken {
	return o.blockLease.Token(m.tokenIncrement)
}

// tokenToSend returns the token that is now sent to the machine's worker.
func (o *Owner) tokenToSend(m *machine) wire.FencingToken {
	m.sentToken = max(m.sentToken, o.fencingToken(m))
	return o.fencingToken(m)
}

// hasShownToken reports whether the tokens in the worker's heartbeats prove that it receives
// what this controller sends. A worker that receives no answers still sends heartbeats, to
// one controller after another, until its lease ends. So after an unanswered command, or an
// agent epoch that ended although it was answered, the token is raised; only a worker that
// shows the raised token counts as alive and may get tasks.
func (m *machine) hasShownToken() bool { return m.token >= m.firstToken && m.token >= m.minAckToken }

// raiseToken raises the token that the worker has to show next.
func (o *Owner) raiseToken(m *machine) {
	m.tokenIncrement++
	m.minAckToken = o.fencingToken(m)
}

// fenceOverdueCommand raises the token of a machine whose direct command has had no answer
// in time, but that this controller, having been suspended, has not yet read: the heartbeat
// that is answered now must not keep the agent epoch alive for a start that is still in
// flight.
func (o *Owner) fenceOverdueCommand(m *machine) {
	if m.commands.overdue(o.loop.Now) {
		o.raiseToken(m)
		m.commands.fence()
	}
}

// fenceEndedAttempts raises the token of a machine with ended attempts whose starts may arrive once
// more, so that the worker can forget them once it has shown that token. One raise serves all that
// have ended. It waits for the result of a command in flight, whose starts it would make void.
func (o *Owner) fenceEndedAttempts(m *machine) {
	if m.commands.inFlight() {
		return
	}
	for _, a := range m.attempts {
		if a.ended() && a.delivery.mayArriveByCommand(o.fencingToken(m)) {
			m.tokenIncrement++
			return
		}
	}
}

// adoptRaisedToken continues from a token that another controller has raised within this
// grant, see raiseForeignToken.
func (o *Owner) adoptRaisedToken(m *machine, token wire.FencingToken) {
	if token > o.fencingToken(m) && o.view.Params.Levels.KnowsLevels() {
		if increment, ok := o.blockLease.TokenIncrement(token); ok {
			m.tokenIncrement = increment
		}
	}
}

// raiseForeignToken returns the token with which a foreign worker is answered. An answer
// keeps the agent epoch alive, and with it every start that its owner has sent and that is
// still in flight: the start of a job that was cancelled since would come into effect
// whenever it arrives. So the token is raised with the first answer, again when the worker
// has reported to others in between, and every tokenRaiseInterval. What was sent before is
// void then, and the owner continues from the higher token (adoptRaisedToken).
func (o *Owner) raiseForeignToken(w *foreignWorker) wire.FencingToken {
	stayed := w.lastConsecutive.Equal(o.loop.Now)
	if !stayed || o.loop.Now.Sub(w.tokenRaisedAt) >= tokenRaiseInterval {
		w.token, w.tokenRaisedAt = max(w.token, w.heartbeat.Token)+1, o.loop.Now
	}
	return max(w.token, w.heartbeat.Token)
}
