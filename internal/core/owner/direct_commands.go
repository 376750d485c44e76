package owner

import "time"

// commandState says whether a direct command to a machine is in flight. At most one is.
//
//	none → inFlight           it is sent
//	inFlight → fenced         it is overdue, and the token was raised to make it void
//	inFlight, fenced → none   it has a result, which may be that no answer came
type commandState int

const (
	noCommandInFlight commandState = iota
	commandInFlight
	commandFenced
)

// directCommands is what is known of the direct commands to a machine, see commands.go.
type directCommands struct {
	state         commandState
	commandSentAt time.Time // of the newest command
	unanswered    int       // since the worker last acknowledged
	notBefore     time.Time // when the next one may be sent

	// The newest status of the worker that was known when the newest command was sent; 0: none.
	knownEpoch, knownSequence uint64
}

// inFlight reports whether a command is sent that has no result yet.
func (c *directCommands) inFlight() bool { return c.state != noCommandInFlight }

// mayBeSent reports whether a command may be sent now.
func (c *directCommands) mayBeSent(now time.Time) bool {
	return !c.inFlight() && !now.Before(c.notBefore)
}

// begin applies that a command is sent now, while the newest status known has this agent epoch and
// sequence.
func (c *directCommands) begin(now time.Time, knownEpoch, knownSequence uint64) {
	c.state, c.commandSentAt = commandInFlight, now
	c.knownEpoch, c.knownSequence = knownEpoch, knownSequence
}

// forgetKnown applies that what was known when the newest command was sent is of an earlier process
// of the worker.
func (c *directCommands) forgetKnown() { c.knownEpoch, c.knownSequence = 0, 0 }

// end applies that the command in flight has a result.
func (c *directCommands) end() { c.state = noCommandInFlight }

// overdue reports whether the command in flight has had no answer in time, and is not fenced.
func (c *directCommands) overdue(now time.Time) bool {
	return c.state == commandInFlight && now.Sub(c.commandSentAt) > DirectTimeout
}

// fence applies that the token was raised because the command in flight is overdue.
func (c *directCommands) fence() { c.state = commandFenced }

// markUnanswered counts a command that had no answer.
func (c *directCommands) markUnanswered() { c.unanswered++ }

// acknowledge applies that the worker has shown that it receives commands.
func (c *directCommands) acknowledge() { c.unanswered = 0 }

// pauseUntil has no command sent before a time.
func (c *directCommands) pauseUntil(t time.Time) { c.notBefore = t }

// resume ends a pause.
func (c *directCommands) resume() { c.notBefore = time.Time{} }
