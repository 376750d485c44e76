package owner

// delivery says how the start of an attempt was sent, and whether it may still be executed.
//
//	notSent → inHeartbeatAnswer             sent in the answer to a heartbeat; final
//	notSent → byCommand                     sent by a direct command
//	byCommand → commandUnconfirmed          the command has a result, which may be that no answer came
//	commandUnconfirmed → commandConfirmed   the result was the worker's answer; final
type delivery int

const (
	notSent            delivery = iota
	inHeartbeatAnswer           // executed before the worker's next heartbeat, or never
	byCommand                   // in a direct command that has no result yet
	commandUnconfirmed          // may be executed until the worker has seen a higher token
	commandConfirmed            // answered by the worker: no copy is in flight
)

// endCommand applies that the direct command with the start has a result.
func (a *attempt) endCommand() {
	if a.delivery == byCommand {
		a.delivery = commandUnconfirmed
	}
}

// confirmCommand applies that the worker has answered the direct command with the start.
func (a *attempt) confirmCommand() {
	if a.delivery == commandUnconfirmed {
		a.delivery = commandConfirmed
	}
}

// commandMayArrive reports whether a direct command with the start may still be executed.
func (a *attempt) commandMayArrive() bool {
	switch a.delivery {
	case byCommand:
		return true
	case commandUnconfirmed:
		return a.machine.token < a.voidFromToken
	default:
		return false
	}
}
