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

	// Mark is noted with each call, see Marked.
	Generation uint64

	out     []Effect
	next    uint64
	waiting map[uint64]pending
}

// pending is an open call.
type pending struct {
	f    func(Completion)
	mark uint64
}

// Begin starts a step at now.
func (l *Loop) Begin(now time.Time) { l.Now, l.out = now, nil }

// Effects are what the step has asked for so far.
func (l *Loop) Effects() []Effect { return l.out }

// Emit asks for an effect.
func (l *Loop) Emit(e Effect) { l.out = append(l.out, e) }

// Call registers f for the completion of an effect and returns its id.
func (l *Loop) Call(f func(Completion)) uint64 {
	if l.waiting == nil {
		l.waiting = map[uint64]pending{}
	}
	l.next++
	l.waiting[l.next] = pending{f, l.Generation}
	return l.next
}

// Complete hands a completion to whom it is for. It tells whether anybody
// still waited.
func (l *Loop) Complete(d Completion) bool {
	p, ok := l.waiting[d.ID]
	if !ok {
		return false
	}
	delete(l.waiting, d.ID)
	p.f(d)
	return true
}

// Marked is the mark that stood when an open call was made; 0 when nobody waits
// for it.
func (l *Loop) CallGeneration(id uint64) uint64 { return l.waiting[id].mark }

// Forget drops all open calls: nobody hears of their completion.
func (l *Loop) DropCalls() { l.waiting = nil }

// Answer answers a request.
func (l *Loop) Reply(req uint64, status int, body any) {
	l.Emit(Reply{Req: req, Status: status, Body: body})
}

// Unavailable tells whoever asked, at once, to come back.
func (l *Loop) Unavailable(req uint64) {
	l.Emit(Reply{Req: req, Status: 503, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1})
}

// Event is something that happened.
type Event any

// Tick says that time has passed.
type Tick struct{}

// Leave says that this process is to end: it gives up what it holds.
type Shutdown struct{}

// ReportIn is a worker's report; its answer is a Reply with the same Req.
type HeartbeatRequest struct {
	Req       uint64
	Heartbeat wire.Heartbeat
}

// SubmitIn is a submission; Err says what is wrong with it. Job.ID is set
// when the id at least is valid.
type SubmitRequest struct {
	Req uint64
	Job wire.Job
	Err error
}

// PollIn asks for a job's state.
type QueryRequest struct {
	Req uint64
	ID  string
}

// CancelIn cancels a job.
type CancelRequest struct {
	Req uint64
	ID  string
}

// PeerIn is a frame from another controller.
type PeerFrame struct{ Frame *peerpb.Frame }

// Completed is the outcome of an effect that carries an ID. Status 0 means no
// answer: it may have been executed or may yet be.
type Completion struct {
	ID               uint64
	Status           int
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

// Reply answers a request. Past Until, if set, the right to answer has ended
// and the request gets a 503 instead.
type Reply struct {
	Req        uint64
	Status     int
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

// CloudRent rents machines.
type CloudCreate struct {
	ID      uint64
	Request wire.InstanceRequest
}

// CloudRelease returns machines.
type CloudDelete struct {
	ID    uint64
	Names []string
}

// CloudList reads a page of the machine list.
type CloudList struct {
	ID    uint64
	After string
}

// Direct sends commands straight to a worker. Past Until the right to send
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
