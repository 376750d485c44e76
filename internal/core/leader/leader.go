// Package leader decides for the whole cluster: which controller holds which
// machines, which is home to which jobs, how limits are shared out, and what is
// rented and returned. It proposes lease values and asks for cloud calls; it
// neither stores the value nor knows jobs, and what it knows of machines is
// what all controllers, its own among them, tell in renewals.
//
// A leader is made when the lease value names its controller and dropped, by
// End, as soon as it names another. It owns nothing that must outlive it.
package leader

import (
	"log/slog"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// minWriteInterval spaces the leader's writes of the lease value.
const minWriteInterval = 100 * time.Millisecond

// LocalController is the controller that leads. The leader asks it for what it hears of
// the others by message, or sooner than its own next renewal.
type LocalController interface {
	// Renewal describes the controller as renewals describe the others.
	Renewal() *peerpb.Renewal
	// EachMachine calls f for each of its machines, in the order of their names,
	// with how long it has been empty.
	EachMachine(f func(name string, idle time.Duration, bad, lost bool))
	// ForeignWorkers are the machines of others, or of nobody, that report there.
	ForeignWorkers() []string
	// TeamUse tells what its tasks use and want, for each limited team.
	TeamUse() map[string]*peerpb.TeamUse
	// ArrivalRate is the work that has come in lately, in processors.
	ArrivalRate() float64
	// UpdateMachineInfo lets it know how to reach machines of its block that have not
	// reported yet; seen returns nil for those that nobody has heard of.
	UpdateMachineInfo(seen func(name string) *peerpb.MachineInfo)
}

// Leader is the state of a leader.
type Leader struct {
	loop        *eventloop.Loop
	view        *cluster.View
	pageTable   *leasevalue.PageTable
	local       LocalController
	log         *slog.Logger
	incarnation uint64 // of this controller's process
	// budgets are the limits of the settings that bound the fleet, but for the
	// lease value, whose size is known.
	fleetLimits []config.Budget

	term            uint64
	startedAt       time.Time
	stopped         bool
	publishPending  bool
	publishNow      bool // an answer has come in that should be acted on at once
	minimalWrite    bool // the next write leaves out what can wait
	lastPublished   time.Time
	lastStored      time.Time                  // when the last write that is stored was sent
	renewals        map[string]*peerpb.Renewal // newest of each controller
	renewalReceived map[string]time.Time       // when it came
	// renewedAt is when a value with another renewal of that controller was first
	// seen; its lease may last Lease from then.
	leaseRenewed   map[string]time.Time
	deleted        map[string]bool // released, confirmed
	draining       map[string]bool
	drainedIdle    map[string]time.Time // when each was recalled that stood empty, see inUseAgain
	reassignTo     map[string]string    // recalled for another controller
	autoscaler     autoscaler
	levelRaiser    feature.LevelRaiser
	nextLevelRaise time.Time // no raise before then
	levelBlockers  []string  // what keeps the level from being raised
}

// New returns the leader of a term. seen is when the value that it replaces was
// first seen here: all renewals which that one honours were sent before, so
// leases count as renewed then, however long the election took. Whoever lives
// is given the time to renew with the new leader all the same.
func New(loop *eventloop.Loop, view *cluster.View, book *leasevalue.PageTable, local LocalController, log *slog.Logger, incarnation, term uint64, seen time.Time) *Leader {
	l := &Leader{loop: loop, view: view, pageTable: book, local: local, log: log, incarnation: incarnation,
		term: term, startedAt: loop.Now, publishPending: true,
		renewals: map[string]*peerpb.Renewal{}, renewalReceived: map[string]time.Time{},
		leaseRenewed: map[string]time.Time{}, deleted: map[string]bool{}, draining: map[string]bool{}, drainedIdle: map[string]time.Time{}, reassignTo: map[string]string{}}
	for _, b := range view.Settings.Budgets() {
		if b.Field != "cluster.state.value_kb" {
			l.fleetLimits = append(l.fleetLimits, b)
		}
	}
	l.autoscaler.init()
	l.levelRaiser.Delay = view.Params.RaiseLevelAfter
	if least := loop.Now.Add(l.rebuildPeriod() - cluster.RemoteDuration(view.Params.LeaseDuration)); seen.Before(least) {
		seen = least
	}
	for node := range view.Lease.Blocks {
		l.leaseRenewed[node] = seen
	}
	return l
}

// rebuild is how long a new leader waits for renewals of all controllers before
// it acts on the lack of one.
func (l *Leader) rebuildPeriod() time.Duration { return l.view.Params.PublishInterval + time.Second }

// acts tells whether this leader may still rent and return machines. Whoever
// takes the lead over gives no block away before its lease has lapsed, counted
// from the last value; until then its holders still stand for what they told.
// Later a leader that is cut off, or has stood still, would return machines that
// work for others by now: to it they are silent.
func (l *Leader) leadConfirmed() bool {
	return l.loop.Now.Sub(l.lastStored) < cluster.LocalDuration(l.view.Params.LeaseDuration)
}

// Term is the term that it leads.
func (l *Leader) Term() uint64 { return l.term }

// Stop drops the leader: answers that still come change nothing.
func (l *Leader) Stop() { l.stopped = true }

// HandleRenewal takes in another controller's renewal. It returns false for one that
// is older than what is known.
func (l *Leader) HandleRenewal(r *peerpb.Renewal) bool {
	node := r.GetNode()
	old := l.renewals[node]
	if old != nil && (r.GetIncarnation() < old.GetIncarnation() ||
		(r.GetIncarnation() == old.GetIncarnation() && r.GetNumber() <= old.GetNumber())) {
		return false
	}
	b, ok := l.view.Lease.Blocks[node]
	if r.GetIncarnation() < b.Incarnation || (r.GetIncarnation() == b.Incarnation && r.GetNumber() < b.Renewal) {
		return false // from before this controller led
	}
	l.renewals[node], l.renewalReceived[node] = r, l.loop.Now
	if !ok || b.Incarnation != r.GetIncarnation() ||
		r.GetResigned() || len(r.GetReleased())+len(r.GetSilentMachines())+len(r.GetKnownMachines())+len(r.GetHandovers()) > 0 {
		l.publishPending = true
	}
	return true
}

// RequestPublish says that there is something to publish.
func (l *Leader) RequestPublish() { l.publishPending = true }

// PublishNow tells, once, that an answer has come in that should be acted on now.
func (l *Leader) PublishNow() bool {
	again := l.publishNow
	l.publishNow = false
	return again
}

// TakePublishDue tells whether a lease value is to be proposed, and takes it for done.
func (l *Leader) TakePublishDue() bool {
	since := l.loop.Now.Sub(l.lastPublished)
	if since < l.view.Params.PublishInterval && (!l.publishPending || since < minWriteInterval) {
		return false
	}
	l.lastPublished, l.publishPending = l.loop.Now, false
	return true
}

// PublishStored notes that a proposed value, sent at a moment, is stored.
func (l *Leader) PublishStored(sent time.Time) { l.lastStored = sent }

// LeaseApplied notes that the view has a newer value, where before it had these blocks.
// The leases that it renews count from now, whoever wrote it and however it came to
// be known: a write without an answer may be carried out late, and its holders
// then have the time that it gives them.
func (l *Leader) LeaseApplied(before map[string]wire.Block) {
	for node, b := range l.view.Lease.Blocks {
		if old := before[node]; b.Renewal != old.Renewal || b.Incarnation != old.Incarnation {
			l.leaseRenewed[node] = l.loop.Now
		}
	}
}

// ValueTooLarge notes that a proposed value could not be written in one transaction.
// The same again would fail again, and with it every renewal: the next one
// leaves out what can wait.
func (l *Leader) ValueTooLarge() { l.minimalWrite, l.publishPending = true, true }

// MachineDeleted notes that the cloud has confirmed the end of a machine.
func (l *Leader) MachineDeleted(name string) {
	l.deleted[name] = true
	delete(l.autoscaler.deleting, name)
	delete(l.autoscaler.unreachable, name)
	if r := l.autoscaler.instances[name]; r != nil {
		// Whatever was refused before, there is room again.
		delete(l.autoscaler.noCapacityUntil, r.market)
		delete(l.autoscaler.instances, name)
	}
	l.publishPending = true
}

// MachineInfo describes a machine as far as anybody has told, or returns nil.
func (l *Leader) MachineInfo(name string) *peerpb.MachineInfo {
	r := l.autoscaler.instances[name]
	if r == nil {
		return nil
	}
	return &peerpb.MachineInfo{Name: name, Endpoint: r.endpoint, Type: r.machineType, Zone: r.zone, Spot: r.spot, AgentEpoch: r.agentEpoch}
}

// alive tells whether a controller renewed lately.
func (l *Leader) isAlive(node string) bool {
	at, ok := l.renewalReceived[node]
	if l.renewals[node].GetResigned() {
		return false
	}
	return node == l.view.Self || (ok && l.loop.Now.Sub(at) < 2*l.view.Params.PublishInterval+time.Second)
}

// unpack reads a set of machines from a renewal.
func (l *Leader) unpackNames(text string) []string {
	names, err := wire.UnpackNames(text)
	if err != nil {
		l.log.Error("names in a renewal", "err", err)
	}
	return names
}
