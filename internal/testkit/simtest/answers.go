package simtest

import (
	"fmt"
	"strings"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// Answers to users, seen from outside: what any of them was told of a job binds every
// controller that is asked later.

// telling is an answer that a user has read.
type telling struct {
	state string // "" while there is none
	done  int
	by    string // the controller that gave it
	at    time.Duration
}

// tellings are the newest that any user was told of a job: that it is there, and how it
// ended; and the most completed tasks that the process asked has told of.
type tellings struct {
	known, over telling
	most        int
}

// process is one process of a controller.
type process struct {
	name string
	life int
}

// judged checks the answer to a question that is asked now, at n, against what was
// told before, and notes what it tells. An answer to a question that was under way
// when something newer was told may be older than that: they overtake one another.
//
// Counts of tasks are for display and may lag, so they may differ between
// controllers. What they promise is that no task is counted that has not completed,
// and that a process that has told of one does not take that back, unless the state
// has lost data. Those of an end are stored with it, and are the same wherever it is
// told.
func (u *user) judged(n *simNode, ev eventloop.Event, then func(eventloop.Reply)) func(eventloop.Reply) {
	before, asked := u.newest, u.w.now
	life := n.life
	before.most = u.most[process{n.name, life}]
	return func(r eventloop.Reply) {
		if n.life != life {
			before.most = 0 // another process has answered
		}
		u.judge(n, ev, before, asked, r)
		then(r)
	}
}

func (u *user) judge(n *simNode, ev eventloop.Event, before tellings, asked time.Duration, r eventloop.Reply) {
	w := u.w
	older := func(than telling) {
		w.breakRule("older answer: %s of %s gets %s %v from %s, asked at %.3f; %s said %s (%d done) at %.3f", kindOf(ev), u.job.ID,
			r.Code, r.Body, n.name, asked.Seconds(), than.by, than.state, than.done, than.at.Seconds())
	}
	known := before.known.state != ""
	switch r.Code {
	case eventloop.NoReply, eventloop.ReplyUnavailable:
		return
	case eventloop.ReplyOK, eventloop.ReplyCreated:
	case eventloop.ReplyInvalid, eventloop.ReplyNotFound, eventloop.ReplyUnprocessable:
		if known {
			older(before.known)
		}
		return
	default:
		w.breakRule("%s of %s gets %s from %s", kindOf(ev), u.job.ID, r.Code, n.name)
		return
	}
	a, ok := r.Body.(wire.JobAnswer)
	_, submitted := ev.(eventloop.SubmitRequest)
	_, cancelled := ev.(eventloop.CancelRequest)
	over := a.State == wire.Done || a.State == wire.Cancelled
	told := telling{a.State, a.Done, n.name, w.now}
	switch {
	case !ok || a.ID != u.job.ID, r.Code == eventloop.ReplyCreated && !submitted, cancelled && !over:
		w.breakRule("%s of %s gets %s %+v from %s", kindOf(ev), u.job.ID, r.Code, r.Body, n.name)
	case before.over.state != "" && (a.State != before.over.state || a.Done != before.over.done):
		older(before.over)
	case known && r.Code == eventloop.ReplyCreated:
		older(before.known)
	case a.Done > len(u.doneTasks):
		w.breakRule("%s tells of %d completed tasks of %s, which has %d", n.name, a.Done, u.job.ID, len(u.doneTasks))
	}
	if a.Done < before.most && !over && w.store.lostAt == 0 && w.edge == nil {
		w.breakRule("older answer: %s says %d completed tasks of %s, asked at %.3f, and said %d before", n.name, a.Done, u.job.ID, asked.Seconds(), before.most)
	}
	if u.most == nil {
		u.most = map[process]int{}
	}
	u.most[process{n.name, n.life}] = max(a.Done, u.most[process{n.name, n.life}])
	if u.newest.known.state == "" {
		u.newest.known = told
	}
	if over && u.newest.over.state == "" {
		u.newest.over = told
	}
}

func kindOf(ev eventloop.Event) string {
	switch ev.(type) {
	case eventloop.SubmitRequest:
		return "submission"
	case eventloop.CancelRequest:
		return "cancellation"
	}
	return "question"
}

// ---- close looks

// moment is one right after which users look closely.
type moment string

const (
	accepted  moment = "accepted"
	lastEnded moment = "last task ended"
	toldDone  moment = "told done"
	confirmed moment = "cancellation confirmed"
	answerCut moment = "answer lost" // of a write that changed the job's records
)

// at tells whoever looks closely that a moment has come for a job.
func (u *user) at(m moment) {
	if f := u.w.night.look; f != nil {
		f(u, m)
	}
}

// askOf puts one question to controller n, and takes the answer as its user does. It returns
// whether there is one.
func (u *user) askOf(n *simNode, ev eventloop.Event) (answered *bool) {
	w := u.w
	w.beginLooks()
	answered = new(bool)
	heard := u.judged(n, ev, func(r eventloop.Reply) {
		*answered = true
		w.night.looks[r.Code]++
		if a, ok := r.Body.(wire.JobAnswer); ok && r.Code.Success() {
			u.hear(a.State)
		}
	})
	w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() {
		n.ask(func(req uint64) eventloop.Event { return withReq(ev, req) }, func(r eventloop.Reply) {
			w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() { heard(r) })
		})
	})
	return answered
}

func withReq(ev eventloop.Event, req uint64) eventloop.Event {
	switch e := ev.(type) {
	case eventloop.SubmitRequest:
		e.Req = req
		return e
	case eventloop.CancelRequest:
		e.Req = req
		return e
	case eventloop.QueryRequest:
		e.Req = req
		return e
	}
	panic(fmt.Sprintf("%T is no question of a user", ev))
}

// beginLooks prepares the counts of close looks.
func (w *World) beginLooks() {
	if w.night.looks == nil {
		w.night.looks, w.night.looked = map[eventloop.ReplyCode]int{}, map[moment]int{}
	}
}

// lookClosely has a user ask at all controllers three to ten times within 5 to 50 ms,
// right after m. Some of the questions are the submission once more, with the same body, another one
// or none that can be read; with cancels, one is a cancellation.
func (u *user) lookClosely(m moment, cancels bool) {
	w := u.w
	w.beginLooks()
	w.night.looked[m]++
	rounds, spread := 3+w.rng.IntN(8), 5*time.Millisecond+time.Duration(w.rng.IntN(45))*time.Millisecond
	for range rounds {
		for _, n := range w.nodes {
			var ev eventloop.Event = eventloop.QueryRequest{ID: u.job.ID}
			other := u.job
			switch kind := w.rng.IntN(10); {
			case u.newest.known.state == "":
				if kind < 4 { // none with another body, which could be the first to be accepted
					ev = eventloop.SubmitRequest{Job: u.job}
				}
			case kind == 0:
				ev = eventloop.SubmitRequest{Job: u.job}
			case kind == 1:
				other.Tasks++
				ev = eventloop.SubmitRequest{Job: other}
			case kind == 2:
				other.Team = "nobody"
				ev = eventloop.SubmitRequest{Job: other}
			case kind == 3:
				ev = eventloop.SubmitRequest{Job: wire.Job{ID: u.job.ID}, Err: fmt.Errorf("field komadi is missing or invalid")}
			}
			w.after(time.Duration(w.rng.Int64N(int64(spread))), func() { u.askOf(n, ev) })
		}
	}
	if cancels {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(time.Duration(w.rng.Int64N(int64(spread))), func() {
			u.wantsCancel = true
			u.askOf(n, eventloop.CancelRequest{ID: u.job.ID})
		})
		w.after(spread+20*time.Millisecond, u.cancel) // until somebody has confirmed it
	}
}

// ---- answers of the state service

// The writes of controllers by name.
const (
	aSubmission   = "submission"
	aCancellation = "cancellation"
	anEnd         = "end"
	aPage         = "page of completed tasks"
	theValue      = "lease value"
	aRenewal      = "renewal through the store"
	aLevel        = "controller's record, level"
	aRewriting    = "rewritten record"
	theGeneration = "generation"
	aCheck        = "check" // writes nothing
)

// writeOf names what a transaction writes.
func writeOf(t wire.Txn) string {
	for _, op := range t.Then {
		switch {
		case strings.HasPrefix(op.Put, "fc/t/"):
			if rec, ok := op.Value.(wire.EndRecord); ok && rec.State == wire.Cancelled {
				return aCancellation
			}
			return anEnd
		case op.Put == recovery.Key:
			return theGeneration
		case op.Put == leasevalue.Key, strings.HasPrefix(op.Put, leasevalue.PagePrefix):
			return theValue
		case strings.HasPrefix(op.Put, "fc/r/"):
			return aRenewal
		case strings.HasPrefix(op.Put, "fc/g/"):
			return aLevel
		case strings.HasPrefix(op.Put, owner.PagePrefix):
			return aPage
		case strings.HasPrefix(op.Put, "fc/j/"):
			for _, c := range t.If {
				if c.Key == op.Put && c.Version > 0 {
					return aRewriting
				}
			}
			return aSubmission
		}
	}
	return aCheck
}

// loseAnswers has share percent of the transactions of these kinds carried out at once
// and their answers lost, for d. Users look closely at the jobs whose records they
// change: at controllers that read what was written, and at the one that wrote it and
// does not know.
func (w *World) loseAnswers(d time.Duration, share int, kinds ...string) {
	until := w.now + d
	if w.night.lost == nil {
		w.night.lost = map[string]int{}
	}
	w.night.loses = func(_ string, t wire.Txn) bool {
		kind := writeOf(t)
		if w.now >= until || w.rng.IntN(100) >= share {
			return false
		}
		for _, k := range kinds {
			if k == kind {
				w.night.lost[kind]++
				w.after(0, func() { w.cutOffAnswer(t) })
				return true
			}
		}
		return false
	}
}

// cutOffAnswer tells the users of the jobs that a transaction has changed.
func (w *World) cutOffAnswer(t wire.Txn) {
	for _, op := range t.Then {
		for _, prefix := range []string{"fc/j/", "fc/t/"} {
			if id, ok := strings.CutPrefix(op.Put, prefix); ok && w.users[id] != nil {
				w.users[id].at(answerCut)
			}
		}
	}
}

// lagging hands the answers of a controller's watches on late, if they are to be.
func (w *World) lagging(node string, answer func(eventloop.Completion)) func(eventloop.Completion) {
	return func(c eventloop.Completion) {
		if d := w.night.watchLag[node]; d > 0 {
			w.after(d, func() { answer(c) })
			return
		}
		answer(c)
	}
}
