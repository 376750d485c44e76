package simtest

import (
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

var (
	seeds = flag.Uint64("seeds", 24, "number of seeded days to play")
	first = flag.Uint64("first", 1, "first seed")
	large = flag.Uint64("large", 2, "number of seeded days of a large fleet to play")

	services = flag.Uint64("services", 6, "number of seeded days of services and wide arrays to play")
	restarts = flag.Uint64("restarts", 8, "number of seeded worlds in which a controller restarts")
	clouds   = flag.Uint64("clouds", 24, "number of seeded worlds beside faults of the cloud")
)

// trouble lets something go wrong every now and then.
func (w *World) trouble(until time.Duration) {
	r := w.rng
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		w.after(time.Duration(2+r.IntN(14))*time.Second, next)
		node := w.nodes[r.IntN(3)]
		var some *worker
		for _, k := range w.byName() {
			if k.up && !k.gone && r.IntN(4) == 0 {
				some = k
			}
		}
		d := time.Duration(1+r.IntN(25)) * time.Second
		w.heldUp = r.IntN(2) == 0
		switch r.IntN(11) {
		case 0:
			w.Crash(r.IntN(3), time.Duration(2+r.IntN(40))*time.Second)
		case 1:
			for i := range 3 {
				w.Crash(i, time.Duration(2000+r.IntN(3000))*time.Millisecond)
			}
		case 2:
			w.Outage(d, "")
		case 3:
			w.Outage(2*d, node.name)
		case 4: // the zones are apart
			w.apart(d)
		case 5:
			w.Cut(w.nodes[0].name, w.nodes[1+r.IntN(2)].name, 2*d)
		}
		if some == nil {
			return
		}
		switch r.IntN(7) {
		case 0: // loses the network
			for _, n := range w.nodes {
				w.Cut(some.name, n.name, d)
			}
		case 1: // cannot reach one controller
			w.Cut(some.name, node.name, 2*d)
		case 2:
			some.hang = w.now + time.Duration(1+r.IntN(18))*time.Second
		case 3:
			w.kill(some.name)
		case 4:
			if some.spot {
				some.notice = w.now + 5*time.Second
				name := some.name
				w.after(5*time.Second, func() { w.kill(name); delete(w.workers, name) })
			}
		case 5:
			some.sick = true
		}
	}
	w.after(10*time.Second, next)
}

// some does f to about share percent of the workers that are up.
func (w *World) some(share int, f func(k *worker)) {
	for _, k := range w.byName() {
		if k.up && !k.gone && w.rng.IntN(100) < share {
			f(k)
		}
	}
}

// apart cuts the zones off from each other.
func (w *World) apart(d time.Duration) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if a.zone != b.zone {
				w.Cut(a.name, b.name, d)
			}
		}
		for _, k := range w.byName() {
			if k.zone != a.zone {
				w.Cut(a.name, k.name, d)
			}
		}
	}
}

// TestSeededDays plays days full of combined troubles and checks the rules
// after each step; then lets things calm down and expects every job to end.
func TestSeededDays(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSeededDay(t, seed, func(*World) {})
		})
	}
}

// playSeededDay plays a day of TestSeededDays, beside what else begins with the world.
func playSeededDay(t *testing.T, seed uint64, begin func(w *World)) {
	t.Helper()
	w := New(seed)
	begin(w)
	for i := range 45 {
		w.Submit(i, time.Duration(w.rng.IntN(200))*time.Second)
	}
	w.trouble(220 * time.Second)
	w.Run(260 * time.Second)
	for _, b := range w.Broken() {
		t.Error(b)
	}
	if t.Failed() {
		return
	}
	w.Run(300 * time.Second)
	for _, b := range w.Broken() {
		t.Error(b)
	}
	if left := w.Unfinished(); len(left) > 0 {
		t.Errorf("not over long after the troubles: %v", left)
	}
	if w.Starts == 0 || w.Dones == 0 {
		t.Errorf("nothing ran: %d starts, %d completions", w.Starts, w.Dones)
	}
	// Jobs that stop each other in turn show as starts without end.
	if w.Starts > 4*w.Dones+300 {
		t.Errorf("%d starts for %d completions", w.Starts, w.Dones)
	}
}

// TestLargeFleet plays days of a fleet of up to 1,200 machines and five
// controllers, with a state service that takes few changes and small values:
// waves of losses, cuts, machines that hang, slow controllers, all of them
// crashing together, one refused by the state service. All rules are checked
// after each step; afterwards every job has to end.
func TestLargeFleet(t *testing.T) {
	for seed := *first; seed < *first+*large; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewLarge(seed)
			r := w.rng
			for i := range 110 {
				w.SubmitWide(i, time.Duration(r.IntN(45000))*time.Millisecond)
			}
			troubles := []func(){
				func() {
					for i := range w.nodes {
						w.Crash(i, time.Duration(2000+r.IntN(2000))*time.Millisecond)
					}
				},
				func() { // a wave
					w.some(35, func(k *worker) {
						if k.spot {
							k.notice = w.now + 5*time.Second
							w.after(5*time.Second, func() { w.kill(k.name); delete(w.workers, k.name) })
						}
					})
				},
				func() {
					d := time.Duration(3+r.IntN(12)) * time.Second
					w.heldUp = r.IntN(2) == 0
					w.some(10, func(k *worker) {
						for _, n := range w.nodes {
							w.Cut(k.name, n.name, d)
						}
					})
				},
				func() {
					w.some(3, func(k *worker) { k.hang = w.now + time.Duration(1+r.IntN(25))*time.Second })
				},
				func() {
					w.Slow(r.IntN(5), 8*time.Second)
					w.Slow(r.IntN(5), 8*time.Second)
				},
				func() { w.Crash(r.IntN(5), 40*time.Second) },
				func() { w.Outage(25*time.Second, w.nodes[r.IntN(5)].name) },
				func() { w.Outage(time.Duration(3+r.IntN(8))*time.Second, "") },
				func() {
					for _, a := range w.nodes {
						for _, b := range w.nodes {
							if a != b {
								w.Cut(a.name, b.name, 10*time.Second)
							}
						}
					}
				},
			}
			for i, at := range r.Perm(9) {
				w.after(time.Duration(15+6*at)*time.Second, troubles[i])
			}
			most, form, parted := 0, 0, 0
			for range 24 {
				w.Run(5 * time.Second)
				most = max(most, w.held())
				for _, n := range w.nodes {
					form, parted = max(form, n.core.LeaseForm()), max(parted, n.core.ShardedTeams())
				}
			}
			w.Run(300 * time.Second)
			for _, b := range w.Broken() {
				t.Error(b)
			}
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over long after the troubles: %v", left)
			}
			if most < 250 || w.Dones < 2000 {
				t.Errorf("at most %d machines in blocks, %d completions: not a large day", most, w.Dones)
			}
			if seed%2 == 1 && (form != 2 || parted != 2) {
				t.Errorf("lease value in form %d, the limits of %d teams parted", form, parted)
			}
			t.Logf("form %d, %d machines in blocks, %d starts, %d completions, %d homes moved", form, most, w.Starts, w.Dones, w.moves)
		})
	}
}

// TestServices plays days of services that spread over two zones beside wide
// urgent arrays, with short worker leases: zones apart with messages held,
// waves without notice, everybody crashing within an outage, restarts one
// after the other. All rules are checked after each step, the spread and the
// limits among them; afterwards every job has to end.
func TestServices(t *testing.T) {
	for seed := *first; seed < *first+*services; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewServices(seed)
			r := w.rng
			for i := range 60 {
				w.SubmitMixed(i, time.Duration(r.IntN(90000))*time.Millisecond)
			}
			troubles := []func(){
				func() { // the zones are apart, longer than a lease
					w.heldUp = true
					d := time.Duration(12+r.IntN(14)) * time.Second
					w.apart(d)
					w.after(d/3, func() { w.Crash(r.IntN(5), 6*time.Second) })
				},
				func() {
					w.some(40, func(k *worker) {
						if k.spot {
							w.kill(k.name)
						}
					})
				},
				func() {
					w.Outage(12*time.Second, "")
					w.after(time.Duration(r.IntN(10000))*time.Millisecond, func() {
						for i := range w.nodes {
							w.Crash(i, 6*time.Second)
						}
					})
				},
				func() {
					for i := range w.nodes {
						w.after(time.Duration(4*i)*time.Second, func() { w.Crash(i, 6*time.Second) })
					}
				},
				func() { w.some(8, func(k *worker) { k.hang = w.now + time.Duration(1+r.IntN(25))*time.Second }) },
				func() { w.Outage(25*time.Second, w.nodes[r.IntN(5)].name) },
			}
			for i, at := range r.Perm(len(troubles)) {
				w.after(time.Duration(20+15*at)*time.Second, troubles[i])
			}
			w.Run(420 * time.Second)
			for _, b := range w.Broken() {
				t.Error(b)
			}
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over long after the troubles: %v", left)
			}
			if w.Dones < 500 {
				t.Errorf("%d completions: nothing much ran", w.Dones)
			}
			t.Logf("%d starts, %d completions", w.Starts, w.Dones)
		})
	}
}

// held counts the machines in the blocks of all controllers.
func (w *World) held() int {
	n := 0
	for _, node := range w.nodes {
		if node.up {
			n += node.core.MachineCount()
		}
	}
	return n
}

// TestUnknownJob expects 404 for a job that nobody submitted, and 503 while
// that cannot be confirmed.
func TestUnknownJob(t *testing.T) {
	w := New(1)
	w.Run(5 * time.Second)
	ask := func() (code eventloop.ReplyCode) {
		w.nodes[0].ask(func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: "wk-999999"} },
			func(r eventloop.Reply) { code = r.Code })
		w.Run(3 * time.Second)
		return code
	}
	if got := ask(); got != eventloop.ReplyNotFound {
		t.Errorf("unknown job: %s, want not found", got)
	}
	w.Outage(time.Minute, "")
	if got := ask(); got != eventloop.ReplyUnavailable {
		t.Errorf("unknown job during an outage: %s, want unavailable", got)
	}
}

// TestCancelSeenEverywhere cancels at one controller and polls another at
// once: a stale answer would be older than what the user was told.
func TestCancelSeenEverywhere(t *testing.T) {
	w := New(2)
	w.Run(5 * time.Second)
	u := &user{w: w, doneTasks: map[string]bool{}, wantsCancel: true,
		job: wire.Job{ID: "wk-000500", Team: "free", Shape: wire.Daemon, Priority: "standard", Tasks: 1, CPUs: 1, Spot: true}}
	w.users[u.job.ID] = u
	u.submit()
	w.Run(8 * time.Second)
	told := ""
	w.nodes[0].ask(func(req uint64) eventloop.Event { return eventloop.CancelRequest{Req: req, ID: u.job.ID} },
		func(r eventloop.Reply) {
			if r.Code != eventloop.ReplyOK {
				t.Fatalf("cancel: %s", r.Code)
			}
			w.nodes[1].ask(func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: u.job.ID} },
				func(r eventloop.Reply) {
					if a, ok := r.Body.(wire.JobAnswer); ok {
						told = a.State
					}
				})
		})
	w.Run(3 * time.Second)
	if told != wire.Cancelled {
		t.Errorf("polled as %q after the cancellation", told)
	}
}

// TestCancelledStaysDead has a worker turn to a controller that has restarted
// since a job was cancelled. It knows nothing of a job that is over, and must
// not keep the job's tasks alive all the same.
func TestCancelledStaysDead(t *testing.T) {
	w := New(3)
	w.Run(5 * time.Second)
	u := &user{w: w, doneTasks: map[string]bool{}, wantsCancel: true,
		job: wire.Job{ID: "wk-000501", Team: "free", Shape: wire.Daemon, Priority: "standard", Tasks: 2, CPUs: 1, Spot: true}}
	w.users[u.job.ID] = u
	u.accepted = true // so that the user does not poll, which would tell
	u.submit()
	w.Run(20 * time.Second)
	if w.Starts != 2 {
		t.Fatalf("%d starts, want 2", w.Starts)
	}
	k := w.byName()[0]
	report := k.body() // as a worker sends it that has not heard of the end
	u.cancel()
	w.Run(100 * time.Millisecond)
	if u.told != wire.Cancelled {
		t.Fatalf("cancel: told %q", u.told)
	}
	other := (k.node + 1) % 3
	w.Crash(other, 100*time.Millisecond)
	w.Run(time.Second) // soon enough for the machine still to be in a block
	kept := 0
	for range 3 { // the first time the worker is sent back to its owner
		report.Sequence++
		w.nodes[other].ask(func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: report} },
			func(r eventloop.Reply) {
				a, ok := r.Body.(wire.HeartbeatAnswer)
				if !ok || r.Code != eventloop.ReplyOK {
					return
				}
				kept++
				if len(a.Commands) != len(report.Tasks) || a.Commands[0].Op != wire.CommandHalt {
					t.Errorf("kept alive with commands %v", a.Commands)
				}
			})
		w.Run(100 * time.Millisecond)
	}
	if kept == 0 {
		t.Error("never answered, so nothing was tested")
	}
}

// TestRefusedAloneResigns has the state service refuse the controller that is
// home to the jobs, leader or not, for longer than any lease. It must give its
// block up, so that its jobs end elsewhere, without any rule being broken.
func TestRefusedAloneResigns(t *testing.T) {
	for victim := range 3 {
		w := New(uint64(20 + 2*victim)) // even: homes are spread
		w.Run(6 * time.Second)
		for i := range 9 {
			w.Submit(i, time.Duration(i)*time.Second)
		}
		w.Run(14 * time.Second)
		w.Outage(70*time.Second, w.nodes[victim].name)
		w.Run(20 * time.Second)
		if w.nodes[victim].core.MachineCount() > 0 {
			t.Errorf("%s holds machines 20 s after the state service refused it", w.nodes[victim].name)
		}
		w.Run(160 * time.Second)
		for _, b := range w.Broken() {
			t.Error(b)
		}
		if left := w.Unfinished(); len(left) > 0 {
			t.Errorf("%s refused: not over: %v", w.nodes[victim].name, left)
		}
	}
}

// TestRefusedLeader has the state service refuse the controller that leads and
// holds all machines. It cannot read who leads after it, and its successor has
// to hear of its resignation all the same.
func TestRefusedLeader(t *testing.T) {
	w := New(21) // odd: all homes are in one place
	w.Run(6 * time.Second)
	for i := range 9 {
		w.Submit(i, time.Duration(i)*time.Second)
	}
	w.Run(14 * time.Second)
	var holder *simNode
	for _, n := range w.nodes {
		if n.core.MachineCount() > 0 {
			holder = n
		}
	}
	if holder == nil || holder.core.MachineCount() != w.held() {
		t.Fatal("the machines are not in one place")
	}
	w.Outage(70*time.Second, holder.name)
	w.Run(18 * time.Second)
	if holder.core.MachineCount() > 0 || w.held() == 0 {
		t.Errorf("18 s after the refusal %s holds %d machines, all together %d", holder.name, holder.core.MachineCount(), w.held())
	}
}

// TestCutMachinesAreKept parts the zones for longer than a worker's lease.
// The far machines are heard by the controller in their own zone, so their
// owner must neither return them meanwhile nor afterwards. The seed is one
// whose workers try that controller before their leases end, which they do
// not when both others come first.
func TestCutMachinesAreKept(t *testing.T) {
	w := New(11)
	w.Run(5 * time.Second)
	for i := range 4 {
		u := &user{w: w, doneTasks: map[string]bool{}, wantsCancel: true,
			job: wire.Job{ID: fmt.Sprintf("wk-%06d", 600+i), Team: "free", Shape: wire.Daemon, Priority: "standard",
				Tasks: 1, CPUs: 3, Zone: []string{"x", "y"}[i%2], Spot: true}}
		w.users[u.job.ID] = u
		u.submit()
	}
	w.Run(90 * time.Second)
	if w.Starts < 4 {
		t.Fatalf("%d starts, want 4", w.Starts)
	}
	w.apart(18 * time.Second)
	w.Run(60 * time.Second)
	for _, b := range w.Broken() {
		t.Error(b)
	}
	if w.Starts != 4 {
		t.Errorf("%d starts: tasks were lost with their machines", w.Starts)
	}
}

// TestSameSeedSameDay: two plays of a seed ask for the same things in the same
// moments. Else a failing seed could not be played again, and a change that is
// to change nothing could not be told from one that does.
func TestSameSeedSameDay(t *testing.T) {
	t.Parallel()
	for name, build := range map[string]func(uint64) *World{"small": New, "large": NewLarge} {
		for _, seed := range []uint64{3, 4} {
			var sums [2]uint64
			for i := range sums {
				w := build(seed)
				w.trace = fnv.New64a()
				for k := range 20 {
					w.Submit(k, time.Duration(w.rng.IntN(60))*time.Second)
				}
				w.trouble(80 * time.Second)
				w.Run(100 * time.Second)
				sums[i] = w.trace.Sum64()
			}
			t.Logf("%s, seed %d: %016x", name, seed, sums[0])
			if sums[0] != sums[1] {
				t.Errorf("%s, seed %d: played two days, %016x and %016x", name, seed, sums[0], sums[1])
			}
		}
	}
}

// TestHomesMoveBack has controllers taken over one after the other while jobs
// come in, some of them twice, and expects the homes to spread again over all
// of them with every rule kept: no task of a home that moves runs anywhere,
// none that was completed is forgotten.
func TestHomesMoveBack(t *testing.T) {
	for seed := *first; seed < *first+*large; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewLarge(2*seed - 1)
			for i := range 140 {
				w.SubmitWide(i, time.Duration(w.rng.IntN(200000))*time.Millisecond)
			}
			for i := range 6 {
				// The leader is among them, and whoever took over last.
				w.after(time.Duration(15+25*i)*time.Second, func() { w.Crash(w.rng.IntN(len(w.nodes)), 30*time.Second) })
			}
			w.Run(420 * time.Second)
			for _, b := range w.Broken() {
				t.Error(b)
			}
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over: %v", left)
			}
			homes := w.nodes[0].core.Partitions()
			for _, team := range w.cfg.Teams {
				count := cluster.CountPartitions(homes, team.Name)
				least, most := len(homes), 0
				for _, n := range w.nodes {
					least, most = min(least, count[n.name]), max(most, count[n.name])
				}
				if most-least > 1 {
					t.Errorf("homes of %s are with %v", team.Name, count)
				}
			}
			t.Logf("%d starts, %d completions, %d homes moved", w.Starts, w.Dones, w.moves)
			if w.moves == 0 {
				t.Error("no home has moved between controllers that live")
			}
		})
	}
}
