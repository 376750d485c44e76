package cluster

import (
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/core/recovery"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// Peer is what is known of another controller, by its frames.
type Peer struct {
	Zone        string
	Incarnation wire.Incarnation // as received last
	LastFrame   time.Time
	LastHello   time.Time // when it last said that it has started and is yet to read the state
	// StateReachable says that the state service answers it, and StateReachableSince since
	// when it has said so without a break.
	StateReachable      bool
	StateReachableSince time.Time

	// SeenLevel is the feature level that it has read, LeaseForm the newest form of the
	// lease value that it reads. AcceptsRaisedTokens says that it goes on with machines
	// whose token was raised elsewhere, AcceptsJobMoves that it knows that jobs move.
	SeenLevel           feature.Level
	LeaseForm           uint32
	AcceptsRaisedTokens bool
	AcceptsJobMoves     bool

	// Its machines: processors free beyond what waits, the capacity that is free, the
	// largest free slots, and each team's quota use.
	SpareCPUs float64
	Capacity  Capacity
	FreeSlots []FreeSlot
	TeamUse   map[string]*peerpb.TeamUse
	// NoHeartbeats says that none of its machines has reported to it of late, and
	// ForeignWorkers how many machines of this controller's block report there instead.
	NoHeartbeats   bool
	ForeignWorkers int
	// HeardMachines are the machines that it had heard of lately at HeardAt, whoever holds them.
	// It says so only while that may decide whether one is terminated.
	HeardMachines map[string]bool
	HeardAt       time.Time
	// KeepsCancellations says that it removes cancellation records and says what it hears.
	KeepsCancellations bool
	// InformedAt is when it last said that it has read the state.
	InformedAt time.Time

	// Generation is that of the state it works with, 0 if it cannot recover it. StateLost
	// says that it has found that this generation lost data, StateRestored that it has
	// stored again what it knew, and RecoveryView is what it knows of the leases.
	Generation    uint64
	StateLost     bool
	StateRestored bool
	RecoveryView  *recovery.View
	Revision      wire.Revision // the highest that the state service has shown it; 0 during a recovery
	// RecoveryMark is the revision of the mark of the recovery's attempt that all this
	// belongs to, 0 if it does not say; UnrestoredAt when it last said that it had yet to
	// store what it knew.
	RecoveryMark wire.Revision
	UnrestoredAt time.Time

	// FreshnessRequest is its newest request, and CancellationsKnownUntil the moment up to
	// which it has answered no cancellation that is not known here; see cancellations.go
	// of package controller.
	FreshnessRequest        uint64
	CancellationsKnownUntil time.Time

	// ConfirmsJobs says that it reads frames about jobs, and confirms what users are told.
	ConfirmsJobs bool
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

// FreeSlot is what is free on one machine, the most of its type, zone and kind.
type FreeSlot struct {
	MachineType, Zone string
	Spot              bool
	LongWaitOnly      bool // only for jobs that have waited for long
	Free              sched.Resources
}

// UpdateFreeSlots notes what is free on a controller's machines.
func (p *Peer) UpdateFreeSlots(slots []*peerpb.FreeSlot) {
	p.FreeSlots = p.FreeSlots[:0]
	for _, s := range slots {
		p.FreeSlots = append(p.FreeSlots, FreeSlot{MachineType: s.GetType(), Zone: s.GetZone(), Spot: s.GetSpot(), LongWaitOnly: s.GetOverdueOnly(),
			Free: sched.Resources{CPUs: s.GetCpus(), GPUs: s.GetGpus(), MemoryGB: s.GetMemoryGb()}})
	}
}

// Capacity is what is free on a controller's machines at a moment, in processors.
type Capacity struct {
	Free   float64
	Size   float64            // of all its machines
	Images map[string]float64 // free on machines that have an image
}

// Subtract takes the processors of a job that goes there, until the controller publishes
// its new figures.
func (c *Capacity) Subtract(j *wire.Job) {
	cpus := float64(j.Tasks) * j.CPUs
	c.Free = max(0, c.Free-cpus)
	if free, ok := c.Images[j.Image]; ok {
		c.Images[j.Image] = max(0, free-cpus)
	}
}

const (
	// minRatedCPUs keeps the rate of a job that needs next to nothing finite.
	minRatedCPUs = 1e-6
	// freeRate is what a free processor counts anywhere; where the job's image is it counts
	// one more, as nothing has to be fetched first.
	freeRate = 0.5
)

// RateFor rates the capacity for an urgent job: the part of it that could start at once,
// and more so where its image is.
func (c *Capacity) RateFor(j *wire.Job) float64 {
	cpus := max(minRatedCPUs, float64(j.Tasks)*j.CPUs)
	return (min(cpus, c.Images[j.Image]) + freeRate*min(cpus, c.Free)) / cpus
}

// IsReachable reports whether a frame of another controller has come a moment ago.
func (v *View) IsReachable(name string, now time.Time) bool {
	p := v.Peers[name]
	return p != nil && !p.LastFrame.IsZero() && now.Sub(p.LastFrame) < PeerTimeout
}

// ZoneOf returns the zone of a controller; "" for one that is not known.
func (v *View) ZoneOf(node string) string {
	if node == v.Self {
		return v.Settings.Area
	}
	if p := v.Peers[node]; p != nil {
		return p.Zone
	}
	return ""
}
