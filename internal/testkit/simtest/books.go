package simtest

import (
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

const (
	// everyStepBelow is up to how many machines the books are checked after each step, and
	// booksInterval how often beyond that: it takes a look at each task.
	everyStepBelow = 150
	booksInterval  = 250 * time.Millisecond
	// booksRounding covers sums of fractions.
	booksRounding = 1e-6
)

// checkAllBooks checks the books of quota of all controllers: they may be wrong long before
// a team is over its limit.
func (w *World) checkAllBooks() {
	if w.edge != nil || w.most > everyStepBelow && w.now-w.booksCheckedAt < booksInterval {
		return
	}
	w.booksCheckedAt = w.now
	newest := w.store.values[leasevalue.Key].version
	for _, n := range w.nodes {
		// One that has not read the newest value may have lost machines without knowing.
		if n.booksChanged && n.up && n.core.LeaseVersion() == newest && !w.recovering(n) {
			n.booksChanged = false
			w.checkBooks(n)
		}
	}
}

// changesBooks notes that a task of the worker has come, gone or changed its state.
func (k *worker) changesBooks() {
	for _, n := range k.w.nodes {
		n.booksChanged = n.booksChanged || (k.w.edge == nil && n.up && n.core.HoldsMachine(k.name))
	}
}

// recovering reports whether the state has lost data and a controller does not work with
// what was recovered.
func (w *World) recovering(n *simNode) bool {
	underWay, _ := n.core.Recovering()
	return underWay || w.rebuiltAt < w.store.lostAt
}

// checkBooks breaks a rule when the machines of a controller's block run more of a team, on
// their way there included, than the controller counts and assumes; or more than the share
// of a sharded limit that it has not reserved away.
func (w *World) checkBooks(n *simNode) {
	books := n.core.QuotaBooks()
	if len(books) == 0 {
		return
	}
	use := w.useOn(n)
	for _, book := range books {
		there := use[book.Team]
		if book.AssumedBounded && there > book.Used.CPUs+book.Assumed.CPUs+booksRounding {
			w.breakRule("books: %s runs %v of %s, counts %v and assumes %v on %d machines", n.name, there, book.Team, book.Used.CPUs, book.Assumed.CPUs, book.Unreconciled)
		}
		mayUse := book.Limit.CPUs
		if book.ReservedEarlier {
			mayUse = float64(book.Share.CPUs) // the reservation does not cover machines taken over since
		}
		if book.Sharded && book.Limit.CPUs > 0 && there > mayUse+booksRounding {
			w.breakRule("books: %s runs %v of %s, may use %v of its share of %d", n.name, there, book.Team, mayUse, book.Share.CPUs)
		}
	}
}

// startsInFlight are the starts of one direct command that is on its way.
type startsInFlight struct {
	machine string
	body    wire.Commands
}

// recordStarts notes that a direct command is on its way to a machine, or returns nil if it
// starts nothing.
func (w *World) recordStarts(machine string, body wire.Commands) *startsInFlight {
	if !slices.ContainsFunc(body.Commands, isStart) {
		return nil
	}
	flight := &startsInFlight{machine, body}
	w.inFlight = append(w.inFlight, flight)
	return flight
}

// forgetStarts notes that a direct command was carried out, or never will be.
func (w *World) forgetStarts(flight *startsInFlight) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(f *startsInFlight) bool { return f == flight })
}

func isStart(c wire.Command) bool { return c.Op == wire.CommandStart }

// addInFlight adds what would be started by direct commands on their way to the machines of
// a controller's block: as long as token and agent epoch match they are carried out.
func (w *World) addInFlight(n *simNode, use map[string]float64) {
	for _, f := range w.inFlight {
		k := w.workers[f.machine]
		if k == nil || k.gone || !n.core.HoldsMachine(f.machine) || f.body.Token < k.token || f.body.AgentEpoch != k.session {
			continue
		}
		for _, c := range f.body.Commands {
			id, _, _ := strings.Cut(c.Task, "/")
			listed := slices.ContainsFunc(k.tasks, func(t *simTask) bool { return t.name == c.Task && t.attempt == c.Attempt })
			if u := w.users[id]; u != nil && isStart(c) && !listed {
				use[u.job.Team] += u.job.CPUs
			}
		}
	}
}

// useOn returns the processors that tasks use on the machines of a controller's block, by
// team, those that direct commands on their way start included.
func (w *World) useOn(n *simNode) map[string]float64 {
	use := map[string]float64{}
	for name, k := range w.workers {
		if k.gone || len(k.tasks) == 0 || !n.core.HoldsMachine(name) {
			continue
		}
		for _, t := range k.tasks {
			if u := w.users[t.job]; u != nil && t.state != wire.TaskEnded {
				use[u.job.Team] += u.job.CPUs
			}
		}
	}
	w.addInFlight(n, use)
	return use
}
