package simtest

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

var moving = flag.Uint64("moving", 18, "number of seeded worlds to play in which jobs move at every chance")

// TestNobodyWaitsBesideAnothersRoom: homes are parted over controllers and there is more
// work than room. No job of which nothing runs waits for 90 s beside a machine with room
// for it, be it another controller's (seeds 6, 12, 17, 26, with tasks completed 25, 59), one that is kept for an
// overdue job that does not fit for long (30), or one that the leader wants back and
// that a task of minutes keeps (16, 20).
func TestNobodyWaitsBesideAnothersRoom(t *testing.T) {
	par := cluster.Defaults()
	par.SinglePartitionBelow = 0
	for _, seed := range []uint64{6, 12, 16, 17, 20, 25, 26, 30, 59} {
		w := fullFleet(seed, par)
		w.night.calmAt = 30 * time.Second
		w.WatchNeglect()
		w.Run(400 * time.Second)
		for _, x := range w.Broken() {
			t.Errorf("seed %d: %s", seed, x)
		}
	}
}

// TestMovesMeetTroubles: jobs move as soon as another controller has room for them, again
// and again, while leaders and owners end, stand still and are cut off, and while the
// records that move them are carried out late or without an answer. Nothing runs twice.
func TestMovesMeetTroubles(t *testing.T) {
	moves := 0
	par := cluster.Defaults()
	par.SinglePartitionBelow, par.MoveJobAfter = 0, 0
	for seed := *first; seed < *first+*moving; seed++ {
		w := fullFleet(seed, par)
		d := 40 * time.Second
		for i, k := range w.rng.Perm(len(meetings))[:3] {
			w.after(20*time.Second+time.Duration(i)*d, func() { meetings[k].do(w, d) })
		}
		if seed%3 > 0 { // of what moves jobs, and of nothing else
			w.after(25*time.Second, func() { w.lateWrites(2*time.Minute, 50, "fc/j/") })
		}
		for range 6 {
			w.after(w.within(140*time.Second), func() { w.Crash(w.busiest(), w.within(25*time.Second)) })
		}
		w.night.calmAt = 300 * time.Second
		w.Run(420 * time.Second)
		for _, x := range w.Broken() {
			t.Errorf("seed %d: %s", seed, x)
		}
		moves += w.jobMoves
	}
	if t.Logf("%d jobs moved", moves); moves < int(*moving) {
		t.Error("hardly any job moved")
	}
}

// TestLateMove: the write that moves a job gets no answer and is carried out seconds
// later, or never, while its owner, or the new one, ends or stands still meanwhile. The job
// is started by one of them and not by both.
func TestLateMove(t *testing.T) {
	for _, late := range []time.Duration{0, time.Second, 3 * time.Second} {
		for _, trouble := range []string{"", "owner ends", "owner ends for long", "owner stands still", "new one ends", "all end"} {
			t.Run(fmt.Sprintf("%v, %s", late, trouble), func(t *testing.T) {
				t.Parallel()
				par := cluster.Defaults()
				par.SinglePartitionBelow, par.MoveJobAfter = 0, 0
				moves := 0
				for _, seed := range []uint64{12, 17} {
					w := fullFleet(seed, par)
					w.night.late = lateMoves(w, late, func(from string) {
						at := w.index(from)
						w.after(w.within(late+100*time.Millisecond), func() {
							switch trouble {
							case "owner ends":
								w.Crash(at, w.within(2*time.Second))
							case "owner ends for long":
								w.Crash(at, 40*time.Second)
							case "owner stands still":
								w.Freeze(at, 5*time.Second+w.within(30*time.Second))
							case "new one ends":
								w.Crash((at+1+w.rng.IntN(len(w.nodes)-1))%len(w.nodes), w.within(25*time.Second))
							case "all end":
								for i := range w.nodes {
									w.Crash(i, w.within(10*time.Second))
								}
							}
						})
					})
					w.night.calmAt = 360 * time.Second
					w.Run(420 * time.Second)
					for _, x := range w.Broken() {
						t.Errorf("seed %d: %s", seed, x)
					}
					moves += w.jobMoves
				}
				t.Logf("%d jobs moved", moves)
			})
		}
	}
}

// lateMoves has every transaction that moves a job carried out late by a time and without
// an answer. then is told who sent it, the first few times and 30 s apart.
func lateMoves(w *World, late time.Duration, then func(from string)) func(from string, t wire.Txn) (time.Duration, bool) {
	next, left := time.Duration(0), 6
	return func(from string, t wire.Txn) (time.Duration, bool) {
		moves := len(t.Then) == 1 && strings.HasPrefix(t.Then[0].Put, "fc/j/") &&
			slices.ContainsFunc(t.If, func(c wire.Condition) bool { return c.Key == leasevalue.Key })
		if moves && left > 0 && w.now >= next {
			next, left = w.now+30*time.Second, left-1
			then(from)
		}
		return late, moves
	}
}
