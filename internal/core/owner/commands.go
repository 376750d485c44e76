package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Commands for a worker go out in the answer to its heartbeat, or, when they should not
// wait for one, by a direct command. At most one direct command to a machine is in flight.

const (
	// DirectTimeout bounds a direct command; a worker answers in milliseconds.
	DirectTimeout = 2 * time.Second
	// rejectedCommandBackoff is how long a worker gets no direct command after it has
	// refused one.
	rejectedCommandBackoff = 2 * time.Second
	// maxCommands bounds the commands of one message, which has to fit wire.MaxBody.
	maxCommands = 200
)

// markUrgent notes that a machine has commands that should not wait for a heartbeat.
func (w *workerRegistry) markUrgent(m *machine) { w.urgent[m.name] = true }

// commandsFor returns what the worker is to do, and marks the starts among it as sent in this way.
func (o *Owner) commandsFor(m *machine, delivery startDelivery) []wire.Command {
	delete(o.workers.urgent, m.name)
	if !m.needsCommands() {
		return []wire.Command{}
	}
	keys := sortedAttempts(m)
	commands := o.forgetsAndHalts(m, keys)
	if !o.mayStart() || m.released() || (delivery.state == sentByCommand && !m.acceptsDirectStarts()) {
		return commands
	}
	for _, key := range keys {
		a := m.attempts[key]
		if a.state != attemptQueued || len(commands) > maxCommands {
			continue
		}
		a.state, a.delivery = attemptSent, delivery
		o.log.Debug("start sent", "task", a.task, "attempt", a.number, "machine", m.name, "way", delivery.state.String(),
			"token", delivery.token, "shown_token", m.token, "epoch", m.agentEpoch, "grant", o.blockLease.Grant())
		commands = append(commands, wire.Command{Op: wire.CommandStart, Task: a.task, Attempt: a.number})
	}
	return commands
}

// acceptsDirectStarts reports whether starts may be sent to the machine by direct commands: while
// the tokens prove that the worker receives, as a command in flight is void once a higher token
// has come, and that may come together with it; and while the worker has shown the highest that
// was sent to it, as it refuses a lower one.
func (m *machine) acceptsDirectStarts() bool { return m.hasShownToken() && m.token >= m.sentToken }

// needsCommands reports whether an attempt on the machine is to be started, halted or
// forgotten.
func (m *machine) needsCommands() bool {
	for _, a := range m.attempts {
		if a.ended() || a.stopping || a.state == attemptQueued {
			return true
		}
	}
	return false
}

// forgetsAndHalts returns the commands that end attempts.
func (o *Owner) forgetsAndHalts(m *machine, keys []attemptKey) []wire.Command {
	commands := []wire.Command{}
	for _, key := range keys {
		a := m.attempts[key]
		switch {
		case a.ended():
			// A start that may still arrive would run again after a forget: the ended
			// entry stays until the worker has shown a higher token.
			if o.mayForget(a) {
				o.noteForget(a)
				commands = append(commands, wire.Command{Op: wire.CommandForget, Task: a.task, Attempt: a.number})
			}
		case a.stopping && a.state != attemptQueued:
			grace := a.graceSeconds()
			commands = append(commands, wire.Command{Op: wire.CommandHalt, Task: a.task, Attempt: a.number, GraceS: &grace})
		}
	}
	return commands
}

// noteForget notes that the worker is told to forget an ended attempt.
func (o *Owner) noteForget(a *attempt) {
	if !a.forgetSent {
		o.log.Debug("forget sent", "task", a.task, "attempt", a.number, "machine", a.machine.name, "way", a.delivery.state.String(),
			"token", a.delivery.token, "shown_token", a.machine.token)
	}
	a.forgetSent = true
}

// graceSeconds returns how long a task has to end once it is halted: the time to save a
// checkpoint, if it writes any and is to go on elsewhere.
func (a *attempt) graceSeconds() float64 {
	if a.job != nil && !a.job.Ended && a.job.Record.CheckpointS > 0 {
		return a.job.Record.SaveS + 1
	}
	return 0
}

// mayForget reports whether the worker may forget an ended attempt: its completion is
// stored and no copy of its start can still arrive.
func (o *Owner) mayForget(a *attempt) bool {
	if a.delivery.mayArriveByCommand(a.machine.token) {
		return false
	}
	return a.job == nil || a.job.Ended || !a.job.isDone(a.index) || a.job.isStored(a.index)
}

// sendCommands sends urgent commands directly: waiting for the next heartbeat would cost a
// task seconds.
func (o *Owner) sendCommands() {
	if len(o.workers.urgent) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.workers.urgent) {
		m := o.workers.machines[name]
		if m == nil {
			delete(o.workers.urgent, name)
			continue
		}
		if !o.acceptsCommand(m) || m.released() || m.agentEpoch == 0 {
			continue
		}
		commands := o.commandsFor(m, byCommand(o.startToken(m)))
		// Without a command its answer shows the token that the starts wait for.
		if len(commands) > 0 || (m.hasQueued() && m.token < m.sentToken) {
			o.sendUrgent(m, commands)
		}
	}
}

// startToken returns the token with which starts are sent to the machine by direct commands. Under
// a new grant the worker has shown a token of the one before. A controller that keeps the worker
// while such a command is in flight raises the token shown: a start with a token above that would
// outlive all raises.
func (o *Owner) startToken(m *machine) wire.FencingToken { return min(o.fencingToken(m), m.token) }

// hasQueued reports whether the start of an attempt on the machine is still to be sent.
func (m *machine) hasQueued() bool {
	for _, a := range m.attempts {
		if a.state == attemptQueued {
			return true
		}
	}
	return false
}

// acceptsCommand reports whether a direct command may be sent to the machine now.
func (o *Owner) acceptsCommand(m *machine) bool {
	return m.commands.mayBeSent(o.loop.Now) && !m.answeringHeartbeat && m.endpoint != ""
}

// sendUrgent sends commands directly to a worker.
func (o *Owner) sendUrgent(m *machine, commands []wire.Command) {
	var started []*attempt
	for _, c := range commands {
		if a := m.attempts[attemptKey{c.Task, c.Attempt}]; a != nil && c.Op == wire.CommandStart {
			started = append(started, a)
		}
	}
	token := o.startToken(m)
	if len(started) == 0 {
		token = o.tokenToSend(m)
	}
	body := wire.Commands{Token: token, AgentEpoch: m.agentEpoch, Commands: commands}
	o.sendDirect(m, body, o.startDeadline(), func(d eventloop.Completion) { o.handleCommandResult(m, started, d) })
}

// sendDirect sends a direct command unless that cannot be done by the deadline; done gets
// its result.
func (o *Owner) sendDirect(m *machine, body wire.Commands, deadline time.Time, done func(eventloop.Completion)) {
	m.commands.begin(o.loop.Now, m.agentEpoch, m.sequence)
	o.loop.Emit(eventloop.WorkerCommands{Endpoint: m.endpoint, Until: deadline, Body: body, ID: o.loop.OnCompletion(done)})
}

// handleCommandResult applies the result of a direct command that started some attempts.
func (o *Owner) handleCommandResult(m *machine, started []*attempt, d eventloop.Completion) {
	m.commands.end()
	if o.workers.machines[m.name] != m {
		return
	}
	hasStatus := d.Heartbeat != nil && d.Heartbeat.Machine == m.name
	switch {
	case d.Outcome == eventloop.Succeeded && hasStatus:
		o.observeAnswer(m, d.Heartbeat)
		if m.hasQueued() {
			o.workers.markUrgent(m)
		}
	case d.Outcome == eventloop.Conflict || d.Outcome == eventloop.Rejected || d.Outcome == eventloop.NotSent:
		o.dropUnexecutedStarts(m, started)
		if d.Outcome == eventloop.Conflict && hasStatus {
			o.adoptRaisedToken(m, d.Heartbeat.Token)
			o.observeAnswer(m, d.Heartbeat)
		}
		m.commands.pauseUntil(o.loop.Now.Add(rejectedCommandBackoff))
	default:
		// No answer: executed, or perhaps later. A higher token in the next answer to the
		// worker's heartbeat rules out the latter.
		o.raiseToken(m)
		m.commands.markUnanswered()
		m.commands.pauseUntil(o.loop.Now.Add(config.Seconds(2 * o.view.Settings.Cluster.Workers.ReportS)))
	}
	o.updateIdle(m)
}

// observeAnswer applies the status in the answer to a direct command. It was made after the command
// was sent, so it is newer than any that was known then, unless the worker has restarted.
func (o *Owner) observeAnswer(m *machine, hb *wire.Heartbeat) {
	if !isNewer(hb, m.commands.knownEpoch, m.commands.knownSequence) {
		o.handleWorkerRestart(m, hb, sequenceFell)
		return
	}
	m.expectedEpoch = hb.AgentEpoch
	o.observe(m, hb, statusInAnswer)
}

// dropUnexecutedStarts drops the attempts of a command of which nothing was executed, and
// never will be.
func (o *Owner) dropUnexecutedStarts(m *machine, started []*attempt) {
	for _, a := range started {
		if m.attempts[a.key()] == a && !a.reported {
			o.dropAttempt(a, startNotExecuted)
		}
	}
}
