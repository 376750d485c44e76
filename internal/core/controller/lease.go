package controller

import (
	"encoding/base64"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leader"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// leaderTimeout is how long the lease value may stay unchanged before
	// another controller takes the lead: two missed publications.
	leaderTimeout = 10 * time.Second
	// urgentRenewalInterval spaces renewals that something urgent brought about; those
	// through the state service cost a write, so they come less often.
	urgentRenewalInterval = 200 * time.Millisecond
	storedRenewalInterval = time.Second
)

// ---- what every controller does with the lease value

// applyLeaseValue reads the lease value. One whose pages are not all known waits for
// them: it grants nothing until it has been read whole.
func (c *Core) applyLeaseValue(p wire.Pair) {
	since := c.loop.Now
	if c.incompleteLease != nil {
		since = c.incompleteSince
		if c.incompleteLease.Version <= c.view.LeaseVersion || c.incompleteLease.Version <= p.Version {
			c.incompleteLease = nil
		}
	}
	if p.Version <= c.view.LeaseVersion {
		return
	}
	rec, err := c.leasePages.Read(p.Value)
	if errors.Is(err, leasevalue.ErrPageMissing) {
		if c.incompleteLease == nil {
			c.incompleteLease, c.incompleteSince = &p, since
		}
		return
	}
	if err == nil && c.view.Params.Levels.KnowsLevels() {
		err = c.view.Params.Levels.Follow(feature.Level(rec.Level))
	}
	if err != nil {
		c.rejectLeaseValue(p.Version, err)
		return
	}
	c.applyLease(rec, p.Version)
}

// incompleteLeaseTimeout is how long a lease value may wait for its pages to come with the
// watch before they are read.
const incompleteLeaseTimeout = 300 * time.Millisecond

// readIncompleteLease reads value and pages when a page has been missing for a while.
func (c *Core) readIncompleteLease() {
	if c.incompleteLease != nil && !c.leaseReadInFlight && c.loop.Now.Sub(c.incompleteSince) >= incompleteLeaseTimeout {
		c.incompleteSince = c.loop.Now
		c.readLease(func(eventloop.Outcome) {})
	}
}

// readLease reads the lease value and, if need be, its pages. Both may change
// in between, so it tries a few times; then gets the outcome of what it read
// last, or NoAnswer when value and pages never matched.
func (c *Core) readLease(then func(outcome eventloop.Outcome)) {
	c.leaseReadInFlight = true
	done := func(outcome eventloop.Outcome) {
		c.leaseReadInFlight = false
		then(outcome)
	}
	var try func(left int)
	var pages func(left int, after string)
	try = func(left int) {
		known := c.view.LeaseVersion
		c.loop.Emit(eventloop.StateGet{Key: leaseKey, ID: c.loop.Call(func(d eventloop.Completion) {
			if c.recovery == nil && d.Pair.Version < known && (d.Outcome == eventloop.Succeeded || d.Outcome == eventloop.NotFound) {
				// Its only writes make it newer. Where just the last revision is lost, the
				// next one has the same number and shows nothing; no write of the value
				// would ever find the version that it is based on.
				c.startRecovery("the lease value went back", known, d.Pair.Version)
				done(eventloop.NoAnswer)
				return
			}
			if d.Outcome == eventloop.Succeeded {
				c.applyPut(leaseKey, d.Pair.Value, d.Pair.Version)
			}
			switch {
			case d.Outcome != eventloop.Succeeded || c.incompleteLease == nil:
				done(d.Outcome)
			case left == 0:
				done(eventloop.NoAnswer)
			default:
				pages(left-1, "")
			}
		})})
	}
	pages = func(left int, after string) {
		c.loop.Emit(eventloop.StateRange{Prefix: leasevalue.PagePrefix, After: after, ID: c.loop.Call(func(d eventloop.Completion) {
			if d.Outcome != eventloop.Succeeded {
				done(d.Outcome)
				return
			}
			for _, p := range d.Page.Pairs {
				c.applyPut(p.Key, p.Value, p.Version)
				after = p.Key
			}
			switch {
			case c.incompleteLease == nil:
				done(eventloop.Succeeded)
			case d.Page.More && len(d.Page.Pairs) > 0:
				pages(left, after)
			default:
				try(left)
			}
		})})
	}
	try(3)
}

// applyLease takes over a newer lease value and what it means for this
// controller's block, homes and rights.
func (c *Core) applyLease(rec wire.LeaseRecord, version uint64) {
	if version <= c.view.LeaseVersion || c.recovery != nil {
		return
	}
	before := c.view.Lease.Blocks
	c.view.ApplyLease(rec, version)
	if c.leader != nil {
		c.leader.LeaseApplied(before)
	}
	c.leaderSeenAt = c.loop.Now
	c.previousLeaseAppliedAt, c.leaseAppliedAt = c.leaseAppliedAt, c.loop.Now
	if rec.Leader == c.view.Self && rec.Incarnation == c.blockLease.Incarnation() {
		if c.leader == nil || c.leader.Term() != rec.Term {
			c.becomeLeader(rec.Term)
		}
	} else if c.leader != nil {
		c.log.Info("no longer leader", "leader", rec.Leader, "term", rec.Term)
		c.stopLeading()
	}
	b, ok := rec.Blocks[c.view.Self]
	if !ok || b.Incarnation != c.blockLease.Incarnation() {
		if c.blockLease.Held() {
			c.log.Info("block lost", "machines", c.owner.MachineCount())
			c.loseBlock()
		}
		if ok && !c.shuttingDown {
			// A process that is back within a moment may have begun by a clock
			// that stood lower than its predecessor's. Nobody would hear it then.
			c.blockLease.RaiseIncarnation(b.Incarnation)
		}
		c.blockLease.RequestRenewal()
		return
	}
	changed := c.blockLease.Renewed(b)
	c.owner.ApplyBlock(b)
	if changed && c.owner.ReleasesMachines() {
		c.blockLease.RequestRenewal() // only what is given back under this grant counts
	}
}

// loseBlock forgets all that the right to a block was the ground of.
func (c *Core) loseBlock() {
	c.blockLease.Release()
	c.owner.ReleaseBlock()
}

// Renewal describes this controller to the leader, numbered as the next one.
func (c *Core) Renewal() *peerpb.Renewal {
	r := &peerpb.Renewal{Node: c.view.Self, Incarnation: c.blockLease.Incarnation(), Number: c.blockLease.NextRenewal()}
	if c.view.Params.Levels.KnowsLevels() {
		r.Form = renewalForm
	}
	c.owner.FillRenewal(r)
	return r
}

// isolatedAfter is how long the state service must have been silent before a
// controller that others tell of its answers takes itself for the only one
// without it. It is longer than their word may be old, so that an outage for
// all is not mistaken for one.
const isolatedAfter = 7 * time.Second

// peerReachableFor is for how long another must have been answered again before
// that says anything: when an outage ends, some are answered a moment earlier.
const peerReachableFor = 2500 * time.Millisecond

// isolatedFromState tells whether the state service answers others but not this
// controller.
func (c *Core) isolatedFromState() bool {
	if c.loop.Now.Sub(c.state.lastAnswer) < isolatedAfter {
		return false
	}
	for _, p := range c.view.Peers {
		if c.loop.Now.Sub(p.LastFrame) < cluster.PeerTimeout && p.StateReachable && c.loop.Now.Sub(p.StateReachableSince) > peerReachableFor {
			return true
		}
	}
	return false
}

// stepDownIfIsolated gives up block, homes and lead when the state service refuses this
// controller alone. It could start nothing soon anyway, and store nothing; by
// saying so it spares its jobs the time until its lease has lapsed. From here
// on it is a new process to everybody, its own included: machines it gets back
// are machines it knows nothing of.
//
// The same goes for one that loses its workers alone: they report to others,
// which keep their tasks alive for a while but may start none. A successor goes
// on with them where they are.
func (c *Core) stepDownIfIsolated() {
	if c.shuttingDown || !c.state.loaded() || (!c.blockLease.Held() && c.leader == nil) {
		return
	}
	switch {
	case c.isolatedFromState():
		c.log.Info("resigned, the state service refuses this controller alone", "machines", c.owner.MachineCount(), "led", c.leader != nil)
	case c.workersReachOnlyOthers():
		c.log.Info("resigned, the workers reach others but not this controller", "machines", c.owner.MachineCount(), "led", c.leader != nil)
		c.noBlockUntil = c.loop.Now.Add(stepDownPause)
	default:
		return
	}
	c.stepDown()
}

// stepDownPause is for how long a controller that has lost its workers asks for no
// block. What it then gets it would lose again, should they still not reach it.
const stepDownPause = 30 * time.Second

// workersReachOnlyOthers tells whether no machine of the block reports here any more
// while at least half of them report to other controllers.
func (c *Core) workersReachOnlyOthers() bool {
	if !c.owner.AllWorkersElsewhere() {
		return false
	}
	guests := 0
	for name, p := range c.view.Peers {
		if c.view.IsReachable(name, c.loop.Now) {
			guests += p.ForeignWorkers
		}
	}
	return 2*guests >= c.owner.MachineCount()
}

// declinesBlock tells whether this controller wants no block for now.
func (c *Core) declinesBlock() bool {
	return c.shuttingDown || c.isolatedFromState() || c.loop.Now.Before(c.noBlockUntil)
}

// stepDown ends every right that this process has; renew tells the others.
func (c *Core) stepDown() {
	c.blockLease.RaiseIncarnation(c.blockLease.Incarnation())
	c.stopLeading()
	c.loseBlock()
	c.blockLease.RequestRenewal()
}

// shutDown gives up block, homes and lead because this process is to end. Whoever
// leads hands them on with the next value instead of waiting for the lease to
// lapse; a late command of this process falls to the token.
func (c *Core) shutDown() {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	c.log.Info("leaving", "machines", c.owner.MachineCount(), "leads", c.leader != nil)
	c.stepDown()
	c.renewBlockLease()
}

// HandedOver tells whether nothing is left to hand over by a process that leaves: the
// lease value names it no longer. It is true of one that never read any.
func (c *Core) HandedOver() bool {
	_, held := c.view.Lease.Blocks[c.view.Self]
	return c.shuttingDown && !held && c.view.Lease.Leader != c.view.Self
}

// renewBlockLease asks for a renewal of the block lease: straight from the leader where
// it can be reached, else through the state service, which no cut between
// zones touches.
func (c *Core) renewBlockLease() {
	if c.leader != nil || c.view.Lease.Leader == "" {
		return // the leader renews its own with every write
	}
	direct := c.view.IsReachable(c.view.Lease.Leader, c.loop.Now)
	gap := storedRenewalInterval
	if direct {
		gap = urgentRenewalInterval
	}
	last := c.nextRenewalAt.Add(-c.view.Params.PublishInterval)
	if c.loop.Now.Before(c.nextRenewalAt) && !(c.blockLease.RenewalUrgent() && c.loop.Now.Sub(last) >= gap) {
		return
	}
	c.blockLease.RenewalSent()
	c.nextRenewalAt = c.loop.Now.Add(c.view.Params.PublishInterval)
	r := c.Renewal()
	r.Resigned = !c.blockLease.Held() && c.declinesBlock()
	c.owner.ReserveQuota(r)
	c.blockLease.RecordRenewal(c.loop.Now)
	to := []string{c.view.Lease.Leader}
	if r.Resigned {
		// The lease value it knows is as old as the refusal; it may even name
		// itself as the leader. Whoever leads by now has to hear of it.
		direct, to = true, cluster.SortedKeys(c.view.Peers)
		c.nextRenewalAt = c.loop.Now.Add(storedRenewalInterval)
	}
	if direct {
		for _, name := range to {
			f := c.newFrame()
			f.Renewal = r
			c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
		}
		return
	}
	// As base64 in a value of limited size.
	trimRenewal(r, int(0.9*1024*c.view.Settings.Cluster.State.ValueKB*3/4)-64)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		c.log.Error("renewal", "err", err)
		return
	}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, ID: c.loop.Call(func(eventloop.Completion) {}),
		Txn: wire.Txn{Then: []wire.Op{{Put: renewalPrefix + c.view.Self, Value: map[string]string{
			"pb": base64.StdEncoding.EncodeToString(b)}}}}})
}

// trimRenewal shortens a renewal to a size. What is left out comes with a later one,
// once the leader has acted on the first part.
func trimRenewal(r *peerpb.Renewal, most int) {
	r.UnknownEndpoints = "" // would be answered on the link that is down
	for proto.Size(r) > most {
		use, seen, demand := 12*len(r.MachineUse), 50*len(r.KnownMachines), 36*len(r.Demand)
		switch {
		case use+seen+demand == 0:
			return
		case seen >= use && seen >= demand:
			r.KnownMachines = r.KnownMachines[:len(r.KnownMachines)/2]
		case use >= demand:
			r.MachineUse = r.MachineUse[:len(r.MachineUse)/2]
		default:
			r.Demand = r.Demand[:len(r.Demand)/2]
		}
	}
}

// applyStoredRenewal reads a renewal that came through the state service.
func (c *Core) applyStoredRenewal(value []byte) {
	if c.leader == nil {
		return
	}
	var v map[string]string
	if err := wire.Decode(value, &v); err != nil {
		c.log.Error("stored renewal", "err", err)
		return
	}
	b, err := base64.StdEncoding.DecodeString(v["pb"])
	r := new(peerpb.Renewal)
	if err == nil {
		err = proto.Unmarshal(b, r)
	}
	if err != nil {
		c.log.Error("stored renewal", "err", err)
		return
	}
	if r.GetForm() > renewalForm {
		c.log.Warn("renewal in a form that is unknown to this version", "node", r.GetNode(), "form", r.GetForm())
		return
	}
	c.handleRenewal(r)
}

// campaign takes the lead when there is no leader, when this controller led
// before its restart, or when the lease value has not changed for long.
func (c *Core) campaign() {
	if c.leader != nil || c.leaseWriteInFlight || c.shuttingDown || c.loop.Now.Before(c.noBlockUntil) {
		return
	}
	mine := c.view.Lease.Leader == c.view.Self
	// The controllers wait a little longer one after the other, so that they
	// do not all try in the same moment.
	patience := leaderTimeout
	for name := range c.view.Peers {
		if name < c.view.Self {
			patience += time.Second
		}
	}
	if c.unreadableVersion > c.view.LeaseVersion {
		return // somebody leads, in a form that cannot be read here
	}
	if c.view.LeaseVersion != 0 && !mine && c.loop.Now.Sub(c.leaderSeenAt) < patience {
		return
	}
	rec := c.view.Lease.Clone()
	rec.Term++
	rec.Leader, rec.Incarnation = c.view.Self, c.blockLease.Incarnation()
	rec.Sequence++
	leader.GrantAnew(&rec, c.view.Self, c.blockLease.Incarnation())
	c.writeLease(rec, func() {})
}

// writeLease proposes a new lease value under the version it was based on; then
// is called once it is stored.
func (c *Core) writeLease(rec wire.LeaseRecord, then func()) {
	c.leaseWriteInFlight = true
	sent := c.loop.Now
	c.leaseWriteSentAt = sent
	if b, ok := rec.Blocks[c.view.Self]; ok && b.Incarnation == c.blockLease.Incarnation() {
		b.Renewal = c.blockLease.RecordRenewal(c.loop.Now)
		rec.Blocks[c.view.Self] = b
	}
	ops := []wire.Op{{Put: leaseKey, Value: rec}}
	var draft *leasevalue.PendingWrite
	if rec.Form >= 2 {
		var err error
		if draft, err = c.leasePages.Write(&rec, c.view.Settings.ValueLimits()); err != nil {
			// Publishing keeps within what a write can take, but for several
			// takeovers at once.
			c.log.Error("lease value", "err", err)
			c.leaseWriteInFlight = false
			if c.leader != nil {
				c.leader.ValueTooLarge()
			}
			return
		}
		ops = draft.Ops
		c.view.LeaseValueBytes = draft.Bytes
	}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true,
		// The generation is part of the compare: when the state has been rebuilt
		// its revisions count again from below, and a write of before that could
		// find the version it was based on.
		Txn: wire.Txn{If: append(c.LeaseUnchanged(), c.levelRaiseConditions(&rec)...), Then: ops},
		ID: c.loop.Call(func(d eventloop.Completion) {
			c.leaseWriteInFlight = false
			if d.Outcome == eventloop.Succeeded {
				if draft != nil {
					draft.Commit()
				}
				then()
				c.applyLease(rec, d.Txn.Revision)
				if c.leader != nil {
					c.leader.PublishStored(sent)
					c.runLeader()
				}
				return
			}
			// Refused, or perhaps done: read before deciding anything.
			c.leaseWriteInFlight = true
			c.readLease(func(eventloop.Outcome) {
				c.leaseWriteInFlight = false
				if c.leader != nil {
					c.leader.RequestPublish()
				}
			})
		}),
	})
}

// applyLeasePage reads a page beside the lease value, which may have waited for it.
func (c *Core) applyLeasePage(key string, value []byte) {
	if _, err := c.leasePages.ReadPage(key, value); err != nil {
		c.log.Error("lease page", "err", err)
	}
	if c.incompleteLease != nil {
		c.applyLeaseValue(*c.incompleteLease)
	}
}

// LeaseUnchanged returns the conditions under which the lease value and the generation
// are those that this controller knows.
func (c *Core) LeaseUnchanged() []wire.Condition {
	return []wire.Condition{{Key: leaseKey, Version: c.view.LeaseVersion}, {Key: generationKey, Version: c.storedGeneration.Version}}
}
