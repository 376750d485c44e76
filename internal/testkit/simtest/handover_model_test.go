package simtest

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// The model of start, report and hand-over: one task, two machines, and a holder that
// leaves, ends, stands still, is cut off from the other controller or does not see what
// changes, while direct commands to the machines are held up, executed without an
// answer, or executed late; reports come a second time later, and their answers get
// lost; machines hang. The rules are ran_twice, ran_cancelled and not_done.

// handover is a course of that model.
type handover struct {
	*duo
	directs     []*heldCommand
	copies      []wire.Heartbeat
	cancelledAt time.Duration // when the user was told; 0: not yet
	asked       time.Duration // when the machines last reported by themselves
	used        map[string]int

	played outcomes
}

// heldCommand is a direct command on its way.
type heldCommand struct {
	by, life int
	e        *eventloop.WorkerCommands
	sent     time.Duration
	lost     bool // its sender was told that there is no answer
}

// handoverMost bounds how often each kind of step comes in a course.
var handoverMost = map[string]int{"submit": 2, "cancel": 1, "fault": 3, "report": 4, "copy": 1, "hang": 1, "apart": 1, "freeze": 1, "lag": 1, "cut": 1,
	"leave": 1, "end": 1, "restart": 1, "wait": 2, "lapse": 1}

// The worlds in which a course of hand-overs begins: the owner holds both machines and
// leads, with nothing to run or with the task running; or the other controller leads
// and holds one machine.
var handovers = []string{"nothing", "runs", "split"}

// newHandover begins a course.
func newHandover(from string) *handover {
	leader, holders := 1, []int{1, 1}
	if from == "split" {
		leader, holders = 0, []int{1, 0}
	}
	h := &handover{duo: newDuo(leader, holders...), used: map[string]int{}}
	h.started = func(_ int, on *duoMachine) {
		for _, m := range h.machines {
			if m != on && m.runs() {
				h.breakRule("%.1f s: ran_twice: %s/0 on %s and %s", h.clock.Seconds(), theJob, m.name, on.name)
			}
		}
		h.check()
	}
	h.run(3 * time.Second)
	if from == "runs" {
		h.take("submit@1")
		h.run(time.Second)
		if !slices.ContainsFunc(h.machines, (*duoMachine).runs) {
			h.breakRule("the task does not run")
		}
	}
	h.used = map[string]int{}
	h.direct = func(by int, e *eventloop.WorkerCommands) {
		h.directs = append(h.directs, &heldCommand{by: by, life: h.nodes[by].life, e: e, sent: h.clock})
	}
	return h
}

// check looks for a task that goes on after its user was told that it is cancelled.
func (h *handover) check() {
	if h.cancelledAt == 0 || h.clock-h.cancelledAt <= config.Seconds(h.w.cfg.Workers.CancelS) {
		return
	}
	for _, m := range h.machines {
		if m.runs() {
			h.breakRule("%.1f s: ran_cancelled: %s/0 on %s, cancelled at %.1f s", h.clock.Seconds(), theJob, m.name, h.cancelledAt.Seconds())
		}
	}
}

// run lets time pass, in which the machines report by themselves.
func (h *handover) run(t time.Duration) {
	for end := h.clock + t; h.clock < end && h.broken == ""; {
		h.pass(500 * time.Millisecond)
		for _, c := range slices.Clone(h.directs) {
			if !c.lost && h.clock-c.sent >= 2*time.Second {
				h.giveUpOn(c)
			}
		}
		if h.clock-h.asked >= config.Seconds(h.w.cfg.Workers.ReportS) {
			h.asked = h.clock
			for _, m := range h.machines {
				m.report()
			}
		}
		h.check()
	}
}

func (h *handover) giveUpOn(c *heldCommand) {
	c.lost = true
	h.back(c.by, c.life, eventloop.Completion{ID: c.e.ID}, "no answer")
	h.settle()
}

// execute has a direct command reach its machine; answered says that its sender hears.
func (h *handover) execute(c *heldCommand, answered bool) {
	h.directs = slices.DeleteFunc(h.directs, func(o *heldCommand) bool { return o == c })
	r := h.command(c.by, c.e)
	switch {
	case c.lost:
	case answered:
		h.back(c.by, c.life, r, "direct", h.clock)
	default:
		h.giveUpOn(c)
	}
	h.settle()
}

func (h *handover) verdict() string { return h.broken }

func (h *handover) state() uint64 {
	var parts []string
	for _, c := range h.directs {
		parts = append(parts, fmt.Sprint(c.by, c.life, c.e.ID, c.lost))
	}
	slices.Sort(parts)
	for _, m := range h.machines {
		parts = append(parts, fmt.Sprint(m.told, m.session, m.seq, m.token, m.reports, m.lease, m.hangs, m.gone, m.apart))
	}
	for _, r := range h.copies {
		parts = append(parts, fmt.Sprint(r.Machine, r.AgentEpoch, r.Sequence))
	}
	for _, n := range h.nodes {
		parts = append(parts, fmt.Sprint(n.hist, n.down, n.frozen, n.lags, n.cut))
	}
	return sum(0, parts, h.w.store.rev, h.stored, h.clock, h.cancelledAt, h.used)
}

func (h *handover) steps() []string {
	var out []string
	more := func(kind string) bool { return h.used[kind] < handoverMost[kind] }
	add := func(yes bool, format string, args ...any) {
		if yes {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	for n, c := range h.directs {
		name := fmt.Sprintf("%d n%d's to %s", n, c.by, c.e.Endpoint)
		add(c.lost, "late %s", name)
		add(!c.lost, "serve %s", name)
		add(!c.lost && more("fault"), "lose %s", name)
		add(!c.lost && more("fault"), "mute %s", name)
	}
	for k, m := range h.machines {
		add(!m.gone && !m.hangs && more("report"), "report %d", k)
		add(!m.gone && !m.hangs && more("fault"), "deafen %d", k)
		add(!m.gone && !m.hangs && more("copy"), "copy %d", k)
		add(!m.gone && !m.hangs && more("hang"), "hang %d", k)
		add(!m.apart && more("apart"), "apart %d", k)
		add(m.hangs, "wake %d", k)
		add(m.runs() && !m.hangs, "done %d", k)
	}
	for i := range h.nodes {
		add(more("submit"), "submit@%d", i)
		add(more("cancel") && h.used["submit"] > 0, "cancel@%d", i)
		add(len(h.copies) > 0, "old@%d", i)
	}
	n := h.nodes[1]
	add(!n.down && !n.frozen && more("freeze"), "freeze@1")
	add(n.frozen, "thaw@1")
	add(!n.down && !n.lags && more("lag"), "lag@1")
	add(n.lags, "watch@1")
	add(!n.down && !n.frozen && more("leave"), "leave@1")
	add(!n.down && more("end"), "end@1")
	add(more("restart"), "restart@1")
	add(more("cut"), "cut@1")
	add(more("wait"), "wait")
	add(more("lapse") && (n.down || n.frozen || n.cut), "lapse")
	return out
}

func (h *handover) take(s string) {
	kind, rest, _ := strings.Cut(s, " ")
	verb, at, _ := strings.Cut(kind, "@")
	n := h.nodes[1]
	switch verb {
	case "lose", "mute", "deafen":
		h.used["fault"]++
	default:
		h.used[verb]++
	}
	switch verb {
	case "serve", "mute", "late":
		h.execute(h.directs[number(rest)], verb == "serve")
	case "lose":
		h.giveUpOn(h.directs[number(rest)])
	case "report":
		h.machines[number(rest)].report()
	case "deafen":
		m := h.machines[number(rest)]
		h.hear(m.reports, m.body())
		m.reports = 1 - m.reports
	case "copy":
		m := h.machines[number(rest)]
		r := m.body()
		h.copies = append(h.copies, r)
		h.hear(m.reports, r)
	case "old":
		r := h.copies[0]
		h.copies = h.copies[1:]
		h.hear(number(at), r)
	case "apart":
		h.machines[number(rest)].apart = true
	case "hang":
		h.machines[number(rest)].hangs = true
	case "wake":
		h.machines[number(rest)].hangs = false
	case "done":
		h.machines[number(rest)].finishTask()
	case "freeze":
		n.frozen = true
	case "thaw":
		held := n.held
		n.frozen, n.held = false, nil
		for _, f := range held {
			f()
			h.settle()
		}
	case "lag":
		n.lags = true
	case "watch":
		n.lags = false
	case "cut":
		n.cut = !n.cut
	case "leave":
		h.hand(1, eventloop.Shutdown{}, verb)
	case "end":
		n.down, n.frozen, n.watch, n.held = true, false, nil, nil
		n.life++
	case "restart":
		h.begin(1)
	case "wait":
		h.run(3 * time.Second)
	case "moment": // this and the next two in named courses only
		h.run(500 * time.Millisecond)
	case "third": // a third controller confirms what users are told
		h.agreeable = true
	case "drain":
		h.drain()
	case "lapse":
		for t := 0; t < 90 && h.nodes[0].core.Partitions()["free"] != "n0" && h.broken == ""; t++ {
			h.run(500 * time.Millisecond)
		}
	case "submit", "cancel":
		h.ask(number(at), verb, func(req uint64) eventloop.Event {
			if verb == "cancel" {
				return eventloop.CancelRequest{Req: req, ID: theJob}
			}
			return eventloop.SubmitRequest{Req: req, Job: oneTask}
		}, func(r eventloop.Reply) {
			if r.Code == eventloop.ReplyOK && r.Body.(wire.JobAnswer).State == wire.Cancelled && h.cancelledAt == 0 {
				h.cancelledAt = h.clock
			}
		})
	}
	h.settle()
}

// hear hands a report to a controller, whose answer nobody reads.
func (h *handover) hear(i int, r wire.Heartbeat) {
	h.ask(i, fmt.Sprint(r.Machine, r.AgentEpoch, r.Sequence), func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: r} }, func(eventloop.Reply) {})
	h.settle()
}

// drain has all direct commands executed and answered.
func (h *handover) drain() {
	for len(h.directs) > 0 && h.broken == "" {
		h.execute(h.directs[0], true)
	}
}

// finish lets everything arrive that was held up, and time pass until a cancelled job
// must be gone.
func (h *handover) finish() {
	h.drain()
	for _, m := range h.machines {
		m.hangs, m.apart = false, false
	}
	h.take("thaw@1")
	h.nodes[1].lags = false
	h.run(3 * time.Second)
	h.drain()
	for len(h.copies) > 0 {
		h.take("old@0")
	}
	h.run(3 * time.Second)
	if h.cancelledAt > 0 {
		h.run(h.cancelledAt + config.Seconds(h.w.cfg.Workers.CancelS) + time.Second - h.clock)
	}
	if v, over := h.w.store.values["fc/t/"+theJob]; over && !h.done {
		var end wire.EndRecord
		if err := wire.Decode(v.data, &end); err != nil || end.State == wire.Done {
			h.breakRule("not_done: %s ends as %q, %v", theJob, end.State, err)
		}
	}
	if h.played != nil {
		h.played["courses"]++
		if h.nodes[0].core.Partitions()["free"] == "n0" {
			h.played["handed over"]++
		}
		if h.cancelledAt > 0 {
			h.played["cancelled"]++
		}
		if h.done {
			h.played["done"]++
		}
	}
}

var (
	handoverDepth = flag.Int("handover-depth", 2, "the model of start, report and hand-over: steps of the courses that are played without exception")
	handoverDrawn = flag.Int("handover", 100, "the same: longer courses, drawn by seed, from each beginning")
	handoverFirst = flag.Uint64("handover-first", 1, "the same: the seed")
)

// namedHandovers are courses that the draw is unlikely to come upon, by what would go
// wrong; so tells whether a course has come to the point.
var namedHandovers = []struct {
	fault, from, course string
	so                  func(h *handover) bool
}{
	// The owner stands still while its lease lapses, and wakes while what it knows of
	// cancellations is still fresh. Its watch has told nothing of the hand-over, and
	// the first that it hears is a user who repeats the submission of a job that was
	// accepted since: to both owners no earlier one can have started it.
	{"an owner starts tasks after its lease", "split",
		"moment, moment, apart 0, freeze@1, wait, lag@1, lapse, submit@0, moment, drain, thaw@1, submit@1, report 0, report 0, moment, drain",
		func(h *handover) bool {
			return h.machines[1].runs() && h.machines[0].reports == 1 &&
				h.nodes[0].core.Partitions()["free"] == "n0" && h.nodes[1].core.Partitions()["free"] == "n1"
		}},
	{"a start that may still be on its way is taken for void", "nothing",
		"submit@1, moment, lose 0, deafen 0, hang 0, moment, report 1, moment, wake 0, drain",
		func(h *handover) bool { return h.runOn() == "host-000001" }}, // by the late command
	{"a job is started beside a machine that may run it", "runs",
		"apart 0, leave@1, lapse, report 1, moment, drain, report 1, moment, drain",
		func(h *handover) bool { return h.machines[0].runs() && h.nodes[0].core.Partitions()["free"] == "n0" }},
	{"an earlier process's machines are taken for known", "runs",
		"hang 0, restart@1, wait, report 1, moment, report 1, moment, drain, wait, drain",
		func(h *handover) bool { return h.machines[0].runs() }},
	{"an old report is the first that a new holder hears, and counts", "nothing",
		"copy 0, submit@1, moment, drain, apart 0, leave@1, lapse, old@0, report 1, moment, drain, report 1, moment, drain",
		func(h *handover) bool { return h.machines[0].runs() && h.nodes[0].core.Partitions()["free"] == "n0" }},
	{"a start without an answer stays in force", "nothing",
		"submit@1, moment, wait, cancel@1, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait, drain",
		func(h *handover) bool { return h.cancelledAt > 0 && h.clock-h.cancelledAt > 34*time.Second }},
	{"reports are answered without knowing of cancellations", "split",
		"submit@1, moment, drain, third, lag@1, cut@1, cancel@0, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait, wait",
		func(h *handover) bool { return h.cancelledAt > 0 && h.clock-h.cancelledAt > 34*time.Second }},
}

// follow takes the steps of a named course.
func (h *handover) follow(course string) {
	for _, s := range strings.Split(course, ", ") {
		h.take(s)
	}
}

// runOn names the machines that the task runs on.
func (h *handover) runOn() string {
	var on []string
	for _, m := range h.machines {
		if m.runs() {
			on = append(on, m.name)
		}
	}
	return strings.Join(on, ", ")
}

// TestHandoverModel plays all courses of a few steps, and some of many.
func TestHandoverModel(t *testing.T) {
	played := outcomes{}
	for _, from := range handovers {
		begin := func() model {
			h := newHandover(from)
			h.played = played
			return h
		}
		explore(t, from, begin, *handoverDepth, 14, *handoverDrawn, *handoverFirst)
	}
	for _, c := range namedHandovers {
		h := newHandover(c.from)
		h.follow(c.course)
		if h.broken == "" && !c.so(h) {
			t.Errorf("%s: the course does not come to the point: the task runs on %q", c.fault, h.runOn())
		}
		if h.finish(); h.broken != "" {
			t.Errorf("%s: %s", c.fault, h.broken)
		}
	}
	t.Log(played)
	for _, what := range []string{"cancelled", "done", "handed over"} {
		if played[what] == 0 && !t.Failed() {
			t.Errorf("not played once: %s", what)
		}
	}
}

// TestHandoverModelCries plants faults: workers that leave out of their reports what
// runs, and users who hold the service to a shorter cancel_s than it goes by.
func TestHandoverModelCries(t *testing.T) {
	for _, c := range []struct {
		plant        func(h *handover)
		from, course string
		rule         string
	}{
		{func(h *handover) { h.blind = true }, "runs", "leave@1, lapse, report 0, report 1, moment, report 1, hang 0, wait, wait, drain, wait, drain, moment", "ran_twice"},
		{func(h *handover) { h.w.cfg.Workers.CancelS = 12 }, "split", "submit@1, moment, drain, third, lag@1, cut@1, cancel@0, wait, wait, wait, wait, wait, wait", "ran_cancelled"},
	} {
		for _, planted := range []bool{false, true} {
			h := newHandover(c.from)
			if planted {
				c.plant(h)
			}
			h.follow(c.course)
			h.finish()
			if strings.Contains(h.broken, c.rule) != planted {
				t.Errorf("from %s, %s, planted: %v: %q, want %s", c.from, c.course, planted, h.broken, c.rule)
			}
		}
	}
}
