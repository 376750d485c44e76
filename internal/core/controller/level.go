package controller

import (
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Levels of the cluster: what this process tells of itself, and what it does
// when it cannot follow.

const (
	// LevelPrefix is where all that has to do with levels is stored, each
	// controller's record below NodePrefix; WordKey is the operator's.
	LevelPrefix        = root + "g/"
	ControllerPrefix   = LevelPrefix + "n/"
	OperatorRequestKey = LevelPrefix + "word"

	// frameForm and renewalForm are the newest forms of messages between
	// controllers.
	frameForm   = 1
	renewalForm = 1

	// levelPublishInterval spaces the looks at whether a controller's record has to be
	// written, and levelProgressInterval the writes of what the raise does not depend on.
	levelPublishInterval  = 2 * time.Second
	levelProgressInterval = 10 * time.Second
)

// levelPublisher is what has to do with levels.
type levelPublisher struct {
	allRead       bool // what is stored of all controllers
	readInFlight  bool
	writeInFlight bool // own record is being written
	nextAt        time.Time
}

// serves tells whether users and workers can be served at all.
func (c *Core) serves() bool { return c.state.loaded() && c.incompatible == nil && c.recovery == nil }

// WorkersServed reports whether workers may be answered: jobs are known, and this
// controller is not the only one that the state service refuses; then others know
// which controller holds the machines.
//
// During a recovery of the state workers are answered with their own tokens, as those
// of others are, so that what runs lives on.
func (c *Core) WorkersServed() bool {
	return c.recovery != nil || c.serves() && (c.blockLease.Held() || !c.isolatedFromState())
}

// Incompatible tells why this version cannot serve this cluster, or nil.
func (c *Core) Incompatible() error { return c.incompatible }

// levelRaiseConditions are the further conditions of a value that raises the level: each
// controller's record, and the operator's word, must be those that the leader
// decided by. A controller that has been replaced meanwhile stops the raise,
// however late the write arrives.
func (c *Core) levelRaiseConditions(rec *wire.LeaseRecord) []wire.Condition {
	if rec.Level == c.view.Lease.Level && rec.Confirmed == c.view.Lease.Confirmed {
		return nil
	}
	conds := []wire.Condition{{Key: OperatorRequestKey, Version: c.view.OperatorRequest.Version}, {Key: ControllerPrefix + c.view.Self, Version: c.view.Controllers[c.view.Self].Version}}
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		conds = append(conds, wire.Condition{Key: ControllerPrefix + name, Version: c.view.Controllers[name].Version})
	}
	return conds
}

// applyLevel takes in a key below LevelPrefix; value is nil if it is gone.
func (c *Core) applyLevel(key string, value []byte, version uint64) {
	if !c.view.Params.Levels.KnowsLevels() {
		return
	}
	if key == OperatorRequestKey {
		c.view.OperatorRequest = newerRecord(c, c.view.OperatorRequest, key, value, version, func(w wire.OperatorRequest) int { return w.Form })
	} else if name, ok := strings.CutPrefix(key, ControllerPrefix); ok {
		c.view.Controllers[name] = newerRecord(c, c.view.Controllers[name], key, value, version, func(r wire.ControllerRecord) int { return r.Form })
	}
	if c.leader != nil {
		c.leader.RequestPublish()
	}
}

// newerRecord returns what is stored under a key now. What cannot be read says nothing,
// but its version counts.
func newerRecord[T any](c *Core, old cluster.Stored[T], key string, value []byte, version uint64, form func(T) int) cluster.Stored[T] {
	if version <= old.Version {
		return old
	}
	if value == nil {
		return cluster.Stored[T]{}
	}
	out := cluster.Stored[T]{Version: version}
	err := wire.Decode(value, &out.Value)
	if f := form(out.Value); err == nil && f > wire.ControllerForm {
		err = wire.FormError{What: key, Form: f}
	}
	if err != nil {
		c.log.Error("level", "key", key, "err", err)
		return cluster.Stored[T]{Version: version}
	}
	return out
}

// readLevels reads once what all controllers have told; later changes come with
// the watch.
func (c *Core) readLevels() {
	if c.levels.readInFlight || c.loop.Now.Before(c.levels.nextAt) {
		return
	}
	c.levels.readInFlight = true
	c.loop.Emit(eventloop.StateRange{Prefix: LevelPrefix, ID: c.loop.Call(func(d eventloop.Completion) {
		c.levels.readInFlight = false
		if d.Outcome != eventloop.Succeeded {
			c.levels.nextAt = c.loop.Now.Add(time.Second)
			return
		}
		for _, p := range d.Page.Pairs {
			c.applyLevel(p.Key, p.Value, p.Version)
		}
		c.levels.allRead = true
	})})
}

// shouldPublishLevel tells whether a record is to be stored in place of another. What
// the raise depends on is told at once, the rest now and then, and not while
// users are short: in a troubled minute it changes all the time, and every write
// is one less for them.
func (c *Core) shouldPublishLevel(rec, old *wire.ControllerRecord) bool {
	if rec.Incarnation != old.Incarnation || rec.Version != old.Version || rec.OldestLevel != old.OldestLevel || rec.NewestLevel != old.NewestLevel ||
		rec.SeenLevel != old.SeenLevel {
		return true
	}
	changed := rec.Ready != old.Ready || rec.UnreconciledMachines != old.UnreconciledMachines || rec.OutdatedRecords != old.OutdatedRecords || !slices.Equal(rec.LevelBlockers, old.LevelBlockers)
	return changed && c.loop.Now.Sub(time.UnixMilli(old.UpdatedAtMs)) >= levelProgressInterval &&
		c.userWrites.pending == 0 && c.loop.Now.Sub(c.userWrites.throttledAt) >= levelProgressInterval
}

// publishLevel stores what this process can follow, what it has read and how far
// it has come, when that has changed. It is written under the version that is
// known, so that an earlier process's late write cannot replace it.
func (c *Core) publishLevel() {
	if !c.view.Params.Levels.KnowsLevels() {
		return
	}
	if !c.levels.allRead {
		c.readLevels()
		return
	}
	if c.levels.writeInFlight || c.loop.Now.Before(c.levels.nextAt) || c.view.LeaseVersion == 0 {
		return
	}
	c.levels.nextAt = c.loop.Now.Add(levelPublishInterval)
	stored := c.view.Controllers[c.view.Self]
	rec := wire.ControllerRecord{Form: wire.ControllerForm, Incarnation: c.blockLease.Incarnation(), Version: c.view.Params.Version,
		OldestLevel: uint32(c.view.Params.Levels.Oldest), NewestLevel: uint32(c.view.Params.Levels.Newest), SeenLevel: c.view.Lease.Level,
		Ready: c.Healthy(), UnreconciledMachines: c.owner.UnreconciledMachines(), OutdatedRecords: c.owner.OutdatedRecords()}
	if c.leader != nil {
		rec.LevelBlockers = c.leader.LevelBlockers()
	}
	if !c.shouldPublishLevel(&rec, &stored.Value) {
		return
	}
	rec.UpdatedAtMs = c.loop.Now.UnixMilli()
	c.levels.writeInFlight = true
	key := ControllerPrefix + c.view.Self
	c.loop.Emit(eventloop.StateTxn{
		Txn: wire.Txn{If: []wire.Condition{{Key: key, Version: stored.Version}}, Then: []wire.Op{{Put: key, Value: rec}}},
		ID: c.loop.Call(func(d eventloop.Completion) {
			c.levels.writeInFlight = false
			switch d.Outcome {
			case eventloop.Succeeded:
				c.view.Controllers[c.view.Self] = cluster.Stored[wire.ControllerRecord]{Value: rec, Version: d.Txn.Revision}
			case eventloop.Conflict:
				c.levels.allRead = false // something has changed unseen: read again
			}
		})})
}
