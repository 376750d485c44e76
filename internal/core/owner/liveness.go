package owner

// liveness says whether a machine counts as alive, see health.go.
//
//	alive → suspected                     silent, and most likely reclaimed by the cloud
//	alive → unreachable                   silent for too long
//	suspected → suspectedThenUnreachable  silent for too long
//	any → alive                           a heartbeat proves that the worker is alive
//
// The leader is told both whether a machine is suspected and whether it is unreachable, so an
// unreachable machine that was suspected before still counts as suspected.
type liveness int

const (
	machineAlive liveness = iota
	// machineSuspected: the leader may rent another; the machine is not given up yet.
	machineSuspected
	// machineUnreachable: the leader may replace the machine.
	machineUnreachable
	// machineSuspectedThenUnreachable: unreachable, and was suspected before.
	machineSuspectedThenUnreachable
)

// suspected reports whether the machine was most likely reclaimed by the cloud.
func (m *machine) suspected() bool {
	return m.liveness == machineSuspected || m.liveness == machineSuspectedThenUnreachable
}

// unreachable reports whether the machine was given up.
func (m *machine) unreachable() bool {
	return m.liveness == machineUnreachable || m.liveness == machineSuspectedThenUnreachable
}

// suspect marks a machine that is alive as suspected.
func (m *machine) suspect() {
	if m.liveness == machineAlive {
		m.liveness = machineSuspected
	}
}

// giveUp marks a machine as unreachable.
func (m *machine) giveUp() {
	switch m.liveness {
	case machineAlive:
		m.liveness = machineUnreachable
	case machineSuspected:
		m.liveness = machineSuspectedThenUnreachable
	}
}

// markAlive applies a heartbeat that proves that the worker is alive.
func (m *machine) markAlive() { m.liveness = machineAlive }
