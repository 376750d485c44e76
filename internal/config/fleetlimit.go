package config

import (
	"cmp"
	"slices"

	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// FleetLimit is the largest fleet that one resource allows.
type FleetLimit struct {
	Resource string // what runs out
	Setting  string // how much of it there is, by the name in the settings
	Machines int
}

const (
	// HeartbeatsPerCore is how many heartbeats a second a controller with a whole core
	// handles with half of it, with all that comes with them (measured,
	// docs/measurements.md).
	HeartbeatsPerCore = 2500
	// socketsPerMachine is how many sockets a machine needs: the connection that its
	// heartbeats arrive on (measured: 3,700 connections for 3,651 machines, those of
	// users included). Idle ones for direct commands are closed when sockets run short.
	socketsPerMachine = 1
	// machineSocketShare is the part of a controller's sockets that machines may need. A
	// fifth is for users and commands in flight; from nine tenths on idle connections are
	// closed (internal/edge/node).
	machineSocketShare = 0.7
	// baseMemoryMB and memoryPerMachineMB are the memory that a controller takes without
	// machines, and for each of its block with its tasks (measured: 94 to 112 MB at 1,000
	// to 1,100 machines).
	baseMemoryMB       = 14
	memoryPerMachineMB = 0.1
	// GCMemoryShare is the part of the memory from which on the garbage collector works
	// harder.
	GCMemoryShare = 0.7
	// inventoryRequestShare is the part of the cloud's request limit that reading it may take.
	inventoryRequestShare = 0.25
	// maxInventoryDelay is how long reading the whole list may take, in multiples of
	// InventoryInterval: the list is that old anyway. What is learnt from it alone
	// (machines that nobody asked for or that never boot) costs money for that long.
	maxInventoryDelay = 4
)

// Controllers returns the number of controllers.
func (s *Settings) Controllers() int { return max(s.Cluster.InitialSize, len(s.Peers)+1) }

// FleetLimits returns the largest fleet that each resource in the settings allows, the
// tightest first. Resources that are not limited are left out.
func (s *Settings) FleetLimits() []FleetLimit {
	c := &s.Cluster
	n := float64(s.Controllers())
	var out []FleetLimit
	add := func(name, field string, machines float64) {
		out = append(out, FleetLimit{name, field, max(0, int(machines))})
	}
	add("names in the lease value", "cluster.state.value_kb", float64(s.LeaseCapacity()))
	if c.Limits.Sockets > 0 {
		// The other controllers have sockets for all machines when one is away.
		add("sockets", "cluster.limits.sockets", max(1, n-1)*machineSocketShare*float64(c.Limits.Sockets)/socketsPerMachine)
	}
	if c.Limits.RAMMB > 0 {
		add("memory", "cluster.limits.ram_mb", n*(GCMemoryShare*c.Limits.RAMMB-baseMemoryMB)/memoryPerMachineMB)
	}
	if c.Limits.Cores > 0 {
		add("processor time for reports", "cluster.limits.cores", n*HeartbeatsPerCore*c.Limits.Cores*c.Workers.ReportS)
	}
	add("reading the machine list", "cluster.cloud.rps", maxInventoryDelay*s.InventoryInterval().Seconds()/s.InventoryPageInterval().Seconds()*wire.MaxInstancesPerPage)
	slices.SortStableFunc(out, func(a, b FleetLimit) int { return cmp.Compare(a.Machines, b.Machines) })
	return out
}

// LeaseCapacity returns about how many machines the lease value and its pages can name in
// the worst case: all of them just taken over, names with gaps, many draining.
func (s *Settings) LeaseCapacity() int {
	return leasevalue.Capacity(s.ValueLimits(), s.Controllers(), len(s.Cluster.Teams))
}

// ValueLimits returns the limits for the lease value and its pages.
func (s *Settings) ValueLimits() leasevalue.Limits {
	st := s.Cluster.State
	return leasevalue.Limits{ValueBytes: int(1024 * st.ValueKB), TxnOps: st.TxnOps}
}
