package simtest

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

var looksToPlay = flag.Uint64("looks", 9, "number of seeded meetings of close looks and lost answers to play")

// lookAtMost has the users of so many percent of jobs look closely at every moment, and
// cancel at once now and then.
func (w *World) lookAtMost(d time.Duration, share int) {
	until := w.now + d
	w.night.look = func(u *user, m moment) {
		if w.now < until && w.rng.IntN(100) < share {
			u.lookClosely(m, w.rng.IntN(5) == 0)
		}
	}
}

// allWrites are the writes of controllers by name.
var allWrites = []string{aSubmission, aCancellation, anEnd, aPage, theValue, aRenewal, aLevel, aRewriting, theGeneration, aCheck}

// looks are the troubles that answers to users may suffer from. Each begins at once.
var looks = []trial{
	{"close looks", func(w *World, d time.Duration) { w.lookAtMost(d, 60) }},
	{"close looks, a controller has just started", func(w *World, d time.Duration) {
		w.lookAtMost(d, 60)
		for i := range 6 {
			w.after(time.Duration(i)*d/6+w.within(d/8), func() { w.Crash(w.anyOf(), 20*time.Millisecond+w.within(600*time.Millisecond)) })
		}
	}},
	{"close looks, one is cut off", func(w *World, d time.Duration) {
		w.lookAtMost(d+10*time.Second, 60)
		w.Isolate(w.anyOf(), 3*time.Second+w.within(d))
	}},
	{"close looks, watches lag", func(w *World, d time.Duration) {
		w.lookAtMost(d, 60)
		w.lag(d, 5*time.Second)
	}},
	{"close looks, owners change", func(w *World, d time.Duration) {
		w.lookAtMost(d, 60)
		for i := range 3 {
			w.after(time.Duration(i)*d/3+w.within(d/6), func() {
				at := w.busiest()
				if n := w.nodes[at]; n.up && w.now >= n.frozen && w.rng.IntN(2) == 0 {
					n.step(eventloop.Shutdown{})
				}
				w.after(w.within(2*time.Second), func() { w.Crash(at, w.within(9*time.Second)) })
			})
		}
	}},
	{"close looks, answers of the state service are slow", func(w *World, d time.Duration) {
		w.lookAtMost(d, 60)
		w.night.answersSlow = map[string]time.Duration{}
		for _, n := range w.nodes {
			w.night.answersSlow[n.name] = w.within(1800 * time.Millisecond)
		}
		w.after(d, func() { w.night.answersSlow = nil })
		w.cancelSome(30, d)
	}},
	{"cancelled at the end", func(w *World, d time.Duration) {
		until := w.now + d + 20*time.Second
		w.night.slow = w.within(500 * time.Millisecond) // so that it meets the end on its way
		w.after(d+20*time.Second, func() { w.night.slow = 0 })
		w.night.look = func(u *user, m moment) {
			if w.now < until && m == lastEnded {
				w.after(w.within(900*time.Millisecond), func() { u.lookClosely(m, true) })
			}
		}
	}},
	{"answers lost", func(w *World, d time.Duration) {
		w.lookAtMost(d+10*time.Second, 60)
		w.loseAnswers(d, 15+w.rng.IntN(50), allWrites...)
		w.cancelSome(30, d)
	}},
	{"answers lost, of one kind", func(w *World, d time.Duration) {
		w.lookAtMost(d+10*time.Second, 60)
		w.loseAnswers(d, 85, allWrites[w.rng.IntN(len(allWrites))])
		w.cancelSome(30, d)
		w.after(w.within(d), func() { w.Crash(w.leading(), w.within(15*time.Second)) })
	}},
}

// lag has the watches of half of the controllers lag by up to most, for d.
func (w *World) lag(d, most time.Duration) {
	w.night.watchLag = map[string]time.Duration{}
	for _, n := range w.nodes {
		if w.rng.IntN(2) == 0 {
			w.night.watchLag[n.name] = w.within(most)
		}
	}
	w.after(d, func() { w.night.watchLag = nil })
}

// TestCloseLooks plays each look alone, beside each other one and beside each meeting of
// troubles. Rules as everywhere, and no answer is older than what anybody was told.
func TestCloseLooks(t *testing.T) {
	all := slices.Concat(looks, meetings)
	for seed := *first; seed < *first+*looksToPlay; seed++ {
		a := looks[seed%uint64(len(looks))]
		beside := trial{name: "alone"}
		if round := seed / uint64(len(looks)); round > 0 {
			beside = all[(round*4+seed)%uint64(len(all))]
		}
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, beside.name), func(t *testing.T) {
			t.Parallel()
			w := newMeeting(seed)
			for i := range 40 {
				u := w.SubmitNight(i, time.Duration(w.rng.IntN(90))*time.Second)
				u.job.Tasks = min(u.job.Tasks, 12)
			}
			at, d := time.Duration(30+w.rng.IntN(20))*time.Second, time.Duration(15+w.rng.IntN(25))*time.Second
			w.after(at, func() { a.do(w, d) })
			if beside.do != nil && beside.name != a.name {
				w.after(at+w.within(10*time.Second)-5*time.Second, func() { beside.do(w, d) })
			}
			w.night.calmAt = at + 2*d + 75*time.Second + 3*time.Duration(w.cfg.Workers.LeaseS)*time.Second
			w.Run(400 * time.Second)
			w.complain(t)
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over long after the troubles: %v", left)
			}
			if beside.do == nil && w.night.looks[eventloop.ReplyOK] == 0 {
				t.Error("no close look was answered")
			}
			t.Logf("%d starts, %d completions, close looks after %v, by status %v, answers lost %v", w.Starts, w.Dones, w.night.looked, w.night.looks, w.night.lost)
		})
	}
}

// TestLostAnswers has all writes of one kind carried out at once and their answers lost,
// for a while in which such writes are sure to be made and the watches of some lag, and
// users look closely at each job that they change. Nothing may take effect twice or be told in two ways, and
// afterwards every job has to end.
func TestLostAnswers(t *testing.T) {
	const from, d = 40 * time.Second, 14 * time.Second
	provoke := map[string]func(w *World){
		aCancellation: func(w *World) { w.cancelSome(100, d) },
		aRenewal: func(w *World) {
			for _, n := range w.nodes[1:] {
				w.Cut(n.name, w.nodes[0].name, d)
				w.Cut(n.name, w.nodes[len(w.nodes)-1].name, d)
			}
		},
		aLevel:        func(w *World) { w.Crash(w.leading(), time.Second) },
		theGeneration: func(w *World) { w.LoseState(2 * time.Second) },
	}
	for seed, kind := range allWrites {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			w := newMeeting(uint64(2*seed + 2))
			if kind == aRewriting {
				w.Begin(feature.Current(), from-5*time.Second) // so that there are records to rewrite
			}
			for i := range 24 {
				u := w.SubmitNight(i, time.Duration(i)*3*time.Second)
				u.job.Tasks = min(u.job.Tasks, 9)
			}
			w.after(from, func() {
				w.lookAtMost(d+20*time.Second, 100)
				w.loseAnswers(d, 100, kind)
				w.lag(d, 2*time.Second) // so that some have not seen what was written
				if f := provoke[kind]; f != nil {
					f(w)
				}
			})
			w.night.calmAt = from + d + 75*time.Second
			w.Run(260 * time.Second)
			w.complain(t)
			if left := w.Unfinished(); len(left) > 0 {
				t.Errorf("not over long after the answers were lost: %v", left)
			}
			if w.night.lost[kind] == 0 {
				t.Error("no answer was lost")
			}
			t.Logf("%d answers lost, close looks after %v, by status %v", w.night.lost[kind], w.night.looked, w.night.looks)
		})
	}
}

// TestCancelledAtTheEnd cancels one-task jobs in the moments in which their ends are
// stored, through every controller. Whichever comes first, all are told the same.
func TestCancelledAtTheEnd(t *testing.T) {
	w := newMeeting(2) // five controllers
	w.Run(20 * time.Second)
	for i := range 120 {
		u := w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 1,
			CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true})
		w.after(time.Duration(i)*250*time.Millisecond, u.submit)
	}
	w.night.slow = 400 * time.Millisecond
	w.night.look = func(u *user, m moment) {
		if m == lastEnded {
			w.after(w.within(900*time.Millisecond), func() { u.lookClosely(m, true) })
		}
	}
	w.Run(3 * time.Minute)
	w.complain(t)
	told := map[string]int{}
	for _, u := range w.users {
		told[u.told]++
	}
	if told[wire.Done] < 10 || told[wire.Cancelled] < 10 || len(told) != 2 {
		t.Errorf("told %v", told)
	}
}

// TestStateLagsNoMore: whether a job runs, and how many of its tasks are completed, is
// told by every controller within 3 s once all is well, also by one that has just
// started, was out of reach while it changed, or no longer owns the job.
func TestStateLagsNoMore(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(w *World, owner int)
		well time.Duration // after so long
	}{
		"another has restarted":      {func(w *World, owner int) { w.Crash((owner+1)%3, 500*time.Millisecond) }, 2 * time.Second},
		"another was out of reach":   {func(w *World, owner int) { w.Isolate((owner+1)%3, 9*time.Second) }, 9 * time.Second},
		"another was frozen":         {func(w *World, owner int) { w.Freeze((owner+1)%3, 4*time.Second) }, 4 * time.Second},
		"the owner was out of reach": {func(w *World, owner int) { w.Isolate(owner, 3*time.Second) }, 4 * time.Second},
		"the owner has resigned":     {func(w *World, owner int) { w.nodes[owner].step(eventloop.Shutdown{}) }, 30 * time.Second},
		"the owner was replaced":     {func(w *World, owner int) { w.Crash(owner, 35*time.Second) }, 45 * time.Second},
		"the owner was replaced, all machines die": {func(w *World, owner int) {
			w.Crash(owner, 35*time.Second)
			w.most = 0
			w.some(100, func(k *worker) { w.kill(k.name) })
		}, 75 * time.Second},
		"the owner has resigned, all machines die": {func(w *World, owner int) {
			w.nodes[owner].step(eventloop.Shutdown{})
			w.most = 0
			w.some(100, func(k *worker) { w.kill(k.name) })
		}, 75 * time.Second},
	} {
		w := New(1) // all homes in one place
		w.night.pollEvery, w.night.slow = 100*time.Millisecond, 200*time.Millisecond
		jobs := []*user{}
		for i := range 4 { // one of two tasks is completed soon, the other lasts
			u := w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "free", Shape: wire.Array, Priority: "urgent", Tasks: 2, CPUs: 1,
				MemoryGB: 1, Image: "a", ImageGB: 1})
			if u.apart = 10 * time.Minute; i == 1 { // none of its tasks is ever completed
				u.job.Shape, u.job.Tasks, u.apart = wire.Daemon, 1, 0
			}
			jobs = append(jobs, u)
		}
		w.after(3*time.Second, jobs[0].submit)
		w.after(35*time.Second, jobs[1].submit)
		w.Run(40 * time.Second)
		owner := w.holder(t)
		w.after(time.Second, jobs[2].submit) // begins meanwhile
		c.do(w, owner)
		w.Run(c.well + 3*time.Second + 500*time.Millisecond)
		if (jobs[0].running == 1) == (w.most == 0) || len(jobs[0].doneTasks) != 1 {
			t.Fatalf("%s: %d tasks run, %d are completed", name, jobs[0].running, len(jobs[0].doneTasks))
		}
		for _, n := range w.nodes {
			for _, u := range jobs[:3] {
				if !u.accepted || u.begunAt == 0 || w.now-u.begunAt < 5*time.Second {
					continue
				}
				n.ask(func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: u.job.ID} }, func(r eventloop.Reply) {
					a, _ := r.Body.(wire.JobAnswer)
					want := wire.Pending
					if u.running > 0 {
						want = wire.Running
					}
					if r.Code == eventloop.ReplyOK && (a.State != want || a.Done != len(u.doneTasks)) {
						t.Errorf("%s: %s says %+v, of %s %d tasks run and %d are completed", name, n.name, a, u.job.ID, u.running, len(u.doneTasks))
					}
				})
			}
		}
		w.Run(time.Second)
		w.complain(t)
	}
}

// TestAnswersAreFresh: a controller has asked the state service whether a job is as it
// knows it, and the answer is long on its way; its watch lags. Meanwhile the job is
// cancelled elsewhere. Who asks there after that was told may not get what was asked
// for before.
func TestAnswersAreFresh(t *testing.T) {
	for wait := 5 * time.Millisecond; wait < 160*time.Millisecond; wait += 31 * time.Millisecond {
		w, u, _, err := oneMachineWorld(2)
		if err != nil {
			t.Fatal(err)
		}
		asked, other := w.nodes[0], w.nodes[1]
		w.Run(3 * time.Second) // no call of it is under way
		w.night.answersSlow = map[string]time.Duration{asked.name: 1500 * time.Millisecond}
		w.night.watchLag = map[string]time.Duration{asked.name: 30 * time.Second}
		w.night.looks = map[eventloop.ReplyCode]int{}
		for i := range 100 {
			w.after(time.Duration(i)*20*time.Millisecond, func() { u.askOf(asked, eventloop.QueryRequest{ID: u.job.ID}) })
		}
		w.after(wait, func() { u.cancelThrough(other) })
		w.Run(5 * time.Second)
		for _, x := range w.Broken() {
			t.Errorf("cancelled after %v: %s", wait, x)
		}
		if u.told != wire.Cancelled || w.night.looks[eventloop.ReplyOK] == 0 {
			t.Errorf("cancelled after %v: told %q, answers by status %v", wait, u.told, w.night.looks)
		}
	}
}

// TestAnswersCheckerCries plants answers that are older than what was told.
func TestAnswersCheckerCries(t *testing.T) {
	said := func(state string, done int) eventloop.Reply {
		return eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.JobAnswer{ID: "wk-000001", State: state, Done: done}}
	}
	created := eventloop.Reply{Code: eventloop.ReplyCreated, Body: wire.JobAnswer{ID: "wk-000001", State: wire.Pending}}
	poll, submit, cancel := eventloop.QueryRequest{ID: "wk-000001"}, eventloop.SubmitRequest{Job: wire.Job{ID: "wk-000001"}}, eventloop.CancelRequest{ID: "wk-000001"}
	for name, c := range map[string]struct {
		told  eventloop.Reply
		ev    eventloop.Event
		reply eventloop.Reply
		cries bool
	}{
		"404 after 201":                       {created, poll, eventloop.Reply{Code: eventloop.ReplyNotFound}, true},
		"404 to a cancellation after 200":     {said(wire.Running, 0), cancel, eventloop.Reply{Code: eventloop.ReplyNotFound}, true},
		"422 after 201":                       {created, submit, eventloop.Reply{Code: eventloop.ReplyUnprocessable}, true},
		"400 after 201":                       {created, submit, eventloop.Reply{Code: eventloop.ReplyInvalid}, true},
		"201 after 201":                       {created, submit, created, true},
		"201 after done":                      {said(wire.Done, 2), submit, created, true},
		"pending after done":                  {said(wire.Done, 2), poll, said(wire.Pending, 0), true},
		"running after cancelled":             {said(wire.Cancelled, 1), poll, said(wire.Running, 1), true},
		"running, on a repeated submission":   {said(wire.Cancelled, 1), submit, said(wire.Running, 1), true},
		"done after cancelled":                {said(wire.Cancelled, 1), poll, said(wire.Done, 2), true},
		"cancelled after done":                {said(wire.Done, 2), cancel, said(wire.Cancelled, 1), true},
		"another count after cancelled":       {said(wire.Cancelled, 1), poll, said(wire.Cancelled, 0), true},
		"running, to a cancellation":          {created, cancel, said(wire.Running, 0), true},
		"more completed tasks than there are": {created, poll, said(wire.Running, 3), true},
		"409":                                 {created, submit, eventloop.Reply{Code: eventloop.ReplyCode("conflict")}, true},
		"503 after done":                      {said(wire.Done, 2), poll, eventloop.Reply{Code: eventloop.ReplyUnavailable}, false},
		"no answer after done":                {said(wire.Done, 2), poll, eventloop.Reply{}, false},
		"pending after running":               {said(wire.Running, 1), poll, said(wire.Pending, 1), false},
		"fewer completed tasks":               {said(wire.Running, 1), poll, said(wire.Running, 0), true},
		"done after done":                     {said(wire.Done, 2), cancel, said(wire.Done, 2), false},
		"404 after 503":                       {eventloop.Reply{Code: eventloop.ReplyUnavailable}, poll, eventloop.Reply{Code: eventloop.ReplyNotFound}, false},
	} {
		for _, overtaken := range []bool{false, true} { // asked before the newer answer was read
			w := newWorld(1, 0, config.Cluster{})
			n := &simNode{w: w, name: "n0"}
			u := w.newUser(wire.Job{ID: "wk-000001", Tasks: 2})
			u.doneTasks["wk-000001/0"], u.doneTasks["wk-000001/1"] = true, true
			before := u.judged(n, c.ev, func(eventloop.Reply) {})
			u.judged(n, submit, func(eventloop.Reply) {})(c.told)
			after := u.judged(n, c.ev, func(eventloop.Reply) {})
			if overtaken {
				after = before
			}
			after(c.reply)
			always := c.reply.Code == eventloop.ReplyCode("conflict") || name == "running, to a cancellation" || name == "more completed tasks than there are"
			if cries := len(w.Broken()) > 0; cries != (c.cries && (!overtaken || always)) {
				t.Errorf("%s, overtaken: %v: %v", name, overtaken, w.Broken())
			}
		}
	}
}
