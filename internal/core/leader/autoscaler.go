package leader

import (
	"time"

	"fawncove/internal/peerpb"
)

// Intervals and limits of the autoscaler. Times given in boot times are multiples of
// how long a machine type takes to start: renting again costs one, and the images.
const (
	// noCapacityBackoff is how long a market without capacity is not asked again.
	noCapacityBackoff = 15 * time.Second
	// maxIdleSpot and maxIdleOnDemand are how long, in boot times, a spot or an
	// on-demand machine may be idle before it is returned.
	maxIdleSpot     = 0.25
	maxIdleOnDemand = 0.15
	// maxWaitSpot and maxWaitOnDemand are how long, in boot times, work may wait
	// before a spot or an on-demand machine is rented for it.
	maxWaitSpot     = 0.2
	maxWaitOnDemand = 1.5
	// reviewInterval is the time between reviews, which go over all instances.
	reviewInterval = 400 * time.Millisecond
	// maxScaleOutBatch is the most machines that one decision asks for, a few
	// requests' worth; the answers to these decide how to go on.
	maxScaleOutBatch = 400
	// planInterval is the time between decisions to rent.
	planInterval = time.Second
)

// autoscaler is the leader's picture of all rented machines, and the state of its
// calls to the cloud.
type autoscaler struct {
	instances map[string]*instance
	inventory inventoryScan

	// Instances to be deleted. Those in unreachable are kept after all if a
	// heartbeat arrives before the call goes out.
	deleting       map[string]bool
	unreachable    map[string]bool
	deleteInFlight bool
	nextDelete     time.Time

	lastPlan        time.Time
	lastReview      time.Time
	createsInFlight int
	requestCount    uint64               // requests for machines sent in this term
	noCapacityUntil map[market]time.Time // markets not to be asked before then
	lastShortage    time.Time            // when a spot market last gave less than asked
	reachedLimit    string               // name of the limit that stops growth; "": none

	lastMeasured time.Time
	averageLoad  float64 // processors in use or waited for, averaged over loadAveragingTime
	spotCPUs     float64 // processors of spot machines, those that boot included
	spotTarget   float64 // processors that spot machines should have
}

// market is what the cloud has its own price and capacity for: a machine type in a
// zone, as spot or on demand.
type market struct {
	machineType, zone string
	spot              bool
}

// instance is one rented machine.
type instance struct {
	market
	requested  time.Time
	lastListed time.Time // by the cloud's inventory
	endpoint   string
	agentEpoch uint64 // last reported; 0: unknown
	// unleasedSince is since when the inventory shows it running and no block holds
	// it: its agent reaches no controller, or receives no answer. Zero: it does not.
	unleasedSince time.Time
}

func (a *autoscaler) init() {
	a.instances = map[string]*instance{}
	a.deleting = map[string]bool{}
	a.unreachable = map[string]bool{}
	a.noCapacityUntil = map[market]time.Time{}
}

// markUnreachable marks a machine for deletion whose holder has received no heartbeat for
// too long. Until the deletion is sent this is decided anew at each review: the cloud may
// be out for longer than the machine is silent.
func (a *autoscaler) markUnreachable(name string) {
	if !a.deleting[name] {
		a.deleting[name], a.unreachable[name] = true, true
	}
}

// clearUnreachable takes back every markUnreachable whose deletion was not sent.
func (a *autoscaler) clearUnreachable() {
	for name := range a.unreachable {
		delete(a.deleting, name)
	}
	clear(a.unreachable)
}

// recordInstance records a machine that has sent a heartbeat.
func (a *autoscaler) recordInstance(info *peerpb.MachineInfo, now time.Time) {
	known := a.instances[info.GetName()]
	if known == nil {
		known = &instance{market: market{info.GetType(), info.GetZone(), info.GetSpot()}, requested: now}
		a.instances[info.GetName()] = known
	}
	known.endpoint, known.agentEpoch = info.GetEndpoint(), info.GetAgentEpoch()
}

// RunAutoscaler scans the cloud's inventory, reviews the instances, deletes those that
// are not needed and rents those that are. It is called with every tick.
func (l *Leader) RunAutoscaler() {
	if l.view.LeaseVersion == 0 {
		return
	}
	if !l.leadConfirmed() {
		for _, known := range l.autoscaler.instances {
			known.unleasedSince = time.Time{} // no machine can join a block meanwhile
		}
		return
	}
	l.scanInventory()
	if l.loop.Now.Sub(l.autoscaler.lastReview) >= reviewInterval {
		l.autoscaler.lastReview = l.loop.Now
		l.reviewInstances()
		l.local.UpdateMachineInfo(l.MachineInfo)
	}
	l.deleteInstances()
	if !l.pictureComplete() {
		return
	}
	if l.loop.Now.Sub(l.autoscaler.lastPlan) >= planInterval {
		l.autoscaler.lastPlan = l.loop.Now
		l.planScaleOut()
	}
}

// pictureComplete reports whether a new leader knows enough to rent: the whole
// inventory, and a renewal of every controller or the time that one takes.
func (l *Leader) pictureComplete() bool {
	if !l.autoscaler.inventory.complete {
		return false
	}
	return len(l.renewals) >= l.view.Settings.Controllers() || l.loop.Now.Sub(l.startedAt) >= l.rebuildPeriod()
}
