// Package leader decides for the whole cluster: which controller holds which machines
// (block leases), which owns which jobs (partitions), how teams' limits are split
// (quota shares), and which machines are rented and returned (autoscaler).
//
// It owns the next lease value as a proposal and the picture of the rented machines. It
// assumes that controllers send renewals, that the lease value in the view is the newest
// one read, and that its caller stores proposals by compare-and-set. It never stores the
// value itself, knows no jobs, and starts no task.
//
// A Leader lives from the moment in which the lease value names its controller until,
// by Stop, it names another. Nothing that it owns must outlive it: a new one rebuilds
// its picture from renewals and from the cloud's inventory before it acts.
//
// Files: renewals.go (what controllers report), publish.go (the next lease value) with
// takeover.go, membership.go, partitions.go, quota.go, leaseform.go and level.go (its
// parts), autoscaler.go with inventory.go, review.go, load.go, scaleout.go, instances.go
// and fleetlimit.go (machines).
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

// minWriteInterval is the least time between two writes of the lease value.
const minWriteInterval = 100 * time.Millisecond

// LocalController is the controller that leads, which the leader asks directly for what
// it learns of the others by message.
type LocalController interface {
	// Renewal describes the controller as renewals describe the others.
	Renewal() *peerpb.Renewal
	// EachMachine calls f for each machine of its block, in the order of their names,
	// with how long it has been idle.
	EachMachine(f func(name string, idle time.Duration, quarantined, unreachable bool))
	// ForeignWorkers returns the machines of other blocks, or of none, that send
	// heartbeats there.
	ForeignWorkers() []string
	// TeamUse returns what its tasks use and want, for each limited team.
	TeamUse() map[string]*peerpb.TeamUse
	// ArrivalRate returns the work that has arrived lately, in processors.
	ArrivalRate() float64
	// UpdateMachineInfo tells it how to reach machines of its block that have not sent
	// a heartbeat yet. info returns nil for machines that are not known.
	UpdateMachineInfo(info func(name string) *peerpb.MachineInfo)
}

// Leader is the state of a leader. One goroutine owns it.
type Leader struct {
	loop        *eventloop.Loop
	view        *cluster.View
	pageTable   *leasevalue.PageTable
	local       LocalController
	log         *slog.Logger
	incarnation wire.Incarnation // of this controller's process
	// fleetLimits are the limits of the settings on the size of the fleet, but for the
	// lease value, whose size is known.
	fleetLimits []config.FleetLimit

	term      wire.Term
	startedAt time.Time
	stopped   bool

	// Publishing the lease value.
	publishPending bool      // something is to be published
	publishNow     bool      // an answer has arrived that should be acted on at once
	minimalWrite   bool      // the next write leaves out what can wait
	lastPublished  time.Time // when a value was last proposed
	lastStored     time.Time // when the last write that is stored was sent

	// Renewals, by controller.
	renewals        map[string]*peerpb.Renewal // the newest of each
	renewalReceived map[string]time.Time
	// leaseRenewed is when a value with another renewal of that controller was first
	// read; its lease may last for LeaseDuration from then.
	leaseRenewed map[string]time.Time

	// Machines.
	deleted     map[string]bool      // the cloud has confirmed the deletion
	draining    map[string]bool      // to be released by their holders once empty
	drainedIdle map[string]time.Time // when each that was drained as idle was
	reassignTo  map[string]string    // controller that a draining machine goes to
	autoscaler  autoscaler

	// The feature level.
	levelRaiser    feature.LevelRaiser
	nextLevelRaise time.Time // no raise before then
	levelBlockers  []string  // what keeps the level from being raised
}

// New returns the leader of a term. renewedAt is when each block lease was last seen renewed here,
// by whichever leader: leases count from then, however often the leader has changed since. A
// holder of which it says nothing counts as renewed now. Controllers that are alive are given the
// time to renew with the new leader all the same.
func New(loop *eventloop.Loop, view *cluster.View, pageTable *leasevalue.PageTable, local LocalController, log *slog.Logger, incarnation wire.Incarnation, term wire.Term, renewedAt map[string]time.Time) *Leader {
	l := &Leader{loop: loop, view: view, pageTable: pageTable, local: local, log: log, incarnation: incarnation,
		term: term, startedAt: loop.Now, publishPending: true,
		renewals:        map[string]*peerpb.Renewal{},
		renewalReceived: map[string]time.Time{},
		leaseRenewed:    map[string]time.Time{},
		deleted:         map[string]bool{},
		draining:        map[string]bool{},
		drainedIdle:     map[string]time.Time{},
		reassignTo:      map[string]string{}}
	for _, limit := range view.Settings.FleetLimits() {
		if limit.Setting != "cluster.state.value_kb" {
			l.fleetLimits = append(l.fleetLimits, limit)
		}
	}
	l.autoscaler.init()
	l.levelRaiser.Delay = view.Params.RaiseLevelAfter
	earliest := loop.Now.Add(l.rebuildPeriod() - cluster.RemoteDuration(view.Params.LeaseDuration))
	for node := range view.Lease.Blocks {
		at, ok := renewedAt[node]
		switch {
		case !ok:
			at = loop.Now
		case at.Before(earliest):
			at = earliest
		}
		l.leaseRenewed[node] = at
	}
	return l
}

// rebuildPeriod returns how long a new leader waits for renewals of all controllers
// before it acts on a missing one.
func (l *Leader) rebuildPeriod() time.Duration { return l.view.Params.PublishInterval + time.Second }

// leadConfirmed reports whether this leader's last stored value is recent enough to rent and
// return machines. Until then no successor can have given a block to another holder, so the
// renewals known here are still valid. Later, a leader that is cut off or has been suspended
// would return machines that work for others: to it they are silent.
func (l *Leader) leadConfirmed() bool {
	return l.loop.Now.Sub(l.lastStored) < cluster.LocalDuration(l.view.Params.LeaseDuration)
}

// Term returns the term that it leads.
func (l *Leader) Term() wire.Term { return l.term }

// Stop ends the leader: answers that arrive later change nothing.
func (l *Leader) Stop() { l.stopped = true }

// RequestPublish asks for a lease value to be published soon.
func (l *Leader) RequestPublish() { l.publishPending = true }

// TakePublishNow reports, once, whether an answer has arrived that should be acted on now.
func (l *Leader) TakePublishNow() bool {
	again := l.publishNow
	l.publishNow = false
	return again
}

// TakePublishDue reports whether a lease value is to be published now, and counts it as
// published.
func (l *Leader) TakePublishDue() bool {
	since := l.loop.Now.Sub(l.lastPublished)
	if since < l.view.Params.PublishInterval && (!l.publishPending || since < minWriteInterval) {
		return false
	}
	l.lastPublished, l.publishPending = l.loop.Now, false
	return true
}

// PublishStored records that a proposed value, sent at that time, is stored.
func (l *Leader) PublishStored(sent time.Time) { l.lastStored = sent }

// ValueTooLarge records that a proposed value did not fit into one transaction. The same
// again would fail again, and with it every renewal, so the next one leaves out what can
// wait.
func (l *Leader) ValueTooLarge() { l.minimalWrite, l.publishPending = true, true }

// MachineDeleted records that the cloud has confirmed the deletion of a machine.
func (l *Leader) MachineDeleted(name string) {
	l.deleted[name] = true
	delete(l.autoscaler.deleting, name)
	delete(l.autoscaler.unreachable, name)
	if known := l.autoscaler.instances[name]; known != nil {
		// Whatever was refused before, the market has capacity again.
		delete(l.autoscaler.noCapacityUntil, known.market)
		delete(l.autoscaler.instances, name)
	}
	l.publishPending = true
}

// MachineInfo describes a machine as far as it is known, or returns nil.
func (l *Leader) MachineInfo(name string) *peerpb.MachineInfo {
	known := l.autoscaler.instances[name]
	if known == nil {
		return nil
	}
	return &peerpb.MachineInfo{Name: name, Endpoint: known.endpoint, Type: known.machineType, Zone: known.zone, Spot: known.spot, AgentEpoch: known.agentEpoch}
}
