package owner

import (
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// runQueued is the state of an attempt that is placed but not yet sent.
const attemptQueued = "queued"

// via tells how a start went out.
type delivery int

const (
	notSent           delivery = iota
	inHeartbeatAnswer          // in the answer to a report: executed before the next report, or never
	byCommand                  // straight to the worker: without an answer it may be executed late
)

// run is one attempt at a task on one machine.
type attempt struct {
	job              *Job // nil: a task this controller knows no job for
	index            int
	task             string
	number           uint64
	machine          *machine
	state            string // runQueued, "" (sent) or as the worker reported
	delivery         delivery
	answeredSequence uint64 // viaAnswer: the report that was answered
	inFlight         bool   // viaDirect: the call is under way
	voidFromToken    uint64 // viaDirect: token from which on the start is void
	reported         bool   // the worker has reported it
	stopping         bool   // to be halted
	placedAt         time.Time
	startedAt        time.Time
	counted          bool // in o.used
}

func (r *attempt) ended() bool { return r.state == wire.TaskEnded }

type attemptKey struct {
	task   string
	number uint64
}

// machine is a machine of this controller's block.
type machine struct {
	name           string
	endpoint       string
	machineType    string
	zone           string
	spot           bool
	size           sched.Resources
	agentEpoch     uint64
	sequence       uint64
	token          uint64 // highest the worker has reported
	tokenIncrement uint64 // raises this machine's token above earlier starts
	// fence is the first token of this holder. A report below it may be a copy
	// of any age, from before this controller had the machine: it says nothing.
	firstToken uint64
	// doubt is the token that the worker has to show before it counts as one
	// that hears: see hears.
	minAckToken         uint64
	lastAcknowledged    time.Time // when a report of this session was last answered here
	needsReconciliation bool      // may run tasks this controller knows nothing of
	unknownAttempts     int       // tasks there that belong to no job known here
	lastHeartbeat       time.Time
	reclaimAt           time.Time // when the cloud takes it; zero without notice
	draining            bool      // the leader wants it back
	released            bool      // given back; not to be used any more
	quarantined         bool      // fails its tasks
	unreachable         bool
	suspected           bool // silent; most likely taken
	// unanswered counts the direct calls since it was last heard that it has
	// not answered.
	unansweredCommands int
	commandInFlight    bool      // a direct call is under way
	commandSentAt      time.Time // zero once its token was raised for that
	expectedEpoch      uint64    // its session, as far as others know
	noCommandsBefore   time.Time
	nextProbe          time.Time // it has answered a question, and need not be asked again yet
	noTasksBefore      time.Time
	attempts           map[attemptKey]*attempt
	images             []image
	idleSince          time.Time // since when it has no task
	failedTasks        map[string]bool
	oks                int
	answeringHeartbeat bool // its report is being answered
}

type image struct {
	name   string
	sizeGB float64
	cached bool // a task has run from it
}

// hears tells whether what this controller sends reaches the worker, as far as
// the tokens in its reports prove. That reports come proves nothing: a worker
// that hears nothing goes round all controllers with them until its lease ends.
// After a command without an answer, and after a session that ended although it
// was answered, the token is raised, and only a worker that shows it is alive
// and has room.
func (m *machine) acknowledges() bool { return m.token >= m.firstToken && m.token >= m.minAckToken }

// suspect raises the token that the worker has to show next.
func (o *Owner) raiseToken(m *machine) {
	m.tokenIncrement++
	m.minAckToken = o.fencingToken(m)
}

// unsure tells whether the machine may run tasks that are not known here.
func (m *machine) mayRunUnknownTasks() bool { return m.needsReconciliation || m.unknownAttempts > 0 }

// bound tells whether the machine runs tasks that may not run on a spot one.
func (m *machine) runsOnDemandOnlyTasks() bool {
	for _, r := range m.attempts {
		if r.job != nil && !r.ended() && !r.job.Record.Spot {
			return true
		}
	}
	return false
}

// calledOff tells whether a task of a job that is over may still be there.
func (m *machine) mayRunCancelledTasks() bool {
	for _, r := range m.attempts {
		if r.job != nil && r.job.Ended && !r.ended() {
			return true
		}
	}
	return false
}

// guest is a machine of another block, or of none, that reports here.
type foreignWorker struct {
	heartbeat        wire.Heartbeat
	lastHeartbeat    time.Time
	epochSince       time.Time // of the session, here
	redirectedAt     time.Time // last redirected
	pendingRequests  []uint64
	firstSeen        time.Time // when it turned up here
	token            uint64    // that it was told here, see raise
	tokenRaisedAt    time.Time
	answeredSequence uint64    // the report that was last answered with 200
	lastStayed       time.Time // when the report after that came here as well
}

// counts tells whether the guest's reports say that its machine lives. Only one
// that stays where it was answered hears answers; at first it had no chance to.
func (o *Owner) provesAlive(g *foreignWorker) bool {
	trial := 2*answerTimeout + config.Seconds(1.5*o.view.Settings.Cluster.Workers.ReportS)
	return o.loop.Now.Sub(g.lastHeartbeat) < o.foreignHeartbeatTTL() &&
		(o.loop.Now.Sub(g.firstSeen) < trial || o.loop.Now.Sub(g.lastStayed) < o.foreignHeartbeatTTL())
}

// answerTimeout is how long a worker without an answer is away before it turns
// to the next controller.
const answerTimeout = 5 * time.Second

// classStats learns how long a class's tasks really run.
type classStats struct {
	lastStart time.Time // of its latest task
	ratio     float64   // of real run time to the estimate
	samples   int
	mean      float64
}

func (o *Owner) fencingToken(m *machine) uint64 { return o.blockLease.Token(m.tokenIncrement) }

// follow goes on from a token that another controller has raised within this grant,
// see raise.
func (o *Owner) adoptRaisedToken(m *machine, token uint64) {
	if token > o.fencingToken(m) && o.view.Params.Levels.KnowsLevels() {
		if bump, ok := o.blockLease.TokenIncrement(token); ok {
			m.tokenIncrement = bump
		}
	}
}

// startUntil is until when tasks may be started: as long as the block lease lasts, reports
// may be answered, and what is known of cancellations is news. One that is cut off would
// otherwise go on starting what was cancelled elsewhere for most of its lease.
func (o *Owner) startDeadline() time.Time {
	until := o.blockLease.Expires()
	if fresh := o.answerDeadline(); fresh.Before(until) {
		until = fresh
	}
	if fresh := o.cancellationsWatermark().Add(StartFreshness); fresh.Before(until) {
		until = fresh
	}
	return until
}

// StartFreshness is for how long what is known of cancellations is enough to start tasks by:
// a watch that shows no change, the next one after it, and a second.
const StartFreshness = 2*cluster.WatchHold + time.Second

// known is the moment before which all cancellations told to their users are known.
func (o *Owner) cancellationsWatermark() time.Time {
	if o.cancellationsKnownUntil.After(o.changesKnownUntil) {
		return o.cancellationsKnownUntil
	}
	return o.changesKnownUntil
}

// mayStart tells whether tasks may be started now.
func (o *Owner) mayStart() bool {
	return o.blockLease.MayStart(o.loop.Now) && o.loop.Now.Before(o.startDeadline())
}

// answerUntil is until when reports may be answered, which keeps tasks alive.
// A job cancelled at another controller must be gone cancel_s later: past
// this moment somebody else may have cancelled a task that an answer given
// here would keep alive for another lease_s.
func (o *Owner) answerDeadline() time.Time {
	w := o.view.Settings.Cluster.Workers
	return o.cancellationsWatermark().Add(cluster.LocalDuration(config.Seconds(w.CancelS-w.LeaseS) - 2*time.Second))
}

// HandleHeartbeat handles a worker's report.
func (o *Owner) HandleHeartbeat(e eventloop.HeartbeatRequest) {
	r := &e.Heartbeat
	if r.Machine == "" || r.AgentEpoch == 0 {
		o.loop.Reply(e.Req, eventloop.ReplyInvalid, wire.ErrorAnswer{Error: "stroj and smjena are needed"})
		return
	}
	if !o.records.WorkersServed() || !o.loop.Now.Before(o.answerDeadline()) {
		o.loop.Unavailable(e.Req)
		return
	}
	o.highestToken = max(o.highestToken, r.Token)
	m := o.machines[r.Machine]
	if m != nil {
		o.adoptRaisedToken(m, r.Token)
	}
	// A higher token than ours means that somebody else has taken over.
	if m == nil || !o.blockLease.Held() || r.Token > o.fencingToken(m) {
		o.handleForeignHeartbeat(e)
		return
	}
	delete(o.foreignWorkers, r.Machine)
	if !o.observe(m, r, true) {
		// Overtaken by a newer report, or from before this controller had the
		// machine; it may be a copy, whose answer nobody reads. A worker that
		// waits for it has its lease renewed and learns the token.
		o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: o.answerDeadline(),
			Body: wire.HeartbeatAnswer{Token: o.fencingToken(m), Commands: []wire.Command{}}})
		return
	}
	if m.commandInFlight && !m.commandSentAt.IsZero() && o.loop.Now.Sub(m.commandSentAt) > DirectTimeout {
		// It has had no answer in time, which this controller, having stood still,
		// has not read yet: this answer must not keep alive what is held on its way.
		o.raiseToken(m)
		m.commandSentAt = time.Time{}
	}
	m.lastAcknowledged = o.loop.Now
	m.answeringHeartbeat = true
	o.placeSoon()
	m.answeringHeartbeat = false
	until := o.answerDeadline()
	cmds := o.commandsFor(m, inHeartbeatAnswer)
	if slices.ContainsFunc(cmds, func(k wire.Command) bool { return k.Op == wire.CommandStart }) {
		until = o.startDeadline()
	}
	o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: until,
		Body: wire.HeartbeatAnswer{Token: o.fencingToken(m), Commands: cmds}})
}

// commandsFor collects what the worker is to do and marks starts as sent.
func (o *Owner) commandsFor(m *machine, how delivery) []wire.Command {
	cmds := []wire.Command{}
	delete(o.urgentMachines, m.name)
	todo := false
	for _, r := range m.attempts {
		todo = todo || r.ended() || r.stopping || r.state == attemptQueued
	}
	if !todo {
		return cmds
	}
	grace := 0.0
	keys := sortedAttempts(m)
	for _, key := range keys {
		r := m.attempts[key]
		switch {
		case r.ended():
			// A start that may still be on its way would run again after a
			// forget; then the ended entry stays until the token has moved.
			if o.mayForget(r) {
				cmds = append(cmds, wire.Command{Op: wire.CommandForget, Task: r.task, Attempt: r.number})
			}
		case r.stopping && r.state != attemptQueued:
			g := grace
			if r.job != nil && !r.job.Ended && r.job.Record.CheckpointS > 0 {
				g = r.job.Record.SaveS + 1
			}
			cmds = append(cmds, wire.Command{Op: wire.CommandHalt, Task: r.task, Attempt: r.number, GraceS: &g})
		}
	}
	// Straight to a worker only while the tokens prove that it hears: a command on
	// its way is void once a higher token has come, and that may be in one with it.
	if !o.mayStart() || m.released || (how == byCommand && !m.acknowledges()) {
		return cmds
	}
	for _, key := range keys {
		r := m.attempts[key]
		if r.state != attemptQueued || len(cmds) > 200 {
			continue
		}
		r.state, r.delivery = "", how
		r.answeredSequence = m.sequence
		r.inFlight = how == byCommand
		r.voidFromToken = o.fencingToken(m) + 1
		cmds = append(cmds, wire.Command{Op: wire.CommandStart, Task: r.task, Attempt: r.number})
	}
	return cmds
}

func sortedAttempts(m *machine) []attemptKey {
	keys := make([]attemptKey, 0, len(m.attempts))
	for k := range m.attempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		if a.number != b.number {
			if a.number < b.number {
				return -1
			}
			return 1
		}
		if a.task < b.task {
			return -1
		}
		return 1
	})
	return keys
}

// mayForget tells whether an ended attempt may be forgotten: its completion
// is stored and no copy of its start can still arrive.
func (o *Owner) mayForget(r *attempt) bool {
	if r.delivery == byCommand && (r.inFlight || (r.voidFromToken != 0 && r.machine.token < r.voidFromToken)) {
		return false
	}
	return r.job == nil || r.job.Ended || !r.job.isDone(r.index) || r.job.isStored(r.index)
}

// observe takes a report into the picture. full is true for a real report,
// false for the report in the answer of a direct command: only a real one
// proves that the answer to the report before it was executed or dropped. It
// returns false for a report that says nothing: one that is older than the
// newest known, or below this holder's first token. Copies of reports come late,
// by more than a lease, and a controller that has just taken a machine over
// knows no newer one: from such a report it learns only where to ask.
func (o *Owner) observe(m *machine, r *wire.Heartbeat, full bool) bool {
	if r.AgentEpoch < m.agentEpoch || (r.AgentEpoch == m.agentEpoch && r.Sequence <= m.sequence) {
		return false
	}
	if r.Token < m.firstToken {
		o.learnEndpoint(m, &peerpb.MachineInfo{Endpoint: r.Endpoint, Type: r.Type, Zone: r.Zone, Spot: r.Spot, AgentEpoch: r.AgentEpoch})
		m.expectedEpoch = max(m.expectedEpoch, r.AgentEpoch)
		o.toProbe[m.name] = true
		return false
	}
	renewed := r.AgentEpoch > m.agentEpoch && m.agentEpoch != 0
	if renewed && o.loop.Now.Sub(m.lastAcknowledged) < config.Seconds(o.view.Settings.Cluster.Workers.LeaseS) {
		o.raiseToken(m) // its lease ended although it was answered
	}
	m.agentEpoch, m.sequence, m.token = r.AgentEpoch, r.Sequence, max(m.token, r.Token)
	m.endpoint, m.zone, m.spot = r.Endpoint, r.Zone, r.Spot
	if m.acknowledges() {
		m.unansweredCommands = 0
	}
	if full && m.acknowledges() {
		o.lastHeartbeat = o.loop.Now
		m.lastHeartbeat = o.loop.Now
		// A machine that was given up and reports after all, say after a cut,
		// is as good as before, unless it is being returned already.
		if m.unreachable {
			o.blockLease.RequestRenewal() // it may yet be kept
		}
		m.unreachable, m.suspected = false, false
	}
	if m.machineType != r.Type {
		m.machineType = r.Type
	}
	if t, ok := o.view.MachineTypes[m.machineType]; ok {
		m.size = cluster.MachineSize(t)
	}
	if r.NoticeS != nil {
		if m.reclaimAt.IsZero() {
			m.reclaimAt = o.loop.Now.Add(config.Seconds(*r.NoticeS))
			o.blockLease.RequestRenewal() // another can be rented meanwhile
			// What can be saved is saved now and goes on elsewhere, and
			// replicas move. The rest runs on: it may still complete.
			for _, a := range m.attempts {
				if a.job != nil && !a.ended() && a.state != attemptQueued && (a.job.Record.CheckpointS > 0 || a.job.Record.Shape == wire.Daemon) {
					a.stopping = true
					o.markUrgent(m)
				}
			}
		}
	}
	if m.needsReconciliation {
		// The worker has seen this controller's token: no command of an
		// earlier holder is executed any more and the list is complete.
		m.needsReconciliation = false
		o.placeDue = true
	}
	listed := make(map[attemptKey]bool, len(r.Tasks))
	m.unknownAttempts = 0
	for k := range r.Tasks {
		t := &r.Tasks[k]
		key := attemptKey{t.Task, t.Attempt}
		listed[key] = true
		a := m.attempts[key]
		if a == nil {
			a = o.adoptAttempt(m, t)
		}
		a.reported = true
		if a.job == nil && t.State != wire.TaskEnded {
			m.unknownAttempts++
		}
		if a.ended() || a.state == t.State {
			continue
		}
		if t.State == wire.TaskRunning && a.state != wire.TaskRunning {
			a.startedAt = o.loop.Now
			if a.job != nil {
				m.recordImage(a.job.Record.Image, a.job.Record.ImageGB, o.view.MachineTypes[m.machineType].CacheGB, true)
			}
		}
		a.state = t.State
		o.log.Debug("task", "task", t.Task, "attempt", t.Attempt, "machine", m.name, "state", t.State, "why", t.Reason)
		if a.ended() {
			o.handleAttemptEnd(a, t)
		}
	}
	for key, a := range m.attempts {
		if listed[key] || a.state == attemptQueued {
			continue
		}
		switch {
		case renewed, a.reported: // killed with its session, or forgotten
		case a.delivery == inHeartbeatAnswer:
			if !full || r.Sequence <= a.answeredSequence {
				continue
			}
		case a.delivery == byCommand:
			// Without an answer the start may be executed until the worker
			// has seen a higher token.
			if a.inFlight || m.token < a.voidFromToken {
				continue
			}
		}
		o.dropAttempt(a)
	}
	o.updateIdle(m)
	return true
}

// adoptRun takes up an attempt that an earlier owner started, or one that
// belongs to no job known here, which is then halted.
func (o *Owner) adoptAttempt(m *machine, t *wire.TaskStatus) *attempt {
	a := &attempt{task: t.Task, number: t.Attempt, machine: m, stopping: true, placedAt: o.loop.Now, startedAt: o.loop.Now}
	m.attempts[attemptKey{t.Task, t.Attempt}] = a
	id, i, ok := splitTask(t.Task)
	j := o.jobs[id]
	if !ok || j == nil || j.attempts == nil || i >= j.Record.Tasks {
		return a
	}
	a.index = i
	if t.State == wire.TaskEnded {
		a.job = j
		return a
	}
	if j.Ended || j.isDone(i) || j.attempts[i] != nil {
		if j.attempts[i] != nil {
			o.log.Error("task is on two machines", "task", t.Task, "machine", m.name, "other", j.attempts[i].machine.name)
		}
		return a
	}
	a.job, a.stopping, j.started = j, false, true
	j.attempts[i] = a
	o.countUse(a, 1)
	if k, ok := slices.BinarySearch(j.queue, i); ok {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
	return a
}

// count adds an attempt to what its team uses, or takes it off.
func (o *Owner) countUse(r *attempt, n float64) {
	if r.job == nil || r.counted == (n > 0) {
		return
	}
	r.counted = n > 0
	o.used[r.job.Record.Team] = o.used[r.job.Record.Team].Add(r.job.need(), n)
}

// detach takes an attempt that is surely not running off its job.
func (o *Owner) detach(r *attempt, again bool) {
	o.countUse(r, -1)
	j := r.job
	if j == nil || j.attempts[r.index] != r {
		return
	}
	delete(j.attempts, r.index)
	if again && !j.Ended && !j.isDone(r.index) && j.ready {
		if k, ok := slices.BinarySearch(j.queue, r.index); !ok {
			j.queue = slices.Insert(j.queue, k, r.index)
		}
		if len(j.queue) == 1 {
			j.waitSince = o.loop.Now
		}
	}
	o.placeDue = true
	if j.Ended && len(j.attempts) == 0 {
		delete(o.jobs, j.Record.ID)
	}
}

// dropRun removes an attempt that is surely not running any more.
func (o *Owner) dropAttempt(r *attempt) {
	delete(r.machine.attempts, attemptKey{r.task, r.number})
	o.detach(r, true)
}

// runEnded handles the end of an attempt; the entry stays until the worker
// has forgotten it.
func (o *Owner) handleAttemptEnd(r *attempt, t *wire.TaskStatus) {
	j, m := r.job, r.machine
	if j == nil {
		return
	}
	switch t.Reason {
	case wire.ReasonDone:
		if j.attempts != nil && j.Record.Shape != wire.Daemon {
			o.markDone(j, r.index)
			o.recordRunTime(r)
		}
		m.oks++
		clear(m.failedTasks)
		j.failures, j.failedOn = 0, nil
	case wire.ReasonError:
		o.recordFailure(r)
	case wire.ReasonNoRoom, wire.ReasonInUse:
		m.noTasksBefore = o.loop.Now.Add(2 * time.Second)
	case wire.ReasonUnknown:
		j.retryAt = o.loop.Now.Add(2 * time.Second)
	}
	o.detach(r, true)
	if j.doneCount == j.Record.Tasks {
		o.storeJobEnds()
	}
}

const (
	// doubtfulOn is on how many machines a job has to fail, without any of its
	// tasks completing there or elsewhere, to be taken for the faulty one.
	faultyJobMachines = 3
	// doubtfulAtOnce bounds the attempts of such a job under way: its user may
	// yet mend what is wrong, but a hundred tasks that fail at once are room,
	// images and messages for nothing.
	maxFaultyJobAttempts = 2
	// badAfter is how many errors, each of another task or doubtful job, set a
	// machine aside.
	quarantineAfter = 2
)

// doubtful tells whether the job, rather than the machines, seems to be faulty.
func (j *Job) likelyFaulty() bool { return len(j.failedOn) >= faultyJobMachines }

// mayTry tells whether another attempt at the job may be made now.
func (j *Job) mayStartAttempt() bool {
	return !j.likelyFaulty() || len(j.attempts) < maxFaultyJobAttempts
}

// tries is how many of the job's waiting tasks count as waiting work.
func (j *Job) startableTasks() int {
	if j.likelyFaulty() {
		return min(len(j.queue), max(0, maxFaultyJobAttempts-len(j.attempts)))
	}
	return len(j.queue)
}

// failed judges an error by who else failed: a job that has completed nothing and
// failed on several machines backs off, and is no evidence against any of them;
// otherwise the machine is set aside after a few.
func (o *Owner) recordFailure(r *attempt) {
	j, m := r.job, r.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	j.failures++
	if j.likelyFaulty() && j.doneCount == 0 {
		j.retryAt = o.loop.Now.Add(min(time.Minute, time.Second<<min(j.failures, 6)))
		for name := range j.failedOn {
			if x := o.machines[name]; x != nil {
				delete(x.failedTasks, j.Record.ID)
				x.quarantined = x.quarantined && len(x.failedTasks) >= quarantineAfter
			}
		}
		return
	}
	if m.failedTasks == nil {
		m.failedTasks = map[string]bool{}
	}
	// A job none of whose tasks has ever completed counts once: the mistake
	// may be its own.
	if key := r.task; j.doneCount > 0 {
		m.failedTasks[key] = true
	} else {
		m.failedTasks[j.Record.ID] = true
	}
	if len(m.failedTasks) >= quarantineAfter && !m.quarantined {
		m.quarantined = true
		o.blockLease.RequestRenewal()
		o.log.Info("machine set aside", "machine", m.name, "errors", len(m.failedTasks))
	}
}

// learn compares a completed task's run time with its estimate.
func (o *Owner) recordRunTime(r *attempt) {
	if r.startedAt.IsZero() || r.job.Record.EstimateS <= 0 {
		return
	}
	s := o.statsOf(r.job.Record.Class)
	s.samples++
	took := o.loop.Now.Sub(r.startedAt).Seconds()
	w := max(0.05, 1/float64(s.samples+3))
	s.ratio += w * (took/r.job.Record.EstimateS - s.ratio)
	s.mean += max(0.05, 1/float64(s.samples)) * (took - s.mean)
}

func (o *Owner) statsOf(name string) *classStats {
	s := o.classes[name]
	if s == nil {
		s = &classStats{ratio: 1}
		o.classes[name] = s
	}
	return s
}

// runSeconds estimates how long a task of the job runs.
func (o *Owner) estimatedRunSeconds(rec *wire.JobRecord) float64 {
	return rec.EstimateS * min(3, max(0.3, o.statsOf(rec.Class).ratio))
}

func (o *Owner) updateIdle(m *machine) {
	for _, r := range m.attempts {
		if !r.ended() {
			m.idleSince = time.Time{}
			return
		}
	}
	if m.idleSince.IsZero() {
		m.idleSince = o.loop.Now
	}
}

// guestReport handles a machine that is not in this controller's block.
func (o *Owner) handleForeignHeartbeat(e eventloop.HeartbeatRequest) {
	r := &e.Heartbeat
	g := o.foreignWorkers[r.Machine]
	if g != nil && (r.AgentEpoch < g.heartbeat.AgentEpoch || (r.AgentEpoch == g.heartbeat.AgentEpoch && r.Sequence <= g.heartbeat.Sequence)) {
		o.loop.Unavailable(e.Req) // a late copy
		return
	}
	if g == nil || r.AgentEpoch > g.heartbeat.AgentEpoch || o.loop.Now.Sub(g.lastHeartbeat) > config.Seconds(o.view.Settings.Cluster.Workers.LeaseS) {
		first := o.loop.Now
		if g != nil {
			first = g.firstSeen // a machine that hears nobody stays one
		}
		g = &foreignWorker{epochSince: o.loop.Now, firstSeen: first}
		o.foreignWorkers[r.Machine] = g
		o.blockLease.RequestRenewal() // its owner may take it for lost
	}
	if g.answeredSequence != 0 && r.Sequence == g.answeredSequence+1 {
		g.lastStayed = o.loop.Now
	}
	g.heartbeat, g.lastHeartbeat, g.answeredSequence = *r, o.loop.Now, 0
	o.answerForeignWorker(e, g)
}

// answerGuest answers a guest's newest report.
func (o *Owner) answerForeignWorker(e eventloop.HeartbeatRequest, g *foreignWorker) {
	r := &e.Heartbeat
	owner := o.view.HolderOf(r.Machine)
	if owner == "" {
		o.blockLease.RequestRenewal() // the leader has to hear of it
		if !o.view.IsLeader && o.view.IsReachable(o.view.Lease.Leader, o.loop.Now) {
			o.loop.Reply(e.Req, eventloop.ReplyMisdirected, wire.Redirect{Controller: o.view.Lease.Leader})
			return
		}
		if o.view.IsLeader && r.Token <= o.blockLease.Token(0) {
			// Answered when the machine is in a block, see releaseGuests.
			g.pendingRequests = append(g.pendingRequests, e.Req)
			return
		}
	} else if owner != o.view.Self && o.view.IsReachable(owner, o.loop.Now) && o.loop.Now.Sub(g.redirectedAt) > redirectInterval {
		first := g.redirectedAt.IsZero()
		g.redirectedAt = o.loop.Now
		// Where no worker gets through it is kept at first; later it is to try
		// all the same.
		if !first || !o.view.Peers[owner].NoHeartbeats {
			o.loop.Reply(e.Req, eventloop.ReplyMisdirected, wire.Redirect{Controller: owner})
			return
		}
	}
	// The owner is out of reach for this worker. An answer keeps its tasks alive
	// without a right to start anything. Not for long: meanwhile its owner cannot
	// tell what became of them.
	w := o.view.Settings.Cluster.Workers
	if o.loop.Now.Sub(g.epochSince) > config.Seconds(max(0, w.CancelS-w.LeaseS-7)) {
		o.loop.Unavailable(e.Req)
		if o.loop.Now.Sub(g.epochSince) > config.Seconds(w.CancelS+2*w.LeaseS) {
			delete(o.foreignWorkers, r.Machine)
		}
		return
	}
	// What is not alive must not be kept alive: a job cancelled long ago may
	// be unknown here, after a restart all that is over is. While this
	// controller's knowledge is old, such a task may also belong to a new
	// job, so the answer is left to somebody else.
	cmds := []wire.Command{}
	for _, t := range r.Tasks {
		id, _, _ := splitTask(t.Task)
		if j := o.jobs[id]; t.State == wire.TaskEnded || (j != nil && !j.Ended) {
			continue
		}
		if !o.records.HasEnded(id) && o.loop.Now.Sub(o.changesKnownUntil) > cluster.WatchHold+time.Second {
			o.loop.Unavailable(e.Req)
			return
		}
		zero := 0.0
		cmds = append(cmds, wire.Command{Op: wire.CommandHalt, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
	}
	g.answeredSequence = r.Sequence
	token := r.Token
	if owner == o.view.Self || (owner != "" && o.view.Peers[owner] != nil && o.view.Peers[owner].AcceptsRaisedTokens) {
		token = o.raiseForeignToken(g)
	}
	o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: o.answerDeadline(),
		Body: wire.HeartbeatAnswer{Token: token, Commands: cmds}})
}

// raiseEvery spaces the raises of a guest's token while it stays: a start that its
// owner could send in between must not be held for as long as cancel_s.
const tokenRaiseInterval = 10 * time.Second

// raise returns the token with which a guest is answered. An answer keeps the session
// alive, and with it every start that its owner has sent and that is held on its way:
// of a job that was cancelled since, it would come into effect whenever it arrives.
// So the token is raised with the first answer, again when the worker has had to do
// with others in between, and every now and then; what was sent before is void, and
// the owner goes on from the higher one (follow).
func (o *Owner) raiseForeignToken(g *foreignWorker) uint64 {
	if !g.lastStayed.Equal(o.loop.Now) || o.loop.Now.Sub(g.tokenRaisedAt) >= tokenRaiseInterval {
		g.token, g.tokenRaisedAt = max(g.token, g.heartbeat.Token)+1, o.loop.Now
	}
	return max(g.token, g.heartbeat.Token)
}

// redirectEvery spaces the attempts to send a worker back to its owner. One that
// does not reach it is back after answerTimeout and must then be kept: sent away
// again it would never be answered, and lose its tasks with its lease.
const redirectInterval = 8 * time.Second

// unreportedAfter is how long no machine of the block may have reported before
// this controller takes itself for cut off from the workers: of many, some
// report all the time.
func (o *Owner) heartbeatGap() time.Duration {
	every := config.Seconds(o.view.Settings.Cluster.Workers.ReportS)
	if len(o.machines) >= 8 {
		return 2*time.Second + every/2
	}
	return answerTimeout + every
}

// NoHeartbeats tells whether the block has machines and none of them reports.
func (o *Owner) NoHeartbeats() bool {
	return len(o.machines) > 0 && o.loop.Now.Sub(o.lastHeartbeat) > o.heartbeatGap()
}

// AllWorkersElsewhere tells whether none of them has reported for so long that those who
// turned to others must have been sent back here meanwhile.
func (o *Owner) AllWorkersElsewhere() bool {
	return len(o.machines) > 0 && o.loop.Now.Sub(o.lastHeartbeat) > o.heartbeatGap()+redirectInterval+2*time.Second
}

// ResumedAfter notes that this controller has stood still for a while: that it heard
// nothing meanwhile says nothing about the machines. Else a leader that wakes
// would return its whole block before it reads a single report.
func (o *Owner) ResumedAfter(gap time.Duration) {
	o.lastHeartbeat = o.loop.Now
	for _, m := range o.machines {
		m.lastHeartbeat = m.lastHeartbeat.Add(gap)
	}
}

// ForeignWorkersByHolder counts the machines of each other controller's block that report
// here and stay.
func (o *Owner) ForeignWorkersByHolder() map[string]int32 {
	var out map[string]int32
	for name, g := range o.foreignWorkers {
		owner := o.view.HolderOf(name)
		if owner == "" || owner == o.view.Self || o.loop.Now.Sub(g.lastStayed) > o.foreignHeartbeatTTL() {
			continue
		}
		if out == nil {
			out = map[string]int32{}
		}
		out[owner]++
	}
	return out
}

// guestFresh is for how long a guest's report says that its machine lives. One
// that has died since would otherwise not be released, and all that may have
// run on it would wait.
func (o *Owner) foreignHeartbeatTTL() time.Duration {
	return min(10*time.Second, config.Seconds(silentReports*o.view.Settings.Cluster.Workers.ReportS))
}

// releaseGuests answers reports that waited for their machine's block.
func (o *Owner) answerPendingForeign(all bool) {
	pending := false
	for _, g := range o.foreignWorkers {
		pending = pending || len(g.pendingRequests) > 0
	}
	if !pending {
		return
	}
	for _, name := range cluster.SortedKeys(o.foreignWorkers) {
		g := o.foreignWorkers[name]
		if g == nil || len(g.pendingRequests) == 0 || (!all && o.view.HolderOf(name) == "" && o.loop.Now.Sub(g.lastHeartbeat) < 2*time.Second) {
			continue
		}
		reqs := g.pendingRequests
		g.pendingRequests = nil
		for _, req := range reqs[:len(reqs)-1] {
			o.loop.Unavailable(req)
		}
		last := reqs[len(reqs)-1]
		if o.view.HolderOf(name) == "" {
			o.loop.Unavailable(last)
			continue
		}
		if e := (eventloop.HeartbeatRequest{Req: last, Heartbeat: g.heartbeat}); o.machines[name] != nil {
			o.HandleHeartbeat(e)
		} else {
			o.answerForeignWorker(e, g)
		}
	}
}

// hurry notes that a machine has commands that should go out at once.
func (o *Owner) markUrgent(m *machine) { o.urgentMachines[m.name] = true }

// sendCommands sends starts that wait straight to their workers: waiting for
// the next report would cost a task seconds.
func (o *Owner) sendCommands() {
	if len(o.urgentMachines) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.urgentMachines) {
		m := o.machines[name]
		if m == nil {
			delete(o.urgentMachines, name)
			continue
		}
		if m.commandInFlight || m.answeringHeartbeat || m.released || m.endpoint == "" || m.agentEpoch == 0 || o.loop.Now.Before(m.noCommandsBefore) {
			continue
		}
		cmds := o.commandsFor(m, byCommand)
		if len(cmds) == 0 {
			continue
		}
		m.commandInFlight, m.commandSentAt = true, o.loop.Now
		var sent []*attempt
		for _, k := range cmds {
			if r := m.attempts[attemptKey{k.Task, k.Attempt}]; r != nil && k.Op == wire.CommandStart {
				sent = append(sent, r)
			}
		}
		token := o.fencingToken(m)
		if len(sent) > 0 {
			// After a new grant the worker has shown a token of the one before. Whoever
			// keeps it while this is held on its way raises what it has shown: a start
			// with a token above that would outlive all raises.
			token = min(token, m.token)
		}
		o.loop.Emit(eventloop.WorkerCommands{Endpoint: m.endpoint, Until: o.startDeadline(),
			Body: wire.Commands{Token: token, AgentEpoch: m.agentEpoch, Commands: cmds},
			ID:   o.loop.Call(func(d eventloop.Completion) { o.handleCommandResult(m, sent, d) })})
	}
}

func (o *Owner) handleCommandResult(m *machine, sent []*attempt, d eventloop.Completion) {
	m.commandInFlight = false
	for _, r := range sent {
		r.inFlight = false
	}
	if o.machines[m.name] != m {
		return
	}
	switch {
	case d.Outcome == eventloop.Succeeded && d.Heartbeat != nil && d.Heartbeat.Machine == m.name:
		for _, r := range sent {
			r.voidFromToken = 0 // answered: no copy is on its way
		}
		o.observe(m, d.Heartbeat, false)
	case d.Outcome == eventloop.Conflict || d.Outcome == eventloop.Rejected || d.Outcome == eventloop.NotSent:
		// Nothing was executed, and this request never will be.
		for _, r := range sent {
			if m.attempts[attemptKey{r.task, r.number}] == r && !r.reported {
				o.dropAttempt(r)
			}
		}
		if d.Outcome == eventloop.Conflict && d.Heartbeat != nil && d.Heartbeat.Machine == m.name {
			o.adoptRaisedToken(m, d.Heartbeat.Token)
			o.observe(m, d.Heartbeat, false)
		}
		m.noCommandsBefore = o.loop.Now.Add(2 * time.Second)
	default:
		// No answer: perhaps executed, perhaps later. A higher token in the
		// next answer to the worker's report settles that.
		o.raiseToken(m)
		m.unansweredCommands++
		m.noCommandsBefore = o.loop.Now.Add(config.Seconds(2 * o.view.Settings.Cluster.Workers.ReportS))
	}
	o.updateIdle(m)
}

// ---- machines that this controller has not heard yet

// asksAtOnce bounds the questions to workers under way, so that a takeover of
// hundreds of machines does not use up processor and sockets at one stroke.
const maxProbesInFlight = 24

// askAgain spaces the questions to a machine that answers them and does not report.
const probeInterval = time.Second

// introduce notes how a machine can be reached whose report has not come yet.
// It is then asked: after a takeover every job that may have been started
// before waits until the last machine has been heard, and the next reports
// may be seconds away.
func (o *Owner) learnEndpoint(m *machine, s *peerpb.MachineInfo) {
	if s.GetEndpoint() == "" || m.endpoint != "" {
		return
	}
	m.endpoint, m.expectedEpoch = s.GetEndpoint(), max(1, s.GetAgentEpoch()) // sessions start at 1
	if m.machineType == "" {
		m.machineType, m.zone, m.spot = s.GetType(), s.GetZone(), s.GetSpot()
	}
	o.toProbe[m.name] = true
}

// askWorkers asks machines that were introduced for their tasks, by commands
// that name none. The answer counts as a report; the token that comes with
// the question rules out commands of an earlier holder.
func (o *Owner) probeWorkers() {
	if len(o.toProbe) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.toProbe) {
		m := o.machines[name]
		if m == nil || m.released || m.unreachable || (m.agentEpoch != 0 && !m.needsReconciliation && !o.missesHeartbeats(m)) {
			delete(o.toProbe, name)
			continue
		}
		if o.probesInFlight >= maxProbesInFlight {
			return
		}
		if m.commandInFlight || m.answeringHeartbeat || m.endpoint == "" || o.loop.Now.Before(m.noCommandsBefore) || o.loop.Now.Before(m.nextProbe) {
			continue
		}
		session := m.agentEpoch
		if session == 0 {
			session = m.expectedEpoch
		}
		m.commandInFlight, m.commandSentAt = true, o.loop.Now
		o.probesInFlight++
		o.loop.Emit(eventloop.WorkerCommands{Endpoint: m.endpoint, Until: o.blockLease.Expires(),
			Body: wire.Commands{Token: o.fencingToken(m), AgentEpoch: session, Commands: []wire.Command{}},
			ID: o.loop.Call(func(d eventloop.Completion) {
				o.probesInFlight--
				o.handleCommandResult(m, nil, d)
				if d.Outcome == eventloop.Conflict && m.agentEpoch != 0 && m.agentEpoch != session {
					m.noCommandsBefore = time.Time{} // the wrong session; now it is known
				}
				if d.Outcome == eventloop.Succeeded {
					o.placeDue = true
					// One that is mute stays silent however often it answers.
					m.nextProbe = o.loop.Now.Add(probeInterval)
				}
				o.probeWorkers()
			})})
	}
}

// cutPatience is how much longer machines may be silent that fell silent with
// half of their zone.
const cutOffExtension = 25 * time.Second

// A spot machine that falls silent by itself was most likely taken without
// notice, as some are. It is given up after aloneReports report intervals, but
// not before its worker can have tried the other controllers. Up to aloneShare
// of a block counts as machines that fell silent by themselves; more of them
// are cut off, or this controller is slow. Only where the ordinary machines of
// their zone are heard all the while is it a wave, however many are silent.
const (
	silentReports    = 2.5
	minSpotSilence   = 10 * time.Second
	maxAloneFraction = 0.05
	// zoneWitnesses is how many ordinary machines tell what befell a zone.
	minZoneWitnesses = 4
)

// DirectTimeout bounds a direct call; a worker answers in milliseconds.
const DirectTimeout = 2 * time.Second

// silent tells whether a machine has missed its reports.
func (o *Owner) missesHeartbeats(m *machine) bool {
	return o.loop.Now.Sub(m.lastHeartbeat) > config.Seconds(silentReports*o.view.Settings.Cluster.Workers.ReportS)
}

// census counts a zone's machines, all and ordinary ones, and how many of
// them are silent.
type zoneCensus struct {
	all, silent              int
	onDemand, onDemandSilent int
}

// cut tells whether the zone's machines are cut off rather than dead.
func (z *zoneCensus) cutOff() bool {
	if z.onDemand >= minZoneWitnesses {
		return 2*z.onDemandSilent >= z.onDemand
	}
	return z.silent >= 3 && 2*z.silent >= z.all
}

// wave tells that spot machines which are silent there have been taken.
func (z *zoneCensus) spotReclaim() bool {
	return z.onDemand >= minZoneWitnesses && 10*z.onDemandSilent <= z.onDemand
}

// checkMachines looks for machines that fell silent.
func (o *Owner) checkMachines() {
	o.answerPendingForeign(false)
	w := o.view.Settings.Cluster.Workers
	limit := cluster.RemoteDuration(config.Seconds(w.LeaseS)) + time.Second
	// Machines of a zone that fall silent together are cut off rather than
	// dead. They come back as they were when the cut ends, so they are given
	// more time; new ones would take a boot time and may not be had at all.
	zones := map[string]*zoneCensus{}
	alone := 0
	for _, m := range o.machines {
		z := zones[m.zone]
		if z == nil {
			z = &zoneCensus{}
			zones[m.zone] = z
		}
		silent := o.loop.Now.Sub(m.lastHeartbeat)
		z.all++
		if !m.spot {
			z.onDemand++
		}
		if silent > config.Seconds(1.5*w.ReportS) {
			if !m.unreachable {
				alone++
			}
			if !m.spot {
				z.onDemandSilent++
			}
		}
		if o.missesHeartbeats(m) {
			z.silent++
		}
	}
	for zone, z := range zones {
		// They do not all come back in the moment in which a cut ends: some
		// have first to be sent back by whom they turned to meanwhile.
		if z.cutOff() {
			o.zoneCutOffUntil[zone] = o.loop.Now.Add(config.Seconds(w.LeaseS))
		}
	}
	for _, m := range o.machines {
		if m.unreachable {
			continue
		}
		silent := o.loop.Now.Sub(m.lastHeartbeat)
		patience := limit
		z := zones[m.zone]
		if o.missesHeartbeats(m) {
			o.toProbe[m.name] = true
		}
		if o.loop.Now.Before(o.zoneCutOffUntil[m.zone]) {
			// But not beside a task that was called off: its machine may hang rather than
			// be cut off, does not end it then when its lease does, and its return is the
			// only thing that surely ends it in time. Until then it also counts against
			// its team's limit.
			if !m.mayRunCancelledTasks() {
				patience += cutOffExtension
			}
		} else if m.spot && (z.spotReclaim() || (!m.needsReconciliation && float64(alone) <= max(2, maxAloneFraction*float64(len(o.machines))))) {
			few := config.Seconds(silentReports * w.ReportS)
			patience = min(patience, max(minSpotSilence, few))
			if m.unansweredCommands > 0 && z.spotReclaim() {
				patience = min(patience, few+DirectTimeout) // nor does it answer
			}
			// Another can be rented before this one is given up.
			if silent > few && !m.suspected {
				m.suspected = true
				o.blockLease.RequestRenewal()
			}
		}
		if silent > patience ||
			(!m.reclaimAt.IsZero() && o.loop.Now.Sub(m.reclaimAt) > 2*time.Second && silent > config.Seconds(1.5*w.ReportS)) {
			m.unreachable = true
			o.blockLease.RequestRenewal()
			o.log.Info("machine lost", "machine", m.name, "silent", silent)
		}
		// A machine that has not been heard since it was taken over may run
		// tasks that are not known yet: empty means known to be empty.
		if m.draining && !m.released && len(m.attempts) == 0 && !m.commandInFlight && !m.mayRunUnknownTasks() && m.agentEpoch != 0 {
			m.released = true
			o.blockLease.RequestRenewal()
		}
	}
	for name, g := range o.foreignWorkers {
		if o.loop.Now.Sub(g.lastHeartbeat) > time.Minute {
			delete(o.foreignWorkers, name)
		}
	}
}

// machineGone removes a machine that the cloud has surely ended.
func (o *Owner) removeMachine(m *machine) {
	delete(o.machines, m.name)
	o.sortStale = true
	for _, r := range m.attempts {
		o.detach(r, true)
	}
	o.placeDue = true
}
