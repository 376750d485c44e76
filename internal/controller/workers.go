package controller

import (
	"slices"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/config"
	"fawncove/internal/peer/peerpb"
	"fawncove/internal/sched"
	"fawncove/internal/step"
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
	j       *job // nil: a task this controller knows no job for
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
	counted bool // in c.used
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
	size     sched.Amount
	session  uint64
	seq      uint64
	token    uint64 // highest the worker has reported
	bump     uint64 // raises this machine's token above earlier starts
	fence    uint64 // dirty until the worker has seen this token
	dirty    bool   // may run tasks this controller knows nothing of
	orphans  int    // tasks there that belong to no job known here
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
	calling    bool   // a direct call is under way
	guess      uint64 // its session, as far as others know
	noDirect   time.Time
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

// bound tells whether the machine runs tasks that may not run on a spot one.
func (m *machine) bound() bool {
	for _, r := range m.runs {
		if r.j != nil && !r.over() && !r.j.rec.Spot {
			return true
		}
	}
	return false
}

// guest is a machine of another block, or of none, that reports here.
type guest struct {
	rep     wire.Report
	heard   time.Time
	since   time.Time // of the session, here
	sent    time.Time // last redirected
	pending []uint64
}

// classStats learns how long a class's tasks really run.
type classStats struct {
	startedAt time.Time // of its latest task
	ratio     float64   // of real run time to the estimate
	n         int
	mean      float64
}

func (c *Core) tokenFor(m *machine) uint64 { return c.hold.Token(m.bump) }

// mayStart tells whether this controller's block lease allows starts now.
func (c *Core) mayStart() bool { return c.hold.MayStart(c.loop.Now) }

// answerUntil is until when reports may be answered, which keeps tasks alive.
// A job cancelled at another controller must be gone cancel_s later: past
// this moment somebody else may have cancelled a task that an answer given
// here would keep alive for another lease_s.
func (c *Core) answerUntil() time.Time {
	w := c.view.Cfg.Cluster.Workers
	return c.fresh.Add(cluster.Shrink(config.Seconds(w.CancelS-w.LeaseS) - 2*time.Second))
}

// onReport handles a worker's report.
func (c *Core) onReport(e step.ReportIn) {
	r := &e.Report
	if r.Machine == "" || r.Session == 0 {
		c.answer(e.Req, 400, wire.ErrorAnswer{Error: "stroj and smjena are needed"})
		return
	}
	if !c.loaded || !c.loop.Now.Before(c.answerUntil()) {
		c.unavailable(e.Req)
		return
	}
	if !c.hold.Held() && c.refusedAlone() {
		c.unavailable(e.Req) // others know who owns the machine by now
		return
	}
	m := c.machines[r.Machine]
	// A higher token than ours means that somebody else has taken over.
	if m == nil || !c.hold.Held() || r.Token > c.tokenFor(m) {
		c.guestReport(e)
		return
	}
	delete(c.guests, r.Machine)
	c.observe(m, r, true)
	m.asking = true
	c.placeSoon()
	m.asking = false
	until := c.answerUntil()
	cmds := c.commandsFor(m, viaAnswer)
	if slices.ContainsFunc(cmds, func(k wire.Command) bool { return k.Op == wire.OpStart }) && c.hold.Until().Before(until) {
		until = c.hold.Until()
	}
	c.loop.Emit(step.Reply{Req: e.Req, Status: 200, Until: until,
		Body: wire.ReportAnswer{Token: c.tokenFor(m), Commands: cmds}})
}

// commandsFor collects what the worker is to do and marks starts as sent.
func (c *Core) commandsFor(m *machine, how via) []wire.Command {
	cmds := []wire.Command{}
	delete(c.hurried, m.name)
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
			if c.mayForget(r) {
				cmds = append(cmds, wire.Command{Op: wire.OpForget, Task: r.task, Attempt: r.attempt})
			}
		case r.stop && r.state != runQueued:
			g := grace
			if r.j != nil && !r.j.over && r.j.rec.CheckpointS > 0 {
				g = r.j.rec.SaveS + 1
			}
			cmds = append(cmds, wire.Command{Op: wire.OpHalt, Task: r.task, Attempt: r.attempt, GraceS: &g})
		}
	}
	if !c.mayStart() || m.gave {
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
		r.fence = c.tokenFor(m) + 1
		cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: r.task, Attempt: r.attempt})
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
func (c *Core) mayForget(r *run) bool {
	if r.via == viaDirect && (r.flying || (r.fence != 0 && r.m.token < r.fence)) {
		return false
	}
	return r.j == nil || r.j.over || !r.j.isDone(r.i) || r.j.isStored(r.i)
}

// observe takes a report into the picture. full is true for a real report,
// false for the report in the answer of a direct command: only a real one
// proves that the answer to the report before it was executed or dropped.
func (c *Core) observe(m *machine, r *wire.Report, full bool) {
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return // late
	}
	renewed := r.Session > m.session && m.session != 0
	m.session, m.seq, m.token = r.Session, r.Seq, max(m.token, r.Token)
	m.endpoint, m.zone, m.spot = r.Endpoint, r.Zone, r.Spot
	if full {
		m.heard = c.loop.Now
		// A machine that was given up and reports after all, say after a cut,
		// is as good as before, unless it is being returned already.
		m.lost, m.missed = false, false
	}
	if m.kind != r.Type {
		m.kind = r.Type
	}
	if t, ok := c.view.Types[m.kind]; ok {
		m.size = cluster.SizeOf(t)
	}
	if r.NoticeS != nil {
		if m.gone.IsZero() {
			m.gone = c.loop.Now.Add(config.Seconds(*r.NoticeS))
			c.renewSoon = true // another can be rented meanwhile
			// What can be saved is saved now and goes on elsewhere, and
			// replicas move. The rest runs on: it may still complete.
			for _, a := range m.runs {
				if a.j != nil && !a.over() && a.state != runQueued && (a.j.rec.CheckpointS > 0 || a.j.rec.Shape == wire.Daemon) {
					a.stop = true
					c.hurry(m)
				}
			}
		}
	}
	if m.dirty && r.Token >= m.fence {
		// The worker has seen this controller's token: no command of an
		// earlier holder is executed any more and the list is complete.
		m.dirty = false
		c.placeDue = true
	} else if m.dirty {
		// Its next report may be seconds away: it is asked at once.
		c.strangers[m.name] = true
	}
	m.unanswered = 0
	listed := make(map[runKey]bool, len(r.Tasks))
	m.orphans = 0
	for k := range r.Tasks {
		t := &r.Tasks[k]
		key := runKey{t.Task, t.Attempt}
		listed[key] = true
		a := m.runs[key]
		if a == nil {
			a = c.adoptRun(m, t)
		}
		a.listed = true
		if a.j == nil && t.State != wire.TaskEnded {
			m.orphans++
		}
		if a.over() || a.state == t.State {
			continue
		}
		if t.State == wire.TaskRunning && a.state != wire.TaskRunning {
			a.started = c.loop.Now
			if a.j != nil {
				m.keep(a.j.rec.Image, a.j.rec.ImageGB, c.view.Types[m.kind].CacheGB, true)
			}
		}
		a.state = t.State
		c.log.Debug("task", "task", t.Task, "attempt", t.Attempt, "machine", m.name, "state", t.State, "why", t.Why)
		if a.over() {
			c.runEnded(a, t)
		}
	}
	for key, a := range m.runs {
		if listed[key] || a.state == runQueued {
			continue
		}
		switch {
		case renewed, a.listed: // killed with its session, or forgotten
		case a.via == viaAnswer:
			if !full || r.Seq <= a.sentSeq {
				continue
			}
		case a.via == viaDirect:
			// Without an answer the start may be executed until the worker
			// has seen a higher token.
			if a.flying || m.token < a.fence {
				continue
			}
		}
		c.dropRun(a)
	}
	c.touchIdle(m)
}

// adoptRun takes up an attempt that an earlier owner started, or one that
// belongs to no job known here, which is then halted.
func (c *Core) adoptRun(m *machine, t *wire.TaskReport) *run {
	a := &run{task: t.Task, attempt: t.Attempt, m: m, stop: true, placed: c.loop.Now, started: c.loop.Now}
	m.runs[runKey{t.Task, t.Attempt}] = a
	id, i, ok := splitTask(t.Task)
	j := c.jobs[id]
	if !ok || j == nil || j.runs == nil || i >= j.rec.Tasks {
		return a
	}
	a.i = i
	if t.State == wire.TaskEnded {
		a.j = j
		return a
	}
	if j.over || j.isDone(i) || j.runs[i] != nil {
		if j.runs[i] != nil {
			c.log.Error("task is on two machines", "task", t.Task, "machine", m.name, "other", j.runs[i].m.name)
		}
		return a
	}
	a.j, a.stop = j, false
	j.runs[i] = a
	c.count(a, 1)
	if k, ok := slices.BinarySearch(j.queue, i); ok {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
	return a
}

// count adds an attempt to what its team uses, or takes it off.
func (c *Core) count(r *run, n float64) {
	if r.j == nil || r.counted == (n > 0) {
		return
	}
	r.counted = n > 0
	c.used[r.j.rec.Team] = c.used[r.j.rec.Team].Add(r.j.need(), n)
}

// detach takes an attempt that is surely not running off its job.
func (c *Core) detach(r *run, again bool) {
	c.count(r, -1)
	j := r.j
	if j == nil || j.runs[r.i] != r {
		return
	}
	delete(j.runs, r.i)
	if again && !j.over && !j.isDone(r.i) && j.ready {
		if k, ok := slices.BinarySearch(j.queue, r.i); !ok {
			j.queue = slices.Insert(j.queue, k, r.i)
		}
		if len(j.queue) == 1 {
			j.waitSince = c.loop.Now
		}
	}
	c.placeDue = true
	if j.over && len(j.runs) == 0 {
		delete(c.jobs, j.rec.ID)
	}
}

// dropRun removes an attempt that is surely not running any more.
func (c *Core) dropRun(r *run) {
	delete(r.m.runs, runKey{r.task, r.attempt})
	c.detach(r, true)
}

// runEnded handles the end of an attempt; the entry stays until the worker
// has forgotten it.
func (c *Core) runEnded(r *run, t *wire.TaskReport) {
	j, m := r.j, r.m
	if j == nil {
		return
	}
	switch t.Why {
	case wire.WhyDone:
		if j.runs != nil && j.rec.Shape != wire.Daemon {
			c.markDone(j, r.i)
			c.learn(r)
		}
		m.oks++
		clear(m.errors)
		j.failures = 0
	case wire.WhyError:
		c.failed(r)
	case wire.WhyNoRoom, wire.WhyInUse:
		m.pauseTo = c.loop.Now.Add(2 * time.Second)
	case wire.WhyUnknown:
		j.notBefore = c.loop.Now.Add(2 * time.Second)
	}
	c.detach(r, true)
	if j.doneCount == j.rec.Tasks {
		c.endJobs()
	}
}

// failed judges an error: machines that fail several tasks are set aside,
// jobs that fail on several machines back off. A job that has failed on other
// machines is no evidence against this one.
func (c *Core) failed(r *run) {
	j, m := r.j, r.m
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	j.failures++
	if len(j.failedOn) >= 3 {
		j.notBefore = c.loop.Now.Add(min(time.Minute, time.Second<<min(j.failures, 6)))
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
		m.errors[j.rec.ID] = true
	}
	if len(m.errors) >= 2 {
		m.bad = true
		c.renewSoon = true
		c.log.Info("machine set aside", "machine", m.name, "errors", len(m.errors))
	}
}

// learn compares a completed task's run time with its estimate.
func (c *Core) learn(r *run) {
	if r.started.IsZero() || r.j.rec.EstimateS <= 0 {
		return
	}
	s := c.class(r.j.rec.Class)
	s.n++
	took := c.loop.Now.Sub(r.started).Seconds()
	w := max(0.05, 1/float64(s.n+3))
	s.ratio += w * (took/r.j.rec.EstimateS - s.ratio)
	s.mean += max(0.05, 1/float64(s.n)) * (took - s.mean)
}

func (c *Core) class(name string) *classStats {
	s := c.classes[name]
	if s == nil {
		s = &classStats{ratio: 1}
		c.classes[name] = s
	}
	return s
}

// runSeconds estimates how long a task of the job runs.
func (c *Core) runSeconds(rec *wire.JobRecord) float64 {
	return rec.EstimateS * min(3, max(0.3, c.class(rec.Class).ratio))
}

func (c *Core) touchIdle(m *machine) {
	for _, r := range m.runs {
		if !r.over() {
			m.idle = time.Time{}
			return
		}
	}
	if m.idle.IsZero() {
		m.idle = c.loop.Now
	}
}

// guestReport handles a machine that is not in this controller's block.
func (c *Core) guestReport(e step.ReportIn) {
	r := &e.Report
	g := c.guests[r.Machine]
	if g == nil || r.Session > g.rep.Session || c.loop.Now.Sub(g.heard) > config.Seconds(c.view.Cfg.Cluster.Workers.LeaseS) {
		g = &guest{since: c.loop.Now}
		c.guests[r.Machine] = g
		c.renewSoon = true // its owner may take it for lost
	}
	g.rep, g.heard = *r, c.loop.Now
	owner := c.view.OwnerOf(r.Machine)
	if owner == "" {
		c.renewSoon = true // the leader has to hear of it
		if c.lead == nil && c.view.LinkUp(c.view.Lease.Leader, c.loop.Now) {
			c.answer(e.Req, 421, wire.Redirect{ReportTo: c.view.Lease.Leader})
			return
		}
		if c.lead != nil && r.Token <= c.hold.Token(0) {
			// Answered when the machine is in a block, see releaseGuests.
			g.pending = append(g.pending, e.Req)
			return
		}
	} else if owner != c.view.Me && c.view.LinkUp(owner, c.loop.Now) && c.loop.Now.Sub(g.sent) > 5*time.Second {
		g.sent = c.loop.Now
		c.answer(e.Req, 421, wire.Redirect{ReportTo: owner})
		return
	}
	// The owner is out of reach for this worker. Its own token keeps its
	// tasks alive without a right to start anything. Not for long: a direct
	// start held back on the way is only void once the session ends.
	w := c.view.Cfg.Cluster.Workers
	if c.loop.Now.Sub(g.since) > config.Seconds(max(0, w.CancelS-w.LeaseS-7)) {
		c.unavailable(e.Req)
		if c.loop.Now.Sub(g.since) > config.Seconds(w.CancelS+2*w.LeaseS) {
			delete(c.guests, r.Machine)
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
		if j := c.jobs[id]; t.State == wire.TaskEnded || (j != nil && !j.over) {
			continue
		}
		if !c.hasEnded(id) && c.loop.Now.Sub(c.fresh) > watchHold+time.Second {
			c.unavailable(e.Req)
			return
		}
		zero := 0.0
		cmds = append(cmds, wire.Command{Op: wire.OpHalt, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
	}
	c.loop.Emit(step.Reply{Req: e.Req, Status: 200, Until: c.answerUntil(),
		Body: wire.ReportAnswer{Token: r.Token, Commands: cmds}})
}

// guestFresh is for how long a guest's report says that its machine lives. One
// that has died since would otherwise not be released, and all that may have
// run on it would wait.
func (c *Core) guestFresh() time.Duration {
	return min(10*time.Second, config.Seconds(aloneReports*c.view.Cfg.Cluster.Workers.ReportS))
}

// releaseGuests answers reports that waited for their machine's block.
func (c *Core) releaseGuests(all bool) {
	pending := false
	for _, g := range c.guests {
		pending = pending || len(g.pending) > 0
	}
	if !pending {
		return
	}
	for _, name := range cluster.SortedKeys(c.guests) {
		g := c.guests[name]
		if g == nil || len(g.pending) == 0 || (!all && c.view.OwnerOf(name) == "" && c.loop.Now.Sub(g.heard) < 2*time.Second) {
			continue
		}
		reqs := g.pending
		g.pending = nil
		for _, req := range reqs[:len(reqs)-1] {
			c.unavailable(req)
		}
		last := reqs[len(reqs)-1]
		if c.view.OwnerOf(name) == "" {
			c.unavailable(last)
			continue
		}
		c.onReport(step.ReportIn{Req: last, Report: g.rep})
	}
}

// hurry notes that a machine has commands that should go out at once.
func (c *Core) hurry(m *machine) { c.hurried[m.name] = true }

// sendCommands sends starts that wait straight to their workers: waiting for
// the next report would cost a task seconds.
func (c *Core) sendCommands() {
	if len(c.hurried) == 0 || !c.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(c.hurried) {
		m := c.machines[name]
		if m == nil {
			delete(c.hurried, name)
			continue
		}
		if m.calling || m.asking || m.gave || m.endpoint == "" || m.session == 0 || c.loop.Now.Before(m.noDirect) {
			continue
		}
		cmds := c.commandsFor(m, viaDirect)
		if len(cmds) == 0 {
			continue
		}
		m.calling = true
		var sent []*run
		for _, k := range cmds {
			if r := m.runs[runKey{k.Task, k.Attempt}]; r != nil && k.Op == wire.OpStart {
				sent = append(sent, r)
			}
		}
		c.loop.Emit(step.Direct{Endpoint: m.endpoint, Until: c.hold.Until(),
			Body: wire.Commands{Token: c.tokenFor(m), Session: m.session, Commands: cmds},
			ID:   c.loop.Call(func(d step.Completed) { c.directDone(m, sent, d) })})
	}
}

func (c *Core) directDone(m *machine, sent []*run, d step.Completed) {
	m.calling = false
	for _, r := range sent {
		r.flying = false
	}
	if c.machines[m.name] != m {
		return
	}
	switch {
	case d.Status == 200 && d.Report != nil && d.Report.Machine == m.name:
		for _, r := range sent {
			r.fence = 0 // answered: no copy is on its way
		}
		c.observe(m, d.Report, false)
	case d.Status == 409 || d.Status == 400 || d.Status == -1:
		// Nothing was executed, and this request never will be.
		for _, r := range sent {
			if m.runs[runKey{r.task, r.attempt}] == r && !r.listed {
				c.dropRun(r)
			}
		}
		if d.Status == 409 && d.Report != nil && d.Report.Machine == m.name {
			c.observe(m, d.Report, false)
		}
		m.noDirect = c.loop.Now.Add(2 * time.Second)
	default:
		// No answer: perhaps executed, perhaps later. A higher token in the
		// next answer to the worker's report settles that.
		if len(sent) > 0 {
			m.bump++
		}
		m.unanswered++
		m.noDirect = c.loop.Now.Add(config.Seconds(2 * c.view.Cfg.Cluster.Workers.ReportS))
	}
	c.touchIdle(m)
}

// ---- machines that this controller has not heard yet

// asksAtOnce bounds the questions to workers under way, so that a takeover of
// hundreds of machines does not use up processor and sockets at one stroke.
const asksAtOnce = 24

// introduce notes how a machine can be reached whose report has not come yet.
// It is then asked: after a takeover every job that may have been started
// before waits until the last machine has been heard, and the next reports
// may be seconds away.
func (c *Core) introduce(m *machine, s *peerpb.Seen) {
	if s.GetEndpoint() == "" || m.endpoint != "" {
		return
	}
	m.endpoint, m.guess = s.GetEndpoint(), max(1, s.GetSession()) // sessions start at 1
	if m.kind == "" {
		m.kind, m.zone, m.spot = s.GetType(), s.GetZone(), s.GetSpot()
	}
	c.strangers[m.name] = true
}

// askWorkers asks machines that were introduced for their tasks, by commands
// that name none. The answer counts as a report; the token that comes with
// the question rules out commands of an earlier holder.
func (c *Core) askWorkers() {
	if len(c.strangers) == 0 || !c.mayStart() {
		return
	}
	for _, name := range cluster.SortedKeys(c.strangers) {
		m := c.machines[name]
		if m == nil || m.gave || m.lost || (m.session != 0 && !m.dirty && !c.silent(m)) {
			delete(c.strangers, name)
			continue
		}
		if c.asking >= asksAtOnce {
			return
		}
		if m.calling || m.asking || m.endpoint == "" || c.loop.Now.Before(m.noDirect) {
			continue
		}
		session := m.session
		if session == 0 {
			session = m.guess
		}
		m.calling = true
		c.asking++
		c.loop.Emit(step.Direct{Endpoint: m.endpoint, Until: c.hold.Until(),
			Body: wire.Commands{Token: c.tokenFor(m), Session: session, Commands: []wire.Command{}},
			ID: c.loop.Call(func(d step.Completed) {
				c.asking--
				c.directDone(m, nil, d)
				if d.Status == 409 && m.session != 0 && m.session != session {
					m.noDirect = time.Time{} // the wrong session; now it is known
				}
				if d.Status == 200 {
					c.placeDue = true
				}
				c.askWorkers()
			})})
	}
}

// tellKnown tells a controller how to reach machines of its block.
func (c *Core) tellKnown(r *peerpb.Renewal) {
	var known []*peerpb.Seen
	names, err := wire.UnpackNames(r.GetUnknown())
	if err != nil {
		c.log.Error("names in a renewal", "err", err)
	}
	for _, name := range names {
		if s := c.lead.Seen(name); s.GetEndpoint() != "" && c.view.OwnerOf(name) == r.GetNode() {
			known = append(known, s)
		}
	}
	if len(known) > 0 {
		f := c.frame()
		f.SpareCpus, f.Known = c.spare, known
		c.loop.Emit(step.PeerSend{To: r.GetNode(), Frame: f})
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
func (c *Core) silent(m *machine) bool {
	return c.loop.Now.Sub(m.heard) > config.Seconds(aloneReports*c.view.Cfg.Cluster.Workers.ReportS)
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
func (c *Core) checkMachines() {
	c.releaseGuests(false)
	w := c.view.Cfg.Cluster.Workers
	limit := cluster.Stretch(config.Seconds(w.LeaseS)) + time.Second
	// Machines of a zone that fall silent together are cut off rather than
	// dead. They come back as they were when the cut ends, so they are given
	// more time; new ones would take a boot time and may not be had at all.
	zones := map[string]*census{}
	alone := 0
	for _, m := range c.machines {
		z := zones[m.zone]
		if z == nil {
			z = &census{}
			zones[m.zone] = z
		}
		silent := c.loop.Now.Sub(m.heard)
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
		if c.silent(m) {
			z.silent++
		}
	}
	for zone, z := range zones {
		// They do not all come back in the moment in which a cut ends: some
		// have first to be sent back by whom they turned to meanwhile.
		if z.cut() {
			c.cutUntil[zone] = c.loop.Now.Add(config.Seconds(w.LeaseS))
		}
	}
	for _, m := range c.machines {
		if m.lost {
			continue
		}
		silent := c.loop.Now.Sub(m.heard)
		patience := limit
		z := zones[m.zone]
		if c.silent(m) {
			c.strangers[m.name] = true
		}
		if c.loop.Now.Before(c.cutUntil[m.zone]) {
			patience += cutPatience
		} else if m.spot && (z.wave() || (!m.dirty && float64(alone) <= max(2, aloneShare*float64(len(c.machines))))) {
			few := config.Seconds(aloneReports * w.ReportS)
			patience = min(patience, max(aloneLeast, few))
			if m.unanswered > 0 && z.wave() {
				patience = min(patience, few+DirectTimeout) // nor does it answer
			}
			// Another can be rented before this one is given up.
			if silent > few && !m.missed {
				m.missed, c.renewSoon = true, true
			}
		}
		if silent > patience ||
			(!m.gone.IsZero() && c.loop.Now.Sub(m.gone) > 2*time.Second && silent > config.Seconds(1.5*w.ReportS)) {
			m.lost = true
			c.renewSoon = true
			c.log.Info("machine lost", "machine", m.name, "silent", silent)
		}
		// A machine that has not been heard since it was taken over may run
		// tasks that are not known yet: empty means known to be empty.
		if m.recall && !m.gave && len(m.runs) == 0 && !m.calling && !m.dirty && m.session != 0 && m.orphans == 0 {
			m.gave = true
			c.renewSoon = true
		}
	}
	for name, g := range c.guests {
		if c.loop.Now.Sub(g.heard) > time.Minute {
			delete(c.guests, name)
		}
	}
}

// machineGone removes a machine that the cloud has surely ended.
func (c *Core) machineGone(m *machine) {
	delete(c.machines, m.name)
	c.orderDue = true
	for _, r := range m.runs {
		c.detach(r, true)
	}
	c.placeDue = true
}
