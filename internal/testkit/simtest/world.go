// Package simtest plays days of a small made-up deployment in one process and
// one goroutine: cores without input or output, with stand-ins for the state
// service, the cloud, the workers and the users round them. Messages are
// delayed, lost, held back and delivered late, machines hang, die and lose
// the network, controllers crash, clocks run apart. After every step the
// rules of the protocol are checked. The same seed always plays the same day.
package simtest

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"hash"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/controller"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/owner"
	"fawncove/internal/wire"
)

// World is one deployment.
type World struct {
	rng        *rand.Rand
	now        time.Duration
	queue      events
	order      uint64
	cfg        config.Cluster
	par        cluster.Params
	nodes      []*simNode
	store      *store
	cloud      *simCloud
	workers    map[string]*worker
	users      map[string]*user
	cuts       map[[2]string]time.Duration // until when two hosts are apart
	heldUp     bool                        // cuts hold messages back instead of losing them
	deserted   map[string]time.Duration    // until when a controller reaches no worker
	night      night
	broken     []string
	most       int                // machines that the cloud has
	writes     float64            // changes the state service still takes this second
	filled     time.Duration      // when writes was last filled up
	where      map[string]*worker // where each task runs
	used       map[string]float64 // by team
	doomed     []*user            // cancelled, and perhaps still running somewhere
	Starts     int
	Dones      int
	moves      int           // of homes between controllers that live
	jobMoves   int           // of jobs to other homes
	level      feature.Level // of the cluster, as stored
	storedTerm wire.Term     // the last one
	terms      int           // how many there were
	edge       Edge          // of a world whose controllers are processes; else nil
	// Of the last loss of state: when it was noticed, made good, and when the next
	// task started.
	noticedAt, rebuiltAt, startedAt time.Duration
	nextStart                       bool
	hangsOut                        bool     // machines hang for longer than cancel_s, see stalled
	returned                        []string // machines that were returned with work on them
	commands                        int      // start commands that reached a worker
	sent                            int      // that were sent straight to one

	booksCheckedAt time.Duration // the controllers' books of quota
	booksChanged   bool          // since then: a controller has made a step, or a task has changed its state

	trace hash.Hash64  // of all that the cores asked for, if it is kept
	logs  slog.Handler // of what the controllers log, if it is kept
}

// epoch is the time of day at which every world begins.
var epoch = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after runs f in d.
func (w *World) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, f})
}

// breakRule notes a broken rule.
func (w *World) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// Broken lists the rules broken so far.
func (w *World) Broken() []string { return w.broken }

// New builds a small world. Every other one has its teams' homes spread over
// all controllers, as only large fleets do.
func New(seed uint64) *World {
	par := cluster.Defaults()
	if seed%2 == 0 {
		par.SinglePartitionBelow = 0
	}
	return build(seed, 3, 10, par, config.Cluster{
		InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 50,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 12}, {Name: "blue", CPUs: 4, CPUsMax: 16}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	})
}

// NewLarge builds a world of five controllers and up to 1,200 machines, with
// a state service that takes little; with odd seeds so little that even the
// leases of a few hundred machines need pages, and with the limits of teams
// parted over all controllers, nine of them with every other odd seed.
func NewLarge(seed uint64) *World {
	state := config.State{RPS: 80, WriteRPS: 25, ValueKB: 4, TxnOps: 12}
	par, nodes := cluster.Defaults(), 5
	if seed%4 == 3 {
		nodes = 9
	}
	if seed%2 == 1 {
		par.ShardLimitedAbove = 0
		state = config.State{RPS: 80, WriteRPS: 40, ValueKB: 2, TxnOps: 8}
	}
	return build(seed, nodes, 1200, par, config.Cluster{
		InitialSize: nodes, Zones: []string{"x", "y"}, ClockErrorMs: 50,
		Teams:   []config.Team{{Name: "red", CPUs: 100, CPUsMax: 300}, {Name: "blue", CPUs: 200, CPUsMax: 700}, {Name: "free"}},
		Workers: config.Workers{ReportS: 4, LeaseS: 16, CancelS: 40},
		State:   state,
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
	})
}

// NewServices builds a world of five controllers in two zones whose workers
// have short leases, with two limited teams and services as a mainstay.
func NewServices(seed uint64) *World {
	return build(seed, 5, 130, cluster.Defaults(), config.Cluster{
		InitialSize: 5, Zones: []string{"x", "y"}, ClockErrorMs: 200,
		Teams:   []config.Team{{Name: "red", CPUs: 250, CPUsMax: 320}, {Name: "blue", CPUs: 150, CPUsMax: 200}},
		Workers: config.Workers{ReportS: 1.5, LeaseS: 10, CancelS: 40},
		State:   config.State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Cloud:   config.Cloud{RPS: 4, ListLagS: 6},
	})
}

// newWorld returns a world without controllers.
func newWorld(seed uint64, most int, cfg config.Cluster) *World {
	w := &World{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		workers:  map[string]*worker{},
		users:    map[string]*user{},
		cuts:     map[[2]string]time.Duration{},
		where:    map[string]*worker{},
		deserted: map[string]time.Duration{},
		night:    night{calmAt: never, pollEvery: 2 * time.Second},
		used:     map[string]float64{},
		cfg:      cfg, most: most,
	}
	w.store = &store{w: w, values: map[string]stored{}}
	w.cloud = &simCloud{w: w, answers: map[string][]string{}}
	return w
}

func build(seed uint64, nodes, most int, par cluster.Params, cfg config.Cluster) *World {
	w := newWorld(seed, most, cfg)
	w.par = par
	for i := range nodes {
		n := &simNode{w: w, name: fmt.Sprintf("n%d", i), zone: w.cfg.Zones[i%2],
			rate: 1 + (w.rng.Float64()-0.5)*0.0005*2, rolls: par.Levels}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// Run plays the world for d, checking the rules after each step, and stops at
// the first one broken.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.check()
		w.checkAllBooks()
	}
	w.now = end
}

// on tells whether a task in this state is on its machine.
func on(state string) bool { return state != wire.TaskEnded && state != wire.TaskFetching }

// set moves a task to another state and keeps the books that the rules are
// checked against: only a task that comes onto a machine can run twice or
// take a team over its limit.
func (k *worker) set(t *simTask, state string) {
	before, after := on(t.state), on(state)
	t.state = state
	w, u := k.w, k.w.users[t.job]
	w.booksChanged = true
	switch {
	case after && !before:
		if other := w.where[t.name]; other != nil {
			w.breakRule("ran_twice: %s on %s and %s", t.name, other.name, k.name)
		}
		w.where[t.name] = k
		u.running++
		w.used[u.job.Team] += u.job.CPUs
		for _, team := range w.cfg.Teams {
			if team.Name == u.job.Team && team.CPUsMax > 0 && w.used[team.Name] > team.CPUsMax+1e-6 {
				w.breakRule("quota: %s uses %v", team.Name, w.used[team.Name])
			}
		}
	case before && !after:
		if w.where[t.name] == k {
			delete(w.where, t.name)
		}
		u.running--
		w.used[u.job.Team] -= u.job.CPUs
	}
}

// clear ends all tasks of a worker at once.
func (k *worker) clear() {
	for _, t := range k.tasks {
		t.cancel()
		k.set(t, wire.TaskEnded)
	}
	k.tasks = nil
}

// check looks for what time alone breaks: a task of a cancelled job that is
// still there.
func (w *World) check() {
	for _, u := range w.doomed {
		if u.running > 0 && w.now-u.cancelledAt > config.Seconds(w.cfg.Workers.CancelS) {
			n := u.running
			if w.hangsOut {
				n -= w.stalled(u)
			}
			if n > 0 {
				w.breakRule("ran_cancelled: %d tasks of %s", n, u.job.ID)
			}
		}
	}
}

// ---- the network

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send delivers a message from a to b, after a cut, late, or not at all.
func (w *World) send(a, b string, f func()) {
	d := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	if w.rng.IntN(200) == 0 {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	if (w.now < w.deserted[a] && isMachine(b)) || (w.now < w.deserted[b] && isMachine(a)) {
		return
	}
	if w.night.links > 0 {
		d += time.Duration(w.rng.Float64() * float64(w.night.links))
	}
	if until := w.cuts[pair(a, b)]; until > w.now {
		if !w.heldUp {
			return
		}
		d += until - w.now
	}
	w.after(d, f)
}

// Cut parts two hosts.
func (w *World) Cut(a, b string, d time.Duration) { w.cuts[pair(a, b)] = w.now + d }

// ---- the controllers

type simNode struct {
	w      *World
	name   string
	zone   string
	rate   float64 // of its steady clock
	core   *controller.Core
	life   int           // counts the processes
	rolls  feature.Range // levels of the version that is installed
	up     bool
	slow   time.Duration // until then everything takes it long
	frozen time.Duration // until then it stands still
	since  time.Duration // when the process began, or ended
	waits  map[uint64]func(eventloop.Reply)
	next   uint64
}

func (n *simNode) clock() time.Time {
	return epoch.Add(time.Duration(float64(n.w.now) * n.rate))
}

func (n *simNode) start() {
	s := &config.Settings{HostName: n.name, Area: n.zone, Cluster: n.w.cfg}
	for _, p := range n.w.nodes {
		if p != n {
			s.Peers = append(s.Peers, config.Peer{HostName: p.name, Area: p.zone})
		}
	}
	n.life++
	n.up, n.since = true, n.w.now
	n.waits = map[uint64]func(eventloop.Reply){}
	par := n.w.par
	par.Levels, par.Version = n.rolls, fmt.Sprintf("up to level %d", n.rolls.Newest)
	n.core = controller.New(s, par, slog.New(moveCounter{slog.DiscardHandler, n.w, n.name}), wire.Incarnation(n.clock().UnixMilli()))
	life := n.life
	var tick func()
	tick = func() {
		if n.up && n.life == life {
			n.step(eventloop.Tick{})
			n.w.after(150*time.Millisecond, tick)
		}
	}
	n.w.after(time.Millisecond, tick)
}

// moveCounter is a log that counts the homes which controllers gave up.
type moveCounter struct {
	slog.Handler
	w    *World
	node string
}

func (h moveCounter) Enabled(context.Context, slog.Level) bool { return true }

func (h moveCounter) Handle(ctx context.Context, r slog.Record) error {
	if h.w.logs != nil {
		r.AddAttrs(slog.String("node", h.node), slog.Duration("at", h.w.now))
		if err := h.w.logs.Handle(ctx, r); err != nil {
			return err
		}
	}
	if r.Message == "partition handed over" {
		h.w.moves++
	}
	return nil
}

// within is a moment in the next d.
func (w *World) within(d time.Duration) time.Duration {
	return time.Duration(w.rng.Float64() * float64(d))
}

// Crash ends controller i; it is back after d.
func (w *World) Crash(i int, d time.Duration) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	if w.mustTell(n) {
		w.after(200*time.Millisecond, func() { w.Crash(i, d) })
		return
	}
	n.up, n.since = false, w.now
	n.life++
	w.after(d, n.start)
}

// Install replaces the version of controller i: its process ends, and is back
// after d as one that can work under these levels. Range zero is a version from
// before levels: it tells none, and reads none of the forms that came with them.
func (w *World) Install(i int, levels feature.Range, d time.Duration) {
	w.nodes[i].rolls = levels
	w.Crash(i, d)
}

// lag is how late a controller is that computes slowly.
func (n *simNode) lag() time.Duration {
	if n.w.now < n.slow {
		return time.Duration(50+n.w.rng.IntN(500)) * time.Millisecond
	}
	return 0
}

// Slow makes controller i compute slowly for d.
func (w *World) Slow(i int, d time.Duration) { w.nodes[i].slow = w.now + d }

func (n *simNode) step(ev eventloop.Event) {
	if n.w.now < n.frozen {
		if ev != (eventloop.Tick{}) {
			life := n.life
			n.w.after(n.frozen-n.w.now, func() { n.back(life, ev) })
		}
		return
	}
	n.w.booksChanged = true
	for _, e := range n.core.Step(n.clock(), ev) {
		if n.w.trace != nil {
			n.w.note(n.name, e)
		}
		n.carryOut(e)
	}
}

// note adds an effect to the trace.
func (w *World) note(node string, e eventloop.Effect) {
	text := fmt.Sprintf("%v %s %s ", w.now, node, reflect.TypeOf(e).Name())
	body, err := json.Marshal(e)
	if p, ok := e.(eventloop.PeerSend); ok {
		text += p.To
		body, err = proto.MarshalOptions{Deterministic: true}.Marshal(p.Frame)
	}
	if err != nil {
		w.breakRule("trace: %v", err)
	}
	w.trace.Write(append([]byte(text), body...)) // a hash takes everything
}

// back hands an outcome to the core if its process still lives.
func (n *simNode) back(life int, ev eventloop.Event) {
	if n.up && n.life == life {
		n.step(ev)
	}
}

// ask hands a request to the core; then gets its reply.
func (n *simNode) ask(build func(req uint64) eventloop.Event, then func(eventloop.Reply)) {
	if !n.up {
		return
	}
	if n.w.edge != nil {
		n.w.edge.Ask(n.name, build(0), then)
		return
	}
	n.next++
	n.waits[n.next] = then
	n.step(build(n.next))
}

// lateAnswer is by how much an answer is late that its caller still waits for.
const lateAnswer = 450 * time.Millisecond

func (n *simNode) carryOut(e eventloop.Effect) {
	w, life := n.w, n.life
	// call sends a request to a regional service; without an answer in time the
	// core is told so.
	call := func(id uint64, state bool, timeout time.Duration, serve func(answer func(eventloop.Completion))) {
		done := false
		finish := func(c eventloop.Completion) {
			if !done {
				done = true
				c.ID, c.FromStateService = id, state
				n.back(life, c)
			}
		}
		w.after(timeout, func() { finish(eventloop.Completion{}) })
		if state {
			w.store.requests++
		}
		if state && w.now < w.store.lost[n.name] {
			return
		}
		way := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
		if state && w.night.slow > 0 {
			way += time.Duration(w.rng.Float64() * float64(w.night.slow))
		}
		w.after(way, func() {
			serve(func(c eventloop.Completion) {
				if w.rng.IntN(400) == 0 {
					return // the answer is lost
				}
				back := time.Duration(1+w.rng.IntN(5))*time.Millisecond + n.lag()
				if state && w.store.served != nil {
					switch w.store.served(n.name) {
					case answerLost:
						return
					case answerLate:
						back += lateAnswer
					}
				}
				if slow := w.night.answersSlow[n.name]; state && slow > 0 {
					back += time.Duration(w.rng.Float64() * float64(slow))
				}
				w.after(back, func() { finish(c) })
			})
		})
	}
	const short = 2 * time.Second
	stateShort := short
	if w.night.slow == 0 && w.night.answersSlow[n.name] == 0 { // the client's patience follows what answers take
		stateShort = 500 * time.Millisecond
	}
	switch e := e.(type) {
	case eventloop.Reply:
		if f := n.waits[e.Req]; f != nil {
			delete(n.waits, e.Req)
			// The answer is written a little after it was decided.
			w.after(time.Millisecond+n.lag(), func() {
				if !n.up || n.life != life {
					return
				}
				if !e.Until.IsZero() && !n.clock().Before(e.Until) {
					e = eventloop.Reply{Req: e.Req, Code: eventloop.ReplyUnavailable}
				}
				if a, ok := e.Body.(wire.HeartbeatAnswer); ok {
					w.seeStarts(a.Commands)
				}
				f(e)
			})
		}
	case eventloop.PeerSend:
		for _, p := range w.nodes {
			if p.name == e.To {
				w.send(n.name, p.name, func() {
					if p.up {
						p.step(eventloop.PeerFrame{Frame: e.Frame})
					}
				})
			}
		}
	case eventloop.StateTxn:
		call(e.ID, true, stateShort, func(answer func(eventloop.Completion)) {
			if w.store.down(n.name) {
				answer(eventloop.Completion{Outcome: eventloop.Unavailable})
			} else if w.store.lowered.refuses(w, n, e.Txn) {
				answer(eventloop.Completion{Outcome: eventloop.Rejected})
			} else if by, late := w.night.lateBy(n.name, e.Txn); late {
				w.after(by, func() { w.store.txn(e.Txn) })
			} else if w.night.loses != nil && w.night.loses(n.name, e.Txn) {
				w.store.txn(e.Txn) // and nobody is told
			} else if w.rng.IntN(150) == 0 || (w.night.lateTxns > 0 && w.rng.IntN(100) < w.night.lateTxns) {
				// Applied late, without an answer.
				w.after(time.Duration(w.rng.IntN(30))*time.Second, func() { w.store.txn(e.Txn) })
			} else {
				answer(w.store.txn(e.Txn))
			}
		})
	case eventloop.StateGet:
		call(e.ID, true, stateShort, w.store.guard(n.name, func() eventloop.Completion { return w.store.get(e.Key) }))
	case eventloop.StateRange:
		call(e.ID, true, stateShort, w.store.guard(n.name, func() eventloop.Completion { return w.store.page(e.Prefix, e.After) }))
	case eventloop.StateWatch:
		call(e.ID, true, e.Hold+short, func(answer func(eventloop.Completion)) {
			w.store.watch(n.name, e.Prefix, e.After, w.now+e.Hold, w.lagging(n.name, answer))
		})
	case eventloop.CloudTypes:
		call(e.ID, false, short, w.cloud.serve(n.name, callTypes, w.cloud.types))
	case eventloop.CloudCreate:
		call(e.ID, false, short, w.cloud.serve(n.name, callCreate, func() eventloop.Completion { return w.cloud.rent(e.Request) }))
	case eventloop.CloudDelete:
		call(e.ID, false, short, w.cloud.serve(n.name, callDelete, func() eventloop.Completion { return w.cloud.remove(e.Names) }))
	case eventloop.CloudList:
		call(e.ID, false, short, w.cloud.serve(n.name, callList, w.cloud.list))
	case eventloop.WorkerCommands:
		if !n.clock().Before(e.Until) {
			w.after(0, func() { n.back(life, eventloop.Completion{ID: e.ID, Outcome: eventloop.NotSent}) })
			return
		}
		w.seeStarts(e.Body.Commands)
		w.seeToken(n.name, e)
		done := false
		finish := func(c eventloop.Completion) {
			if !done {
				done = true
				c.ID = e.ID
				n.back(life, c)
			}
		}
		w.after(short, func() { finish(eventloop.Completion{}) })
		name := workerAt(e.Endpoint)
		w.send(n.name, name, func() {
			k := w.workers[name]
			if k == nil || k.gone || w.now < k.deaf {
				return
			}
			k.whenAwake(func() {
				outcome, r := k.commands(e.Body)
				w.send(name, n.name, func() { finish(eventloop.Completion{Outcome: outcome, Heartbeat: r}) })
			})
		})
	}
}

// workerAt names the worker with this address; "" if there is none.
func workerAt(endpoint string) (name string) {
	if _, err := fmt.Sscanf(endpoint, "worker-%s", &name); err == nil {
		name = strings.TrimSuffix(name, ":9000")
	}
	return name
}

// seeToken breaks a rule when a start is sent with a token above all that its worker has
// seen: no raise of what the worker has shown makes it void while it is held on its way.
func (w *World) seeToken(from string, e eventloop.WorkerCommands) {
	starts := slices.ContainsFunc(e.Body.Commands, func(c wire.Command) bool { return c.Op == wire.CommandStart })
	if k := w.workers[workerAt(e.Endpoint)]; starts && k != nil && e.Body.Token > k.most {
		w.breakRule("%s sends a start to %s with token %d, which has seen %d", from, k.name, e.Body.Token, k.most)
	}
}

// seeStarts counts starts that are sent, and breaks a rule when one of a job is sent
// whose user was told for longer that it is cancelled than a controller may start tasks
// without news of that.
func (w *World) seeStarts(commands []wire.Command) {
	for _, c := range commands {
		if c.Op != wire.CommandStart {
			continue
		}
		w.sent++
		id, _, _ := strings.Cut(c.Task, "/")
		if u := w.users[id]; u != nil && u.told == wire.Cancelled && w.now-u.toldAt > newsFor {
			w.breakRule("started what was cancelled: %s, %v after its user was told", c.Task, w.now-u.toldAt)
		}
	}
}

// newsFor is for how long a controller may start tasks without news of cancellations, by
// a clock that is slow, and what it has decided be on its way.
const newsFor = owner.StartFreshness + 100*time.Millisecond

// Begin installs a version on all controllers of a world that has not begun, and
// sets after what time the level is raised.
func (w *World) Begin(levels feature.Range, raiseAfter time.Duration) {
	w.par.RaiseLevelAfter = raiseAfter
	for _, n := range w.nodes {
		n.rolls = levels
		n.start()
	}
}

// Freeze makes controller i stand still for d, while its clocks run on.
func (w *World) Freeze(i int, d time.Duration) { w.nodes[i].frozen = w.now + d }
