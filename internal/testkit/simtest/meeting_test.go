package simtest

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

var meets = flag.Uint64("meetings", 24, "number of seeded meetings of troubles to play")

// Meetings of troubles: two things that each are harmless, at moments chosen to
// meet. Users submit, ask and cancel throughout.

// newMeeting builds a world of two, three, five or nine controllers.
func newMeeting(seed uint64) *World {
	nodes := []int{2, 3, 5, 9}[seed%4]
	par := cluster.Defaults()
	if seed/4%2 == 0 {
		par.SinglePartitionBelow = 0
	}
	if seed/8%2 == 0 {
		par.ShardLimitedAbove = 0
	}
	if seed/16%2 == 0 {
		par.MoveJobAfter = time.Second
	}
	w := build(seed, nodes, 90, par, config.Cluster{
		InitialSize: nodes, Zones: []string{"x", "y"}, ClockErrorMs: 100,
		Teams:   []config.Team{{Name: "red", CPUs: 40, CPUsMax: 160}, {Name: "blue", CPUs: 60, CPUsMax: 300}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39},
		State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
	})
	if seed%2 == 0 {
		w.Begin(feature.Current(), 10*time.Second)
	}
	return w
}

// index is the place of a controller among all; -1 if there is none of that name.
func (w *World) index(name string) int {
	return slices.IndexFunc(w.nodes, func(n *simNode) bool { return n.name == name })
}

// leading is who leads by the stored value, or anyone while there is none.
func (w *World) leading() int {
	if len(w.store.values) > 0 {
		if i := w.index(w.leader()); i >= 0 {
			return i
		}
	}
	return w.anyOf()
}

// busiest is the controller that holds most machines.
func (w *World) busiest() int {
	best := 0
	for i, n := range w.nodes {
		if n.up && (!w.nodes[best].up || n.core.MachineCount() > w.nodes[best].core.MachineCount()) {
			best = i
		}
	}
	return best
}

// cancelSome has users of unfinished jobs cancel within d.
func (w *World) cancelSome(share int, d time.Duration) {
	var open []*user
	for i := range 3000 {
		if u := w.users[fmt.Sprintf("wk-%06d", i)]; u != nil && u.accepted && u.told == "" && !u.wantsCancel {
			open = append(open, u)
		}
	}
	for _, u := range open {
		if w.rng.IntN(100) < share {
			w.after(time.Duration(w.rng.Float64()*float64(d)), func() { u.wantsCancel = true; u.cancel() })
		}
	}
}

// lateWrites has transactions that change a key below one of the prefixes carried
// out 2 to 12 s late, without an answer, for d.
func (w *World) lateWrites(d time.Duration, share int, prefixes ...string) {
	until := w.now + d
	w.night.late = func(_ string, t wire.Txn) (time.Duration, bool) {
		if w.now >= until || !slices.ContainsFunc(t.Then, func(op wire.Op) bool {
			return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(op.Put, p) })
		}) || w.rng.IntN(100) >= share {
			return 0, false
		}
		return 2*time.Second + w.within(10*time.Second), true
	}
}

// lateKinds are the writes of a controller by what they change.
var lateKinds = []struct{ name, prefix string }{
	{"submissions", "fc/j/"}, {"ends and cancellations", "fc/t/"}, {"pages of completed tasks", "fp/"},
	{"lease value", "fc/lease"}, {"renewals", "fc/r/"}, {"levels", "fc/g/"},
}

// meetings by the lines of the operators' page. Each begins at once.
var meetings = []trial{
	{"held up, and the machine goes on", func(w *World, d time.Duration) {
		w.heldUp = true
		at := w.busiest()
		w.some(40, func(k *worker) {
			w.Cut(k.name, w.nodes[at].name, 2*time.Second+w.within(d))
			if w.rng.IntN(3) == 0 {
				k.hang = w.now + 500*time.Millisecond + w.within(16*time.Second)
			}
		})
		w.cancelSome(50, 10*time.Second)
		w.after(w.within(8*time.Second), func() {
			switch w.rng.IntN(3) {
			case 0:
				w.Crash(at, 100*time.Millisecond+w.within(20*time.Second))
			case 1:
				w.Freeze(at, 5*time.Second+w.within(20*time.Second))
			case 2:
				w.some(15, func(k *worker) { k.notice = w.now + 5*time.Second })
			}
		})
	}},
	{"slow, refuses the leader, then all", func(w *World, d time.Duration) {
		w.night.slow = w.within(2500 * time.Millisecond)
		w.night.pollEvery = 700 * time.Millisecond
		w.after(d+60*time.Second, func() { w.night.slow, w.night.pollEvery = 0, 2*time.Second })
		w.Outage(2*time.Second+w.within(16*time.Second), w.nodes[w.leading()].name)
		w.cancelSome(60, 6*time.Second)
		w.after(w.within(9*time.Second), func() { w.Outage(45*time.Second, "") })
	}},
	{"ends far apart", func(w *World, d time.Duration) {
		for i := range 25 {
			u := w.SubmitNight(1500+i, w.within(10*time.Second))
			u.job.Tasks, u.job.CPUs, u.apart = 2+w.rng.IntN(2), 1, 5*time.Second+w.within(25*time.Second)
		}
		w.after(10*time.Second+w.within(10*time.Second), func() { w.Crash(w.leading(), w.within(25*time.Second)) })
		w.after(15*time.Second+w.within(20*time.Second), func() { w.Freeze(w.busiest(), 5*time.Second+w.within(25*time.Second)) })
		w.after(30*time.Second+w.within(20*time.Second), func() { w.Crash(w.busiest(), w.within(2*time.Second)) })
	}},
	{"cut off but for workers and users", func(w *World, d time.Duration) {
		for i := range 10 { // whose tasks outlast the cut
			u := w.SubmitNight(1700+i, 0)
			u.job.Tasks, u.job.CPUs, u.apart = 2, 1, 90*time.Second
		}
		w.after(8*time.Second, func() {
			at := w.leading()
			if w.rng.IntN(3) == 0 {
				at = w.busiest()
			}
			d := d + 25*time.Second
			w.Isolate(at, d)
			for i := range 5 {
				w.after(time.Duration(i)*d/8, func() { w.cancelSome(25, d/8) })
			}
			// It comes back in the middle of the next election.
			w.after(d-w.within(9*time.Second), func() {
				if i := w.leading(); i != at {
					w.Crash(i, w.within(15*time.Second))
				}
			})
		})
	}},
	{"handed over and back, all end", func(w *World, d time.Duration) {
		for i := range 4 {
			w.after(time.Duration(i)*d/6, func() {
				if n := w.nodes[w.leading()]; n.up && w.now >= n.frozen {
					n.step(eventloop.Shutdown{})
					w.after(300*time.Millisecond+w.within(2*time.Second), func() { w.Crash(w.index(n.name), w.within(time.Second)) })
				}
			})
		}
		w.after(d*5/6, func() {
			first := w.anyOf()
			for i := range w.nodes {
				back := 8*time.Second + w.within(10*time.Second)
				if i == first || i == (first+1)%len(w.nodes) {
					back = w.within(900 * time.Millisecond)
				}
				w.Crash(i, back)
			}
			w.Outage(w.within(15*time.Second), w.nodes[first].name)
		})
		w.cancelSome(30, d)
	}},
	{"unreachable while the leader ends", func(w *World, d time.Duration) {
		for i := range 12 {
			u := w.SubmitNight(1600+i, 0)
			u.job.Tasks, u.apart = 1+w.rng.IntN(3), 20*time.Second
		}
		w.after(9*time.Second, func() {
			w.heldUp = w.rng.IntN(2) == 0
			w.some(35, func(k *worker) {
				for _, n := range w.nodes {
					w.Cut(k.name, n.name, 3*time.Second+w.within(25*time.Second))
				}
			})
			w.some(25, func(k *worker) { k.deaf = w.now + 3*time.Second + w.within(25*time.Second) })
			w.Crash(w.leading(), w.within(30*time.Second))
			w.cancelSome(30, 20*time.Second)
		})
	}},
	{"transactions late", func(w *World, d time.Duration) {
		if i := w.rng.IntN(len(lateKinds) + 1); i < len(lateKinds) {
			w.lateWrites(d, 60, lateKinds[i].prefix)
		} else {
			w.lateWrites(d, 40, "f")
		}
		w.cancelSome(30, d)
		w.after(w.within(d), func() { w.Crash(w.leading(), w.within(15*time.Second)) })
		w.after(w.within(d), func() { w.Freeze(w.leading(), w.within(15*time.Second)) })
		w.after(w.within(d), func() { // renewals go through the state service
			i := w.leading()
			for k, n := range w.nodes {
				if k != i {
					w.Cut(n.name, w.nodes[i].name, 15*time.Second)
				}
			}
		})
	}},
	{"old reports", func(w *World, d time.Duration) {
		w.night.copies = 70
		w.after(d, func() { w.night.copies = 0 })
		w.after(w.within(d), func() { w.Crash(w.busiest(), w.within(20*time.Second)) })
		w.after(w.within(d), func() {
			w.some(30, func(k *worker) { // its session ends
				for _, n := range w.nodes {
					w.Cut(k.name, n.name, 15*time.Second)
				}
			})
		})
		w.after(w.within(d), func() { w.Freeze(w.leading(), 10*time.Second+w.within(15*time.Second)) })
		w.cancelSome(30, d)
	}},
}

// TestMeetings plays each meeting alone, beside each other one, beside a rollout and
// beside a loss of state, in which who alone knows something lives until it has stored
// that again. Rules as everywhere; every job is known 75 s after the last
// trouble, half of everything is served, and a job that is complete is said to be
// within 3 s of that, or of the time when all is well again.
func TestMeetings(t *testing.T) {
	n := uint64(len(meetings))
	for seed := *first; seed < *first+*meets; seed++ {
		a, kind := meetings[seed%n], seed/n%(n+3)
		name := "alone"
		switch {
		case kind < n:
			name = meetings[kind].name
		case kind == n:
			name = "a rollout"
		case kind == n+1:
			name = "a loss of state"
		}
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, name), func(t *testing.T) {
			t.Parallel()
			w := newMeeting(seed)
			for i := range 60 {
				u := w.SubmitNight(i, time.Duration(w.rng.IntN(150))*time.Second)
				u.job.Tasks = min(u.job.Tasks, 40)
			}
			at, d := time.Duration(45+w.rng.IntN(30))*time.Second, time.Duration(15+w.rng.IntN(45))*time.Second
			w.after(at, func() { a.do(w, d) })
			beside := at + w.within(30*time.Second) - 5*time.Second
			end := max(at+d, beside+d) + 75*time.Second
			w.after(beside, func() {
				switch {
				case kind == n:
					for i := range w.nodes {
						w.after(time.Duration(i)*3*time.Second, func() { w.Install(i, w.nodes[i].rolls, 100*time.Millisecond+w.within(3*time.Second)) })
					}
				case kind == n+1:
					if young := w.youngest(); young > 20*time.Second && w.up() == len(w.nodes) {
						w.LoseState(w.within(15 * time.Second))
					}
				case kind < n && meetings[kind].name != a.name:
					meetings[kind].do(w, d)
				}
			})
			w.night.knowersLive = kind == n+1
			w.night.calmAt = end + 3*time.Duration(w.cfg.Workers.LeaseS)*time.Second
			w.Run(500 * time.Second)
			w.complain(t)
			w.complainUnserved(t)
			t.Logf("%d starts, %d completions, %d jobs moved", w.Starts, w.Dones, w.jobMoves)
		})
	}
}

// complainUnserved fails a test whose world has jobs that were not served, are not over
// long after its troubles, or were said to be done too late.
func (w *World) complainUnserved(t *testing.T) {
	t.Helper()
	for _, x := range w.Unserved() {
		t.Error(x)
	}
	if left := w.Unfinished(); len(left) > 0 {
		t.Errorf("not over long after the troubles: %v", left)
	}
	for _, x := range w.saidLate() {
		t.Error(x)
	}
}

// youngest is for how long the youngest process has lived.
func (w *World) youngest() time.Duration {
	out := w.now
	for _, n := range w.nodes {
		out = min(out, w.now-n.since)
	}
	return out
}

// up counts the controllers that are.
func (w *World) up() (out int) {
	for _, n := range w.nodes {
		if n.up {
			out++
		}
	}
	return out
}

// saidLate lists jobs that were complete and not said to be done for too long: 3 s,
// and the time to the next question and its answer.
func (w *World) saidLate() (out []string) {
	for _, id := range cluster.SortedKeys(w.users) {
		u := w.users[id]
		if u.told != wire.Done || u.doneAt == 0 {
			continue
		}
		well := max(u.doneAt, w.night.calmAt)
		if late := u.toldAt - well; late > 3*time.Second+w.night.pollEvery+time.Second {
			out = append(out, fmt.Sprintf("%s was said to be done %v after its last task", id, late))
		}
	}
	return out
}

// TestHeldStartOfACancelledJob holds starts on their way to machines of another zone
// while the job is cancelled. They cannot reach their owner, but controllers of their
// own zone, which keep what runs there alive. However many of these there are and for
// however long the start is held: once cancel_s has passed it must have no effect.
func TestHeldStartOfACancelledJob(t *testing.T) {
	for nodes := 5; nodes <= 9; nodes += 4 {
		for held := 30 * time.Second; held <= 90*time.Second; held += 6 * time.Second {
			w := build(1, nodes, 12, cluster.Defaults(), config.Cluster{
				InitialSize: nodes, Zones: []string{"x", "y"}, ClockErrorMs: 50, Teams: []config.Team{{Name: "free"}},
				Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
				State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
				Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
			})
			job := func(id string, tasks int, cpus float64) *user {
				return w.newUser(wire.Job{ID: id, Class: "c", Team: "free", Shape: wire.Daemon, Priority: "urgent",
					Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: "a", Zone: "y"})
			}
			keep := job("wk-000001", 12, 3) // so that no machine is returned
			w.after(2*time.Second, keep.submit)
			for keep.running < 12 && w.now < 3*time.Minute {
				w.Run(time.Second)
			}
			w.Run(4 * time.Second)
			holder := w.holder(t)
			if w.nodes[holder].zone != "x" {
				t.Fatal("the owner is where the machines are")
			}
			w.heldUp = true
			w.apart(held)
			sent, commands := w.sent, w.commands
			u := job("wk-000002", 24, 0.5)
			u.submit()
			w.after(1500*time.Millisecond, func() { u.cancelThrough(w.nodes[(holder+1)%nodes]) })
			w.Run(held + 30*time.Second)
			for _, x := range w.Broken() {
				t.Errorf("%d controllers, held for %v: %s", nodes, held, x)
			}
			if u.told != wire.Cancelled {
				t.Errorf("%d controllers, held for %v: told %q", nodes, held, u.told)
			}
			if w.sent == sent {
				t.Errorf("%d controllers, held for %v: no start was sent", nodes, held)
			}
			t.Logf("%d controllers, held for %v: %d starts sent, %d carried out", nodes, held, w.sent-sent, w.commands-commands)
		}
	}
}
