package leader

import (
	"cmp"
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

const (
	// noCapacityBackoff is how long an offer without capacity is left alone.
	noCapacityBackoff = 15 * time.Second
	// maxIdleSpot and maxIdleOnDemand are how long, in boot times, a spot machine or
	// an ordinary one may stand empty before it is returned: to rent another
	// one later costs a boot time and the images.
	maxIdleSpot     = 0.25
	maxIdleOnDemand = 0.15
	// maxWaitSpot and maxWaitOnDemand are how long work may wait, in boot
	// times, before a spot machine or an ordinary one is rented for it.
	maxWaitSpot     = 0.2
	maxWaitOnDemand = 1.5
	// reviewInterval spaces the looks at who holds what, which go over the whole
	// fleet.
	reviewInterval = 400 * time.Millisecond
	// maxScaleOutBatch bounds the machines asked for in one decision, which is a few
	// requests' worth; the answers tell how to go on.
	maxScaleOutBatch = 400
	// planInterval spaces the decisions on renting.
	planInterval = time.Second
)

// fleet is the leader's view of all machines that are rented.
type autoscaler struct {
	instances       map[string]*instance
	deleting        map[string]bool // to be released
	unreachable     map[string]bool // those of them that may be kept if they are heard again
	deleteInFlight  bool
	nextDelete      time.Time
	inventory       inventoryScan
	lastPlan        time.Time
	lastReview      time.Time
	lastMeasured    time.Time
	averageLoad     float64 // processors used or waited for, averaged
	spotCPUs        float64 // processors of spot machines, coming ones included
	spotTarget      float64 // what spot should be
	createsInFlight int
	requestCount    uint64
	noCapacityUntil map[market]time.Time
	lastShortage    time.Time // when a spot market last gave less than was asked
	reachedLimit    string    // the budget that does not let the fleet grow
}

type market struct {
	machineType, zone string
	spot              bool
}

// rented is one machine as the leader knows it.
type instance struct {
	market
	requested  time.Time
	lastListed time.Time
	endpoint   string
	agentEpoch uint64 // last heard of; 0: unknown
	// ownerless is since when it is listed as up and yet in no block: it reports
	// to nobody, or hears nobody.
	unleasedSince time.Time
}

func (f *autoscaler) init() {
	f.instances = map[string]*instance{}
	f.deleting = map[string]bool{}
	f.unreachable = map[string]bool{}
	f.noCapacityUntil = map[market]time.Time{}
}

// lose marks a machine that its holder has lost. Until its release is asked for it is
// looked at anew each time: the cloud may be out for longer than the machine is silent.
func (f *autoscaler) markUnreachable(name string) {
	if !f.deleting[name] {
		f.deleting[name], f.unreachable[name] = true, true
	}
}

// reconsider takes back what was marked by lose.
func (f *autoscaler) clearUnreachable() {
	for name := range f.unreachable {
		delete(f.deleting, name)
	}
	clear(f.unreachable)
}

// seen notes a machine that has reported.
func (f *autoscaler) recordInstance(info *peerpb.MachineInfo, now time.Time) {
	known := f.instances[info.GetName()]
	if known == nil {
		known = &instance{market: market{info.GetType(), info.GetZone(), info.GetSpot()}, requested: now}
		f.instances[info.GetName()] = known
	}
	known.endpoint, known.agentEpoch = info.GetEndpoint(), info.GetAgentEpoch()
}

// RunAutoscaler rents, lists and returns machines.
func (l *Leader) RunAutoscaler() {
	if l.view.LeaseVersion == 0 {
		return
	}
	if !l.leadConfirmed() {
		for _, r := range l.autoscaler.instances {
			r.unleasedSince = time.Time{} // no machine can join a block meanwhile
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
	// The picture is rebuilt first: the machine list, and a renewal of every
	// controller or the time that one takes.
	if !l.autoscaler.inventory.complete || (len(l.renewals) < l.view.Settings.Controllers() && l.loop.Now.Sub(l.startedAt) < l.rebuildPeriod()) {
		return
	}
	if l.loop.Now.Sub(l.autoscaler.lastPlan) >= planInterval {
		l.autoscaler.lastPlan = l.loop.Now
		l.planScaleOut()
	}
}

// judge marks machines for return: lost ones at once, idle and bad ones by
// recalling them from their blocks.
func (l *Leader) reviewInstances() {
	l.measureLoad()
	reachable := map[string]bool{}
	for node, renewal := range l.renewals {
		if l.loop.Now.Sub(l.renewalReceived[node]) < 2*l.view.Params.PublishInterval {
			for _, name := range l.unpackNames(renewal.GetReconciled()) {
				reachable[name] = true
			}
		}
	}
	for _, name := range l.local.ForeignWorkers() {
		reachable[name] = true
	}
	l.autoscaler.clearUnreachable()
	// What stands empty here may be what somebody else waits for.
	l.rebalance()
	own := l.renewals[l.view.Self]
	empty := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		renewal := l.renewals[node]
		for _, name := range l.unpackNames(renewal.GetSilentMachines()) {
			// Somebody else may hear what its holder does not.
			if !reachable[name] && !l.deleted[name] && l.view.HolderOf(name) == node {
				l.autoscaler.markUnreachable(name)
			}
		}
		if renewal == own {
			continue
		}
		for _, use := range renewal.GetMachineUse() {
			empty[use.GetName()] = use.GetIdleS() > 0
			l.reviewInstance(use.GetName(), use.GetIdleS(), use.GetQuarantined())
		}
	}
	l.local.EachMachine(func(name string, idle time.Duration, quarantined, unreachable bool) {
		empty[name] = idle > 0
		l.reviewInstance(name, idle.Seconds(), quarantined)
		if unreachable && !reachable[name] && !l.deleted[name] {
			l.autoscaler.markUnreachable(name)
		}
	})
	l.drainOnDemand()
	for name := range l.draining {
		inUse := !empty[name] && l.inUseAgain(name)
		if holder := l.view.HolderOf(name); l.deleted[name] || holder == "" || holder == l.reassignTo[name] || inUse {
			delete(l.draining, name)
			delete(l.drainedIdle, name)
			delete(l.reassignTo, name)
			l.publishPending = l.publishPending || inUse
		}
	}
}

// maxDrainInUse is how long a machine that was recalled as empty may be in use before that
// is withdrawn. Short tasks have ended by then, and it goes where it is wanted.
const maxDrainInUse = 15 * time.Second

// inUseAgain tells whether a machine that was recalled because it stood empty, and does
// not any more, got work before its holder knew of the recall. It would stay recalled, its
// room of no use to anybody, until the last task there has ended; a replica never does.
func (l *Leader) inUseAgain(name string) bool {
	at, ok := l.drainedIdle[name]
	if !ok {
		return false
	}
	owner := l.view.HolderOf(name)
	return l.loop.Now.Sub(at) > maxDrainInUse && (owner == l.view.Self || l.renewalReceived[owner].After(at.Add(maxDrainInUse)))
}

// spotReserve is the part of the fleet that stays free on spot machines when
// ordinary ones are recalled, so that nothing waits for it.
const spotReserve = 0.03

// retire recalls ordinary machines while spot machines that are up have room
// for their work: they cost a multiple and would otherwise stay busy for as
// long as there is any work.
func (l *Leader) drainOnDemand() {
	f := &l.autoscaler
	if !l.isLarge() {
		return // on a small fleet they were missed soon after
	}
	free := 0.0
	onDemandOnly := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		renewal := l.renewals[node]
		for _, d := range renewal.GetDemand() {
			if !d.GetSpot() {
				return // ordinary machines are what is wanted
			}
		}
		for _, name := range l.unpackNames(renewal.GetOnDemandOnly()) {
			onDemandOnly[name] = true
		}
		free += renewal.GetFreeSpotCpus()
	}
	var candidates []string
	for name, renewal := range f.instances {
		cpus := l.view.MachineTypes[renewal.machineType].CPUs
		if l.view.HolderOf(name) == "" || f.deleting[name] {
			continue
		}
		free -= spotReserve * cpus
		if l.draining[name] && !renewal.spot {
			free -= cpus / 2 // about what it still runs, on average until it is empty
		} else if !renewal.spot && !onDemandOnly[name] {
			candidates = append(candidates, name)
		}
	}
	if free <= 0 || len(candidates) == 0 {
		return
	}
	perCPU := func(name string) float64 {
		t := l.view.MachineTypes[f.instances[name].machineType]
		return t.Price / max(t.CPUs, 1)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(perCPU(b), perCPU(a)), cmp.Compare(a, b))
	})
	for _, name := range candidates {
		if cpus := l.view.MachineTypes[f.instances[name].machineType].CPUs; cpus <= free {
			l.draining[name] = true
			l.publishPending = true
			free -= cpus
		}
	}
}

// balance recalls idle machines for controllers whose waiting tasks they
// would take. A machine stays where its holder has work for it, so that none
// goes to and fro.
func (l *Leader) rebalance() {
	for _, node := range cluster.SortedKeys(l.renewals) {
		if !l.isAlive(node) || len(l.renewals[node].GetDemand()) == 0 {
			continue
		}
		want := decodeDemands(l.renewals[node])
		for _, holder := range cluster.SortedKeys(l.renewals) {
			if holder == node || !l.isAlive(holder) {
				continue
			}
			own := decodeDemands(l.renewals[holder])
			for _, u := range l.renewals[holder].GetMachineUse() {
				r := l.autoscaler.instances[u.GetName()]
				if r == nil || u.GetQuarantined() || u.GetDeparting() || u.GetIdleS() < 1 || l.draining[u.GetName()] || l.view.HolderOf(u.GetName()) != holder {
					continue
				}
				empty := []sched.Offer{{Type: r.machineType, Zone: r.zone, Spot: r.spot, Size: cluster.MachineSize(l.view.MachineTypes[r.machineType])}}
				left := sched.PackInto(want, empty)
				if slices.Equal(demandCounts(left), demandCounts(want)) || !slices.Equal(demandCounts(sched.PackInto(own, empty)), demandCounts(own)) {
					continue
				}
				want = left
				l.draining[u.GetName()], l.reassignTo[u.GetName()] = true, node
				l.drainedIdle[u.GetName()] = l.loop.Now
				l.publishPending = true
			}
		}
	}
}

func demandCounts(list []sched.Demand) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = list[i].Count
	}
	return out
}

// demands reads the waiting tasks out of a renewal.
func decodeDemands(r *peerpb.Renewal) []sched.Demand {
	var out []sched.Demand
	for _, d := range r.GetDemand() {
		out = append(out, sched.Demand{Rank: int(d.GetRank()),
			Need:  sched.Resources{CPUs: d.GetCpus(), GPUs: d.GetGpus(), MemoryGB: d.GetMemoryGb()},
			Types: d.GetTypes(), Zone: d.GetZone(), Spot: d.GetSpot(),
			Count: int(d.GetCount()), RunS: max(1, d.GetRunS()), ProvisionAll: d.GetProvisionAll(), Overdue: d.GetStarved(), SlackS: d.GetSlackS()})
	}
	return out
}

func (l *Leader) reviewInstance(name string, idleS float64, quarantined bool) {
	if l.draining[name] || l.deleted[name] {
		return
	}
	maxIdle, boot := maxIdleSpot, 30.0
	if r := l.autoscaler.instances[name]; r != nil {
		if !r.spot {
			maxIdle = maxIdleOnDemand
		}
		if t, ok := l.view.MachineTypes[r.machineType]; ok {
			boot = t.BootS
		}
	}
	cpus := 0.0
	if r := l.autoscaler.instances[name]; r != nil && r.spot {
		cpus = l.view.MachineTypes[r.machineType].CPUs
	}
	if quarantined || (idleS > maxIdle*boot && (cpus == 0 || l.autoscaler.spotCPUs-cpus >= l.autoscaler.spotTarget)) {
		l.autoscaler.spotCPUs -= cpus
		l.draining[name] = true
		if !quarantined {
			l.drainedIdle[name] = l.loop.Now
		}
		l.publishPending = true
	}
}

// release returns machines to the cloud. With the answer they are gone.
func (l *Leader) deleteInstances() {
	f := &l.autoscaler
	if f.deleteInFlight || len(f.deleting) == 0 || l.loop.Now.Before(f.nextDelete) {
		return
	}
	names := cluster.SortedKeys(f.deleting)
	if len(names) > wire.MaxDeletesPerRequest {
		names = names[:wire.MaxDeletesPerRequest]
	}
	f.deleteInFlight = true
	var unreachable []string
	for _, name := range names {
		if f.unreachable[name] {
			unreachable = append(unreachable, name)
			delete(f.unreachable, name) // from here on it may be gone at any moment
		}
	}
	l.log.Info("releasing", "machines", names)
	l.loop.Emit(eventloop.CloudDelete{Names: names, ID: l.loop.Call(func(d eventloop.Completion) {
		f.deleteInFlight = false
		f.nextDelete = l.loop.Now.Add(300 * time.Millisecond)
		if d.Outcome != eventloop.Succeeded {
			f.nextDelete = l.loop.Now.Add(time.Second)
			if d.Outcome == eventloop.Throttled || d.Outcome == eventloop.Unavailable { // not carried out
				for _, name := range unreachable {
					f.unreachable[name] = true
				}
			}
			return
		}
		if l.stopped {
			return
		}
		for _, name := range names {
			l.MachineDeleted(name)
		}
		l.publishNow = true
	})})
}
