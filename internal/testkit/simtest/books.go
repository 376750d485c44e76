package simtest

import (
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
	if w.edge != nil || !w.booksChanged || w.most > everyStepBelow && w.now-w.booksCheckedAt < booksInterval {
		return
	}
	w.booksCheckedAt, w.booksChanged = w.now, false
	newest := w.store.values[leasevalue.Key].version
	for _, n := range w.nodes {
		// One that has not read the newest value may have lost machines without knowing.
		if n.up && n.core.LeaseVersion() == newest && !w.recovering(n) {
			w.checkBooks(n)
		}
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
		if book.Sharded && book.Limit.CPUs > 0 && there > book.Limit.CPUs+booksRounding {
			w.breakRule("books: %s runs %v of %s, may use %v of its share of %d", n.name, there, book.Team, book.Limit.CPUs, book.Share.CPUs)
		}
	}
}

// useOn returns the processors that tasks use on the machines of a controller's block, by
// team.
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
	return use
}
