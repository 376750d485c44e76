package leader

import "fawncove/internal/core/leasevalue"

// limitHysteresis is the part of a limit to which the fleet has to come down before it
// may grow again. A fleet at its limit loses and rents machines all the time, and would
// log that it has reached the limit every few seconds.
const limitHysteresis = 0.97

// mayGrow reports whether all limits let the fleet grow. At a limit nothing is rented
// until machines are gone; all else goes on. With pages the lease value can name some
// ten thousand machines, so what counts there is how full the value itself is.
func (l *Leader) mayGrow() bool {
	for _, limit := range l.fleetLimits {
		if limit.Machines > 0 && !l.belowLimit(limit.Resource, float64(len(l.autoscaler.instances)), float64(limit.Machines)) {
			return false
		}
	}
	size := l.view.LeaseValueBytes
	if l.view.Lease.Form < leasevalue.FormPages {
		size = l.inlineValueSize()
		if l.canStorePages() {
			return true // pages come in time
		}
	}
	return l.belowLimit("names in the lease value", float64(size), leasevalue.MaxFill*float64(l.view.Limits.ValueBytes()))
}

// belowLimit reports whether the fleet is below a limit, and logs it when that changes.
func (l *Leader) belowLimit(name string, at, limit float64) bool {
	a := &l.autoscaler
	wasReached := a.reachedLimit == name
	if wasReached {
		limit *= limitHysteresis
	}
	reached := at >= limit
	if reached != wasReached {
		a.reachedLimit = ""
		if reached {
			a.reachedLimit = name
		}
		l.log.Warn("fleet limit", "resource", name, "reached", reached, "current", int(at), "limit", int(limit))
	}
	return !reached
}
