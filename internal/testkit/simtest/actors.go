package simtest

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// ---- workers

type simTask struct {
	name, job string
	attempt   uint64
	state     string
	why       string
	until     time.Duration // when the state ends by itself
	stop      func()        // ends its command, if it runs one
}

func (t *simTask) cancel() {
	if t.stop != nil {
		t.stop()
	}
}

// run starts the command of a task, where the world runs commands. The task ends
// with it.
func (k *worker) run(t *simTask) bool {
	if k.w.edge == nil {
		return false
	}
	t.until = 1<<63 - 1
	t.stop = k.w.edge.Run(t.name, t.attempt, func(ok bool) {
		switch {
		case t.state != wire.TaskRunning:
		case ok:
			t.until = 0
		default:
			k.set(t, wire.TaskEnded)
			t.why, k.changed = wire.ReasonError, true
		}
	})
	return t.stop != nil
}

// worker stands in for a machine's worker, after the protocol.
type worker struct {
	w              *World
	name, endpoint string
	kind, zone     string
	spot           bool
	cpus, memory   float64
	rate           float64
	up, gone       bool
	born, died     time.Duration
	session, seq   uint64
	token          wire.FencingToken
	most           wire.FencingToken // highest token that any process of it has seen
	lease          time.Duration     // sending time of the last answered report
	tasks          []*simTask
	node           int
	busy           bool // a report is in flight
	flight         int
	lastSent       time.Duration
	changed        bool
	hang           time.Duration // does nothing until then
	deaf           time.Duration // nothing reaches it until then
	mute           time.Duration // no report of it reaches anybody until then
	sick           bool
	known          map[string]bool
	notice         time.Duration
}

func (k *worker) begin() {
	if k.gone {
		return
	}
	k.up, k.lease = true, k.w.now
	k.node = k.w.rng.IntN(len(k.w.nodes))
	k.pulse()
}

// whenAwake runs f now, or when the machine stops hanging.
func (k *worker) whenAwake(f func()) {
	if k.w.now < k.hang {
		k.w.after(k.hang-k.w.now, func() { k.whenAwake(f) })
		return
	}
	if !k.gone {
		k.expire()
		f()
	}
}

// pulseEvery spaces the pulses of a worker.
const pulseEvery = 100 * time.Millisecond

// pulse moves the worker on.
func (k *worker) pulse() {
	if k.gone {
		return
	}
	k.w.after(pulseEvery, k.pulse)
	if k.w.now < k.hang {
		return
	}
	k.expire()
	for _, t := range k.tasks {
		if t.state == wire.TaskEnded || k.w.now < t.until {
			continue
		}
		u := k.w.users[t.job]
		k.changed = true
		switch t.state {
		case wire.TaskFetching:
			if u.doneTasks[t.name] {
				k.set(t, wire.TaskEnded)
				t.why = wire.ReasonDone
				continue
			}
			k.w.started(k, t, u)
			k.set(t, wire.TaskRunning)
			if k.run(t) {
				continue
			}
			t.until = k.w.now + time.Duration(1000+k.w.rng.IntN(15000))*time.Millisecond
			if u.job.Shape == wire.Daemon {
				t.until = k.w.now + time.Hour
			}
			if u.apart > 0 {
				_, num, _ := strings.Cut(t.name, "/")
				i, err := strconv.Atoi(num)
				if err != nil {
					panic(err)
				}
				t.until = k.w.now + time.Second + time.Duration(i)*u.apart
			}
		case wire.TaskRunning:
			k.set(t, wire.TaskEnded)
			if k.sick || u.faulty {
				t.why = wire.ReasonError
			} else {
				t.why = wire.ReasonDone
				u.doneTasks[t.name] = true
				k.w.Dones++
				if len(u.doneTasks) == u.job.Tasks {
					u.doneAt = k.w.now
					u.at(lastEnded)
				}
			}
		case wire.TaskFlushing:
			k.set(t, wire.TaskEnded)
			t.why = wire.ReasonStopped
		}
	}
	every := config.Seconds(k.w.cfg.Workers.ReportS)
	since := k.w.now - k.lastSent
	if !k.busy && (since > every+time.Duration(k.w.rng.IntN(500))*time.Millisecond || (k.changed && since > 500*time.Millisecond)) {
		k.report()
	}
}

// lapsed reports whether the lease has run out.
func (k *worker) lapsed() bool {
	return float64(k.w.now-k.lease)*k.rate > float64(config.Seconds(k.w.cfg.Workers.LeaseS))
}

// expire ends the session when the lease has run out.
func (k *worker) expire() {
	if k.lapsed() {
		k.session++
		k.clear()
		k.lease, k.changed, k.known = k.w.now, true, map[string]bool{}
	}
}

func (k *worker) body() wire.Heartbeat {
	k.seq++
	r := wire.Heartbeat{Machine: k.name, Endpoint: k.endpoint, Type: k.kind, Zone: k.zone, Spot: k.spot,
		AgentEpoch: k.session, Sequence: k.seq, Token: k.token}
	if k.notice > 0 {
		left := max(0, (k.notice - k.w.now).Seconds())
		r.NoticeS = &left
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.why})
	}
	return r
}

func (k *worker) report() {
	w := k.w
	k.busy, k.changed, k.lastSent = true, false, w.now
	k.flight++
	flight, session, sent := k.flight, k.session, w.now
	n := w.nodes[k.node]
	r := k.body()
	finish := func(reply eventloop.Reply) {
		if k.gone || !k.busy || k.flight != flight || w.now < k.hang || (reply.Code != eventloop.NoReply && w.now < k.deaf) {
			return // dropped: too late, or the machine hangs, or hears nothing
		}
		k.busy = false
		switch {
		case reply.Code == eventloop.ReplyOK:
			a := reply.Body.(wire.HeartbeatAnswer)
			k.expire()
			if k.session != session || a.Token < k.token {
				return
			}
			k.lease = sent
			k.accept(a.Token, a.Commands)
		default:
			k.node = (k.node + 1) % len(w.nodes)
			if to, ok := reply.Body.(wire.Redirect); ok && reply.Code == eventloop.ReplyMisdirected {
				for i, p := range w.nodes {
					if p.name == to.Controller {
						k.node = i
						k.lastSent = -time.Hour
					}
				}
			}
		}
	}
	w.after(4*time.Second, func() { finish(eventloop.Reply{}) })
	if w.now < k.mute {
		return
	}
	w.copyLate(r)
	w.keepForNext(r)
	if !n.up {
		w.after(time.Millisecond, func() { finish(eventloop.Reply{}) })
		return
	}
	w.send(k.name, n.name, func() {
		n.ask(func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: r} },
			func(reply eventloop.Reply) { w.send(n.name, k.name, func() { finish(reply) }) })
	})
}

// accept takes commands that carry a valid token.
func (k *worker) accept(token wire.FencingToken, cmds []wire.Command) {
	if token > k.token {
		k.token, k.most, k.changed = token, max(k.most, token), true
	}
	for _, c := range cmds {
		i := slices.IndexFunc(k.tasks, func(t *simTask) bool { return t.name == c.Task && t.attempt == c.Attempt })
		switch c.Op {
		case wire.CommandStart:
			if i < 0 {
				k.w.commands++
				k.start(c)
			}
		case wire.CommandHalt:
			if i >= 0 && k.tasks[i].state != wire.TaskEnded {
				k.tasks[i].cancel()
				k.set(k.tasks[i], wire.TaskEnded)
				k.tasks[i].why = wire.ReasonStopped
				k.changed = true
			}
		case wire.CommandForget:
			if i >= 0 && k.tasks[i].state == wire.TaskEnded {
				k.tasks = slices.Delete(k.tasks, i, i+1)
				k.changed = true
			}
		}
	}
}

func (k *worker) start(c wire.Command) {
	id, _, _ := strings.Cut(c.Task, "/")
	t := &simTask{name: c.Task, job: id, attempt: c.Attempt, state: wire.TaskEnded}
	k.tasks = append(k.tasks, t)
	k.changed = true
	u := k.w.users[id]
	if u == nil {
		t.why = wire.ReasonUnknown
		return
	}
	free := k.cpus
	for _, o := range k.tasks {
		if o == t || o.state == wire.TaskEnded {
			continue
		}
		if o.name == t.name {
			t.why = wire.ReasonInUse
			return
		}
		free -= k.w.users[o.job].job.CPUs
	}
	if u.job.CPUs > free+1e-9 {
		t.why = wire.ReasonNoRoom
		return
	}
	t.state = wire.TaskFetching
	t.until = k.w.now
	k.changesBooks()
	if !k.known[u.job.Image] {
		k.known[u.job.Image] = true
		t.until += time.Duration(200+k.w.rng.IntN(2000)) * time.Millisecond
	}
}

// commands serves /commands.
func (k *worker) commands(c wire.Commands) (eventloop.Outcome, *wire.Heartbeat) {
	if c.Token < k.token || c.AgentEpoch != k.session {
		r := k.body()
		return eventloop.Conflict, &r
	}
	k.accept(c.Token, c.Commands)
	r := k.body()
	return eventloop.Succeeded, &r
}

// started checks what only the moment of a start shows.
func (w *World) started(k *worker, t *simTask, u *user) {
	w.Starts++
	u.starts++
	if w.nextStart {
		w.nextStart, w.startedAt = false, w.now
	}
	if u.told == wire.Done {
		w.breakRule("ran_again: %s starts after its user was told that the job is done", t.name)
	}
	if u.begunAt == 0 {
		u.begunAt = w.now
	}
	j := &u.job
	here, elsewhere := 0, 0
	for _, o := range w.workers {
		if o.gone || !(j.SamePlace || j.Scatter) {
			continue
		}
		for _, x := range o.tasks {
			if x.job == t.job && x != t && x.state != wire.TaskEnded && x.state != wire.TaskFetching {
				if o.zone == k.zone {
					here++
				} else {
					elsewhere++
				}
			}
		}
	}
	switch {
	case k.spot && !j.Spot, j.Zone != "" && j.Zone != k.zone,
		len(j.Types) > 0 && !slices.Contains(j.Types, k.kind),
		j.SamePlace && elsewhere > 0, j.Scatter && here+1 > (j.Tasks+1)/2:
		w.breakRule("wrong_place: %s on %s (zone %s, %d here, %d elsewhere)", t.name, k.name, k.zone, here, elsewhere)
	}
	if u.cancelledAt > 0 && w.now-u.cancelledAt > config.Seconds(w.cfg.Workers.CancelS) {
		w.breakRule("ran_cancelled: %s starts", t.name)
	}
}

// ---- users

// user submits one job, polls it and perhaps cancels it.
type user struct {
	w           *World
	job         wire.Job
	faulty      bool
	apart       time.Duration // if not 0, each of its tasks runs so much longer than the one before
	submitted   bool
	accepted    bool
	told        string
	wantsCancel bool
	// asksOnRequest has the user ask only when it is told to.
	asksOnRequest bool
	cancelledAt   time.Duration
	doneAt        time.Duration
	doneTasks     map[string]bool
	running       int // tasks on a machine
	starts        int // of its tasks

	acceptedAt time.Duration
	begunAt    time.Duration // its first task
	answeredAt time.Duration // when a question about it was last answered
	toldAt     time.Duration // when it was first said to be over
	newest     tellings      // that any user was told of the job
	most       map[process]int
}

func (u *user) anyNode(build func(req uint64) eventloop.Event, then func(eventloop.Reply)) {
	w := u.w
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	answered := false
	once := func(r eventloop.Reply) {
		if !answered {
			answered = true
			then(r)
		}
	}
	then = u.judged(n, build(0), then)
	w.after(3*time.Second, func() { once(eventloop.Reply{}) })
	if !n.up {
		w.after(10*time.Millisecond, func() { once(eventloop.Reply{}) })
		return
	}
	w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() {
		n.ask(build, func(r eventloop.Reply) {
			w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() { once(r) })
		})
		if _, question := build(0).(eventloop.QueryRequest); !question {
			w.repeatMessage(userRequests, func() { n.ask(build, func(eventloop.Reply) {}) })
		}
	})
}

func (u *user) submit() {
	u.submitted = true
	u.anyNode(func(req uint64) eventloop.Event { return eventloop.SubmitRequest{Req: req, Job: u.job} }, func(r eventloop.Reply) {
		switch r.Code {
		case eventloop.ReplyOK, eventloop.ReplyCreated:
			first := !u.accepted
			u.accepted = true
			u.answeredAt = u.w.now
			if first {
				u.acceptedAt = u.w.now
			}
			u.hear(r.Body.(wire.JobAnswer).State)
			if first {
				u.at(accepted)
				u.w.after(time.Second, u.poll)
			}
			if u.w.rng.IntN(4) == 0 && !u.asksOnRequest {
				u.w.after(time.Duration(u.w.rng.IntN(60))*time.Second, u.submit) // a late retry
			}
		case eventloop.ReplyInvalid, eventloop.ReplyUnprocessable:
			u.w.breakRule("forgotten: submission of %s gets %s %v", u.job.ID, r.Code, r.Body)
		default:
			u.w.after(time.Second, u.submit)
		}
	})
}

func (u *user) poll() {
	if u.asksOnRequest {
		return
	}
	accepted := u.accepted
	u.w.askedLong(u)
	u.anyNode(func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: u.job.ID} }, func(r eventloop.Reply) {
		switch r.Code {
		case eventloop.ReplyOK:
			u.answeredAt = u.w.now
			u.hear(r.Body.(wire.JobAnswer).State)
		case eventloop.ReplyNotFound:
			if accepted {
				u.w.breakRule("forgotten: %s gets 404", u.job.ID)
			}
		}
		u.w.after(u.w.night.pollEvery, u.poll)
	})
}

func (u *user) cancel() {
	u.anyNode(func(req uint64) eventloop.Event { return eventloop.CancelRequest{Req: req, ID: u.job.ID} }, func(r eventloop.Reply) {
		if r.Code != eventloop.ReplyOK {
			u.w.after(time.Second, u.cancel)
			return
		}
		u.hear(r.Body.(wire.JobAnswer).State)
	})
}

// hear checks what the user is told. Answers may overtake one another on
// their way, so only ends, which are final, are compared.
func (u *user) hear(state string) {
	if !u.submitted {
		u.w.breakRule("invented: %s", u.job.ID)
	}
	if u.toldAt == 0 && (state == wire.Done || state == wire.Cancelled) {
		u.toldAt = u.w.now
	}
	if (u.told == wire.Done || u.told == wire.Cancelled) && (state == wire.Done || state == wire.Cancelled) && state != u.told {
		u.w.breakRule("went_back: %s was %s, is %s", u.job.ID, u.told, state)
	}
	switch state {
	case wire.Done:
		if len(u.doneTasks) < u.job.Tasks {
			u.w.breakRule("not_done: %s has %d of %d", u.job.ID, len(u.doneTasks), u.job.Tasks)
		}
		first := u.told == ""
		if u.told = state; first {
			u.at(toldDone)
		}
	case wire.Cancelled:
		if !u.wantsCancel {
			u.w.breakRule("went_back: %s cancelled by nobody", u.job.ID)
		}
		first := u.told == ""
		if u.told = state; first {
			u.cancelledAt = u.w.now
			u.w.doomed = append(u.w.doomed, u)
			u.at(confirmed)
		}
	}
}

// Unfinished lists jobs that should be over by now and are not.
func (w *World) Unfinished() []string {
	var out []string
	for id, u := range w.users {
		if u.accepted && u.told == "" {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
