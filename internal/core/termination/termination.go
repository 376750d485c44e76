// Package termination returns machines to the cloud on which a task of a cancelled job may be and
// which do not answer, in time for the cancellation to be in effect. A machine that hangs does
// not end its tasks, so that nothing else does.
//
// Every controller has a Guard, so that no machine waits for one that has ended, is suspended, is
// about to start, or has lost its lease. A Guard needs no lease: a machine that is gone breaks
// no rule, whoever holds it. What it needs is evidence that the machine is not sound, of its own
// and of this moment: status queries that the machine did not answer, while no controller in
// reach has heard of it. The evidence counts for proofLifetime from when the last of them was
// sent, is checked again where the request to the cloud leaves, and is void after a suspension.
//
// While the state service is out, a process that starts knows of no cancellation. It inherits what the
// others know. Where nobody who could know is left, each machine that nobody hears of and that
// does not answer is terminated once the leases of all workers have surely ended: not known is
// never none, and no work is lost by then.
//
// The package assumes that one goroutine calls it. It does not know which jobs were cancelled: its
// Host does. It never asks a machine to do anything.
package termination

import (
	"log/slog"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

const (
	// AskAhead is how long before a machine is due it is asked for its status.
	AskAhead = 8 * time.Second
	// QueryTimeout bounds a status query; a worker answers in milliseconds.
	QueryTimeout = 2 * time.Second

	// stepInterval spaces the looks at the candidates.
	stepInterval = 300 * time.Millisecond
	// askInterval spaces the queries of a machine that answers.
	askInterval = time.Second
	// maxInFlight bounds the queries, so that a block of silent machines does not use up
	// processor and sockets at one stroke.
	maxInFlight = 24
	// enoughUnanswered is how many queries in a row a machine has to leave unanswered. One
	// is enough hurryAfter the time by which it is due.
	enoughUnanswered = 2
	hurryAfter       = 2 * time.Second
	// proofLifetime is for how long unanswered queries count, from when the last was sent.
	proofLifetime = 2*QueryTimeout + time.Second
	// retryAfter is the time after which a request to the cloud is sent again.
	retryAfter = time.Second
	// inventoryInterval spaces the readings of the cloud's machine list.
	inventoryInterval = 4 * time.Second
)

// Candidate is a machine on which a task of a cancelled job may be, and which no controller in reach
// has heard of lately.
type Candidate struct {
	Machine  string
	Holder   string // the controller that holds it, by the lease value
	Endpoint string // "": not known
	// Due is when the machine is to be terminated, unless it answers.
	Due time.Time
}

// Host is the controller of a Guard.
type Host interface {
	// TerminationCandidates returns the candidates that are due within a time, by name. locate
	// returns what the cloud lists of a machine.
	TerminationCandidates(within time.Duration, locate func(name string) (wire.Machine, bool)) []Candidate
	// TerminationDelay returns how long after it is due a machine is left to other
	// controllers.
	TerminationDelay(holder string) time.Duration
	// Informed reports whether the host knows all cancellations that may not be in effect. If
	// it does not, TerminationCandidates has none.
	Informed() bool
	// UnknownDue returns when machines are due of which nothing is known, as no controller in
	// reach is informed; ok is false if one is.
	UnknownDue() (due time.Time, ok bool)
	// LeaseOverAfter returns after which time without an answer a worker's lease has surely
	// ended.
	LeaseOverAfter() time.Duration
	// IsHeard reports whether this controller, or another in reach, has heard of a machine
	// lately.
	IsHeard(machine string) bool
	// Connected reports whether silence says something of a machine, rather than of this
	// controller.
	Connected() bool
	// MachinesTerminated notes that machines are gone, with all that ran on them.
	MachinesTerminated(names []string)
}

// Guard terminates machines. Use New: the zero value is of no use.
type Guard struct {
	loop *eventloop.Loop
	host Host
	log  *slog.Logger

	steppedAt  time.Time
	queries    map[string]*query // by machine
	inFlight   int
	epoch      int // counts the resets
	inventory  inventory
	inherited  map[string]Candidate // by machine; used while the host is not informed
	deleting   bool                 // a request to the cloud has no answer yet
	nextDelete time.Time
	terminated map[string]bool
}

// query is what the queries of one machine have shown.
type query struct {
	inFlight   bool
	unanswered int       // in a row
	askedAt    time.Time // when the last of these was sent
	notBefore  time.Time // when the machine may be asked again
}

// New returns the guard of a controller.
func New(loop *eventloop.Loop, host Host, log *slog.Logger) *Guard {
	return &Guard{loop: loop, host: host, log: log, queries: map[string]*query{}, inherited: map[string]Candidate{}, terminated: map[string]bool{}}
}

// Reset forgets all evidence, as this process was suspended: what it asked before says nothing.
func (g *Guard) Reset() {
	clear(g.queries)
	g.inFlight = 0
	g.epoch++
}

// Step asks the machines that are due soon, and terminates those that are due and do not answer. It is
// called with every tick.
func (g *Guard) Step() {
	if g.loop.Now.Sub(g.steppedAt) < stepInterval {
		return
	}
	g.steppedAt = g.loop.Now
	candidates := g.candidates()
	g.forgetOthers(candidates)
	if len(candidates) == 0 {
		return
	}
	for _, c := range candidates {
		if c.Endpoint == "" {
			g.readInventory()
		} else {
			g.ask(c)
		}
	}
	g.terminate(candidates)
}

// candidates returns the candidates that are not gone yet.
func (g *Guard) candidates() []Candidate {
	var left []Candidate
	for _, c := range g.Known(AskAhead) {
		if !g.terminated[c.Machine] && g.loop.Now.After(c.Due.Add(-AskAhead)) {
			left = append(left, c)
		}
	}
	return left
}

// Known returns the candidates that are due within a time, by name: those of the host, or, while that
// is not informed, what others have told and all of which nobody knows. Others are told of them, should
// this process end.
func (g *Guard) Known(within time.Duration) []Candidate {
	if g.host.Informed() {
		clear(g.inherited)
		return g.host.TerminationCandidates(within, g.inventory.locate)
	}
	g.addUnknown()
	var candidates []Candidate
	for _, name := range cluster.SortedKeys(g.inherited) {
		if g.host.IsHeard(name) {
			delete(g.inherited, name)
			continue
		}
		c := g.inherited[name]
		if listed, ok := g.inventory.locate(name); ok && c.Endpoint == "" {
			c.Endpoint = listed.Endpoint
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// Inherit notes what another controller knows.
func (g *Guard) Inherit(c Candidate) {
	if known, ok := g.inherited[c.Machine]; !ok || c.Due.Before(known.Due) {
		g.inherited[c.Machine] = c
	}
}

// addUnknown adds the machines of which nothing is known and that are due soon: all that run and have
// run since before this process began.
func (g *Guard) addUnknown() {
	due, ok := g.host.UnknownDue()
	if !ok || g.loop.Now.Before(due.Add(-AskAhead)) {
		return
	}
	g.readInventory()
	began := due.Add(-g.host.LeaseOverAfter())
	for _, name := range cluster.SortedKeys(g.inventory.machines) {
		machine := g.inventory.machines[name]
		age := time.Duration(machine.AgeS * float64(time.Second))
		if machine.State == wire.MachineRunning && g.inventory.readAt.Add(-age).Before(began) && !g.host.IsHeard(name) {
			g.Inherit(Candidate{Machine: name, Endpoint: machine.Endpoint, Due: due})
		}
	}
}

// forgetOthers forgets the evidence of machines that are no candidates any more.
func (g *Guard) forgetOthers(candidates []Candidate) {
	if len(g.queries) == 0 {
		return
	}
	kept := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		kept[c.Machine] = true
	}
	for name, q := range g.queries {
		if !kept[name] && !q.inFlight {
			delete(g.queries, name)
		}
	}
}

// ask sends a status query to a machine, unless one is under way or was answered a moment ago.
func (g *Guard) ask(c Candidate) {
	q := g.queries[c.Machine]
	if q == nil {
		q = &query{}
		g.queries[c.Machine] = q
	}
	if q.inFlight || g.inFlight >= maxInFlight || g.loop.Now.Before(q.notBefore) {
		return
	}
	q.inFlight = true
	g.inFlight++
	sent, epoch := g.loop.Now, g.epoch
	g.loop.Emit(eventloop.WorkerStatus{Endpoint: c.Endpoint, ID: g.loop.OnCompletion(func(d eventloop.Completion) {
		if epoch != g.epoch {
			return
		}
		g.inFlight--
		q.answered(d.Outcome, sent, g.loop.Now)
		if q.unanswered == 0 && d.Outcome != eventloop.NotSent {
			delete(g.inherited, c.Machine)
		}
	})})
}

// answered applies the outcome of a query that was sent at a time.
func (q *query) answered(outcome eventloop.Outcome, sent, now time.Time) {
	q.inFlight = false
	switch outcome {
	case eventloop.NoAnswer:
		q.unanswered++
		q.askedAt = sent
	case eventloop.NotSent:
		q.notBefore = now.Add(askInterval)
	default:
		q.unanswered = 0
		q.notBefore = now.Add(askInterval)
	}
}

// proven reports whether a machine that is due at a time has been shown not to answer.
func (q *query) proven(due, now time.Time) bool {
	if q == nil || !now.Before(q.askedAt.Add(proofLifetime)) {
		return false
	}
	return q.unanswered >= enoughUnanswered || (q.unanswered > 0 && now.Sub(due) >= hurryAfter)
}

// terminate returns the machines to the cloud that are due and have been shown not to answer.
func (g *Guard) terminate(candidates []Candidate) {
	if g.deleting || g.loop.Now.Before(g.nextDelete) || !g.host.Connected() {
		return
	}
	var names []string
	until := g.loop.Now.Add(proofLifetime)
	for _, c := range candidates {
		q := g.queries[c.Machine]
		if g.loop.Now.Before(c.Due.Add(g.host.TerminationDelay(c.Holder))) || !q.proven(c.Due, g.loop.Now) || len(names) == wire.MaxDeletesPerRequest {
			continue
		}
		names = append(names, c.Machine)
		if end := q.askedAt.Add(proofLifetime); end.Before(until) {
			until = end
		}
		g.log.Warn("terminating machine that may run cancelled tasks", "machine", c.Machine, "controller", c.Holder,
			"due", g.loop.Now.Sub(c.Due), "unanswered", q.unanswered)
	}
	if len(names) > 0 {
		g.delete(names, until)
	}
}

// delete has the cloud terminate machines, if the request leaves before a time.
func (g *Guard) delete(names []string, until time.Time) {
	g.deleting = true
	g.loop.Emit(eventloop.CloudDelete{Names: names, Until: until, ID: g.loop.OnCompletion(func(d eventloop.Completion) {
		g.deleting = false
		if d.Outcome != eventloop.Succeeded {
			g.nextDelete = g.loop.Now.Add(retryAfter)
			return
		}
		for _, name := range names {
			g.terminated[name] = true
		}
		g.host.MachinesTerminated(names)
	})})
}

// inventory is what the cloud lists, as read here last.
type inventory struct {
	machines map[string]wire.Machine
	next     map[string]wire.Machine // of the reading under way
	reading  bool
	readAt   time.Time
	notUntil time.Time
}

// locate returns what the cloud lists of a machine.
func (i *inventory) locate(name string) (machine wire.Machine, ok bool) {
	machine, ok = i.machines[name]
	return machine, ok
}

// readInventory starts to read the cloud's machine list, unless that was done a moment ago.
func (g *Guard) readInventory() {
	i := &g.inventory
	if i.reading || g.loop.Now.Before(i.notUntil) {
		return
	}
	i.reading, i.next = true, map[string]wire.Machine{}
	g.readInventoryPage("")
}

// readInventoryPage reads the page of the list behind a name.
func (g *Guard) readInventoryPage(after string) {
	g.loop.Emit(eventloop.CloudList{After: after, ID: g.loop.OnCompletion(func(d eventloop.Completion) {
		i := &g.inventory
		if d.Outcome != eventloop.Succeeded {
			i.reading, i.notUntil = false, g.loop.Now.Add(retryAfter)
			return
		}
		last := after
		for _, machine := range d.Machines.Machines {
			i.next[machine.Name] = machine
			last = max(last, machine.Name)
		}
		if d.Machines.More && last > after {
			g.readInventoryPage(last)
			return
		}
		i.reading, i.machines = false, i.next
		i.readAt, i.notUntil = g.loop.Now, g.loop.Now.Add(inventoryInterval)
	})})
}

// Heard is the machines that a controller has heard of lately, as it tells the others.
type Heard map[string]bool

// UnpackHeard reads the machines of a frame.
func UnpackHeard(text string) (Heard, error) {
	names, err := wire.UnpackNames(text)
	if err != nil {
		return nil, err
	}
	heard := make(Heard, len(names))
	for _, name := range names {
		heard[name] = true
	}
	return heard, nil
}

// PackHeard writes machines for a frame.
func PackHeard(heard Heard) string { return wire.PackNames(cluster.SortedKeys(heard)) }
