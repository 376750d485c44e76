// Package cluster is what a controller knows of the cluster as a whole: the settings, the
// machine types, the lease value and the other controllers. One goroutine owns it; the
// roles of a controller read it, and only the core that receives the events changes it. It
// decides nothing, sends nothing and reads no clock.
package cluster

import (
	"maps"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

const (
	// PeerTimeout is the silence after which a peer counts as unreachable: two and a half
	// times the interval of the frames to all peers.
	PeerTimeout = 2500 * time.Millisecond
	// WatchHold bounds how old a controller's knowledge of cancellations gets while the
	// state service answers.
	WatchHold = 2 * time.Second
	// UsageMaxAge is how long what a controller has published of its quota use counts.
	UsageMaxAge = 10 * time.Second
	// BootTimeoutFactor is after how many boot times a machine counts as one that never
	// comes up. Waiting longer pays for machines that do nothing and that take up what the
	// market has.
	BootTimeoutFactor = 2.5
)

const (
	// clockDrift is how far two steady clocks may run apart, both ways together.
	clockDrift = 0.001
	// useMargin covers what happens between a check of a right and its use.
	useMargin = 500 * time.Millisecond
)

// RemoteDuration returns how long another machine's d may take on this one's clock.
func RemoteDuration(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift) + useMargin
}

// LocalDuration returns how much of d this machine may use for itself.
func LocalDuration(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*clockDrift) - useMargin
}

// Params are the parameters of the design that are no settings.
type Params struct {
	LeaseDuration        time.Duration // how long a block lease lasts
	PublishInterval      time.Duration // how often the leader publishes
	LookAheadThreshold   int           // see package sched
	SinglePartitionBelow int           // machines of a fleet below which one controller owns all partitions
	ShardLimitedAbove    int           // machines above which the jobs of limited teams are sharded too
	MoveJobAfter         time.Duration // how long a job waits without room before it moves to another partition
	// Levels are the feature levels that this version can work at, Version its name, and
	// RaiseLevelAfter how long all must have been able to follow a level before it is
	// raised without an operator's request; 0: never.
	Levels          feature.Range
	Version         string
	RaiseLevelAfter time.Duration
}

// DefaultRaiseLevelAfter is the default of Params.RaiseLevelAfter: long enough to see a new
// version fail, and to go back, before there is no way back.
const DefaultRaiseLevelAfter = 10 * time.Minute

// Defaults returns the parameters that a controller starts with.
func Defaults() Params {
	return Params{
		LeaseDuration:        20 * time.Second,
		PublishInterval:      5 * time.Second,
		LookAheadThreshold:   sched.DefaultLookAheadThreshold,
		SinglePartitionBelow: 100,
		ShardLimitedAbove:    700,
		MoveJobAfter:         30 * time.Second,
		Levels:               feature.Current(),
		Version:              "unknown",
		RaiseLevelAfter:      DefaultRaiseLevelAfter,
	}
}

// View is a controller's picture of the cluster.
type View struct {
	Settings     *config.Settings
	Params       Params
	Self         string                      // this controller
	MachineTypes map[string]wire.MachineType // by name; empty until read
	Peers        map[string]*Peer            // the other controllers by name

	// Lease is the lease value as last read whole, and LeaseVersion its version; 0 means
	// that none has been read.
	Lease        wire.LeaseRecord
	LeaseVersion wire.Revision
	IsLeader     bool // this controller leads
	// LeaseValueBytes is the size of the lease value that this controller wrote last,
	// without pages.
	LeaseValueBytes int

	// Limits are those of the state service on one write.
	Limits WriteLimits

	// Controllers is what each controller has stored of itself, and OperatorRequest what
	// the operator has asked for.
	Controllers     map[string]Stored[wire.ControllerRecord]
	OperatorRequest Stored[wire.OperatorRequest]

	holders map[string]string // controller that holds a machine, by the lease value
}

// Stored is a value of the state service; version 0 says that there is none.
type Stored[T any] struct {
	Value   T
	Version wire.Revision
}

// New returns the view of the controller described by cfg, before it has read or received
// anything.
func New(cfg *config.Settings, par Params) *View {
	v := &View{Settings: cfg, Params: par, Self: cfg.HostName, MachineTypes: map[string]wire.MachineType{},
		Peers: map[string]*Peer{}, Controllers: map[string]Stored[wire.ControllerRecord]{}, holders: map[string]string{}, Limits: newWriteLimits(cfg)}
	for _, p := range cfg.Peers {
		v.Peers[p.HostName] = &Peer{Zone: p.Area}
	}
	return v
}

// ApplyLease makes a newer lease value the current one. Blocks that did not change cost a
// comparison only: the value is written often and is long.
func (v *View) ApplyLease(rec wire.LeaseRecord, version wire.Revision) {
	before, after := v.Lease.Blocks, rec.Blocks
	v.Lease, v.LeaseVersion = rec, version
	for node, old := range before {
		if !sameMachines(old, after[node]) {
			eachMachine(old, func(name string) { delete(v.holders, name) })
		}
	}
	for node, block := range after {
		if !sameMachines(block, before[node]) {
			eachMachine(block, func(name string) { v.holders[name] = node })
		}
	}
}

// sameMachines reports whether two blocks have the same machines in the same state.
func sameMachines(a, b wire.Block) bool {
	return slices.Equal(a.Machines, b.Machines) && slices.Equal(a.Unreconciled, b.Unreconciled)
}

// eachMachine calls f for every machine of a block.
func eachMachine(b wire.Block, f func(name string)) {
	for _, name := range b.Machines {
		f(name)
	}
	for _, name := range b.Unreconciled {
		f(name)
	}
}

// HolderOf returns the controller that holds a machine, or "".
func (v *View) HolderOf(machine string) string { return v.holders[machine] }

// LeasedMachines returns how many machines are in blocks.
func (v *View) LeasedMachines() int { return len(v.holders) }

// LargestMachine returns the most that a machine of any type has of each resource. known is
// false while no type has been read: the largest of none is not 0.
func (v *View) LargestMachine() (size sched.Resources, known bool) {
	for _, t := range v.MachineTypes {
		size = sched.Resources{CPUs: max(size.CPUs, t.CPUs), GPUs: max(size.GPUs, t.GPUs), MemoryGB: max(size.MemoryGB, t.MemoryGB)}
	}
	return size, len(v.MachineTypes) > 0
}

// MachineSize returns the resources of a machine of a type.
func MachineSize(t wire.MachineType) sched.Resources {
	return sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// SortedKeys lists a map's keys in order, wherever the order shows in the effects: the
// same events always have the same outcome.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
