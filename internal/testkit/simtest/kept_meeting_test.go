package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// TestOldReportsMeetTheNextLeader keeps every report of a minute in which sessions end,
// tasks complete, are tried again and change their owner, and delivers them all, at all
// controllers within a millisecond, when another one leads: before its first true
// report, or up to 6 s later. Nothing is started twice, told too early or forgotten for
// it; services go on where they run; and no machine is returned with work on it.
func TestOldReportsMeetTheNextLeader(t *testing.T) {
	for what, end := range map[string]func(w *World, i int){
		"crashes":      func(w *World, i int) { w.Crash(i, 25*time.Second) },
		"stands still": func(w *World, i int) { w.Freeze(i, 25*time.Second) },
		"leaves": func(w *World, i int) {
			w.nodes[i].step(eventloop.Shutdown{})
			w.after(3*time.Second, func() { w.Crash(i, time.Second) })
		},
	} {
		for _, seed := range []uint64{3, 6, 18} { // with all work in one place, and spread
			w := NewNight(seed)
			w.Run(5 * time.Second)
			for i, team := range []string{"red", "blue", "free"} {
				w.replicas(10*i, 4, team, 1.5)
			}
			w.Run(70 * time.Second)
			about := fmt.Sprintf("seed %d, the leader %s", seed, what)
			w.night.forNext = 100
			for i := range 12 {
				u := w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", 100+i), Class: "a", Team: []string{"red", "blue", "free"}[i%3], Shape: wire.Array, Priority: "standard",
					Tasks: 4, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true, EstimateS: 8})
				u.apart = 9 * time.Second
				w.after(w.within(50*time.Second), u.submit)
			}
			w.after(10*time.Second, func() { // sessions end, and what ran is tried again
				n := 0
				w.some(100, func(k *worker) {
					if n++; n%3 == 0 {
						k.Mute(config.Seconds(w.cfg.Workers.LeaseS) + 3*time.Second)
					}
				})
			})
			w.after(34*time.Second, func() { w.Crash(w.busiest(), 2*time.Second) }) // and change their owner
			w.Run(58 * time.Second)
			running := map[string]string{}
			for name, k := range w.where {
				if u := w.users[name[:9]]; u.job.Shape == wire.Daemon {
					running[name] = k.name
				}
			}
			kept := len(w.night.kept)
			at := w.leading()
			end(w, at)
			w.Run(40 * time.Second)
			w.night.forNext = 0
			w.Run(80 * time.Second)
			for _, x := range append(w.Broken(), w.returned...) {
				t.Errorf("%s: %s", about, x)
			}
			for name, k := range running {
				if w.where[name] == nil || w.where[name].name != k {
					t.Errorf("%s: %s was on %s and is not any more", about, name, k)
				}
			}
			if kept < 100 || w.index(w.leader()) == at {
				t.Errorf("%s: %d reports were kept, and %s leads", about, kept, w.leader())
			}
			for i := range 12 {
				if u := w.users[fmt.Sprintf("wk-%06d", 100+i)]; u.told != wire.Done {
					t.Errorf("%s: %s has %d of %d tasks, told %q", about, u.job.ID, len(u.doneTasks), u.job.Tasks, u.told)
				}
			}
		}
	}
}
