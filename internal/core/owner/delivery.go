package owner

import "fawncove/internal/wire"

// deliveryState says how the start of an attempt was sent.
//
//	notSent → sentInAnswer                  in the answer to a heartbeat; final
//	notSent → sentByCommand                 by a direct command
//	sentByCommand → commandUnconfirmed      the command has a result, which may be that no answer came
//	commandUnconfirmed → commandConfirmed   the result was the worker's answer; final
type deliveryState int

const (
	notSent            deliveryState = iota
	sentInAnswer                     // executed before the worker's next heartbeat, or never
	sentByCommand                    // in a direct command that has no result yet
	commandUnconfirmed               // may be executed until the worker has seen a higher token
	commandConfirmed                 // answered by the worker: no copy is in flight
)

// startDelivery is how the start of an attempt was sent. It alone decides whether the start may
// still take effect at the worker.
type startDelivery struct {
	state            deliveryState
	answeredSequence uint64            // sentInAnswer: the heartbeat that was answered
	voidFromToken    wire.FencingToken // commandUnconfirmed: a worker that has seen this token ignores the start
}

// startEvidence is what the newest status of a worker proves of the starts that were sent to it.
type startEvidence struct {
	shownToken wire.FencingToken // the highest that the worker has shown
	sequence   uint64            // of the status
	source     heartbeatSource
}

// inAnswer returns the delivery of a start in the answer to a heartbeat.
func inAnswer(sequence uint64) startDelivery {
	return startDelivery{state: sentInAnswer, answeredSequence: sequence}
}

// byCommand returns the delivery of a start in a direct command with this token.
func byCommand(token wire.FencingToken) startDelivery {
	return startDelivery{state: sentByCommand, voidFromToken: token + 1}
}

// endCommand applies that the direct command with the start has a result.
func (d *startDelivery) endCommand() {
	if d.state == sentByCommand {
		d.state = commandUnconfirmed
	}
}

// confirmCommand applies that the worker has answered the direct command with the start.
func (d *startDelivery) confirmCommand() {
	if d.state == commandUnconfirmed {
		d.state = commandConfirmed
	}
}

// mayArriveByCommand reports whether a direct command with the start may still be executed by a
// worker that has shown this token.
func (d *startDelivery) mayArriveByCommand(shownToken wire.FencingToken) bool {
	switch d.state {
	case sentByCommand:
		return true
	case commandUnconfirmed:
		return shownToken < d.voidFromToken
	default:
		return false
	}
}

// mayTakeEffect reports whether the start may still be executed by a worker that does not list its
// attempt.
func (d *startDelivery) mayTakeEffect(e startEvidence) bool {
	if d.state == sentInAnswer {
		// The worker executes the answer, or drops it, before its next heartbeat.
		return e.source != heartbeatReceived || e.sequence <= d.answeredSequence
	}
	return d.mayArriveByCommand(e.shownToken)
}
