package wire

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine    string       `msgpack:"stroj"`
	Endpoint   string       `msgpack:"endpoint"`
	Type       string       `msgpack:"kalup"`
	Zone       string       `msgpack:"dvoriste"`
	Spot       bool         `msgpack:"posudba"`
	AgentEpoch uint64       `msgpack:"smjena"`
	Sequence   uint64       `msgpack:"redni"`
	Token      uint64       `msgpack:"palica"`
	NoticeS    *float64     `msgpack:"najavaS"`
	Tasks      []TaskStatus `msgpack:"komadi"`
}

// The states of a task on a worker.
const (
	TaskFetching  = "fetching"
	TaskGathering = "gathering" // waits for the rest of its gang
	TaskRunning   = "running"
	TaskFlushing  = "flushing"
	TaskEnded     = "ended"
)

// Why a task ended.
const (
	ReasonDone    = "done"
	ReasonStopped = "stopped"
	ReasonError   = "error"
	ReasonNoRoom  = "no_room"
	ReasonInUse   = "in_use"
	ReasonUnknown = "unknown"
	// A gang's task ends when another one has gone, or never came.
	ReasonGangTaskGone   = "mates_gone"
	ReasonGangIncomplete = "incomplete"
)

// TaskStatus is one task on a worker.
type TaskStatus struct {
	Task    string `msgpack:"komad"`
	Attempt uint64 `msgpack:"pokusaj"`
	State   string `msgpack:"stanje"`
	Reason  string `msgpack:"razlog"`
	Saved   bool   `msgpack:"saved"`
}

// The commands for workers.
const (
	CommandStart  = "start"
	CommandHalt   = "halt"
	CommandForget = "forget"
)

// Command is one command for a worker.
type Command struct {
	Op      string   `msgpack:"radnja"`
	Task    string   `msgpack:"komad"`
	Attempt uint64   `msgpack:"pokusaj"`
	GraceS  *float64 `msgpack:"predahS,omitempty"`
}

// HeartbeatAnswer is the 200 answer to a report.
type HeartbeatAnswer struct {
	Token    uint64    `msgpack:"palica"`
	Commands []Command `msgpack:"naredbe"`
}

// Redirect is the 421 answer to a report.
type Redirect struct {
	Controller string `msgpack:"javiSe,omitempty"`
}

// Commands is sent straight to a worker.
type Commands struct {
	Token      uint64    `msgpack:"palica"`
	AgentEpoch uint64    `msgpack:"smjena"`
	Commands   []Command `msgpack:"naredbe"`
}
