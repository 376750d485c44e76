// Package simtest plays days of a small made-up deployment in one process and
// one goroutine: cores without input or output, with stand-ins for the state
// service, the cloud, the workers and the users round them. Messages are
// delayed, lost, held back and delivered late, machines hang, die and lose
// the network, controllers crash, clocks run apart. After every step the
// rules of the protocol are checked. The same seed always plays the same day.
package simtest

import (
	"container/heap"
	"fmt"
	"hash"
	"log/slog"
	"math/rand/v2"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// World is one deployment.
type World struct {
	rng        *rand.Rand
	aside      aside
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
	steady     bool                        // no message is lost or late by chance
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
	returned                        []string // machines that were returned with work on them
	commands                        int      // start commands that reached a worker
	sent                            int      // that were sent straight to one

	booksCheckedAt time.Duration // the controllers' books of quota
	inFlight       []*startsInFlight
	repeats        repeats

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
		aside:    aside{rng: rand.New(rand.NewPCG(seed, 11))},
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
	k.changesBooks()
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
			w.breakRule("ran_cancelled: %d tasks of %s", u.running, u.job.ID)
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

// send delivers a message from a to b, after a cut, late, or not at all. It reports whether
// the message arrives some day.
func (w *World) send(a, b string, f func()) (arrives bool) {
	d := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	if w.chance(200) {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	if (w.now < w.deserted[a] && isMachine(b)) || (w.now < w.deserted[b] && isMachine(a)) {
		return false
	}
	if w.night.links > 0 {
		d += time.Duration(w.rng.Float64() * float64(w.night.links))
	}
	if until := w.cuts[pair(a, b)]; until > w.now {
		if !w.heldUp {
			return false
		}
		d += until - w.now
	}
	w.after(d, f)
	return true
}

// chance reports whether one in n messages that gets lost or comes late by chance does so now.
func (w *World) chance(n int) bool { return w.rng.IntN(n) == 0 && !w.steady }

// Cut parts two hosts.
func (w *World) Cut(a, b string, d time.Duration) { w.cuts[pair(a, b)] = w.now + d }
