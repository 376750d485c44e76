package simtest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

var nights = flag.Uint64("nights", 24, "number of seeded bad nights to play")

// trial is a trouble of a bad night that lasts for d.
type trial struct {
	name string
	do   func(w *World, d time.Duration)
}

func (w *World) anyOf() int { return w.rng.IntN(len(w.nodes)) }

var trials = []trial{
	{"deaf machines", func(w *World, d time.Duration) {
		w.some(25, func(k *worker) {
			if k.deaf = w.now + d; w.rng.IntN(3) == 0 {
				k.deaf = never
			}
		})
	}},
	{"late copies", func(w *World, d time.Duration) { w.night.copies = 30; w.after(d, func() { w.night.copies = 0 }) }},
	{"cut but for its workers", func(w *World, d time.Duration) { w.Isolate(w.anyOf(), d) }},
	{"cut from its workers", func(w *World, d time.Duration) { w.Desert(w.anyOf(), d) }},
	{"back in a moment", func(w *World, d time.Duration) {
		until := w.now + d
		var again func()
		again = func() {
			if w.now < until {
				w.Crash(w.anyOf(), time.Duration(50+w.rng.IntN(900))*time.Millisecond)
				w.after(time.Duration(300+w.rng.IntN(6000))*time.Millisecond, again)
			}
		}
		w.Crash(w.anyOf(), d/2) // an election to fall into
		again()
	}},
	{"silent controllers", func(w *World, d time.Duration) { w.Freeze(w.anyOf(), d) }},
	{"machines back in a moment", func(w *World, d time.Duration) {
		w.some(30, func(k *worker) { k.restart(w.rng.IntN(2) != 0) })
	}},
	{"machines late or never", func(w *World, d time.Duration) {
		w.night.boot = func(usual time.Duration) time.Duration {
			return []time.Duration{usual / 20, 4 * usual, time.Hour}[w.rng.IntN(3)]
		}
		w.after(d, func() { w.night.boot = nil })
		w.some(30, func(k *worker) { w.kill(k.name) })
	}},
	{"mistaken jobs, faulty machines", func(w *World, d time.Duration) {
		for i := range 6 {
			w.Mistake(1000+i, time.Duration(i)*d/6)
		}
		w.some(10, func(k *worker) { k.sick = true })
	}},
	{"many questions", func(w *World, d time.Duration) {
		w.night.pollEvery = time.Second / 4
		w.after(d, func() { w.night.pollEvery = 2 * time.Second })
	}},
	{"guest's crowd", func(w *World, d time.Duration) {
		for i := range 90 {
			u := w.SubmitNight(2000+i, time.Duration(i)*d/90)
			u.job.Team, u.job.Class, u.job.Priority, u.job.Tasks, u.job.CPUs, u.job.Spot = "free", "crowd", "idle", 1, 0.5, true
		}
		u := w.SubmitNight(2100, 0)
		u.job.Team, u.job.Class, u.job.Priority, u.job.Tasks, u.job.CPUs, u.job.Spot = "free", "huge", "idle", 1500, 0.25, true
	}},
	{"off the network", func(w *World, d time.Duration) { w.Vanish(w.anyOf(), d) }},
	{"zones apart, packets held up", func(w *World, d time.Duration) { w.heldUp = true; w.apart(d) }},
	{"state service away", func(w *World, d time.Duration) { w.Outage(d, "") }},
	{"state service slow", func(w *World, d time.Duration) {
		w.night.slow = 2500 * time.Millisecond // a part of the answers comes too late
		w.after(d, func() { w.night.slow = 0 })
	}},
	{"transactions carried out late", func(w *World, d time.Duration) { w.night.lateTxns = 30; w.after(d, func() { w.night.lateTxns = 0 }) }},
	{"machines hang, commands held up", func(w *World, d time.Duration) {
		w.heldUp = true
		w.some(30, func(k *worker) {
			k.hang = w.now + time.Duration(1+w.rng.IntN(13))*time.Second
			for _, n := range w.nodes {
				if w.rng.IntN(2) == 0 {
					w.Cut(k.name, n.name, d/4)
				}
			}
		})
	}},
	{"all restarted one after the other", func(w *World, d time.Duration) {
		for i := range w.nodes {
			w.after(time.Duration(i)*d/time.Duration(len(w.nodes)), func() { w.Crash(i, time.Duration(100+w.rng.IntN(4000))*time.Millisecond) })
		}
	}},
	{"refused alone", func(w *World, d time.Duration) { w.Outage(d, w.nodes[w.anyOf()].name) }},
}

// TestBadNights plays the troubles met in service, each alone and each with each
// other, over three, five and nine controllers. Beside the rules, every job has
// to be known 75 s after the last trouble, at least half of each team, class and
// class's largest jobs to begin, and the largest within four minutes.
func TestBadNights(t *testing.T) {
	for seed := *first; seed < *first+*nights; seed++ {
		a, b := nightTrials(seed)
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			playNight(t, seed, func(*World) {})
		})
	}
}

// nightTrials returns the two troubles of a bad night.
func nightTrials(seed uint64) (a, b trial) {
	n := uint64(len(trials))
	return trials[seed%n], trials[(seed*7+seed/n)%n]
}

// playNight plays a bad night, beside what else begins with the world.
func playNight(t *testing.T, seed uint64, begin func(w *World)) {
	t.Helper()
	a, b := nightTrials(seed)
	w := NewNight(seed)
	begin(w)
	for i := range 75 {
		w.SubmitNight(i, time.Duration(w.rng.IntN(120))*time.Second)
	}
	end := time.Duration(0)
	for i, x := range []trial{a, b} {
		at, d := time.Duration(30+w.rng.IntN(40))*time.Second, time.Duration(15+w.rng.IntN(55))*time.Second
		if i == 0 || b.name != a.name {
			w.after(at, func() { x.do(w, d) })
		}
		end = max(end, at+d)
	}
	w.night.calmAt = end + 3*time.Duration(w.cfg.Workers.LeaseS)*time.Second // copies come so late
	w.Run(480 * time.Second)
	w.complain(t)
	for _, x := range w.Unserved() {
		t.Error(x)
	}
	if left := w.Unfinished(); len(left) > 0 {
		t.Errorf("not over long after the troubles: %v", left)
	}
	t.Logf("%d starts, %d completions, %d repeated commands", w.Starts, w.Dones, w.repeats.count)
}

// TestNightsCheckersBite plants one fault for each of the added rules: nobody can
// answer, the cloud has no machines, and it has them after five minutes.
func TestNightsCheckersBite(t *testing.T) {
	w := NewNight(2)
	w.SubmitNight(1, time.Second)
	w.Run(10 * time.Second)
	w.night.calmAt = w.now
	w.Outage(10*time.Minute, "")
	w.Run(80 * time.Second)
	if len(w.Broken()) == 0 {
		t.Error("a job was out of reach for 80 s, and nothing was said")
	}
	w = NewNight(2)
	w.most = 0
	w.SubmitNight(1, time.Second)
	w.Run(5 * time.Minute)
	if len(w.Unserved()) == 0 {
		t.Error("nothing began, and nothing was said")
	}
	w.most = 50
	w.Run(2 * time.Minute)
	if got := w.Unserved(); len(got) == 0 {
		t.Error("a job began after five minutes, and nothing was said")
	}
}

// holder is the controller that holds all machines.
func (w *World) holder(t *testing.T) int {
	t.Helper()
	for i, n := range w.nodes {
		if n.core.MachineCount() > 0 && n.core.MachineCount() == w.held() {
			return i
		}
	}
	t.Fatal("the machines are not in one place")
	return 0
}

// complain fails the test with the rules that are broken.
func (w *World) complain(t *testing.T) {
	for _, x := range w.Broken() {
		t.Error(x)
	}
}

// serviceNight builds a world with services that run on machines of one holder.
func serviceNight(t *testing.T, seed uint64) (w *World, holder int) {
	t.Helper()
	w = NewNight(seed)
	w.Run(5 * time.Second)
	for i := range 8 {
		w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "s", Team: "free", Shape: wire.Daemon, Priority: "production",
			Tasks: 1, CPUs: 3, MemoryGB: 2, Image: "a", ImageGB: 1}).submit()
	}
	w.Run(70 * time.Second)
	if w.Starts < 8 {
		t.Fatalf("%d starts, want 8", w.Starts)
	}
	return w, w.holder(t)
}

// TestDeafMachineIsReturned has nothing reach a machine that goes on reporting.
// What ran on it has to run elsewhere, and it has to be returned, within its lease,
// a round of all controllers and the time to notice. One that is deaf for some
// seconds only is kept.
func TestDeafMachineIsReturned(t *testing.T) {
	for _, kept := range []bool{false, true} {
		w, _ := serviceNight(t, 1)
		var victim *worker
		for _, k := range w.byName() {
			if len(k.tasks) > 0 {
				victim = k
			}
		}
		if victim.deaf = never; kept {
			victim.deaf = w.now + 6*time.Second
		}
		starts := w.Starts
		w.Run(time.Minute)
		w.complain(t)
		if victim.gone == kept || len(w.where) < 8 || (!kept && w.Starts == starts) {
			t.Errorf("deaf for some seconds only: %v; returned after a minute: %v, %d services run", kept, victim.gone, len(w.where))
		}
	}
}

// TestDesertedResigns cuts the holder of all machines off from the workers alone.
// Another has to go on with what runs, where it runs, and the holder has to get
// nothing back while it would lose it again.
func TestDesertedResigns(t *testing.T) {
	w, holder := serviceNight(t, 1)
	w.Desert(holder, 100*time.Second)
	starts := w.Starts
	w.Run(25 * time.Second)
	if n := w.nodes[holder].core.MachineCount(); n > 0 || w.held() == 0 {
		t.Errorf("after 25 s it holds %d machines, all together %d", n, w.held())
	}
	w.Run(100 * time.Second)
	w.complain(t)
	if w.Starts != starts {
		t.Errorf("%d tasks were started again", w.Starts-starts)
	}
}

// TestCutButForWorkers cuts the holder off from the state service and the other
// controllers. It has to tell users at once that it cannot serve them, its
// services have to go on where they run, and new work has to start elsewhere
// within the stated bound.
func TestCutButForWorkers(t *testing.T) {
	w, holder := serviceNight(t, 1)
	w.Isolate(holder, 120*time.Second)
	starts, n := w.Starts, w.nodes[holder]
	w.Run(8 * time.Second)
	if n.core.Healthy() {
		t.Error("healthy, cut off from all but its workers")
	}
	var code eventloop.ReplyCode
	asked, answered := w.now, time.Duration(0)
	n.ask(func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: "wk-000001"} },
		func(r eventloop.Reply) { code, answered = r.Code, w.now-asked })
	w.Run(time.Second)
	if code != eventloop.ReplyUnavailable || answered > 100*time.Millisecond {
		t.Errorf("a user gets %s after %v, want unavailable at once", code, answered)
	}
	u := w.newUser(wire.Job{ID: "wk-000500", Class: "a", Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 2, CPUs: 1, MemoryGB: 2,
		Image: "a", ImageGB: 1, Spot: true})
	u.submit()
	w.Run(isolatedBound - 9*time.Second)
	if u.begunAt == 0 {
		t.Errorf("nothing new has begun %v after the cut", isolatedBound)
	}
	w.Run(90 * time.Second)
	w.complain(t)
	if again := w.Starts - starts - u.job.Tasks; again > 0 {
		t.Errorf("%d tasks were started again", again)
	}
	if n.core.MachineCount() > 0 && w.held() == n.core.MachineCount() {
		t.Error("it got everything back by itself")
	}
}

// isolatedBound is from the cut to the first start elsewhere: the lease of a
// block, an election within it, and the asking of the machines.
const isolatedBound = 32 * time.Second

// TestSilentControllerIsReplaced freezes the controller that leads and holds all
// machines. Its block must be with another when its lease has lapsed, however
// long the election took, and nothing be started twice when it wakes.
func TestSilentControllerIsReplaced(t *testing.T) {
	w, holder := serviceNight(t, 1)
	for i, n := range w.nodes {
		if i == holder || n.name == w.leader() {
			w.Freeze(i, 75*time.Second)
		}
	}
	w.Run(27 * time.Second)
	others := 0
	for _, n := range w.nodes {
		if w.now >= n.frozen {
			others += n.core.MachineCount()
		}
	}
	if others == 0 {
		t.Error("27 s after it fell silent nobody else holds its machines")
	}
	w.Run(90 * time.Second)
	w.complain(t)
}
