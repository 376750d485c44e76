package controller

import (
	"time"

	"fawncove/internal/core/eventloop"
)

const (
	// machineTypesInterval spaces the readings of the machine types by the leader, whose
	// prices change now and then; machineTypesRetry those before any are known.
	machineTypesInterval = 30 * time.Second
	machineTypesRetry    = time.Second
)

// machineTypeReader is the progress of reading the machine types from the cloud.
type machineTypeReader struct {
	requestedAt time.Time
	inFlight    bool
}

// due reports whether the types are to be read again after an interval.
func (r *machineTypeReader) due(now time.Time, interval time.Duration) bool {
	return !r.inFlight && (r.requestedAt.IsZero() || now.Sub(r.requestedAt) >= interval)
}

// readMachineTypes reads the machine types, without which no submission can be checked.
// The leader reads them again and again for the prices.
func (c *Core) readMachineTypes() {
	interval := machineTypesInterval
	if len(c.view.MachineTypes) == 0 {
		interval = machineTypesRetry
	} else if c.leader == nil {
		return
	}
	if !c.machineTypes.due(c.loop.Now, interval) {
		return
	}
	c.machineTypes = machineTypeReader{requestedAt: c.loop.Now, inFlight: true}
	c.loop.Emit(eventloop.CloudTypes{ID: c.loop.OnCompletion(c.machineTypesRead)})
}

func (c *Core) machineTypesRead(d eventloop.Completion) {
	c.machineTypes.inFlight = false
	if d.Outcome != eventloop.Succeeded {
		return
	}
	first := len(c.view.MachineTypes) == 0
	for _, t := range d.Types.Types {
		if t.Name != "" && t.CPUs > 0 {
			c.view.MachineTypes[t.Name] = t
		}
	}
	if first {
		c.log.Info("machine types read", "types", len(c.view.MachineTypes), "duration", c.sinceStart())
	}
}
