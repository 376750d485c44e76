package simtest

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/controller"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// call is a call to the state service that waits for the course to go on.
type call struct {
	node, life int
	id         uint64
	what       string
	run        func() eventloop.Completion
	result     *eventloop.Completion // carried out, not answered yet
	lost       bool                  // its caller was told that there is no answer
}

func (c *call) String() string { return fmt.Sprintf("n%d's %s", c.node, c.what) }

// writes tells whether the call changes something.
func (c *call) writes() bool { return c.what == "end" || c.what == "submission" }

// duoNode is one of the two controllers.
type duoNode struct {
	name  string
	life  int
	core  *controller.Core
	now   time.Time
	hist  uint64 // sums up all that it was handed
	watch *eventloop.StateWatch
	news  *eventloop.Completion // the watch's answer, held up
	lags  bool                  // the watch, also where all else is prompt
	since time.Time             // when it was opened
	asked uint64

	cut    bool     // no frames come from or go to the other one
	down   bool     // there is no process
	frozen bool     // it stands still; what comes meanwhile waits
	held   []func() // what waits
}

// duo is a world of two controllers: all their deciding code, machines, one job of one
// task, and a state service whose calls are carried out, answered, held up and lost by
// choice. The second controller owns the job.
type duo struct {
	w        *World // for its state service
	nodes    [2]*duoNode
	machines []*duoMachine
	prompt   bool // calls are carried out and answered at once
	calls    []*call
	queue    []func()
	waits    map[[3]uint64]func(eventloop.Reply)
	clock    time.Duration
	stored   uint64 // sums up the changes of the state service
	broken   string // the first rule that was broken
	// unchecked are calls whose conditions the state service leaves out: a fault that
	// is planted to hear the rules cry.
	unchecked string
	blind     bool // workers leave out of their reports what runs: the same
	// agreeable has each controller confirm whatever the other claims, and learn nothing from
	// it: the same.
	agreeable bool

	done    bool                                      // the job's task has been done, somewhere
	started func(by int, on *duoMachine)              // is told of each start
	direct  func(by int, e *eventloop.WorkerCommands) // takes direct commands; else they are prompt
}

// duoMachine is one of the machines, with its worker.
type duoMachine struct {
	d              *duo
	name, endpoint string
	session, seq   uint64
	token          wire.FencingToken
	tasks          []wire.TaskStatus
	reports        int           // the controller that it reports to
	lease          time.Duration // when it last reported and was answered
	told           uint64        // sums up what it was told and has done
	hangs, gone    bool
	apart          bool // it and the first controller don't reach each other
}

const theJob = "wk-000001"

// oneTask is its submission.
var oneTask = wire.Job{ID: theJob, Class: "c", Team: "free", Shape: wire.Array, Priority: "urgent",
	Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "a", EstimateS: 8}

// newDuo returns a world in which both controllers have read the state, the leader
// leads, and each machine is in the block of the controller that is named for it.
func newDuo(leader int, holders ...int) *duo {
	cfg := config.Cluster{
		InitialSize: 2, Zones: []string{"x", "y"}, ClockErrorMs: 50, Teams: []config.Team{{Name: "free"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	}
	d := &duo{w: newWorld(1, 1, cfg), waits: map[[3]uint64]func(eventloop.Reply){}, prompt: true}
	d.w.writes = 1e6
	blocks := map[string]wire.Block{}
	for i := range d.nodes {
		b := wire.Block{Grant: 1<<16 + wire.Grant(i), Incarnation: 7}
		for k, holder := range holders {
			if holder == i {
				b.Machines = append(b.Machines, fmt.Sprintf("host-%06d", k+1))
			}
		}
		blocks[fmt.Sprintf("n%d", i)] = b
	}
	d.w.store.txn(wire.Txn{Then: []wire.Op{{Put: "fc/lease", Value: wire.LeaseRecord{Term: 1, Leader: fmt.Sprintf("n%d", leader),
		Incarnation: 7, LastGrant: 1<<16 + 1, Sequence: 1, Partitions: map[string]string{"free": "n1"}, Blocks: blocks}}}})
	for k, holder := range holders {
		d.machines = append(d.machines, &duoMachine{d: d, name: fmt.Sprintf("host-%06d", k+1), endpoint: fmt.Sprint("worker-", k+1), session: 1, reports: holder})
	}
	for i := range d.nodes {
		d.nodes[i] = &duoNode{name: fmt.Sprintf("n%d", i), now: epoch}
	}
	for i := range d.nodes {
		d.start(i)
	}
	d.pass(300 * time.Millisecond)
	for _, m := range d.machines {
		m.report()
	}
	d.pass(150 * time.Millisecond)
	return d
}

// start begins a process of a controller.
func (d *duo) start(i int) {
	n := d.nodes[i]
	s := &config.Settings{HostName: n.name, Area: "x", Cluster: d.w.cfg, Peers: []config.Peer{{HostName: d.nodes[0].name, Area: "x"}}}
	if i == 0 {
		s.Peers[0].HostName = "n1"
	}
	n.core, n.watch, n.news = controller.New(s, cluster.Defaults(), slog.New(slog.DiscardHandler), wire.Incarnation(7+n.life)), nil, nil
	n.life++
	n.down, n.frozen, n.held = false, false, nil
	d.hand(i, eventloop.Tick{}, "start")
}

// sum adds to a sum of a history.
func sum(h uint64, parts ...any) uint64 {
	f := fnv.New64a()
	fmt.Fprint(f, h, parts)
	return f.Sum64()
}

// hand hands an event to a core. Its label tells it from others that it might have
// been handed in its place. A controller's clock goes by what it was handed, so that
// what the other one does in between makes no difference to it.
func (d *duo) hand(i int, ev eventloop.Event, label ...any) {
	n := d.nodes[i]
	if n.frozen {
		if ev != (eventloop.Tick{}) {
			n.hist = sum(n.hist, append(label, "held")...)
			n.held = append(n.held, func() { d.hand(i, ev, label...) })
		}
		return
	}
	if n.down {
		return
	}
	n.now = n.now.Add(time.Millisecond)
	n.hist = sum(n.hist, label...)
	for _, e := range n.core.Step(n.now, ev) {
		d.carryOut(i, e)
	}
}

// number reads a digit in the name of a step.
func number(s string) int { return int(s[0] - '0') }

// settle carries out what waits for nobody's choice.
func (d *duo) settle() {
	for len(d.queue) > 0 {
		f := d.queue[0]
		d.queue = d.queue[1:]
		f()
		if len(d.queue) == 0 {
			d.watchAll()
		}
	}
}

// watchAll answers the watches that don't lag.
func (d *duo) watchAll() {
	for i, n := range d.nodes {
		if d.prompt && !n.lags {
			d.watched(i)
		}
	}
}

// pass lets time pass.
func (d *duo) pass(t time.Duration) {
	d.clock += t
	for i, n := range d.nodes {
		n.now = n.now.Add(t)
		d.hand(i, eventloop.Tick{}, "tick", t)
		if d.prompt && !n.lags && d.shown(i) == nil && n.watch != nil && n.now.Sub(n.since) >= n.watch.Hold {
			id := n.watch.ID
			n.watch = nil
			d.back(i, n.life, eventloop.Completion{ID: id, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: d.w.store.rev}}, "no change")
		}
		d.watchAll()
		d.settle()
	}
	for _, m := range d.machines {
		if !m.hangs {
			m.expire()
		}
	}
}

// back hands a completion to the process that waits for it.
func (d *duo) back(i, life int, c eventloop.Completion, label ...any) {
	if d.nodes[i].life == life {
		d.hand(i, c, append(label, c.ID, c.Outcome)...)
	}
}

func (d *duo) carryOut(i int, e eventloop.Effect) {
	n, life := d.nodes[i], d.nodes[i].life
	soon := func(f func()) { d.queue = append(d.queue, f) }
	answer := func(id uint64, c eventloop.Completion, label ...any) {
		c.ID = id
		soon(func() { d.back(i, life, c, label...) })
	}
	state := func(id uint64, what string, chosen bool, run func() eventloop.Completion) {
		c := &call{node: i, life: life, id: id, what: what, run: run}
		if chosen && !d.prompt {
			d.calls = append(d.calls, c)
			return
		}
		soon(func() { d.serve(c); d.reply(c) })
	}
	s := d.w.store
	switch e := e.(type) {
	case eventloop.Reply:
		key := [3]uint64{uint64(i), uint64(life), e.Req}
		if f := d.waits[key]; f != nil {
			delete(d.waits, key)
			f(e)
		}
	case eventloop.PeerSend:
		to, sent := 1-i, n.hist
		if claims := e.Frame.GetJobClaims(); claims != nil && d.agreeable {
			soon(func() { d.hand(i, eventloop.PeerFrame{Frame: confirmation(e, claims)}, "frame", sent) })
			return
		}
		if !n.cut && !d.nodes[to].cut {
			soon(func() { d.hand(to, eventloop.PeerFrame{Frame: e.Frame}, "frame", sent) })
		}
	case eventloop.StateTxn:
		what := "check"
		for _, op := range e.Txn.Then {
			switch {
			case strings.HasPrefix(op.Put, "fc/t/"):
				what = "end"
			case strings.HasPrefix(op.Put, "fc/j/"):
				what = "submission"
			default:
				what = ""
			}
		}
		state(e.ID, what, what != "", func() eventloop.Completion {
			if what != "" && what == d.unchecked {
				e.Txn.If = nil
			}
			return s.txn(e.Txn)
		})
	case eventloop.StateGet:
		state(e.ID, "get "+e.Key, e.Key != "fc/lease" && e.Key != "fc/gen", func() eventloop.Completion { return s.get(e.Key) })
	case eventloop.StateRange:
		state(e.ID, "range "+e.Prefix, e.Prefix == "fc/j/", func() eventloop.Completion { return s.page(e.Prefix, e.After) })
	case eventloop.StateWatch:
		n.watch, n.since = &e, n.now
		soon(func() {}) // whose turn it is then is looked at
	case eventloop.CloudTypes:
		// One that takes long to boot is not returned as soon as it is idle.
		slow := machineTypes[0]
		slow.BootS = 900
		answer(e.ID, eventloop.Completion{Outcome: eventloop.Succeeded, Types: wire.MachineTypes{Types: []wire.MachineType{slow}}})
	case eventloop.CloudCreate:
		answer(e.ID, eventloop.Completion{Outcome: eventloop.Unavailable})
	case eventloop.CloudDelete:
		for _, m := range d.machines {
			if slices.Contains(e.Names, m.name) {
				m.tasks, m.gone = nil, true
			}
		}
		answer(e.ID, eventloop.Completion{Outcome: eventloop.Succeeded}, "released")
	case eventloop.CloudList:
		var l wire.MachineList
		for _, m := range d.machines {
			if !m.gone {
				l.Machines = append(l.Machines, wire.Machine{Name: m.name, Endpoint: m.endpoint, Type: "s4", Zone: "x", State: wire.MachineRunning, AgeS: 100})
			}
		}
		answer(e.ID, eventloop.Completion{Outcome: eventloop.Succeeded, Machines: l}, "list", len(l.Machines))
	case eventloop.WorkerCommands:
		if d.direct != nil {
			d.direct(i, &e)
			return
		}
		soon(func() { d.back(i, life, d.command(i, &e), "direct") })
	}
}

// confirmation is the reply of a controller that confirms all claims of another one.
func confirmation(e eventloop.PeerSend, claims *peerpb.JobClaims) *peerpb.Frame {
	return &peerpb.Frame{From: e.To, Incarnation: math.MaxInt64, Form: e.Frame.GetForm(), Generation: e.Frame.GetGeneration(),
		JobClaimsReply: &peerpb.JobClaimsReply{Incarnation: e.Frame.GetIncarnation(), Number: claims.GetNumber(), Counts: true}}
}

// serve has the state service carry a call out, and reply answers it.
func (d *duo) serve(c *call) {
	before := d.w.store.rev
	r := c.run()
	c.result = &r
	if d.w.store.rev > before {
		d.stored = sum(d.stored, c.node, c.what)
	}
	if n := d.w.store.puts["fc/j/"+theJob]; n > 1 {
		d.breakRule("created %d times: %s", n, theJob)
	}
	for _, b := range d.w.broken {
		d.breakRule("%s", b)
	}
	if c.lost {
		d.drop(c)
	}
}

func (d *duo) reply(c *call) {
	r := *c.result
	r.ID, r.FromStateService = c.id, true
	d.drop(c)
	d.back(c.node, c.life, r, r.Txn, r.Page.Revision, r.Pair.Version, d.stored)
}

// giveUp tells a caller that there is no answer. What changes something may still be
// carried out.
func (d *duo) giveUp(c *call) {
	if c.lost = true; c.result != nil || !c.writes() {
		d.drop(c)
	}
	d.back(c.node, c.life, eventloop.Completion{ID: c.id, FromStateService: true}, "no answer")
}

// begin ends a controller's process and starts another.
func (d *duo) begin(i int) {
	for _, c := range append([]*call(nil), d.calls...) {
		if c.node == i && !c.lost {
			if c.lost = true; c.result != nil || !c.writes() {
				d.drop(c)
			}
		}
	}
	d.start(i)
}

func (d *duo) drop(c *call) {
	for k := range d.calls {
		if d.calls[k] == c {
			d.calls = append(d.calls[:k:k], d.calls[k+1:]...)
			return
		}
	}
}

// shown is what a controller's watch would show now, or nil.
func (d *duo) shown(i int) *eventloop.Completion {
	n := d.nodes[i]
	if n.watch == nil || n.watch.After >= d.w.store.rev {
		return nil
	}
	c := &eventloop.Completion{ID: n.watch.ID, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: d.w.store.rev}}
	for _, e := range d.w.store.log {
		if e.Version > n.watch.After {
			c.Changes.Log = append(c.Changes.Log, e.Change)
		}
	}
	return c
}

// heldUp is the revision up to which an answer that is held up tells.
func (n *duoNode) heldUp() wire.Revision {
	if n.news == nil {
		return 0
	}
	return n.news.Changes.Revision
}

// watched answers a controller's watch, with what was held up if there is that.
func (d *duo) watched(i int) {
	n := d.nodes[i]
	c := n.news
	if c == nil {
		c = d.shown(i)
	}
	if c == nil {
		return
	}
	n.watch, n.news = nil, nil
	d.back(i, n.life, *c, "watch", c.Changes.Revision)
	d.hand(i, eventloop.Tick{}, "tick") // for the next watch
}

func (d *duo) breakRule(format string, args ...any) {
	if d.broken == "" {
		d.broken = fmt.Sprintf(format, args...)
	}
}

// ---- the machines

// command carries out direct commands of a controller and returns the answer; outcome
// NoAnswer: there is nobody.
func (d *duo) command(by int, e *eventloop.WorkerCommands) eventloop.Completion {
	c := eventloop.Completion{ID: e.ID}
	k := slices.IndexFunc(d.machines, func(m *duoMachine) bool { return m.endpoint == e.Endpoint && !m.gone && !(m.apart && by == 0) })
	if k < 0 {
		return c
	}
	m := d.machines[k]
	m.expire()
	c.Outcome = eventloop.Conflict
	if e.Body.Token >= m.token && e.Body.AgentEpoch == m.session {
		c.Outcome = eventloop.Succeeded
		m.obey(by, e.Body.Token, e.Body.Commands)
	}
	r := m.body()
	c.Heartbeat = &r
	return c
}

func (m *duoMachine) body() wire.Heartbeat {
	m.seq++
	tasks := slices.DeleteFunc(slices.Clone(m.tasks), func(t wire.TaskStatus) bool { return m.d.blind && t.State == wire.TaskRunning })
	return wire.Heartbeat{Machine: m.name, Endpoint: m.endpoint, Type: "s4", Zone: "x", AgentEpoch: m.session, Sequence: m.seq, Token: m.token, Tasks: tasks}
}

// runs tells whether the job's task runs there.
func (m *duoMachine) runs() bool {
	return slices.ContainsFunc(m.tasks, func(t wire.TaskStatus) bool { return t.State == wire.TaskRunning })
}

// obey carries out commands of a controller.
func (m *duoMachine) obey(by int, token wire.FencingToken, commands []wire.Command) {
	m.token = max(m.token, token)
	m.told = sum(m.told, token, len(commands))
	for _, c := range commands {
		k := slices.IndexFunc(m.tasks, func(t wire.TaskStatus) bool { return t.Attempt == c.Attempt })
		switch {
		case c.Op == wire.CommandStart && k < 0:
			t := wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			switch {
			case m.runs():
				t.State, t.Reason = wire.TaskEnded, wire.ReasonInUse
			case m.d.done: // its result is kept
				t.State, t.Reason = wire.TaskEnded, wire.ReasonDone
			}
			m.tasks = append(m.tasks, t)
			if t.State == wire.TaskRunning && m.d.started != nil {
				m.d.started(by, m)
			}
		case c.Op == wire.CommandHalt && k >= 0 && m.tasks[k].State == wire.TaskRunning:
			m.tasks[k].State, m.tasks[k].Reason = wire.TaskEnded, wire.ReasonStopped
		case c.Op == wire.CommandForget && k >= 0 && m.tasks[k].State == wire.TaskEnded:
			m.tasks = slices.Delete(m.tasks, k, k+1)
		}
	}
}

// finishTask has the task that runs there complete.
func (m *duoMachine) finishTask() {
	for k := range m.tasks {
		if m.tasks[k].State == wire.TaskRunning {
			m.tasks[k].State, m.tasks[k].Reason = wire.TaskEnded, wire.ReasonDone
			m.d.done = true
		}
	}
	m.told = sum(m.told, "done")
}

// expire ends the session when the lease has run out.
func (m *duoMachine) expire() {
	if m.d.clock-m.lease > config.Seconds(m.d.w.cfg.Workers.LeaseS) {
		m.session++
		m.tasks, m.lease = nil, m.d.clock
		m.told = sum(m.told, "session", m.session)
	}
}

// report has the worker report, and turn to the other controller when it is not
// answered by the first.
func (m *duoMachine) report() {
	d := m.d
	for range 2 {
		if m.gone || m.hangs {
			return
		}
		m.expire()
		kept, to := false, m.reports
		sent, session := d.clock, m.session
		if m.apart && to == 0 {
			m.reports = 1
			continue
		}
		d.ask(to, m.told, func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: m.body()} }, func(r eventloop.Reply) {
			if r.Code != eventloop.ReplyOK || kept || m.session != session || d.clock-sent > 4*time.Second {
				return
			}
			kept = true
			if a := r.Body.(wire.HeartbeatAnswer); a.Token >= m.token {
				m.lease = sent
				m.obey(to, a.Token, a.Commands)
			}
		})
		d.settle()
		if kept {
			return
		}
		m.reports = 1 - m.reports
	}
}

// ask hands a request to a controller; then gets the reply. The label says what it
// asks.
func (d *duo) ask(i int, label any, build func(req uint64) eventloop.Event, then func(eventloop.Reply)) {
	n := d.nodes[i]
	n.asked++
	d.waits[[3]uint64{uint64(i), uint64(n.life), n.asked}] = then
	d.hand(i, build(n.asked), "ask", label)
}
