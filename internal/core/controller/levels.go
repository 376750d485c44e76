package controller

import (
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Each controller publishes the feature levels that it can work at and how far it has
// come. The leader raises the cluster's level by these records, and by the operator's
// request.

const (
	// LevelPrefix is where everything that concerns feature levels is stored.
	LevelPrefix = root + "g/"
	// ControllerPrefix is where each controller's record is stored, under its name.
	ControllerPrefix = LevelPrefix + "n/"
	// OperatorRequestKey is where the operator's request is stored.
	OperatorRequestKey = LevelPrefix + "word"

	// levelPublishInterval spaces the checks whether this controller's record has to be
	// written, and levelProgressInterval the writes of what a raise does not depend on.
	levelPublishInterval  = 2 * time.Second
	levelProgressInterval = 10 * time.Second
	// levelReadRetry is the pause after the records could not be read.
	levelReadRetry = time.Second
)

// levelPhase says what is known of all controllers' records, and which request for them
// is in flight: one at most.
//
//	levelsUnread → readingLevels   when the records are asked for
//	readingLevels → levelsRead     when all were read; levelsUnread if that failed
//	levelsRead → writingLevel      when this controller's record is to be stored
//	writingLevel → levelsRead      when that is answered; levelsUnread by a conflict
type levelPhase int

const (
	levelsUnread levelPhase = iota
	readingLevels
	// levelsRead: changes come with the watch from then on.
	levelsRead
	writingLevel
)

// levelPublisher is the progress of reading all controllers' records and writing this
// one's.
type levelPublisher struct {
	phase  levelPhase
	nextAt time.Time // nothing is read or written before
}

// beginRead starts a reading of all records.
func (l *levelPublisher) beginRead() { l.phase = readingLevels }

// failRead ends a reading without a result; it begins anew after a pause.
func (l *levelPublisher) failRead(now time.Time) {
	l.phase, l.nextAt = levelsUnread, now.Add(levelReadRetry)
}

// completeRead ends a reading that shows all records.
func (l *levelPublisher) completeRead() { l.phase = levelsRead }

// beginWrite starts a write of this controller's record.
func (l *levelPublisher) beginWrite() { l.phase = writingLevel }

// completeWrite ends a write. After a conflict all records are read again, as something
// has changed unseen.
func (l *levelPublisher) completeWrite(outcome eventloop.Outcome) {
	l.phase = levelsRead
	if outcome == eventloop.Conflict {
		l.phase = levelsUnread
	}
}

// levelRaiseConditions returns the further conditions of a lease value that raises the
// level: each controller's record, and the operator's request, must be those that the
// leader decided by. A controller that has been replaced meanwhile stops the raise,
// however late the write arrives.
func (c *Core) levelRaiseConditions(rec *wire.LeaseRecord) []wire.Condition {
	if rec.Level == c.view.Lease.Level && rec.Confirmed == c.view.Lease.Confirmed {
		return nil
	}
	conds := []wire.Condition{{Key: OperatorRequestKey, Version: c.view.OperatorRequest.Version}, c.recordUnchanged(c.view.Self)}
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		conds = append(conds, c.recordUnchanged(name))
	}
	return conds
}

// recordUnchanged is the condition that a controller's record is the one known here.
func (c *Core) recordUnchanged(name string) wire.Condition {
	return wire.Condition{Key: ControllerPrefix + name, Version: c.view.Controllers[name].Version}
}

// applyLevel applies a key below LevelPrefix; value is nil if it was deleted.
func (c *Core) applyLevel(key string, value []byte, version wire.Revision) {
	if !c.view.Params.Levels.KnowsLevels() {
		return
	}
	if key == OperatorRequestKey {
		c.view.OperatorRequest = newerRecord(c, c.view.OperatorRequest, key, value, version, func(r wire.OperatorRequest) int { return r.Form })
	} else if name, ok := strings.CutPrefix(key, ControllerPrefix); ok {
		c.view.Controllers[name] = newerRecord(c, c.view.Controllers[name], key, value, version, func(r wire.ControllerRecord) int { return r.Form })
	}
	if c.leader != nil {
		c.leader.RequestPublish()
	}
}

// newerRecord returns what is stored under a key now. A value that cannot be decoded is
// empty, but its version counts.
func newerRecord[T any](c *Core, old cluster.Stored[T], key string, value []byte, version wire.Revision, form func(T) int) cluster.Stored[T] {
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
		c.log.Error("cannot decode level record", "key", key, "err", err)
		return cluster.Stored[T]{Version: version}
	}
	return out
}

// readLevels reads the records of all controllers.
func (c *Core) readLevels() {
	c.levels.beginRead()
	c.loop.Emit(eventloop.StateRange{Prefix: LevelPrefix, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		if d.Outcome != eventloop.Succeeded {
			c.levels.failRead(c.loop.Now)
			return
		}
		for _, p := range d.Page.Pairs {
			c.applyLevel(p.Key, p.Value, p.Version)
		}
		c.levels.completeRead()
	})})
}

// publishLevel reads all controllers' records, and stores this controller's when it has
// changed.
func (c *Core) publishLevel() {
	if !c.view.Params.Levels.KnowsLevels() || c.loop.Now.Before(c.levels.nextAt) {
		return
	}
	switch c.levels.phase {
	case levelsUnread:
		c.readLevels()
	case levelsRead:
		c.storeChangedLevel()
	}
}

// storeChangedLevel stores this controller's record if it has changed.
func (c *Core) storeChangedLevel() {
	if c.view.LeaseVersion == 0 {
		return
	}
	c.levels.nextAt = c.loop.Now.Add(levelPublishInterval)
	stored, rec := c.view.Controllers[c.view.Self], c.controllerRecord()
	if !c.shouldPublishLevel(&rec, &stored.Value) {
		return
	}
	rec.UpdatedAtMs = c.loop.Now.UnixMilli()
	c.storeControllerRecord(rec, stored.Version)
}

// controllerRecord describes this controller.
func (c *Core) controllerRecord() wire.ControllerRecord {
	params := &c.view.Params
	rec := wire.ControllerRecord{Form: wire.ControllerForm, Incarnation: c.blockLease.Incarnation(), Version: params.Version,
		OldestLevel: uint32(params.Levels.Oldest), NewestLevel: uint32(params.Levels.Newest), SeenLevel: c.view.Lease.Level,
		Ready: c.Healthy(), UnreconciledMachines: c.owner.UnreconciledMachines(), OutdatedRecords: c.owner.OutdatedRecords()}
	if c.leader != nil {
		rec.LevelBlockers = c.leader.LevelBlockers()
	}
	return rec
}

// shouldPublishLevel reports whether a record is to be stored in place of an older one.
// What a raise depends on is stored at once, the rest now and then, and not while
// users' writes are short of room: in a troubled minute it changes all the time, and
// every write takes one from them.
func (c *Core) shouldPublishLevel(rec, old *wire.ControllerRecord) bool {
	if rec.Incarnation != old.Incarnation || rec.Version != old.Version || rec.OldestLevel != old.OldestLevel || rec.NewestLevel != old.NewestLevel ||
		rec.SeenLevel != old.SeenLevel {
		return true
	}
	changed := rec.Ready != old.Ready || rec.UnreconciledMachines != old.UnreconciledMachines || rec.OutdatedRecords != old.OutdatedRecords ||
		!slices.Equal(rec.LevelBlockers, old.LevelBlockers)
	return changed && c.loop.Now.Sub(time.UnixMilli(old.UpdatedAtMs)) >= levelProgressInterval &&
		c.userWrites.pending == 0 && c.loop.Now.Sub(c.userWrites.throttledAt) >= levelProgressInterval
}

// storeControllerRecord stores this controller's record in place of the version that is
// known, so that a late write of an earlier process cannot replace it.
func (c *Core) storeControllerRecord(rec wire.ControllerRecord, known wire.Revision) {
	c.levels.beginWrite()
	key := ControllerPrefix + c.view.Self
	txn := wire.Txn{If: []wire.Condition{{Key: key, Version: known}}, Then: []wire.Op{{Put: key, Value: rec}}}
	c.loop.Emit(eventloop.StateTxn{Txn: txn, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		c.levels.completeWrite(d.Outcome)
		if d.Outcome == eventloop.Succeeded {
			c.view.Controllers[c.view.Self] = cluster.Stored[wire.ControllerRecord]{Value: rec, Version: d.Txn.Revision}
		}
	})})
}
