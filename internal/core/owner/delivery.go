package owner

import "fawncove/internal/wire"

// deliveryState says how the start of an attempt was sent.
//
//	notSent → sentInAnswer    in the answer to a heartbeat; final
//	notSent → sentByCommand   by a direct command; final
type deliveryState int

const (
	notSent       deliveryState = iota // here: it was queued, or another controller sent it under an earlier grant
	sentInAnswer                       // executed before the worker's next heartbeat, or never
	sentByCommand                      // may be executed, also once more, until the worker has seen a higher token
)

// String returns the state's name in the log.
func (s deliveryState) String() string {
	return [...]string{"not_sent", "heartbeat_answer", "command"}[s]
}

// startDelivery is how the start of an attempt was sent. It alone decides whether the start may
// still take effect at the worker.
//
// The answer to a direct command proves that the command was executed, not that no copy of it
// remains. Only what the worker checks itself makes a copy void: its token and its agent epoch.
type startDelivery struct {
	state            deliveryState
	answeredSequence uint64            // sentInAnswer: the heartbeat that was answered
	token            wire.FencingToken // it was sent with this one, or a lower one; a worker that has seen a higher one ignores it
}

// startEvidence is what the newest status of a worker proves of the starts that were sent to it.
type startEvidence struct {
	shownToken wire.FencingToken // the highest that the worker has shown
	sequence   uint64            // of the status
	source     heartbeatSource
}

// inAnswer returns the delivery of a start in the answer to a heartbeat, with this token.
func inAnswer(sequence uint64, token wire.FencingToken) startDelivery {
	return startDelivery{state: sentInAnswer, answeredSequence: sequence, token: token}
}

// byCommand returns the delivery of a start in a direct command with this token, or a lower one.
func byCommand(token wire.FencingToken) startDelivery {
	return startDelivery{state: sentByCommand, token: token}
}

// mayArriveByCommand reports whether a direct command with the start may still be executed by a
// worker that has shown this token.
func (d *startDelivery) mayArriveByCommand(shownToken wire.FencingToken) bool {
	return d.state == sentByCommand && shownToken <= d.token
}

// mayTakeEffect reports whether the start may still be executed by a worker that does not list its
// attempt.
func (d *startDelivery) mayTakeEffect(e startEvidence) bool {
	if d.state == sentInAnswer {
		// The worker executes the answer, or drops it, before its next heartbeat.
		return e.shownToken <= d.token && (e.source != heartbeatReceived || e.sequence <= d.answeredSequence)
	}
	return d.mayArriveByCommand(e.shownToken)
}
