// Package feature is how new behaviour and new stored forms come into a cluster whose
// controllers are replaced one by one.
//
// The cluster has a feature level, which is part of the lease value and so of every
// compare-and-set. Each new behaviour is a feature gate with the level that opens it. A
// version says which levels it can work under; the level is raised only when every
// controller of the settings, as the process that it is at that moment, has announced
// that it can follow, and is never lowered. A controller that reads a level beyond its own
// serves nobody.
//
// A raise reaches the controllers one after the other, so for a while two work under
// different levels. Each gate says in its comment why that breaks no rule, or it needs
// confirmation: it opens only when the lease value says that all controllers have read the
// level.
//
// The package only decides: it reads no clock, sends nothing, and knows of the state
// service only what it is given.
package feature

import "fmt"

// Level is the feature level of a cluster, or the one that a gate needs. Level 0 is that
// of all versions from before there were levels: no value names it.
type Level uint32

const (
	// Oldest is the lowest level that this version can work under.
	Oldest Level = 0
	// Newest is the highest level that this version can work under.
	Newest Level = 3
)

// Range is the levels that a version can work under.
type Range struct{ Oldest, Newest Level }

// Current returns the range of this version.
func Current() Range { return Range{Oldest, Newest} }

// KnowsLevels reports whether the version knows levels at all.
func (r Range) KnowsLevels() bool { return r.Newest > 0 }

// Follow returns a LevelError if a version cannot work under a level.
func (r Range) Follow(l Level) error {
	if l > r.Newest || l < r.Oldest {
		return LevelError{l, r}
	}
	return nil
}

// LevelError reports that a version cannot work under the level of the cluster.
type LevelError struct {
	Level     Level
	Supported Range
}

// Error says which version is needed.
func (e LevelError) Error() string {
	if e.Level > e.Supported.Newest {
		return fmt.Sprintf("the cluster is at level %d, this version supports levels up to %d: a newer version is needed", e.Level, e.Supported.Newest)
	}
	return fmt.Sprintf("the cluster is at level %d, this version supports levels from %d on: a version in between has to be rolled out first", e.Level, e.Supported.Oldest)
}

// Gate is a behaviour, or a stored form, that comes with a level.
type Gate int

const (
	// LeaseLevel: the lease value is stored in the form that names level and
	// generation, with pages and shares, without asking who reads them.
	//
	// Side by side: the value is the single point of every compare-and-set. A
	// controller that has not read the raise yet bases its writes on a version that is
	// gone, so they fail; all others only read, and have announced that they can. An
	// earlier version cannot read the value, and is granted nothing by it.
	LeaseLevel Gate = iota
	// Envelope: records of jobs and pages of completed tasks are stored with
	// their form, the generation of the state and, for jobs, the version under
	// which they were first stored.
	//
	// It needs confirmation. A controller that went back to a version without levels at
	// the very moment of a raise, before the leader could know, still counts as healthy
	// with the lease value that it read earlier, and would answer "unavailable" for a job
	// in an envelope for as long as the job lives. It never confirms the level, so nothing
	// is stored that it cannot read. All others read both forms, and decide by versions,
	// whatever the form.
	Envelope
	// AnswerQuorum: what users are told of a job is confirmed by a majority of all controllers of
	// the settings, of which one that is silent counts as one.
	//
	// It needs confirmation. Until it is open only those controllers count that are known to
	// confirm, so no user waits for one of an earlier version; nothing is stored for it. Two
	// controllers of which one has read the level and the other has not yet both ask
	// majorities, of all or of those that confirm, which are the same while all are in reach.
	AnswerQuorum
)

// Info describes a gate.
type Info struct {
	Name              string
	Level             Level  // that opens it
	NeedsConfirmation bool   // until all have confirmed the level
	Version           string // of the program that brought it
}

// Info returns the description of the gate.
func (g Gate) Info() Info { return gates()[g] }

// All returns the gates in order.
func All() []Gate { return []Gate{LeaseLevel, Envelope, AnswerQuorum} }

func gates() [3]Info {
	return [...]Info{
		LeaseLevel:   {Name: "lease-level", Level: 1, Version: "0.2"},
		Envelope:     {Name: "envelope", Level: 2, NeedsConfirmation: true, Version: "0.2"},
		AnswerQuorum: {Name: "answer-quorum", Level: 3, NeedsConfirmation: true, Version: "0.3"},
	}
}

// State is what the lease value says of the feature level.
type State struct {
	Level     Level
	Confirmed Level // read by all controllers
}

// Open reports whether a gate is open.
func (s State) Open(g Gate) bool {
	i := g.Info()
	if i.NeedsConfirmation {
		return s.Confirmed >= i.Level
	}
	return s.Level >= i.Level
}
