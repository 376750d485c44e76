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
	"fawncove/internal/core/gate"
	"fawncove/internal/core/rebuild"
	"fawncove/internal/core/sched"
	"fawncove/internal/core/share"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// LinkDead is the silence after which a peer counts as out of reach.
	LinkDead = 2500 * time.Millisecond
	// WatchHold bounds how old a controller's knowledge of cancellations gets
	// while the state service answers.
	WatchHold = 2 * time.Second
	// UseFresh is how long what a controller told of its use counts.
	UseFresh = 10 * time.Second

	// NeverUp is after how many boot times a machine counts as one that never
	// comes up. Waiting longer pays for machines that do nothing and that take up
	// what the market has.
	NeverUp = 2.5
	// drift is how far two steady clocks may run apart, both ways together.
	drift = 0.001
	// margin covers what happens between a check of a right and its use.
	margin = 500 * time.Millisecond
)

// Stretch returns how long another machine's d may take on this one's clock.
func Stretch(d time.Duration) time.Duration { return d + time.Duration(float64(d)*drift) + margin }

// Shrink returns how much of d this machine may use for itself.
func Shrink(d time.Duration) time.Duration { return d - time.Duration(float64(d)*drift) - margin }

// Params are the open defaults of the design.
type Params struct {
	Lease   time.Duration // how long a block lease lasts
	Publish time.Duration // how often the leader publishes
	K2      int           // the look-ahead threshold
	Pack    int           // fleets smaller than this have all homes in one place
	Home    int           // fleets larger than this have the jobs of limited teams parted too
	Move    time.Duration // how long a job waits without room before it moves to another home
	// Levels is what levels this version can work under, Version its name, and
	// RaiseAfter how long all must have been able to follow a level before it is
	// raised without the operator's word; 0: never.
	Levels     gate.Range
	Version    string
	RaiseAfter time.Duration
}

// RaiseAfter is the default of Params.RaiseAfter: long enough to see a new
// version fail, and to go back, before there is no way back.
const RaiseAfter = 10 * time.Minute

// Defaults are the starting values.
func Defaults() Params {
	return Params{Lease: 20 * time.Second, Publish: 5 * time.Second, K2: sched.K2, Pack: 100, Home: 700, Move: 30 * time.Second,
		Levels: gate.Current(), Version: "unknown", RaiseAfter: RaiseAfter}
}

// View is the picture of the cluster.
type View struct {
	Cfg   *config.Settings
	Par   Params
	Me    string                      // this controller
	Types map[string]wire.MachineType // by name; empty until read
	Peers map[string]*Peer            // the other controllers by name

	// Lease is the lease value as last read whole, and Version its version; 0
	// means that none has been read.
	Lease   wire.LeaseRecord
	Version uint64
	Leading bool // this controller leads
	// Controllers is what each controller has stored of itself, and Word what the
	// operator has asked for.
	Controllers map[string]Stored[wire.ControllerRecord]
	Word        Stored[wire.OperatorRequest]
	// ValueBytes is the size of the lease value that this controller wrote
	// last, without pages.
	ValueBytes int
	owners     map[string]string // machine -> controller, by the lease value
}

// Stored is a value of the state service; version 0 says that there is none.
type Stored[T any] struct {
	Value   T
	Version uint64
}

// Peer is what is known of another controller.
type Peer struct {
	Area    string
	Process uint64     // its incarnation, as heard last
	Seen    gate.Level // level that it has read
	Heard   time.Time
	StateOK bool
	OKSince time.Time // since when it says so without a break
	Spare   float64   // processors free beyond what waits
	Form    uint32    // the newest form of the lease value that it reads
	Teams   map[string]*peerpb.TeamUse
	Room    Room
	// Generation is that of the state it goes by, 0 if it cannot rebuild it; Lost
	// says that it has found data of that lost, Restored that it has stored again
	// what it knew.
	Generation     uint64
	Lost, Restored bool
	Revision       uint64        // the highest that the state service has shown it
	View           *rebuild.View // while it rebuilds
	// NoReports says that none of its machines has reported to it of late, and
	// Guests how many machines of this controller's block report there instead.
	NoReports bool
	Guests    int
	// FollowsRaised says that it goes on with machines whose token was raised
	// elsewhere.
	FollowsRaised bool
	// Slots is the most room that machines of its block have, and FollowsMoves says
	// that it knows that jobs move.
	Slots        []Slot
	FollowsMoves bool
	// Asked is its newest ask, and Clear the moment up to which it has told of no
	// cancellation that is not known here, see package controller's clear.go.
	Asked uint64
	Clear time.Time
}

// Slot is the room on one machine, the most of its type, zone and kind.
type Slot struct {
	Kind, Zone string
	Spot       bool
	Late       bool // only for what has waited for long
	Free       sched.Amount
}

// Room is what is free on a controller's machines at a moment, in processors.
type Room struct {
	Free   float64
	Size   float64            // of all its machines
	Images map[string]float64 // free on machines that have an image
}

// Take counts a job that was filed there against the room, until the
// controller tells its new figures.
func (r *Room) Take(j *wire.Job) {
	cpus := float64(j.Tasks) * j.CPUs
	r.Free = max(0, r.Free-cpus)
	if n, ok := r.Images[j.Image]; ok {
		r.Images[j.Image] = max(0, n-cpus)
	}
}

// Worth rates the room for an urgent job: the part of it that could start at
// once, and more so where its image is.
func (r *Room) Worth(j *wire.Job) float64 {
	cpus := max(1e-6, float64(j.Tasks)*j.CPUs)
	return (min(cpus, r.Images[j.Image]) + 0.5*min(cpus, r.Free)) / cpus
}

// New returns the view of the controller described by cfg, before it has read
// or heard anything.
func New(cfg *config.Settings, par Params) *View {
	v := &View{Cfg: cfg, Par: par, Me: cfg.HostName, Types: map[string]wire.MachineType{},
		Peers: map[string]*Peer{}, Controllers: map[string]Stored[wire.ControllerRecord]{}, owners: map[string]string{}}
	for _, p := range cfg.Peers {
		v.Peers[p.HostName] = &Peer{Area: p.Area}
	}
	return v
}

// Tell notes what a controller's tasks use and want.
func (p *Peer) Tell(uses []*peerpb.TeamUse) {
	for _, u := range uses {
		if p.Teams == nil {
			p.Teams = map[string]*peerpb.TeamUse{}
		}
		p.Teams[u.GetTeam()] = u
	}
}

// TellSlots notes the room on a controller's machines.
func (p *Peer) TellSlots(slots []*peerpb.FreeSlot) {
	p.Slots = p.Slots[:0]
	for _, s := range slots {
		p.Slots = append(p.Slots, Slot{Kind: s.GetType(), Zone: s.GetZone(), Spot: s.GetSpot(), Late: s.GetOverdueOnly(),
			Free: sched.Amount{CPUs: s.GetCpus(), Cards: s.GetGpus(), MemoryGB: s.GetMemoryGb()}})
	}
}

// Levels is what the lease value says of levels.
func (v *View) Levels() gate.State {
	return gate.State{Level: gate.Level(v.Lease.Level), Confirmed: gate.Level(v.Lease.Confirmed)}
}

// Open tells whether a gate is open here.
func (v *View) Open(g gate.Gate) bool { return v.Levels().Open(g) }

// Unwrap takes a stored value out of its envelope. A version from before levels
// knows of none.
func (v *View) Unwrap(key string, value []byte) (wire.Envelope, error) {
	if !v.Par.Levels.Gated() {
		return wire.Envelope{Value: value}, nil
	}
	return wire.Unwrap(key, value)
}

// Members is what is known of all controllers of the settings, this one
// included, in the order of their names.
func (v *View) Members(process uint64, now time.Time) []gate.Member {
	var out []gate.Member
	for _, name := range SortedKeys(v.Peers) {
		p := v.Peers[name]
		out = append(out, gate.Member{Name: name, Heard: v.LinkUp(name, now), Process: p.Process, Seen: p.Seen})
	}
	out = append(out, gate.Member{Name: v.Me, Heard: true, Process: process, Seen: v.Levels().Level})
	for i := range out {
		m := &out[i]
		r := v.Controllers[m.Name].Value
		m.Holder = v.Lease.Blocks[m.Name].Incarnation
		m.Told = gate.Told{Process: r.Incarnation, Version: r.Version,
			Levels: gate.Range{Oldest: gate.Level(r.OldestLevel), Newest: gate.Level(r.NewestLevel)}}
	}
	return out
}

// LinkUp tells whether another controller has been heard a moment ago.
func (v *View) LinkUp(name string, now time.Time) bool {
	p := v.Peers[name]
	return p != nil && !p.Heard.IsZero() && now.Sub(p.Heard) < LinkDead
}

// AreaOf is the zone of a controller; "" of one that is not known.
func (v *View) AreaOf(node string) string {
	if node == v.Me {
		return v.Cfg.Area
	}
	if p := v.Peers[node]; p != nil {
		return p.Area
	}
	return ""
}

// OwnerOf names the controller that holds a machine, or "".
func (v *View) OwnerOf(machine string) string { return v.owners[machine] }

// Leased tells how many machines are in blocks.
func (v *View) Leased() int { return len(v.owners) }

// TeamOf returns the settings of a team.
func (v *View) TeamOf(name string) (t config.Team, ok bool) {
	i := slices.IndexFunc(v.Cfg.Cluster.Teams, func(t config.Team) bool { return t.Name == name })
	if i < 0 {
		return t, false
	}
	return v.Cfg.Cluster.Teams[i], true
}

// LimitOf is the most that a team's tasks may use; of an unknown team, none.
func (v *View) LimitOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUsMax, Cards: t.GPUsMax}
}

// GuaranteeOf is what a team is guaranteed, as a limit.
func (v *View) GuaranteeOf(team string) sched.Limit {
	t, _ := v.TeamOf(team)
	return sched.Limit{CPUs: t.CPUs, Cards: t.GPUs}
}

// SizeOf is the room on a machine of a type.
func SizeOf(t wire.MachineType) sched.Amount {
	return sched.Amount{CPUs: t.CPUs, Cards: t.GPUs, MemoryGB: t.MemoryGB}
}

// Unlimited tells whether a team has neither a limit nor a guarantee.
func Unlimited(t config.Team) bool {
	return t.CPUs <= 0 && t.CPUsMax <= 0 && t.GPUs <= 0 && t.GPUsMax <= 0
}

// Parts lists the parts of a team's jobs by name.
func Parts(homes map[string]string, team string) []string {
	var out []string
	for home := range homes {
		if wire.IsShardOf(home, team) {
			out = append(out, home)
		}
	}
	slices.Sort(out)
	return out
}

// Homes lists the homes of a team's jobs: its parts by name, then the team
// itself, which is for all jobs that were filed under no part.
func Homes(homes map[string]string, team string) []string {
	out := Parts(homes, team)
	if _, ok := homes[team]; ok {
		out = append(out, team)
	}
	return out
}

// CountHomes tells how many homes of a team each controller has.
func CountHomes(homes map[string]string, team string) map[string]int {
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

// Take makes a newer lease value the current one. Blocks that did not change
// cost a comparison only: the value is written often and is long.
func (v *View) Take(rec wire.LeaseRecord, version uint64) {
	before, after := v.Lease.Blocks, rec.Blocks
	v.Lease, v.Version = rec, version
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

// Needs collects what every controller that is home to jobs of the team needs,
// processors and cards; own is what this one's tasks use and want. Those not
// heard of lately keep what they have.
func (v *View) Needs(homes map[string]string, shares wire.Shares, team string, own map[string]*peerpb.TeamUse, now time.Time) (cpus, cards map[string]share.Need) {
	cpus, cards = map[string]share.Need{}, map[string]share.Need{}
	for home, node := range homes {
		if _, done := cpus[node]; done || !wire.IsPartitionOf(home, team) {
			continue
		}
		u := own[team]
		if node != v.Me {
			u = nil
			if p := v.Peers[node]; p != nil && now.Sub(p.Heard) < UseFresh {
				u = p.Teams[team]
			}
		}
		if u == nil {
			s := shares[node]
			cpus[node] = share.Need{Used: float64(s.CPUs), Want: float64(s.CPUs)}
			cards[node] = share.Need{Used: float64(s.GPUs), Want: float64(s.GPUs)}
			continue
		}
		cpus[node] = share.Need{Used: u.GetCpus(), Want: u.GetWantCpus(), Must: u.GetMinCpus()}
		cards[node] = share.Need{Used: u.GetGpus(), Want: u.GetWantGpus(), Must: u.GetMinGpus()}
	}
	return cpus, cards
}
