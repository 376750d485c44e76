package simtest

import (
	"flag"
	"fmt"
	"testing"
	"time"
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
		w.some(25, func(k *worker) { k.deaf = w.now + d })
	}},
	{"late copies", func(w *World, d time.Duration) {
		w.night.copies = 30
		w.after(d, func() { w.night.copies = 0 })
	}},
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
		w.some(30, func(k *worker) {
			k.clear()
			k.session, k.lease, k.known, k.tasks = k.session+1, w.now, map[string]bool{}, nil
		})
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
		w.night.pollEvery = 250 * time.Millisecond
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
	{"refused alone", func(w *World, d time.Duration) { w.Outage(d, w.nodes[w.anyOf()].name) }},
}

// TestBadNights plays the troubles met in service, each alone and each with each
// other, over three, five and nine controllers. Beside the rules, every job has
// to be known 75 s after the last trouble, at least half of each team, class and
// class's largest jobs to begin, and the largest within four minutes.
func TestBadNights(t *testing.T) {
	n := uint64(len(trials))
	for seed := *first; seed < *first+*nights; seed++ {
		a, b := trials[seed%n], trials[(seed*7+seed/n)%n]
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			w := NewNight(seed)
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
			for _, x := range w.Broken() {
				t.Error(x)
			}
			for _, x := range w.Unserved() {
				t.Error(x)
			}
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over long after the troubles: %v", left)
			}
			t.Logf("%d starts, %d completions", w.Starts, w.Dones)
		})
	}
}

// TestNightsCheckersBite plants one fault for each of the added rules.
func TestNightsCheckersBite(t *testing.T) {
	t.Run("forgotten", func(t *testing.T) {
		w := NewNight(2)
		w.SubmitNight(1, time.Second)
		w.Run(10 * time.Second)
		w.night.calmAt = w.now
		w.Outage(10*time.Minute, "") // nobody can answer
		w.Run(80 * time.Second)
		if len(w.Broken()) == 0 {
			t.Error("a job was out of reach for 80 s, and nothing was said")
		}
	})
	t.Run("unserved", func(t *testing.T) {
		w := NewNight(2)
		w.most = 0 // the cloud has no machines
		for i := range 10 {
			w.SubmitNight(i, time.Second)
		}
		w.Run(time.Minute)
		if len(w.Unserved()) == 0 {
			t.Error("nothing began, and nothing was said")
		}
	})
	t.Run("late", func(t *testing.T) {
		w := NewNight(2)
		w.most = 0
		w.SubmitNight(1, time.Second)
		w.Run(5 * time.Minute)
		w.most = 50
		w.Run(2 * time.Minute)
		if got := w.Unserved(); len(got) == 0 {
			t.Error("a job began after five minutes, and nothing was said")
		}
	})
}
