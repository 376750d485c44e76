package eventloop

import (
	"time"

	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Effect is something the node has to do.
type Effect any

// ReplyCode is the kind of answer that a request gets.
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

// Reply answers a request. After Until, if set, the right to answer has ended, and the
// request gets ReplyUnavailable instead.
type Reply struct {
	Req        uint64
	Code       ReplyCode
	Body       any
	RetryAfter int // seconds; 0: nothing is said of it
	Until      time.Time
}

// StateTxn runs a transaction of the state service. Those with LeaseBudget have a request
// budget of their own, so that users' writes never delay a lease.
type StateTxn struct {
	ID          uint64
	Txn         wire.Txn
	LeaseBudget bool
}

// StateGet reads a key of the state service.
type StateGet struct {
	ID  uint64
	Key string
}

// StateRange reads a page of the keys below Prefix that come behind After.
type StateRange struct {
	ID            uint64
	Prefix, After string
}

// StateWatch waits, up to Hold, for changes below Prefix with a revision above After.
type StateWatch struct {
	ID     uint64
	Prefix string
	After  wire.Revision
	Hold   time.Duration
}

// CloudTypes reads the machine types from the cloud.
type CloudTypes struct{ ID uint64 }

// CloudCreate has the cloud start instances.
type CloudCreate struct {
	ID      uint64
	Request wire.InstanceRequest
}

// CloudDelete has the cloud delete instances. After Until, if set, the right to do so has ended,
// and nothing is sent.
type CloudDelete struct {
	ID    uint64
	Names []string
	Until time.Time
}

// CloudList reads a page of the cloud's instances, those behind After.
type CloudList struct {
	ID    uint64
	After string
}

// WorkerCommands sends commands straight to a worker. After Until the right to send them
// has ended, and nothing is sent.
type WorkerCommands struct {
	ID       uint64
	Endpoint string
	Body     wire.Commands
	Until    time.Time
}

// WorkerStatus asks a worker for its status, which changes nothing there.
type WorkerStatus struct {
	ID       uint64
	Endpoint string
}

// PeerSend sends a frame to a peer. It has no completion.
type PeerSend struct {
	To    string
	Frame *peerpb.Frame
}
