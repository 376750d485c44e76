package simtest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Bad nights: what befell the service in operation, and what its users then hold
// against it.

const never = time.Duration(1<<63 - 1)

// night is what a bad night changes in a world, and when it is over.
type night struct {
	copies    int           // of a hundred reports so many come once more, late
	lateTxns  int           // of a hundred transactions so many get no answer and are carried out late
	slow      time.Duration // an answer of the state service takes up to so long
	links     time.Duration // a message between controllers and machines takes up to so much longer
	pollEvery time.Duration // users' patience
	boot      func(usual time.Duration) time.Duration
	calmAt    time.Duration // from when on every job has to be known
	// late, if set, chooses the transactions that get no answer and are carried out
	// so much later.
	late        func(node string, t wire.Txn) (by time.Duration, yes bool)
	knowersLive bool // see mustTell
	// answersSlow is how long the answers of the state service are on their way back to
	// a controller at most: what they say may have changed since.
	answersSlow map[string]time.Duration
	// loses, if set, chooses the transactions that are carried out at once and whose
	// answer is lost.
	loses func(node string, t wire.Txn) bool
	// frameSent, if set, is told of each frame that a controller sends another, and chooses what
	// becomes of it.
	frameSent func() answerFate
	lost      map[string]int // how many, by what they wrote
	// claimsLostTo is a controller that hears nothing of what others claim of jobs.
	claimsLostTo string
	watchLag     map[string]time.Duration    // by how much a controller's watch lags
	look         func(u *user, m moment)     // if set, is told of moments to look closely at
	looks        map[eventloop.ReplyCode]int // answers to close looks, by their code
	looked       map[moment]int              // close looks, by what they came right after
	forNext      int                         // of a hundred reports a copy of so many is kept for the next leader
	kept         []wire.Heartbeat
	copied       []wire.Heartbeat // have come to the next leader, and come once more
	leader       string           // by the value stored last
	grants       wire.Grant       // in it
}

// mustTell tells whether a controller may alone know of what the state has lost: with
// it gone nobody could store that again. Where nobody who knows may end, it ends later.
func (w *World) mustTell(n *simNode) bool {
	if !w.night.knowersLive || w.store.lostAt == 0 {
		return false
	}
	underWay, stored := n.core.Recovering()
	return w.now-w.store.lostAt < time.Second || (underWay && !stored)
}

// lateBy tells whether a transaction is one of those.
func (n *night) lateBy(node string, t wire.Txn) (by time.Duration, yes bool) {
	if n.late == nil {
		return 0, false
	}
	return n.late(node, t)
}

const (
	// forgottenAfter is how long no question about a job may go without an answer
	// once the troubles are over.
	forgottenAfter = 75 * time.Second
	// beginWithin is when the largest jobs of a class have to begin.
	beginWithin = 4 * time.Minute
)

// NewNight builds a world of three, five or nine controllers and up to 150
// machines, with homes in one place or spread, and limits whole or parted.
func NewNight(seed uint64) *World {
	nodes := []int{3, 5, 9}[seed%3]
	par := cluster.Defaults()
	if seed%2 == 0 {
		par.SinglePartitionBelow = 0
	}
	if seed%4 == 2 {
		par.ShardLimitedAbove = 0
	}
	return build(seed, nodes, 150, par, config.Cluster{
		InitialSize: nodes, Zones: []string{"x", "y"}, ClockErrorMs: 100,
		Teams:   []config.Team{{Name: "red", CPUs: 40, CPUsMax: 160}, {Name: "blue", CPUs: 60, CPUsMax: 300}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39},
		State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
	})
}

func isMachine(host string) bool { return strings.HasPrefix(host, "host-") }

// Desert parts controller i from all workers, and from nobody else.
func (w *World) Desert(i int, d time.Duration) { w.deserted[w.nodes[i].name] = w.now + d }

// Isolate parts controller i from the state service and the other controllers,
// but not from the workers.
func (w *World) Isolate(i int, d time.Duration) {
	if w.store.lost == nil {
		w.store.lost = map[string]time.Duration{}
	}
	w.store.lost[w.nodes[i].name] = w.now + d
	for k, n := range w.nodes {
		if k != i {
			w.Cut(w.nodes[i].name, n.name, d)
		}
	}
}

// Vanish parts controller i from everybody.
func (w *World) Vanish(i int, d time.Duration) {
	w.Isolate(i, d)
	w.Desert(i, d)
}

// copyLate has some controller get a report once more, from a moment to three
// leases late. Nobody reads the answer.
func (w *World) copyLate(r wire.Heartbeat) {
	if w.night.copies == 0 || w.rng.IntN(100) >= w.night.copies {
		return
	}
	late := time.Duration(w.rng.Float64() * 3 * float64(config.Seconds(w.cfg.Workers.LeaseS)))
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	w.after(late, func() {
		n.ask(func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: r} }, func(eventloop.Reply) {})
	})
}

// askedLong breaks a rule when a user has had no answer for too long.
func (w *World) askedLong(u *user) {
	if since := w.now - max(w.night.calmAt, u.answeredAt); u.accepted && w.night.calmAt != never && since > forgottenAfter {
		w.breakRule("forgotten: nobody has answered for %s in %v", u.job.ID, since)
	}
}

// Unserved tells what was not served: a team, a class, or a class's largest jobs
// of which less than half began, and the largest that began too late. Those that
// their users cancelled say nothing.
func (w *World) Unserved() []string {
	groups := map[string][]*user{}
	for _, u := range w.users {
		if u.accepted && !u.wantsCancel {
			groups["team "+u.job.Team] = append(groups["team "+u.job.Team], u)
			groups["class "+u.job.Class] = append(groups["class "+u.job.Class], u)
		}
	}
	var out []string
	for _, name := range cluster.SortedKeys(groups) {
		all := groups[name]
		slices.SortFunc(all, func(a, b *user) int {
			return cmp.Or(b.job.Tasks-a.job.Tasks, strings.Compare(a.job.ID, b.job.ID))
		})
		largest := all[:(len(all)+9)/10]
		for part, users := range map[string][]*user{name: all, name + ", largest": largest} {
			begun := 0
			for _, u := range users {
				if u.begunAt > 0 {
					begun++
				}
			}
			if 2*begun < len(users) {
				out = append(out, fmt.Sprintf("%s: %d of %d began", part, begun, len(users)))
			}
		}
		for _, u := range largest {
			if u.begunAt == 0 || u.begunAt-u.acceptedAt > beginWithin {
				out = append(out, fmt.Sprintf("%s: %s with %d tasks began %v after it was accepted", name, u.job.ID, u.job.Tasks, u.begunAt-u.acceptedAt))
			}
		}
	}
	slices.Sort(out)
	return out
}

// SubmitNight lets a user submit one of a night's jobs in d: urgent, standard or
// idle arrays, a few of them as large as many machines.
func (w *World) SubmitNight(i int, d time.Duration) *user {
	r := w.rng
	class := []string{"urgent", "standard", "idle"}[i%3]
	u := &user{w: w, doneTasks: map[string]bool{}}
	u.job = wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: class, Team: []string{"red", "blue", "free"}[r.IntN(3)],
		Shape: wire.Array, Priority: class, Tasks: 1 + r.IntN(20), CPUs: float64(1 + r.IntN(4)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(6)), ImageGB: 1, Spot: r.IntN(4) > 0, EstimateS: 8}
	if r.IntN(8) == 0 {
		u.job.Tasks = 60 + r.IntN(60)
	}
	w.users[u.job.ID] = u
	w.after(d, u.submit)
	if r.IntN(10) == 0 {
		w.after(d+time.Duration(3+r.IntN(30))*time.Second, func() { u.wantsCancel = true; u.cancel() })
	}
	return u
}

// Mistake lets a user submit in d a job that fails on every machine, and cancel
// it after a minute.
func (w *World) Mistake(i int, d time.Duration) {
	u := w.SubmitNight(i, d)
	u.faulty, u.job.Tasks = true, 40
	w.after(d+time.Minute, func() { u.wantsCancel = true; u.cancel() })
}
