package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
)

// TestCancelledInTheHandOver: one controller's work changes hands because it crashes,
// stands still, leaves or loses everybody, and eight services are cancelled one after
// the other, in each step of that: the lease lapses, somebody leads, the block is
// granted, the new owner has the record and has not heard the machine (which reports to
// the third for a while, or to nobody), the first report comes, the old owner is back.
// It is told by the old owner, the new one and the third: whoever can be reached. All
// has to be gone in time, stay gone, and nothing else be started again.
func TestCancelledInTheHandOver(t *testing.T) {
	moments := []time.Duration{200, 8000, 13500, 20700, 21600, 23000, 27000, 36000} // in milliseconds
	for what, end := range map[string]func(w *World, i int){
		"crashes":         func(w *World, i int) { w.Crash(i, 32*time.Second) },
		"is back at once": func(w *World, i int) { w.Crash(i, 500*time.Millisecond) },
		"stands still":    func(w *World, i int) { w.Freeze(i, 32*time.Second) },
		"leaves": func(w *World, i int) {
			w.nodes[i].step(eventloop.Shutdown{})
			w.after(2*time.Second, func() { w.Crash(i, 10*time.Second) })
		},
		"loses everybody": func(w *World, i int) { w.Vanish(i, 32*time.Second) },
	} {
		for by, name := range []string{"old owner", "new owner", "third"} {
			for _, unheard := range []bool{false, true} {
				w, old := serviceNight(t, 3)
				about := fmt.Sprintf("old owner %s, cancelled by the %s, unheard: %v", what, name, unheard)
				starts := w.Starts
				holder := func() int {
					for i, n := range w.nodes {
						if i != old && n.up && n.core.MachineCount() > 0 {
							return i
						}
					}
					return old
				}
				w.after(time.Millisecond, func() { end(w, old) })
				for i, at := range moments {
					u := w.users[fmt.Sprintf("wk-%06d", i)]
					u.wantsCancel = true
					var try func()
					try = func() {
						if u.told != "" {
							return
						}
						at := holder()
						switch {
						case by == 0 || at == old:
							at = old
						case by == 2:
							at = 3 - old - at
						}
						if n := w.nodes[at]; n.up && w.now >= n.frozen {
							u.cancelThrough(n)
						} else {
							u.cancelThrough(w.nodes[(old+1)%3])
						}
						w.after(2500*time.Millisecond, try)
					}
					w.after(at*time.Millisecond, try)
				}
				if unheard {
					var cut func()
					cut = func() {
						if at := holder(); at != old {
							w.some(60, func(k *worker) { w.Cut(k.name, w.nodes[at].name, 9*time.Second) })
							return
						}
						w.after(100*time.Millisecond, cut)
					}
					w.after(100*time.Millisecond, cut)
				}
				w.Run(110 * time.Second)
				for _, x := range w.Broken() {
					t.Errorf("%s: %s", about, x)
				}
				if len(w.where) > 0 || len(w.doomed) < len(moments) {
					t.Errorf("%s: 74 s after the last moment %d tasks run, %d of %d cancellations are told", about, len(w.where), len(w.doomed), len(moments))
				}
				if w.Starts > starts+8 {
					t.Errorf("%s: %d starts", about, w.Starts-starts)
				}
			}
		}
	}
}
