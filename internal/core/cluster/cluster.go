// Package cluster is what a controller knows of the cluster as a whole: the
// settings, the machine types, the lease value and the other controllers. One
// goroutine owns it; the roles of a controller read it, and only the core that
// is handed the news changes it.
package cluster

import (
	"maps"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/quota"
	"fawncove/internal/core/recovery"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// PeerTimeout is the silence after which a peer counts as out of reach.
	PeerTimeout = 2500 * time.Millisecond
	// WatchHold bounds how old a controller's knowledge of cancellations gets
	// while the state service answers.
	WatchHold = 2 * time.Second
	// UsageMaxAge is how long what a controller told of its use counts.
	UsageMaxAge = 10 * time.Second

	// BootTimeoutFactor is after how many boot times a machine counts as one that never
	// comes up. Waiting longer pays for machines that do nothing and that take up
	// what the market has.
	BootTimeoutFactor = 2.5
	// drift is how far two steady clocks may run apart, both ways together.
	drift = 0.001
	// margin covers what happens between a check of a right and its use.
	margin = 500 * time.Millisecond
)

// RemoteDuration returns how long another machine's d may take on this one's clock.
func RemoteDuration(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*drift) + margin
}

// LocalDuration returns how much of d this machine may use for itself.
func LocalDuration(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*drift) - margin
}

// Params are the open defaults of the design.
type Params struct {
	LeaseDuration        time.Duration // how long a block lease lasts
	PublishInterval      time.Duration // how often the leader publishes
	LookAheadThreshold   int           // the look-ahead threshold
	SinglePartitionBelow int           // fleets smaller than this have all homes in one place
	ShardLimitedAbove    int           // fleets larger than this have the jobs of limited teams parted too
	MoveJobAfter         time.Duration // how long a job waits without room before it moves to another home
	// Levels is what levels this version can work under, Version its name, and
	// RaiseAfter how long all must have been able to follow a level before it is
	// raised without the operator's word; 0: never.
	Levels          feature.Range
	Version         string
	RaiseLevelAfter time.Duration
}

// DefaultRaiseLevelAfter is the default of Params.RaiseAfter: long enough to see a new
// version fail, and to go back, before there is no way back.
const DefaultRaiseLevelAfter = 10 * time.Minute

// Defaults are the starting values.
func Defaults() Params {
	return Params{LeaseDuration: 20 * time.Second, PublishInterval: 5 * time.Second, LookAheadThreshold: sched.DefaultLookAheadThreshold, SinglePartitionBelow: 100, ShardLimitedAbove: 700, MoveJobAfter: 30 * time.Second,
		Levels: feature.Current(), Version: "unknown", RaiseLevelAfter: DefaultRaiseLevelAfter}
}

// View is the picture of the cluster.
type View struct {
	Settings     *config.Settings
	Params       Params
	Self         string                      // this controller
	MachineTypes map[string]wire.MachineType // by name; empty until read
	Peers        map[string]*Peer            // the other controllers by name

	// Lease is the lease value as last read whole, and Version its version; 0
	// means that none has been read.
	Lease        wire.LeaseRecord
	LeaseVersion uint64
	IsLeader     bool // this controller leads
	// Controllers is what each controller has stored of itself, and Word what the
	// operator has asked for.
	Controllers     map[string]Stored[wire.ControllerRecord]
	OperatorRequest Stored[wire.OperatorRequest]
	// LeaseValueBytes is the size of the lease value that this controller wrote
	// last, without pages.
	LeaseValueBytes int
	owners          map[string]string // machine -> controller, by the lease value
}

// Stored is a value of the state service; version 0 says that there is none.
type Stored[T any] struct {
	Value   T
	Version uint64
}

// Peer is what is known of another controller.
type Peer struct {
	Zone                string
	Incarnation         uint64        // its incarnation, as heard last
	SeenLevel           feature.Level // level that it has read
	LastFrame           time.Time
	StateReachable      bool
	StateReachableSince time.Time // since when it says so without a break
	SpareCPUs           float64   // processors free beyond what waits
	LeaseForm           uint32    // the newest form of the lease value that it reads
	TeamUse             map[string]*peerpb.TeamUse
	Capacity            Capacity
	// Generation is that of the state it goes by, 0 if it cannot rebuild it; Lost
	// says that it has found data of that lost, Restored that it has stored again
	// what it knew.
	Generation               uint64
	StateLost, StateRestored bool
	Revision                 uint64         // the highest that the state service has shown it
	RecoveryView             *recovery.View // while it rebuilds
	// NoHeartbeats says that none of its machines has reported to it of late, and
	// Guests how many machines of this controller's block report there instead.
	NoHeartbeats   bool
	ForeignWorkers int
	// AcceptsRaisedTokens says that it goes on with machines whose token was raised
	// elsewhere.
	AcceptsRaisedTokens bool
	// FreeSlots is the most room that machines of its block have, and FollowsMoves says
	// that it knows that jobs move.
	FreeSlots       []FreeSlot
	AcceptsJobMoves bool
	// FreshnessRequest is its newest ask, and Clear the moment up to which it has told of no
	// cancellation that is not known here, see package controller's clear.go.
	FreshnessRequest        uint64
	CancellationsKnownUntil time.Time
}

// FreeSlot is the room on one machine, the most of its type, zone and kind.
type FreeSlot struct {
	MachineType, Zone string
	Spot              bool
	OverdueOnly       bool // only for what has waited for long
	Free              sched.Resources
}

// Capacity is what is free on a controller's machines at a moment, in processors.
type Capacity struct {
	Free   float64
	Size   float64            // of all its machines
	Images map[string]float64 // free on machines that have an image
}

// Reserve counts a job that was filed there against the room, until the
// controller tells its new figures.
func (r *Capacity) Reserve(j *wire.Job) {
	cpus := float64(j.Tasks) * j.CPUs
	r.Free = max(0, r.Free-cpus)
	if n, ok := r.Images[j.Image]; ok {
		r.Images[j.Image] = max(0, n-cpus)
	}
}

// RateFor rates the room for an urgent job: the part of it that could start at
// once, and more so where its image is.
func (r *Capacity) RateFor(j *wire.Job) float64 {
	cpus := max(1e-6, float64(j.Tasks)*j.CPUs)
	return (min(cpus, r.Images[j.Image]) + 0.5*min(cpus, r.Free)) / cpus
}

// New returns the view of the controller described by cfg, before it has read
// or heard anything.
func New(cfg *config.Settings, par Params) *View {
	v := &View{Settings: cfg, Params: par, Self: cfg.HostName, MachineTypes: map[string]wire.MachineType{},
		Peers: map[string]*Peer{}, Controllers: map[string]Stored[wire.ControllerRecord]{}, owners: map[string]string{}}
	for _, p := range cfg.Peers {
		v.Peers[p.HostName] = &Peer{Zone: p.Area}
	}
	return v
}

// UpdateTeamUse notes what a controller's tasks use and want.
func (p *Peer) UpdateTeamUse(uses []*peerpb.TeamUse) {
	for _, u := range uses {
		if p.TeamUse == nil {
			p.TeamUse = map[string]*peerpb.TeamUse{}
		}
		p.TeamUse[u.GetTeam()] = u
	}
}

// UpdateFreeSlots notes the room on a controller's machines.
func (p *Peer) UpdateFreeSlots(slots []*peerpb.FreeSlot) {
	p.FreeSlots = p.FreeSlots[:0]
	for _, s := range slots {
		p.FreeSlots = append(p.FreeSlots, FreeSlot{MachineType: s.GetType(), Zone: s.GetZone(), Spot: s.GetSpot(), OverdueOnly: s.GetOverdueOnly(),
			Free: sched.Resources{CPUs: s.GetCpus(), GPUs: s.GetGpus(), MemoryGB: s.GetMemoryGb()}})
	}
}

// Levels is what the lease value says of levels.
func (v *View) Levels() feature.State {
	return feature.State{Level: feature.Level(v.Lease.Level), Confirmed: feature.Level(v.Lease.Confirmed)}
}

// FeatureOpen tells whether a gate is open here.
func (v *View) FeatureOpen(g feature.Gate) bool { return v.Levels().Open(g) }

// Unwrap takes a stored value out of its envelope. A version from before levels
// knows of none.
func (v *View) Unwrap(key string, value []byte) (wire.Envelope, error) {
	if !v.Params.Levels.KnowsLevels() {
		return wire.Envelope{Value: value}, nil
	}
	return wire.Unwrap(key, value)
}

// Members is what is known of all controllers of the settings, this one
// included, in the order of their names.
func (v *View) Members(process uint64, now time.Time) []feature.Member {
	var out []feature.Member
	for _, name := range SortedKeys(v.Peers) {
		p := v.Peers[name]
		out = append(out, feature.Member{Name: name, Reachable: v.IsReachable(name, now), Process: p.Incarnation, SeenLevel: p.SeenLevel})
	}
	out = append(out, feature.Member{Name: v.Self, Reachable: true, Process: process, SeenLevel: v.Levels().Level})
	for i := range out {
		m := &out[i]
		r := v.Controllers[m.Name].Value
		m.LeaseIncarnation = v.Lease.Blocks[m.Name].Incarnation
		m.Announced = feature.Announcement{Incarnation: r.Incarnation, Version: r.Version,
			Levels: feature.Range{Oldest: feature.Level(r.OldestLevel), Newest: feature.Level(r.NewestLevel)}}
	}
	return out
}

// IsReachable tells whether another controller has been heard a moment ago.
func (v *View) IsReachable(name string, now time.Time) bool {
	p := v.Peers[name]
	return p != nil && !p.LastFrame.IsZero() && now.Sub(p.LastFrame) < PeerTimeout
}

// ZoneOf is the zone of a controller; "" of one that is not known.
func (v *View) ZoneOf(node string) string {
	if node == v.Self {
		return v.Settings.Area
	}
	if p := v.Peers[node]; p != nil {
		return p.Zone
	}
	return ""
}

// HolderOf names the controller that holds a machine, or "".
func (v *View) HolderOf(machine string) string { return v.owners[machine] }

// LeasedMachines tells how many machines are in blocks.
func (v *View) LeasedMachines() int { return len(v.owners) }

// TeamOf returns the settings of a team.
func (v *View) TeamOf(name string) (t config.Team, ok bool) {
	i := slices.IndexFunc(v.Settings.Cluster.Teams, func(t config.Team) bool { return t.Name == name })
	if i < 0 {
		return t, false
	}
	return v.Settings.Cluster.Teams[i], true
}

// LimitOf is the most that a team's tasks may use; of an unknown team, none.
func (v *View) LimitOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
}

// GuaranteeOf is what a team is guaranteed, as a limit.
func (v *View) GuaranteeOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUs, GPUs: t.GPUs}
}

// MachineSize is the room on a machine of a type.
func MachineSize(t wire.MachineType) sched.Resources {
	return sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// Unlimited tells whether a team has neither a limit nor a guarantee.
func Unlimited(t config.Team) bool {
	return t.CPUs <= 0 && t.CPUsMax <= 0 && t.GPUs <= 0 && t.GPUsMax <= 0
}

// Shards lists the parts of a team's jobs by name.
func Shards(homes map[string]string, team string) []string {
	var out []string
	for home := range homes {
		if wire.IsShardOf(home, team) {
			out = append(out, home)
		}
	}
	slices.Sort(out)
	return out
}

// Partitions lists the homes of a team's jobs: its parts by name, then the team
// itself, which is for all jobs that were filed under no part.
func Partitions(homes map[string]string, team string) []string {
	out := Shards(homes, team)
	if _, ok := homes[team]; ok {
		out = append(out, team)
	}
	return out
}

// CountPartitions tells how many homes of a team each controller has.
func CountPartitions(homes map[string]string, team string) map[string]int {
	count := map[string]int{}
	for home, node := range homes {
		if wire.IsPartitionOf(home, team) {
			count[node]++
		}
	}
	return count
}

// SortedKeys lists a map's keys in order, wherever the order shows in the
// effects: the same events always have the same outcome.
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// ApplyLease makes a newer lease value the current one. Blocks that did not change
// cost a comparison only: the value is written often and is long.
func (v *View) ApplyLease(rec wire.LeaseRecord, version uint64) {
	before, after := v.Lease.Blocks, rec.Blocks
	v.Lease, v.LeaseVersion = rec, version
	same := func(node string) bool {
		a, b := before[node], after[node]
		return slices.Equal(a.Machines, b.Machines) && slices.Equal(a.Unreconciled, b.Unreconciled)
	}
	for node, b := range before {
		if same(node) {
			continue
		}
		for _, names := range [][]string{b.Machines, b.Unreconciled} {
			for _, name := range names {
				delete(v.owners, name)
			}
		}
	}
	for node, b := range after {
		if same(node) {
			continue
		}
		for _, names := range [][]string{b.Machines, b.Unreconciled} {
			for _, name := range names {
				v.owners[name] = node
			}
		}
	}
}

// QuotaNeeds collects what every controller that is home to jobs of the team needs,
// processors and cards; own is what this one's tasks use and want. Those not
// heard of lately keep what they have.
func (v *View) QuotaNeeds(homes map[string]string, shares wire.Shares, team string, own map[string]*peerpb.TeamUse, now time.Time) (cpus, cards map[string]quota.Need) {
	cpus, cards = map[string]quota.Need{}, map[string]quota.Need{}
	for home, node := range homes {
		if _, done := cpus[node]; done || !wire.IsPartitionOf(home, team) {
			continue
		}
		u := own[team]
		if node != v.Self {
			u = nil
			if p := v.Peers[node]; p != nil && now.Sub(p.LastFrame) < UsageMaxAge {
				u = p.TeamUse[team]
			}
		}
		if u == nil {
			s := shares[node]
			cpus[node] = quota.Need{InUse: float64(s.CPUs), Wanted: float64(s.CPUs)}
			cards[node] = quota.Need{InUse: float64(s.GPUs), Wanted: float64(s.GPUs)}
			continue
		}
		cpus[node] = quota.Need{InUse: u.GetCpus(), Wanted: u.GetWantCpus(), MinToStart: u.GetMinCpus()}
		cards[node] = quota.Need{InUse: u.GetGpus(), Wanted: u.GetWantGpus(), MinToStart: u.GetMinGpus()}
	}
	return cpus, cards
}
