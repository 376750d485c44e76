package wire

// Heartbeat is a worker's report of its machine and tasks.
type Heartbeat struct {
	Machine  string `msgpack:"stroj"`
	Endpoint string `msgpack:"endpoint"` // for direct commands
	Type     string `msgpack:"kalup"`
	Zone     string `msgpack:"dvoriste"`
	Spot     bool   `msgpack:"posudba"`
	// AgentEpoch rises each time the worker's lease ends. Of two heartbeats the one with
	// the higher (AgentEpoch, Sequence) is newer.
	AgentEpoch uint64 `msgpack:"smjena"`
	Sequence   uint64 `msgpack:"redni"`
	// Token is the highest fencing token that the worker has seen.
	Token FencingToken `msgpack:"palica"`
	// NoticeS is how many seconds are left until the cloud takes the machine; nil: no
	// notice.
	NoticeS *float64         `msgpack:"najavaS"`
	Tasks   List[TaskStatus] `msgpack:"komadi"`
}

// The states of a task on a worker.
const (
	TaskFetching  = "fetching"  // waits for its image
	TaskGathering = "gathering" // waits for the rest of its gang
	TaskRunning   = "running"
	TaskFlushing  = "flushing" // saves its progress before it stops
	TaskEnded     = "ended"    // see the reasons
)

// The reasons for which a task ended.
const (
	ReasonDone    = "done"
	ReasonStopped = "stopped" // by command
	ReasonError   = "error"   // it failed
	ReasonNoRoom  = "no_room" // start refused: not enough free resources
	ReasonInUse   = "in_use"  // start refused: another attempt is on the machine
	ReasonUnknown = "unknown" // start refused: no such job or task
	// ReasonGangTaskGone and ReasonGangIncomplete: another task of the gang has ended, or
	// never started.
	ReasonGangTaskGone   = "mates_gone"
	ReasonGangIncomplete = "incomplete"
)

// TaskStatus is one attempt at a task on a worker.
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

// Command is one command for a worker. GraceS is how many seconds a task that is halted
// may take to save its progress.
type Command struct {
	Op      string   `msgpack:"radnja"`
	Task    string   `msgpack:"komad"`
	Attempt uint64   `msgpack:"pokusaj"`
	GraceS  *float64 `msgpack:"predahS,omitempty"`
}

// HeartbeatAnswer accepts a heartbeat, which renews the worker's lease.
type HeartbeatAnswer struct {
	Token    FencingToken `msgpack:"palica"`
	Commands []Command    `msgpack:"naredbe"`
}

// Redirect sends a worker to another controller; empty: to any other.
type Redirect struct {
	Controller string `msgpack:"javiSe,omitempty"`
}

// Commands is sent to a worker directly. It does not renew the worker's lease.
type Commands struct {
	Token      FencingToken `msgpack:"palica"`
	AgentEpoch uint64       `msgpack:"smjena"`
	Commands   []Command    `msgpack:"naredbe"`
}
