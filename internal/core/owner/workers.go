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
const runQueued = "queued"

// via tells how a start went out.
type via int

const (
	viaNone   via = iota
	viaAnswer     // in the answer to a report: executed before the next report, or never
	viaDirect     // straight to the worker: without an answer it may be executed late
)

// run is one attempt at a task on one machine.
type run struct {
	j       *Job // nil: a task this controller knows no job for
	i       int
	task    string
	attempt uint64
	m       *machine
	state   string // runQueued, "" (sent) or as the worker reported
	via     via
	sentSeq uint64 // viaAnswer: the report that was answered
	flying  bool   // viaDirect: the call is under way
	fence   uint64 // viaDirect: token from which on the start is void
	listed  bool   // the worker has reported it
	stop    bool   // to be halted
	placed  time.Time
	started time.Time
	counted bool // in o.used
}

func (r *run) over() bool { return r.state == wire.TaskEnded }

type runKey struct {
	task    string
	attempt uint64
}

// machine is a machine of this controller's block.
type machine struct {
	name     string
	endpoint string
	kind     string
	zone     string
	spot     bool
	size     sched.Resources
	session  uint64
	seq      uint64
	token    uint64 // highest the worker has reported
	bump     uint64 // raises this machine's token above earlier starts
	// fence is the first token of this holder. A report below it may be a copy
	// of any age, from before this controller had the machine: it says nothing.
	fence uint64
	// doubt is the token that the worker has to show before it counts as one
	// that hears: see hears.
	doubt    uint64
	answered time.Time // when a report of this session was last answered here
	dirty    bool      // may run tasks this controller knows nothing of
	orphans  int       // tasks there that belong to no job known here
	heard    time.Time
	gone     time.Time // when the cloud takes it; zero without notice
	recall   bool      // the leader wants it back
	gave     bool      // given back; not to be used any more
	bad      bool      // fails its tasks
	lost     bool
	missed   bool // silent; most likely taken
	// unanswered counts the direct calls since it was last heard that it has
	// not answered.
	unanswered int
	calling    bool      // a direct call is under way
	calledAt   time.Time // zero once its token was raised for that
	guess      uint64    // its session, as far as others know
	noDirect   time.Time
	askAfter   time.Time // it has answered a question, and need not be asked again yet
	pauseTo    time.Time
	runs       map[runKey]*run
	images     []image
	idle       time.Time // since when it has no task
	errors     map[string]bool
	oks        int
	asking     bool // its report is being answered
}

type image struct {
	name  string
	gb    float64
	there bool // a task has run from it
}

// hears tells whether what this controller sends reaches the worker, as far as
// the tokens in its reports prove. That reports come proves nothing: a worker
// that hears nothing goes round all controllers with them until its lease ends.
// After a command without an answer, and after a session that ended although it
// was answered, the token is raised, and only a worker that shows it is alive
// and has room.
func (m *machine) hears() bool { return m.token >= m.fence && m.token >= m.doubt }

// suspect raises the token that the worker has to show next.
func (o *Owner) suspect(m *machine) {
	m.bump++
	m.doubt = o.tokenFor(m)
}

// unsure tells whether the machine may run tasks that are not known here.
func (m *machine) unsure() bool { return m.dirty || m.orphans > 0 }

// bound tells whether the machine runs tasks that may not run on a spot one.
func (m *machine) bound() bool {
	for _, r := range m.runs {
		if r.j != nil && !r.over() && !r.j.Record.Spot {
			return true
		}
	}
	return false
}

// calledOff tells whether a task of a job that is over may still be there.
func (m *machine) calledOff() bool {
	for _, r := range m.runs {
		if r.j != nil && r.j.Ended && !r.over() {
			return true
		}
	}
	return false
}

// guest is a machine of another block, or of none, that reports here.
type guest struct {
	rep     wire.Heartbeat
	heard   time.Time
	since   time.Time // of the session, here
	sent    time.Time // last redirected
	pending []uint64
	first   time.Time // when it turned up here
	token   uint64    // that it was told here, see raise
	raised  time.Time
	kept    uint64    // the report that was last answered with 200
	stayed  time.Time // when the report after that came here as well
}

// counts tells whether the guest's reports say that its machine lives. Only one
// that stays where it was answered hears answers; at first it had no chance to.
func (o *Owner) counts(g *guest) bool {
	trial := 2*answerTimeout + config.Seconds(1.5*o.view.Settings.Cluster.Workers.ReportS)
	return o.loop.Now.Sub(g.heard) < o.guestFresh() &&
		(o.loop.Now.Sub(g.first) < trial || o.loop.Now.Sub(g.stayed) < o.guestFresh())
}

// answerTimeout is how long a worker without an answer is away before it turns
// to the next controller.
const answerTimeout = 5 * time.Second

// classStats learns how long a class's tasks really run.
type classStats struct {
	startedAt time.Time // of its latest task
	ratio     float64   // of real run time to the estimate
	n         int
	mean      float64
}

func (o *Owner) tokenFor(m *machine) uint64 { return o.hold.Token(m.bump) }

// follow goes on from a token that another controller has raised within this grant,
// see raise.
func (o *Owner) follow(m *machine, token uint64) {
	if token > o.tokenFor(m) && o.view.Params.Levels.KnowsLevels() {
		if bump, ok := o.hold.TokenIncrement(token); ok {
			m.bump = bump
		}
	}
}

// startUntil is until when tasks may be started: as long as the block lease lasts, reports
// may be answered, and what is known of cancellations is news. One that is cut off would
// otherwise go on starting what was cancelled elsewhere for most of its lease.
func (o *Owner) startUntil() time.Time {
	until := o.hold.Expires()
	if fresh := o.answerUntil(); fresh.Before(until) {
		until = fresh
	}
	if fresh := o.known().Add(StartFreshness); fresh.Before(until) {
		until = fresh
	}
	return until
}

// StartFreshness is for how long what is known of cancellations is enough to start tasks by:
// a watch that shows no change, the next one after it, and a second.
const StartFreshness = 2*cluster.WatchHold + time.Second

// known is the moment before which all cancellations told to their users are known.
func (o *Owner) known() time.Time {
	if o.clear.After(o.fresh) {
		return o.clear
	}
	return o.fresh
}

// mayStart tells whether tasks may be started now.
func (o *Owner) mayStart() bool {
	return o.hold.MayStart(o.loop.Now) && o.loop.Now.Before(o.startUntil())
}

// answerUntil is until when reports may be answered, which keeps tasks alive.
// A job cancelled at another controller must be gone cancel_s later: past
// this moment somebody else may have cancelled a task that an answer given
// here would keep alive for another lease_s.
func (o *Owner) answerUntil() time.Time {
	w := o.view.Settings.Cluster.Workers
	return o.known().Add(cluster.LocalDuration(config.Seconds(w.CancelS-w.LeaseS) - 2*time.Second))
}

// HandleHeartbeat handles a worker's report.
func (o *Owner) HandleHeartbeat(e eventloop.HeartbeatRequest) {
	r := &e.Heartbeat
	if r.Machine == "" || r.AgentEpoch == 0 {
		o.loop.Reply(e.Req, eventloop.ReplyInvalid, wire.ErrorAnswer{Error: "stroj and smjena are needed"})
		return
	}
	if !o.records.WorkersServed() || !o.loop.Now.Before(o.answerUntil()) {
		o.loop.Unavailable(e.Req)
		return
	}
	o.token = max(o.token, r.Token)
	m := o.machines[r.Machine]
	if m != nil {
		o.follow(m, r.Token)
	}
	// A higher token than ours means that somebody else has taken over.
	if m == nil || !o.hold.Held() || r.Token > o.tokenFor(m) {
		o.guestReport(e)
		return
	}
	delete(o.guests, r.Machine)
	if !o.observe(m, r, true) {
		// Overtaken by a newer report, or from before this controller had the
		// machine; it may be a copy, whose answer nobody reads. A worker that
		// waits for it has its lease renewed and learns the token.
		o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: o.answerUntil(),
			Body: wire.HeartbeatAnswer{Token: o.tokenFor(m), Commands: []wire.Command{}}})
		return
	}
	if m.calling && !m.calledAt.IsZero() && o.loop.Now.Sub(m.calledAt) > DirectTimeout {
		// It has had no answer in time, which this controller, having stood still,
		// has not read yet: this answer must not keep alive what is held on its way.
		o.suspect(m)
		m.calledAt = time.Time{}
	}
	m.answered = o.loop.Now
	m.asking = true
	o.placeSoon()
	m.asking = false
	until := o.answerUntil()
	cmds := o.commandsFor(m, viaAnswer)
	if slices.ContainsFunc(cmds, func(k wire.Command) bool { return k.Op == wire.CommandStart }) {
		until = o.startUntil()
	}
	o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: until,
		Body: wire.HeartbeatAnswer{Token: o.tokenFor(m), Commands: cmds}})
}

// commandsFor collects what the worker is to do and marks starts as sent.
func (o *Owner) commandsFor(m *machine, how via) []wire.Command {
	cmds := []wire.Command{}
	delete(o.hurried, m.name)
	todo := false
	for _, r := range m.runs {
		todo = todo || r.over() || r.stop || r.state == runQueued
	}
	if !todo {
		return cmds
	}
	grace := 0.0
	keys := sortedRuns(m)
	for _, key := range keys {
		r := m.runs[key]
		switch {
		case r.over():
			// A start that may still be on its way would run again after a
			// forget; then the ended entry stays until the token has moved.
			if o.mayForget(r) {
				cmds = append(cmds, wire.Command{Op: wire.CommandForget, Task: r.task, Attempt: r.attempt})
			}
		case r.stop && r.state != runQueued:
			g := grace
			if r.j != nil && !r.j.Ended && r.j.Record.CheckpointS > 0 {
				g = r.j.Record.SaveS + 1
			}
			cmds = append(cmds, wire.Command{Op: wire.CommandHalt, Task: r.task, Attempt: r.attempt, GraceS: &g})
		}
	}
	// Straight to a worker only while the tokens prove that it hears: a command on
	// its way is void once a higher token has come, and that may be in one with it.
	if !o.mayStart() || m.gave || (how == viaDirect && !m.hears()) {
		return cmds
	}
	for _, key := range keys {
		r := m.runs[key]
		if r.state != runQueued || len(cmds) > 200 {
			continue
		}
		r.state, r.via = "", how
		r.sentSeq = m.seq
		r.flying = how == viaDirect
		r.fence = o.tokenFor(m) + 1
		cmds = append(cmds, wire.Command{Op: wire.CommandStart, Task: r.task, Attempt: r.attempt})
	}
	return cmds
}

func sortedRuns(m *machine) []runKey {
	keys := make([]runKey, 0, len(m.runs))
	for k := range m.runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		if a.attempt != b.attempt {
			if a.attempt < b.attempt {
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
func (o *Owner) mayForget(r *run) bool {
	if r.via == viaDirect && (r.flying || (r.fence != 0 && r.m.token < r.fence)) {
		return false
	}
	return r.j == nil || r.j.Ended || !r.j.isDone(r.i) || r.j.isStored(r.i)
}

// observe takes a report into the picture. full is true for a real report,
// false for the report in the answer of a direct command: only a real one
// proves that the answer to the report before it was executed or dropped. It
// returns false for a report that says nothing: one that is older than the
// newest known, or below this holder's first token. Copies of reports come late,
// by more than a lease, and a controller that has just taken a machine over
// knows no newer one: from such a report it learns only where to ask.
func (o *Owner) observe(m *machine, r *wire.Heartbeat, full bool) bool {
	if r.AgentEpoch < m.session || (r.AgentEpoch == m.session && r.Sequence <= m.seq) {
		return false
	}
	if r.Token < m.fence {
		o.introduce(m, &peerpb.MachineInfo{Endpoint: r.Endpoint, Type: r.Type, Zone: r.Zone, Spot: r.Spot, AgentEpoch: r.AgentEpoch})
		m.guess = max(m.guess, r.AgentEpoch)
		o.strangers[m.name] = true
		return false
	}
	renewed := r.AgentEpoch > m.session && m.session != 0
	if renewed && o.loop.Now.Sub(m.answered) < config.Seconds(o.view.Settings.Cluster.Workers.LeaseS) {
		o.suspect(m) // its lease ended although it was answered
	}
	m.session, m.seq, m.token = r.AgentEpoch, r.Sequence, max(m.token, r.Token)
	m.endpoint, m.zone, m.spot = r.Endpoint, r.Zone, r.Spot
	if m.hears() {
		m.unanswered = 0
	}
	if full && m.hears() {
		o.reported = o.loop.Now
		m.heard = o.loop.Now
		// A machine that was given up and reports after all, say after a cut,
		// is as good as before, unless it is being returned already.
		if m.lost {
			o.hold.RequestRenewal() // it may yet be kept
		}
		m.lost, m.missed = false, false
	}
	if m.kind != r.Type {
		m.kind = r.Type
	}
	if t, ok := o.view.MachineTypes[m.kind]; ok {
		m.size = cluster.MachineSize(t)
	}
	if r.NoticeS != nil {
		if m.gone.IsZero() {
			m.gone = o.loop.Now.Add(config.Seconds(*r.NoticeS))
			o.hold.RequestRenewal() // another can be rented meanwhile
			// What can be saved is saved now and goes on elsewhere, and
			// replicas move. The rest runs on: it may still complete.
			for _, a := range m.runs {
				if a.j != nil && !a.over() && a.state != runQueued && (a.j.Record.CheckpointS > 0 || a.j.Record.Shape == wire.Daemon) {
					a.stop = true
					o.hurry(m)
				}
			}
		}
	}
	if m.dirty {
		// The worker has seen this controller's token: no command of an
		// earlier holder is executed any more and the list is complete.
		m.dirty = false
		o.placeDue = true
	}
	listed := make(map[runKey]bool, len(r.Tasks))
	m.orphans = 0
	for k := range r.Tasks {
		t := &r.Tasks[k]
		key := runKey{t.Task, t.Attempt}
		listed[key] = true
		a := m.runs[key]
		if a == nil {
			a = o.adoptRun(m, t)
		}
		a.listed = true
		if a.j == nil && t.State != wire.TaskEnded {
			m.orphans++
		}
		if a.over() || a.state == t.State {
			continue
		}
		if t.State == wire.TaskRunning && a.state != wire.TaskRunning {
			a.started = o.loop.Now
			if a.j != nil {
				m.keep(a.j.Record.Image, a.j.Record.ImageGB, o.view.MachineTypes[m.kind].CacheGB, true)
			}
		}
		a.state = t.State
		o.log.Debug("task", "task", t.Task, "attempt", t.Attempt, "machine", m.name, "state", t.State, "why", t.Reason)
		if a.over() {
			o.runEnded(a, t)
		}
	}
	for key, a := range m.runs {
		if listed[key] || a.state == runQueued {
			continue
		}
		switch {
		case renewed, a.listed: // killed with its session, or forgotten
		case a.via == viaAnswer:
			if !full || r.Sequence <= a.sentSeq {
				continue
			}
		case a.via == viaDirect:
			// Without an answer the start may be executed until the worker
			// has seen a higher token.
			if a.flying || m.token < a.fence {
				continue
			}
		}
		o.dropRun(a)
	}
	o.touchIdle(m)
	return true
}

// adoptRun takes up an attempt that an earlier owner started, or one that
// belongs to no job known here, which is then halted.
func (o *Owner) adoptRun(m *machine, t *wire.TaskStatus) *run {
	a := &run{task: t.Task, attempt: t.Attempt, m: m, stop: true, placed: o.loop.Now, started: o.loop.Now}
	m.runs[runKey{t.Task, t.Attempt}] = a
	id, i, ok := splitTask(t.Task)
	j := o.jobs[id]
	if !ok || j == nil || j.runs == nil || i >= j.Record.Tasks {
		return a
	}
	a.i = i
	if t.State == wire.TaskEnded {
		a.j = j
		return a
	}
	if j.Ended || j.isDone(i) || j.runs[i] != nil {
		if j.runs[i] != nil {
			o.log.Error("task is on two machines", "task", t.Task, "machine", m.name, "other", j.runs[i].m.name)
		}
		return a
	}
	a.j, a.stop, j.begun = j, false, true
	j.runs[i] = a
	o.count(a, 1)
	if k, ok := slices.BinarySearch(j.queue, i); ok {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
	return a
}

// count adds an attempt to what its team uses, or takes it off.
func (o *Owner) count(r *run, n float64) {
	if r.j == nil || r.counted == (n > 0) {
		return
	}
	r.counted = n > 0
	o.used[r.j.Record.Team] = o.used[r.j.Record.Team].Add(r.j.need(), n)
}

// detach takes an attempt that is surely not running off its job.
func (o *Owner) detach(r *run, again bool) {
	o.count(r, -1)
	j := r.j
	if j == nil || j.runs[r.i] != r {
		return
	}
	delete(j.runs, r.i)
	if again && !j.Ended && !j.isDone(r.i) && j.ready {
		if k, ok := slices.BinarySearch(j.queue, r.i); !ok {
			j.queue = slices.Insert(j.queue, k, r.i)
		}
		if len(j.queue) == 1 {
			j.waitSince = o.loop.Now
		}
	}
	o.placeDue = true
	if j.Ended && len(j.runs) == 0 {
		delete(o.jobs, j.Record.ID)
	}
}

// dropRun removes an attempt that is surely not running any more.
func (o *Owner) dropRun(r *run) {
	delete(r.m.runs, runKey{r.task, r.attempt})
	o.detach(r, true)
}

// runEnded handles the end of an attempt; the entry stays until the worker
// has forgotten it.
func (o *Owner) runEnded(r *run, t *wire.TaskStatus) {
	j, m := r.j, r.m
	if j == nil {
		return
	}
	switch t.Reason {
	case wire.ReasonDone:
		if j.runs != nil && j.Record.Shape != wire.Daemon {
			o.markDone(j, r.i)
			o.learn(r)
		}
		m.oks++
		clear(m.errors)
		j.failures, j.failedOn = 0, nil
	case wire.ReasonError:
		o.failed(r)
	case wire.ReasonNoRoom, wire.ReasonInUse:
		m.pauseTo = o.loop.Now.Add(2 * time.Second)
	case wire.ReasonUnknown:
		j.notBefore = o.loop.Now.Add(2 * time.Second)
	}
	o.detach(r, true)
	if j.doneCount == j.Record.Tasks {
		o.endJobs()
	}
}

const (
	// doubtfulOn is on how many machines a job has to fail, without any of its
	// tasks completing there or elsewhere, to be taken for the faulty one.
	doubtfulOn = 3
	// doubtfulAtOnce bounds the attempts of such a job under way: its user may
	// yet mend what is wrong, but a hundred tasks that fail at once are room,
	// images and messages for nothing.
	doubtfulAtOnce = 2
	// badAfter is how many errors, each of another task or doubtful job, set a
	// machine aside.
	badAfter = 2
)

// doubtful tells whether the job, rather than the machines, seems to be faulty.
func (j *Job) doubtful() bool { return len(j.failedOn) >= doubtfulOn }

// mayTry tells whether another attempt at the job may be made now.
func (j *Job) mayTry() bool { return !j.doubtful() || len(j.runs) < doubtfulAtOnce }

// tries is how many of the job's waiting tasks count as waiting work.
func (j *Job) tries() int {
	if j.doubtful() {
		return min(len(j.queue), max(0, doubtfulAtOnce-len(j.runs)))
	}
	return len(j.queue)
}

// failed judges an error by who else failed: a job that has completed nothing and
// failed on several machines backs off, and is no evidence against any of them;
// otherwise the machine is set aside after a few.
func (o *Owner) failed(r *run) {
	j, m := r.j, r.m
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	j.failures++
	if j.doubtful() && j.doneCount == 0 {
		j.notBefore = o.loop.Now.Add(min(time.Minute, time.Second<<min(j.failures, 6)))
		for name := range j.failedOn {
			if x := o.machines[name]; x != nil {
				delete(x.errors, j.Record.ID)
				x.bad = x.bad && len(x.errors) >= badAfter
			}
		}
		return
	}
	if m.errors == nil {
		m.errors = map[string]bool{}
	}
	// A job none of whose tasks has ever completed counts once: the mistake
	// may be its own.
	if key := r.task; j.doneCount > 0 {
		m.errors[key] = true
	} else {
		m.errors[j.Record.ID] = true
	}
	if len(m.errors) >= badAfter && !m.bad {
		m.bad = true
		o.hold.RequestRenewal()
		o.log.Info("machine set aside", "machine", m.name, "errors", len(m.errors))
	}
}

// learn compares a completed task's run time with its estimate.
func (o *Owner) learn(r *run) {
	if r.started.IsZero() || r.j.Record.EstimateS <= 0 {
		return
	}
	s := o.class(r.j.Record.Class)
	s.n++
	took := o.loop.Now.Sub(r.started).Seconds()
	w := max(0.05, 1/float64(s.n+3))
	s.ratio += w * (took/r.j.Record.EstimateS - s.ratio)
	s.mean += max(0.05, 1/float64(s.n)) * (took - s.mean)
}

func (o *Owner) class(name string) *classStats {
	s := o.classes[name]
	if s == nil {
		s = &classStats{ratio: 1}
		o.classes[name] = s
	}
	return s
}

// runSeconds estimates how long a task of the job runs.
func (o *Owner) runSeconds(rec *wire.JobRecord) float64 {
	return rec.EstimateS * min(3, max(0.3, o.class(rec.Class).ratio))
}

func (o *Owner) touchIdle(m *machine) {
	for _, r := range m.runs {
		if !r.over() {
			m.idle = time.Time{}
			return
		}
	}
	if m.idle.IsZero() {
		m.idle = o.loop.Now
	}
}

// guestReport handles a machine that is not in this controller's block.
func (o *Owner) guestReport(e eventloop.HeartbeatRequest) {
	r := &e.Heartbeat
	g := o.guests[r.Machine]
	if g != nil && (r.AgentEpoch < g.rep.AgentEpoch || (r.AgentEpoch == g.rep.AgentEpoch && r.Sequence <= g.rep.Sequence)) {
		o.loop.Unavailable(e.Req) // a late copy
		return
	}
	if g == nil || r.AgentEpoch > g.rep.AgentEpoch || o.loop.Now.Sub(g.heard) > config.Seconds(o.view.Settings.Cluster.Workers.LeaseS) {
		first := o.loop.Now
		if g != nil {
			first = g.first // a machine that hears nobody stays one
		}
		g = &guest{since: o.loop.Now, first: first}
		o.guests[r.Machine] = g
		o.hold.RequestRenewal() // its owner may take it for lost
	}
	if g.kept != 0 && r.Sequence == g.kept+1 {
		g.stayed = o.loop.Now
	}
	g.rep, g.heard, g.kept = *r, o.loop.Now, 0
	o.answerGuest(e, g)
}

// answerGuest answers a guest's newest report.
func (o *Owner) answerGuest(e eventloop.HeartbeatRequest, g *guest) {
	r := &e.Heartbeat
	owner := o.view.HolderOf(r.Machine)
	if owner == "" {
		o.hold.RequestRenewal() // the leader has to hear of it
		if !o.view.IsLeader && o.view.IsReachable(o.view.Lease.Leader, o.loop.Now) {
			o.loop.Reply(e.Req, eventloop.ReplyMisdirected, wire.Redirect{Controller: o.view.Lease.Leader})
			return
		}
		if o.view.IsLeader && r.Token <= o.hold.Token(0) {
			// Answered when the machine is in a block, see releaseGuests.
			g.pending = append(g.pending, e.Req)
			return
		}
	} else if owner != o.view.Self && o.view.IsReachable(owner, o.loop.Now) && o.loop.Now.Sub(g.sent) > redirectEvery {
		first := g.sent.IsZero()
		g.sent = o.loop.Now
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
	if o.loop.Now.Sub(g.since) > config.Seconds(max(0, w.CancelS-w.LeaseS-7)) {
		o.loop.Unavailable(e.Req)
		if o.loop.Now.Sub(g.since) > config.Seconds(w.CancelS+2*w.LeaseS) {
			delete(o.guests, r.Machine)
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
		if !o.records.HasEnded(id) && o.loop.Now.Sub(o.fresh) > cluster.WatchHold+time.Second {
			o.loop.Unavailable(e.Req)
			return
		}
		zero := 0.0
		cmds = append(cmds, wire.Command{Op: wire.CommandHalt, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
	}
	g.kept = r.Sequence
	token := r.Token
	if owner == o.view.Self || (owner != "" && o.view.Peers[owner] != nil && o.view.Peers[owner].AcceptsRaisedTokens) {
		token = o.raise(g)
	}
	o.loop.Emit(eventloop.Reply{Req: e.Req, Code: eventloop.ReplyOK, Until: o.answerUntil(),
		Body: wire.HeartbeatAnswer{Token: token, Commands: cmds}})
}

// raiseEvery spaces the raises of a guest's token while it stays: a start that its
// owner could send in between must not be held for as long as cancel_s.
const raiseEvery = 10 * time.Second

// raise returns the token with which a guest is answered. An answer keeps the session
// alive, and with it every start that its owner has sent and that is held on its way:
// of a job that was cancelled since, it would come into effect whenever it arrives.
// So the token is raised with the first answer, again when the worker has had to do
// with others in between, and every now and then; what was sent before is void, and
// the owner goes on from the higher one (follow).
func (o *Owner) raise(g *guest) uint64 {
	if !g.stayed.Equal(o.loop.Now) || o.loop.Now.Sub(g.raised) >= raiseEvery {
		g.token, g.raised = max(g.token, g.rep.Token)+1, o.loop.Now
	}
	return max(g.token, g.rep.Token)
}

// redirectEvery spaces the attempts to send a worker back to its owner. One that
// does not reach it is back after answerTimeout and must then be kept: sent away
// again it would never be answered, and lose its tasks with its lease.
const redirectEvery = 8 * time.Second

// unreportedAfter is how long no machine of the block may have reported before
// this controller takes itself for cut off from the workers: of many, some
// report all the time.
func (o *Owner) unreportedAfter() time.Duration {
	every := config.Seconds(o.view.Settings.Cluster.Workers.ReportS)
	if len(o.machines) >= 8 {
		return 2*time.Second + every/2
	}
	return answerTimeout + every
}

// NoHeartbeats tells whether the block has machines and none of them reports.
func (o *Owner) NoHeartbeats() bool {
	return len(o.machines) > 0 && o.loop.Now.Sub(o.reported) > o.unreportedAfter()
}

// AllWorkersElsewhere tells whether none of them has reported for so long that those who
// turned to others must have been sent back here meanwhile.
func (o *Owner) AllWorkersElsewhere() bool {
	return len(o.machines) > 0 && o.loop.Now.Sub(o.reported) > o.unreportedAfter()+redirectEvery+2*time.Second
}

// ResumedAfter notes that this controller has stood still for a while: that it heard
// nothing meanwhile says nothing about the machines. Else a leader that wakes
// would return its whole block before it reads a single report.
func (o *Owner) ResumedAfter(gap time.Duration) {
	o.reported = o.loop.Now
	for _, m := range o.machines {
		m.heard = m.heard.Add(gap)
	}
}

// ForeignWorkersByHolder counts the machines of each other controller's block that report
// here and stay.
func (o *Owner) ForeignWorkersByHolder() map[string]int32 {
	var out map[string]int32
	for name, g := range o.guests {
		owner := o.view.HolderOf(name)
		if owner == "" || owner == o.view.Self || o.loop.Now.Sub(g.stayed) > o.guestFresh() {
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
func (o *Owner) guestFresh() time.Duration {
	return min(10*time.Second, config.Seconds(aloneReports*o.view.Settings.Cluster.Workers.ReportS))
}

// releaseGuests answers reports that waited for their machine's block.
func (o *Owner) releaseGuests(all bool) {
	pending := false
	for _, g := range o.guests {
		pending = pending || len(g.pending) > 0
	}
	if !pending {
		return
	}
	for _, name := range cluster.SortedKeys(o.guests) {
		g := o.guests[name]
		if g == nil || len(g.pending) == 0 || (!all && o.view.HolderOf(name) == "" && o.loop.Now.Sub(g.heard) < 2*time.Second) {
			continue
		}
		reqs := g.pending
		g.pending = nil
		for _, req := range reqs[:len(reqs)-1] {
			o.loop.Unavailable(req)
		}
		last := reqs[len(reqs)-1]
		if o.view.HolderOf(name) == "" {
			o.loop.Unavailable(last)
			continue
		}
		if e := (eventloop.HeartbeatRequest{Req: last, Heartbeat: g.rep}); o.machines[name] != nil {
			o.HandleHeartbeat(e)
		} else {
			o.answerGuest(e, g)
		}
	}
}

// hurry notes that a machine has commands that should go out at once.
func (o *Owner) hurry(m *machine) { o.hurried[m.name] = true }

// sendCommands sends starts that wait straight to their workers: waiting for
// the next report would cost a task seconds.
func (o *Owner) sendCommands() {
	if len(o.hurried) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.hurried) {
		m := o.machines[name]
		if m == nil {
			delete(o.hurried, name)
			continue
		}
		if m.calling || m.asking || m.gave || m.endpoint == "" || m.session == 0 || o.loop.Now.Before(m.noDirect) {
			continue
		}
		cmds := o.commandsFor(m, viaDirect)
		if len(cmds) == 0 {
			continue
		}
		m.calling, m.calledAt = true, o.loop.Now
		var sent []*run
		for _, k := range cmds {
			if r := m.runs[runKey{k.Task, k.Attempt}]; r != nil && k.Op == wire.CommandStart {
				sent = append(sent, r)
			}
		}
		token := o.tokenFor(m)
		if len(sent) > 0 {
			// After a new grant the worker has shown a token of the one before. Whoever
			// keeps it while this is held on its way raises what it has shown: a start
			// with a token above that would outlive all raises.
			token = min(token, m.token)
		}
		o.loop.Emit(eventloop.WorkerCommands{Endpoint: m.endpoint, Until: o.startUntil(),
			Body: wire.Commands{Token: token, AgentEpoch: m.session, Commands: cmds},
			ID:   o.loop.Call(func(d eventloop.Completion) { o.directDone(m, sent, d) })})
	}
}

func (o *Owner) directDone(m *machine, sent []*run, d eventloop.Completion) {
	m.calling = false
	for _, r := range sent {
		r.flying = false
	}
	if o.machines[m.name] != m {
		return
	}
	switch {
	case d.Outcome == eventloop.Succeeded && d.Heartbeat != nil && d.Heartbeat.Machine == m.name:
		for _, r := range sent {
			r.fence = 0 // answered: no copy is on its way
		}
		o.observe(m, d.Heartbeat, false)
	case d.Outcome == eventloop.Conflict || d.Outcome == eventloop.Rejected || d.Outcome == eventloop.NotSent:
		// Nothing was executed, and this request never will be.
		for _, r := range sent {
			if m.runs[runKey{r.task, r.attempt}] == r && !r.listed {
				o.dropRun(r)
			}
		}
		if d.Outcome == eventloop.Conflict && d.Heartbeat != nil && d.Heartbeat.Machine == m.name {
			o.follow(m, d.Heartbeat.Token)
			o.observe(m, d.Heartbeat, false)
		}
		m.noDirect = o.loop.Now.Add(2 * time.Second)
	default:
		// No answer: perhaps executed, perhaps later. A higher token in the
		// next answer to the worker's report settles that.
		o.suspect(m)
		m.unanswered++
		m.noDirect = o.loop.Now.Add(config.Seconds(2 * o.view.Settings.Cluster.Workers.ReportS))
	}
	o.touchIdle(m)
}

// ---- machines that this controller has not heard yet

// asksAtOnce bounds the questions to workers under way, so that a takeover of
// hundreds of machines does not use up processor and sockets at one stroke.
const asksAtOnce = 24

// askAgain spaces the questions to a machine that answers them and does not report.
const askAgain = time.Second

// introduce notes how a machine can be reached whose report has not come yet.
// It is then asked: after a takeover every job that may have been started
// before waits until the last machine has been heard, and the next reports
// may be seconds away.
func (o *Owner) introduce(m *machine, s *peerpb.MachineInfo) {
	if s.GetEndpoint() == "" || m.endpoint != "" {
		return
	}
	m.endpoint, m.guess = s.GetEndpoint(), max(1, s.GetAgentEpoch()) // sessions start at 1
	if m.kind == "" {
		m.kind, m.zone, m.spot = s.GetType(), s.GetZone(), s.GetSpot()
	}
	o.strangers[m.name] = true
}

// askWorkers asks machines that were introduced for their tasks, by commands
// that name none. The answer counts as a report; the token that comes with
// the question rules out commands of an earlier holder.
func (o *Owner) askWorkers() {
	if len(o.strangers) == 0 || !o.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(o.strangers) {
		m := o.machines[name]
		if m == nil || m.gave || m.lost || (m.session != 0 && !m.dirty && !o.silent(m)) {
			delete(o.strangers, name)
			continue
		}
		if o.asking >= asksAtOnce {
			return
		}
		if m.calling || m.asking || m.endpoint == "" || o.loop.Now.Before(m.noDirect) || o.loop.Now.Before(m.askAfter) {
			continue
		}
		session := m.session
		if session == 0 {
			session = m.guess
		}
		m.calling, m.calledAt = true, o.loop.Now
		o.asking++
		o.loop.Emit(eventloop.WorkerCommands{Endpoint: m.endpoint, Until: o.hold.Expires(),
			Body: wire.Commands{Token: o.tokenFor(m), AgentEpoch: session, Commands: []wire.Command{}},
			ID: o.loop.Call(func(d eventloop.Completion) {
				o.asking--
				o.directDone(m, nil, d)
				if d.Outcome == eventloop.Conflict && m.session != 0 && m.session != session {
					m.noDirect = time.Time{} // the wrong session; now it is known
				}
				if d.Outcome == eventloop.Succeeded {
					o.placeDue = true
					// One that is mute stays silent however often it answers.
					m.askAfter = o.loop.Now.Add(askAgain)
				}
				o.askWorkers()
			})})
	}
}

// cutPatience is how much longer machines may be silent that fell silent with
// half of their zone.
const cutPatience = 25 * time.Second

// A spot machine that falls silent by itself was most likely taken without
// notice, as some are. It is given up after aloneReports report intervals, but
// not before its worker can have tried the other controllers. Up to aloneShare
// of a block counts as machines that fell silent by themselves; more of them
// are cut off, or this controller is slow. Only where the ordinary machines of
// their zone are heard all the while is it a wave, however many are silent.
const (
	aloneReports = 2.5
	aloneLeast   = 10 * time.Second
	aloneShare   = 0.05
	// zoneWitnesses is how many ordinary machines tell what befell a zone.
	zoneWitnesses = 4
)

// DirectTimeout bounds a direct call; a worker answers in milliseconds.
const DirectTimeout = 2 * time.Second

// silent tells whether a machine has missed its reports.
func (o *Owner) silent(m *machine) bool {
	return o.loop.Now.Sub(m.heard) > config.Seconds(aloneReports*o.view.Settings.Cluster.Workers.ReportS)
}

// census counts a zone's machines, all and ordinary ones, and how many of
// them are silent.
type census struct {
	all, silent           int
	ordinary, silentThere int
}

// cut tells whether the zone's machines are cut off rather than dead.
func (z *census) cut() bool {
	if z.ordinary >= zoneWitnesses {
		return 2*z.silentThere >= z.ordinary
	}
	return z.silent >= 3 && 2*z.silent >= z.all
}

// wave tells that spot machines which are silent there have been taken.
func (z *census) wave() bool { return z.ordinary >= zoneWitnesses && 10*z.silentThere <= z.ordinary }

// checkMachines looks for machines that fell silent.
func (o *Owner) checkMachines() {
	o.releaseGuests(false)
	w := o.view.Settings.Cluster.Workers
	limit := cluster.RemoteDuration(config.Seconds(w.LeaseS)) + time.Second
	// Machines of a zone that fall silent together are cut off rather than
	// dead. They come back as they were when the cut ends, so they are given
	// more time; new ones would take a boot time and may not be had at all.
	zones := map[string]*census{}
	alone := 0
	for _, m := range o.machines {
		z := zones[m.zone]
		if z == nil {
			z = &census{}
			zones[m.zone] = z
		}
		silent := o.loop.Now.Sub(m.heard)
		z.all++
		if !m.spot {
			z.ordinary++
		}
		if silent > config.Seconds(1.5*w.ReportS) {
			if !m.lost {
				alone++
			}
			if !m.spot {
				z.silentThere++
			}
		}
		if o.silent(m) {
			z.silent++
		}
	}
	for zone, z := range zones {
		// They do not all come back in the moment in which a cut ends: some
		// have first to be sent back by whom they turned to meanwhile.
		if z.cut() {
			o.cutUntil[zone] = o.loop.Now.Add(config.Seconds(w.LeaseS))
		}
	}
	for _, m := range o.machines {
		if m.lost {
			continue
		}
		silent := o.loop.Now.Sub(m.heard)
		patience := limit
		z := zones[m.zone]
		if o.silent(m) {
			o.strangers[m.name] = true
		}
		if o.loop.Now.Before(o.cutUntil[m.zone]) {
			// But not beside a task that was called off: its machine may hang rather than
			// be cut off, does not end it then when its lease does, and its return is the
			// only thing that surely ends it in time. Until then it also counts against
			// its team's limit.
			if !m.calledOff() {
				patience += cutPatience
			}
		} else if m.spot && (z.wave() || (!m.dirty && float64(alone) <= max(2, aloneShare*float64(len(o.machines))))) {
			few := config.Seconds(aloneReports * w.ReportS)
			patience = min(patience, max(aloneLeast, few))
			if m.unanswered > 0 && z.wave() {
				patience = min(patience, few+DirectTimeout) // nor does it answer
			}
			// Another can be rented before this one is given up.
			if silent > few && !m.missed {
				m.missed = true
				o.hold.RequestRenewal()
			}
		}
		if silent > patience ||
			(!m.gone.IsZero() && o.loop.Now.Sub(m.gone) > 2*time.Second && silent > config.Seconds(1.5*w.ReportS)) {
			m.lost = true
			o.hold.RequestRenewal()
			o.log.Info("machine lost", "machine", m.name, "silent", silent)
		}
		// A machine that has not been heard since it was taken over may run
		// tasks that are not known yet: empty means known to be empty.
		if m.recall && !m.gave && len(m.runs) == 0 && !m.calling && !m.unsure() && m.session != 0 {
			m.gave = true
			o.hold.RequestRenewal()
		}
	}
	for name, g := range o.guests {
		if o.loop.Now.Sub(g.heard) > time.Minute {
			delete(o.guests, name)
		}
	}
}

// machineGone removes a machine that the cloud has surely ended.
func (o *Owner) machineGone(m *machine) {
	delete(o.machines, m.name)
	o.orderDue = true
	for _, r := range m.runs {
		o.detach(r, true)
	}
	o.placeDue = true
}
