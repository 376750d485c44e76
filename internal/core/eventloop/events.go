package eventloop

import (
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Event is something that happened.
type Event any

// Tick says that time has passed.
type Tick struct{}

// Shutdown says that this process is to end: the core gives up what it holds.
type Shutdown struct{}

// HeartbeatRequest is a worker's heartbeat. It is answered by a Reply with the same Req,
// as are the requests of users.
type HeartbeatRequest struct {
	Req       uint64
	Heartbeat wire.Heartbeat
}

// SubmitRequest is a user's submission. Err says what is wrong with it, or is nil; Job.ID
// is set if at least the id is valid.
type SubmitRequest struct {
	Req uint64
	Job wire.Job
	Err error
}

// QueryRequest asks for a job's state.
type QueryRequest struct {
	Req uint64
	ID  string
}

// CancelRequest cancels a job.
type CancelRequest struct {
	Req uint64
	ID  string
}

// PeerFrame is a frame from another controller.
type PeerFrame struct{ Frame *peerpb.Frame }

// Outcome is how a call to the state service, the cloud or a worker ended.
type Outcome string

// The outcomes. The call was executed with Succeeded, perhaps with NoAnswer and Failed, and
// not with any other.
const (
	// NoAnswer: the call may have been executed, or may yet be.
	NoAnswer Outcome = ""
	// Succeeded: the call was executed.
	Succeeded Outcome = "succeeded"
	// NotFound: the key does not exist.
	NotFound Outcome = "not_found"
	// Conflict: a condition of a transaction failed, or a worker has seen a higher token
	// or is in another epoch.
	Conflict Outcome = "conflict"
	// Compacted: the state service no longer keeps the changes asked for.
	Compacted Outcome = "compacted"
	// Rejected: the request is malformed or too large, and will be at every try.
	Rejected Outcome = "rejected"
	// Throttled: the service's rate limit is reached.
	Throttled Outcome = "throttled"
	// Unavailable: the service is out, or the cloud has no capacity.
	Unavailable Outcome = "unavailable"
	// NotSent: the call never left this controller.
	NotSent Outcome = "not_sent"
	// Failed: any other answer.
	Failed Outcome = "failed"
)

// Completion is the outcome of an effect that carries an ID, with what the answer holds.
type Completion struct {
	ID               uint64
	Outcome          Outcome
	FromStateService bool // the state service was called, not the cloud or a worker
	Txn              wire.TxnAnswer
	Pair             wire.Pair
	Page             wire.Page
	Changes          wire.Changes
	Types            wire.MachineTypes
	Names            []string
	Machines         wire.MachineList
	Heartbeat        *wire.Heartbeat
}
