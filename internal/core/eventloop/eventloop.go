// Package eventloop is what a core without input or output consists of: the events
// that it is handed, the effects that it returns, and the calls among these
// that it waits for.
package eventloop

import (
	"time"

	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Loop is a core's step at work. Its roles share one, in the one goroutine that
// owns them all.
type Loop struct {
	Now time.Time // when the event happened

	watermark uint64 // see Watermark
	effects   []Effect
	lastCall  uint64 // id of the newest call
	calls     map[uint64]call
}

// call is an open call.
type call struct {
	completed func(Completion)
	watermark uint64 // when it was made
}

// Begin starts a step at now.
func (l *Loop) Begin(now time.Time) { l.Now, l.effects = now, nil }

// Effects returns what the step has asked for so far, in the order in which it did.
func (l *Loop) Effects() []Effect { return l.effects }

// Emit asks for an effect.
func (l *Loop) Emit(e Effect) { l.effects = append(l.effects, e) }

// Call registers completed for the completion of an effect, and returns the ID that the
// effect is to carry.
func (l *Loop) Call(completed func(Completion)) uint64 {
	if l.calls == nil {
		l.calls = map[uint64]call{}
	}
	l.lastCall++
	l.calls[l.lastCall] = call{completed, l.watermark}
	return l.lastCall
}

// Complete hands a completion to the call that it belongs to, and reports whether that
// was still open.
func (l *Loop) Complete(d Completion) bool {
	open, ok := l.calls[d.ID]
	if !ok {
		return false
	}
	delete(l.calls, d.ID)
	open.completed(d)
	return true
}

// DropCalls drops all open calls: their completions are ignored.
func (l *Loop) DropCalls() { l.calls = nil }

// Watermark is the highest revision that the state service has shown.
func (l *Loop) Watermark() uint64 { return l.watermark }

// RaiseWatermark notes a revision that the state service has shown. Calls made from now
// on are answered with it at least, unless the state loses data.
func (l *Loop) RaiseWatermark(revision uint64) { l.watermark = max(l.watermark, revision) }

// ResetWatermark forgets all revisions seen, which say nothing about the state any more.
func (l *Loop) ResetWatermark() { l.watermark = 0 }

// CallWatermark returns the watermark of when an open call was made; 0 when there is no
// such call.
func (l *Loop) CallWatermark(id uint64) uint64 { return l.calls[id].watermark }

// Reply answers a request.
func (l *Loop) Reply(req uint64, code ReplyCode, body any) {
	l.Emit(Reply{Req: req, Code: code, Body: body})
}

// Unavailable tells whoever asked, at once, to come back.
func (l *Loop) Unavailable(req uint64) {
	l.Emit(Reply{Req: req, Code: ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1})
}

// Event is something that happened.
type Event any

// Tick says that time has passed.
type Tick struct{}

// Shutdown says that this process is to end: it gives up what it holds.
type Shutdown struct{}

// HeartbeatRequest is a worker's report; its answer is a Reply with the same Req.
type HeartbeatRequest struct {
	Req       uint64
	Heartbeat wire.Heartbeat
}

// SubmitRequest is a submission; Err says what is wrong with it. Job.ID is set
// when the id at least is valid.
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

// Outcome says how a call to the state service, the cloud or a worker ended.
type Outcome string

// The outcomes. Nothing was executed but with Succeeded, and perhaps with NoAnswer and
// Failed.
const (
	// NoAnswer: the call may have been executed, or may yet be.
	NoAnswer Outcome = ""
	// Succeeded: the call was executed.
	Succeeded Outcome = "succeeded"
	// NotFound: the key does not exist.
	NotFound Outcome = "not_found"
	// Conflict: a condition of a transaction failed, or a worker has seen a higher
	// token or is in another epoch.
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
	FromStateService bool // the state service was called
	Txn              wire.TxnAnswer
	Pair             wire.Pair
	Page             wire.Page
	Changes          wire.Changes
	Types            wire.MachineTypes
	Names            []string
	Machines         wire.MachineList
	Heartbeat        *wire.Heartbeat
}

// Effect is something the node has to do.
type Effect any

// ReplyCode says what kind of answer a request gets.
type ReplyCode string

// The kinds of replies.
const (
	// NoReply is the zero value: there is no reply.
	NoReply ReplyCode = ""
	// ReplyOK: the request is answered.
	ReplyOK ReplyCode = "ok"
	// ReplyCreated: the job is accepted, and was not known before.
	ReplyCreated ReplyCode = "created"
	// ReplyInvalid: the request is malformed; it is not to be repeated.
	ReplyInvalid ReplyCode = "invalid"
	// ReplyNotFound: there is no such job.
	ReplyNotFound ReplyCode = "not_found"
	// ReplyMisdirected: the worker is to report to another controller.
	ReplyMisdirected ReplyCode = "misdirected"
	// ReplyUnprocessable: the job can never run; it is not to be repeated.
	ReplyUnprocessable ReplyCode = "unprocessable"
	// ReplyUnavailable: the request is to be repeated later.
	ReplyUnavailable ReplyCode = "unavailable"
)

// Success reports whether the request was carried out.
func (c ReplyCode) Success() bool { return c == ReplyOK || c == ReplyCreated }

// Reply answers a request. Past Until, if set, the right to answer has ended
// and the request gets ReplyUnavailable instead.
type Reply struct {
	Req        uint64
	Code       ReplyCode
	Body       any
	RetryAfter int
	Until      time.Time
}

// StateTxn runs a transaction.
type StateTxn struct {
	ID          uint64
	Txn         wire.Txn
	LeaseBudget bool
}

// StateGet reads a key.
type StateGet struct {
	ID  uint64
	Key string
}

// StateRange reads a page.
type StateRange struct {
	ID            uint64
	Prefix, After string
}

// StateWatch waits for changes.
type StateWatch struct {
	ID     uint64
	Prefix string
	After  uint64
	Hold   time.Duration
}

// CloudTypes reads the machine types.
type CloudTypes struct{ ID uint64 }

// CloudCreate rents machines.
type CloudCreate struct {
	ID      uint64
	Request wire.InstanceRequest
}

// CloudDelete returns machines.
type CloudDelete struct {
	ID    uint64
	Names []string
}

// CloudList reads a page of the machine list.
type CloudList struct {
	ID    uint64
	After string
}

// WorkerCommands sends commands straight to a worker. Past Until the right to send
// them has ended.
type WorkerCommands struct {
	ID       uint64
	Endpoint string
	Body     wire.Commands
	Until    time.Time
}

// PeerSend sends a frame to a peer.
type PeerSend struct {
	To    string
	Frame *peerpb.Frame
}
