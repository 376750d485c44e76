package config

import (
	"cmp"
	"slices"

	"fawncove/internal/core/leasevalue"
)

// Budget is one of the limits that bound the fleet.
type Budget struct {
	Name     string // what runs out
	Field    string // the settings that say how much there is
	Machines int    // the largest fleet that it allows, in machines
}

const (
	// ReportsPerCore is how many reports a second a controller with a whole
	// core handles with half of it, all that comes with them included
	// (measured, docs/measurements.md).
	ReportsPerCore = 2500
	// socketsPerMachine is how many sockets a machine needs: the connection that
	// its reports come on (measured: 3,700 connections for 3,651 machines, those of
	// users included). Idle ones for direct commands are closed when sockets run short.
	socketsPerMachine = 1
	// socketPart is the part of a controller's sockets that machines may need. A
	// fifth is for users and commands under way; from nine tenths on idle
	// connections are closed (internal/edge/node).
	socketPart = 0.7
	// baseMB and machineMB are what a controller's memory takes without
	// machines, and for each of its block with its tasks (measured: 94 to 112 MB
	// at 1,000 to 1,100 machines).
	baseMB    = 14
	machineMB = 0.1
	// RAMPart is the part of the memory at which the garbage collector works harder.
	RAMPart = 0.7
	// listPage is how many machines a page of the cloud's list holds, and
	// listPart the part of the cloud's calls that reading it may take.
	listPage = 500
	listPart = 0.25
	// listRounds is how long reading the whole list may take, in times that a
	// small one is read every: the list is that old anyway. What is learnt from it
	// alone (machines that nobody asked for or that never come up) costs money for
	// that long.
	listRounds = 4
)

// Controllers is how many controllers there are.
func (s *Settings) Controllers() int { return max(s.Cluster.InitialSize, len(s.Peers)+1) }

// Budgets tells how large a fleet each limit in the settings allows, the
// tightest first. Limits that are not set bound nothing.
func (s *Settings) Budgets() []Budget {
	c := &s.Cluster
	n := float64(s.Controllers())
	var out []Budget
	add := func(name, field string, machines float64) {
		out = append(out, Budget{name, field, max(0, int(machines))})
	}
	add("names in the lease value", "cluster.state.value_kb", float64(s.FleetRoom()))
	if c.Limits.Sockets > 0 {
		// The others have room for all machines when one controller is away.
		add("sockets", "cluster.limits.sockets", max(1, n-1)*socketPart*float64(c.Limits.Sockets)/socketsPerMachine)
	}
	if c.Limits.RAMMB > 0 {
		add("memory", "cluster.limits.ram_mb", n*(RAMPart*c.Limits.RAMMB-baseMB)/machineMB)
	}
	if c.Limits.Cores > 0 {
		add("processor time for reports", "cluster.limits.cores", n*ReportsPerCore*c.Limits.Cores*c.Workers.ReportS)
	}
	add("reading the machine list", "cluster.cloud.rps", listRounds*s.ListEvery().Seconds()/s.ListPause().Seconds()*listPage)
	slices.SortStableFunc(out, func(a, b Budget) int { return cmp.Compare(a.Machines, b.Machines) })
	return out
}

// FleetRoom is about how many machines the lease value and its pages can name
// in the worst case: all of them just taken over, names with gaps, many
// recalled.
func (s *Settings) FleetRoom() int {
	return leasevalue.Capacity(s.ValueLimits(), s.Controllers(), len(s.Cluster.Teams))
}

// ValueLimits are the limits for the lease value and its pages.
func (s *Settings) ValueLimits() leasevalue.Limits {
	st := s.Cluster.State
	return leasevalue.Limits{ValueBytes: int(1024 * st.ValueKB), TxnOps: st.TxnOps}
}
