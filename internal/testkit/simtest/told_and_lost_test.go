package simtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// questionForm is what a user asks a controller.
type questionForm struct {
	name     string
	patience time.Duration // for which a user waits for the answer
	event    func(u *user) eventloop.Event
}

var (
	byQuery        = questionForm{"query", 2 * time.Second, func(u *user) eventloop.Event { return eventloop.QueryRequest{ID: u.job.ID} }}
	byResubmission = questionForm{"resubmission", 5 * time.Second, func(u *user) eventloop.Event { return eventloop.SubmitRequest{Job: u.job} }}
	byCancellation = questionForm{"cancellation", 5 * time.Second, func(u *user) eventloop.Event {
		u.wantsCancel = true
		return eventloop.CancelRequest{ID: u.job.ID}
	}}
)

// lostTelling is a course in which a user is told something of a job, the state loses just that,
// and the user asks another controller. Controllers are numbered from the owner of the job on,
// which is 0. The watches of all that neither make the change nor tell of it lag.
type lostTelling struct {
	seed      uint64
	told      moment // accepted, toldDone or confirmed
	writer    int    // makes the change
	teller    int
	asked     int
	form      questionForm
	apart     []int         // controllers that reach none of the others
	oneLink   bool          // writer and asked do not reach each other
	held      bool          // messages on these links are held up, not lost
	toldAfter time.Duration // since the links went down
	cutFor    time.Duration // how long they are down
	slowLinks time.Duration // by how much a message is late at most

	w     *World
	u     *user
	nodes []*simNode
}

// smallAndLarge are the seeds of worlds of three and of five controllers, whose teams are all in
// one partition.
var smallAndLarge = []uint64{3, 7}

// playAll plays courses as subtests: what controllers say has to be true, each question gets an
// answer in time, and 40 s after the links are up again all controllers know of the job.
func playAll(t *testing.T, courses map[string]lostTelling) {
	for name, c := range courses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playOne(t, c)
		})
	}
}

// playOne plays one course.
func playOne(t *testing.T, c lostTelling) {
	t.Helper()
	c.begin()
	linksUp := c.w.now + c.cutFor
	c.w.Run(c.toldAfter)
	if c.tell() {
		c.lose()
	}
	for range 20 {
		c.ask(c.asked, c.form)
		c.w.Run(20 * time.Millisecond)
	}
	c.w.Run(linksUp - c.w.now)
	c.settle(t)
}

// begin builds the world and takes the links down. The job runs, unless its user is to be told that
// it is accepted: the first of its two tasks has ended, and the other one runs on.
func (c *lostTelling) begin() {
	w := c.w
	if w == nil {
		w = NewNight(c.seed)
	}
	w.Begin(feature.Current(), 10*time.Second)
	w.Run(40 * time.Second)
	owner := w.index(w.nodes[0].core.Partitions()["free"])
	c.w, c.nodes = w, append(slices.Clone(w.nodes[owner:]), w.nodes[:owner]...)
	c.u = w.newService("wk-000001")
	c.u.job.Shape, c.u.apart = wire.Array, time.Hour
	if c.told != accepted {
		c.u.submitTo(c.nodes[0])
		w.Run(20 * time.Second)
	}
	w.night.watchLag = map[string]time.Duration{}
	for i, n := range c.nodes {
		if i != c.writer && i != c.teller {
			w.night.watchLag[n.name] = 1500 * time.Millisecond
		}
	}
	w.Run(2 * time.Second)
	w.night.links, w.heldUp = c.slowLinks, c.held
	for i, n := range c.nodes {
		for k, other := range c.nodes {
			if slices.Contains(c.apart, i) && !slices.Contains(c.apart, k) || c.oneLink && i == c.writer && k == c.asked {
				w.Cut(n.name, other.name, c.cutFor)
			}
		}
	}
}

// ask puts a question to a controller. A process that ends meanwhile owes no answer.
func (c *lostTelling) ask(node int, form questionForm) {
	n := c.nodes[node]
	life := n.life
	answered := c.u.askOf(n, form.event(c.u))
	c.w.after(form.patience, func() {
		if !*answered && n.life == life {
			c.w.breakRule("%s has not answered a %s within %v", n.name, form.name, form.patience)
		}
	})
}

// tell has the change made and the user told of it, and returns whether the user was.
func (c *lostTelling) tell() bool {
	form := byQuery
	switch c.told {
	case accepted:
		form, c.u.submitted = byResubmission, true
	case confirmed:
		form = byCancellation
	case toldDone:
		for _, k := range c.w.byName() {
			for _, task := range k.tasks {
				task.until = min(task.until, c.w.now)
			}
		}
	}
	if c.writer != c.teller { // the writer's answer is lost
		c.nodes[c.writer].ask(func(req uint64) eventloop.Event { return withReq(form.event(c.u), req) }, func(eventloop.Reply) {})
		c.w.Run(50 * time.Millisecond)
		form = byQuery
	}
	for i := 0; i < 3000 && !c.wasTold() && len(c.w.Broken()) == 0; i++ {
		if i%100 == 0 {
			c.ask(c.teller, form)
		}
		c.w.Run(time.Millisecond)
	}
	return c.wasTold()
}

// wasTold reports whether the user has been told.
func (c *lostTelling) wasTold() bool {
	return c.u.told != "" || c.told == accepted && c.u.newest.known.state != ""
}

// lose has the state lose what the user was told, and all that was stored since.
func (c *lostTelling) lose() {
	c.w.store.loseFrom(c.storedAt())
}

// storedAt returns the revision at which the state service has what the user is told; 0: it has not.
func (c *lostTelling) storedAt() wire.Revision {
	key := "fc/t/" + c.u.job.ID
	if c.told == accepted {
		key = "fc/j/" + c.u.job.ID
	}
	return c.w.store.values[key].version
}

// loseFrom has the state service lose all changes from a revision on.
func (s *store) loseFrom(rev wire.Revision) { s.restore(s.copyAt(rev - 1)) }

// settle ends the troubles, has the user go on until told, and each controller asked 38 s later.
func (c *lostTelling) settle(t *testing.T) {
	w := c.w
	w.night.links, w.night.watchLag = 0, nil
	switch {
	case c.wasTold():
	case c.told == accepted:
		c.u.submit()
	case c.told == confirmed:
		c.u.cancel()
	default:
		c.u.poll()
	}
	w.Run(38 * time.Second)
	before := w.night.looks[eventloop.ReplyOK]
	for i := range c.nodes {
		c.ask(i, byQuery)
	}
	w.Run(byQuery.patience)
	w.complain(t)
	known := w.night.looks[eventloop.ReplyOK] - before
	if len(w.Broken()) == 0 && (!c.wasTold() || known < len(c.nodes)) {
		t.Errorf("in the end the user is told %q, and %d of %d controllers know the job", c.u.told, known, len(c.nodes))
	}
}

// TestCancellationLostOnSlowLinks: no link is down, but what tells the others of a cancellation is
// still on its way when the job is submitted once more where the watch lags, which says "running".
func TestCancellationLostOnSlowLinks(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, seed := range []uint64{1, 3, 7, 9} {
		courses[fmt.Sprint(seed)] = lostTelling{seed: seed, told: confirmed, asked: 1, form: byResubmission, slowLinks: 200 * time.Millisecond}
	}
	playAll(t, courses)
}

// TestEndToldFromTheWatchIsLost: who tells the user of a cancellation has it from its watch, and
// who stored it reaches no other controller; a third one, whose watch lags, says "running".
func TestEndToldFromTheWatchIsLost(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, seed := range smallAndLarge {
		for _, form := range []questionForm{byQuery, byResubmission} {
			courses[fmt.Sprint(seed, " ", form.name)] = lostTelling{seed: seed, told: confirmed, teller: 1, asked: 2,
				form: form, apart: []int{0}, toldAfter: 20 * time.Millisecond, cutFor: 10 * time.Second}
		}
	}
	playAll(t, courses)
}

// TestDoneIsNotCancelledAfterALoss: a user is told that a job is done, the state loses that, and a
// controller that does not know it stores at the user's request that the job is cancelled.
func TestDoneIsNotCancelledAfterALoss(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, seed := range smallAndLarge {
		c := lostTelling{seed: seed, told: toldDone, asked: 1, form: byCancellation, toldAfter: 20 * time.Millisecond, cutFor: 10 * time.Second}
		alone, oneLink := c, c
		alone.apart, oneLink.oneLink = []int{1}, true
		courses[fmt.Sprint(seed, " alone")], courses[fmt.Sprint(seed, " one link")] = alone, oneLink
	}
	playAll(t, courses)
}

// TestDoneIsToldOnceOthersKnow: the owner of a job reaches none of the others and stores that it is
// done, as work is not held up. Its user is not told: the others would not notice if it were lost.
func TestDoneIsToldOnceOthersKnow(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, seed := range smallAndLarge {
		courses[fmt.Sprint(seed)] = lostTelling{seed: seed, told: toldDone, asked: 1, form: byQuery,
			apart: []int{0}, toldAfter: 20 * time.Millisecond, cutFor: 10 * time.Second}
	}
	playAll(t, courses)
}

// TestAcceptedAfterALeaseApartIsKnown: controllers that have been apart for more than a lease no
// longer count for one another, and a job that one of them has accepted since gets 404 from another.
func TestAcceptedAfterALeaseApartIsKnown(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, seed := range smallAndLarge {
		for name, apart := range map[string][]int{"writer and another": {0, 2}, "asked and another": {1, 2}} {
			courses[fmt.Sprint(seed, " ", name)] = lostTelling{seed: seed, told: accepted, asked: 1, form: byQuery,
				apart: apart, toldAfter: 32 * time.Second, cutFor: 40 * time.Second}
		}
	}
	playAll(t, courses)
}

// TestToldAndLostInEveryForm: whatever a user was told, and however a controller is asked that is
// apart from the others, for a moment or for long, it answers what was before, or stores the job anew.
func TestToldAndLostInEveryForm(t *testing.T) {
	courses := map[string]lostTelling{}
	for _, told := range []moment{accepted, toldDone, confirmed} {
		for _, form := range []questionForm{byQuery, byResubmission} {
			for _, held := range []bool{true, false} {
				for toldAfter, cutFor := range map[time.Duration]time.Duration{100 * time.Millisecond: time.Second, 32 * time.Second: 40 * time.Second} {
					for _, seed := range smallAndLarge {
						courses[fmt.Sprintf("%d %s, %s, held %v, %v", seed, told, form.name, held, cutFor)] = lostTelling{seed: seed, told: told, asked: 1,
							form: form, held: held, apart: []int{1}, toldAfter: toldAfter, cutFor: cutFor}
					}
				}
			}
		}
	}
	playAll(t, courses)
}

// TestNoStartAfterALostCancellation: who has confirmed a cancellation that is lost reaches nobody any
// more, and the owner starts the job's task again, though others in its reach were told of the end.
func TestNoStartAfterALostCancellation(t *testing.T) {
	const writerAway = 57 * time.Second
	for _, seed := range smallAndLarge {
		for _, alone := range []bool{false, true} {
			for _, revisionTaken := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d alone %v, revision taken %v", seed, alone, revisionTaken), func(t *testing.T) {
					t.Parallel()
					c := lostTelling{seed: seed, told: confirmed, writer: 1, teller: 1, oneLink: true,
						toldAfter: 3 * time.Second, cutFor: writerAway + 3*time.Second} // the owner does not ask the writer any longer
					if alone {
						c.apart, c.toldAfter = []int{1}, 20*time.Millisecond
					}
					c.begin()
					c.w.Run(c.toldAfter)
					if c.tell() {
						c.lose()
					}
					if revisionTaken {
						c.w.newService("wk-000002").submitTo(c.nodes[0])
					}
					c.w.Isolate(c.w.index(c.nodes[1].name), writerAway)
					for range 10 {
						c.w.Run(5 * time.Second)
						c.w.killUnder(c.u)
					}
					c.w.Run(10 * time.Second)
					c.settle(t)
				})
			}
		}
	}
}

// TestNoTaskStaysAfterALostCancellation: the owner reaches the state service and no other controller,
// and those that confirmed a cancellation lose the state right after it has lost that: its word of
// cancellations is the state's alone, and the job's task stays.
func TestNoTaskStaysAfterALostCancellation(t *testing.T) {
	for _, seed := range smallAndLarge {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := lostTelling{seed: seed, told: confirmed, writer: 1, teller: 1, apart: []int{0}, toldAfter: 20 * time.Millisecond, cutFor: 70 * time.Second}
			c.begin()
			c.w.Run(c.toldAfter)
			if c.tell() {
				c.lose()
			}
			c.w.newService("wk-000002").submitTo(c.nodes[0])
			for _, n := range c.nodes[1:] {
				c.w.Isolate(c.w.index(n.name), time.Minute)
			}
			c.w.Run(time.Minute)
			c.settle(t)
		})
	}
}

// TestOtherEndBesideAConfirmedOne: a controller that is apart stores that a job is done, whose lost
// cancellation was told; the one that told it is gone, and another one has confirmed it.
func TestOtherEndBesideAConfirmedOne(t *testing.T) {
	for _, seed := range []uint64{3, 9, 15} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := lostTelling{seed: seed, told: confirmed, writer: 1, teller: 1, apart: []int{0}, toldAfter: 20 * time.Millisecond, cutFor: 8 * time.Second}
			c.begin()
			w := c.w
			w.Run(c.toldAfter)
			c.ask(1, byCancellation)
			for i := 0; i < 20000 && !c.nodes[2].core.HasEnded(c.u.job.ID); i++ {
				w.Run(100 * time.Microsecond)
			}
			w.Cut(c.nodes[1].name, c.nodes[2].name, time.Minute)
			w.Run(300 * time.Millisecond)
			c.lose()
			w.Vanish(w.index(c.nodes[1].name), time.Minute)
			for _, k := range w.byName() {
				for _, task := range k.tasks {
					task.until = min(task.until, w.now)
				}
			}
			w.Run(9 * time.Second)
			for range 20 {
				c.ask(2, byQuery)
				c.ask(0, byQuery)
				w.Run(time.Second)
			}
			w.Run(time.Minute)
			c.settle(t)
		})
	}
}

// TestTwoApartForALease: two controllers that both reach the state service are apart for more than a
// lease, each takes the other one for gone, and one says 404 of, or accepts, what the other accepted.
func TestTwoApartForALease(t *testing.T) {
	for _, form := range []questionForm{byQuery, byResubmission} {
		t.Run(form.name, func(t *testing.T) {
			c := lostTelling{told: accepted, asked: 1, form: form, apart: []int{1}, toldAfter: 32 * time.Second, cutFor: 40 * time.Second}
			c.w = build(3, 2, 8, cluster.Defaults(), config.Cluster{
				InitialSize: 2, Zones: []string{"x", "y"}, ClockErrorMs: 50, Teams: []config.Team{{Name: "free"}},
				Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
				State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
				Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
			})
			playOne(t, c)
		})
	}
}

// TestUsersAreServedWhileNoLinkIsUp: no controller reaches another one for 30 s, and all reach the state
// service. A job that is submitted then is accepted within the 5 s for which a user waits.
func TestUsersAreServedWhileNoLinkIsUp(t *testing.T) {
	for _, seed := range smallAndLarge {
		w := NewNight(seed)
		w.Begin(feature.Current(), 10*time.Second)
		w.Run(40 * time.Second)
		for i, n := range w.nodes {
			for _, other := range w.nodes[i+1:] {
				w.Cut(n.name, other.name, 30*time.Second)
			}
		}
		w.Run(5 * time.Second)
		u := w.newService("wk-000001")
		u.submitTo(w.nodes[0])
		w.Run(byResubmission.patience)
		if !u.accepted {
			t.Errorf("seed %d: not accepted", seed)
		}
	}
}

// killUnder ends the machines that a job's tasks run on.
func (w *World) killUnder(u *user) {
	for _, k := range w.byName() {
		if slices.ContainsFunc(k.tasks, func(task *simTask) bool { return task.job == u.job.ID && on(task.state) }) {
			w.kill(k.name)
		}
	}
}
