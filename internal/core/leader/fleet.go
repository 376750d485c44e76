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
	// refusedFor is how long an offer without capacity is left alone.
	refusedFor = 15 * time.Second
	// idleCheap and idleDear are how long, in boot times, a spot machine or
	// an ordinary one may stand empty before it is returned: to rent another
	// one later costs a boot time and the images.
	idleCheap = 0.25
	idleDear  = 0.15
	// cheapPatience and dearPatience are how long work may wait, in boot
	// times, before a spot machine or an ordinary one is rented for it.
	cheapPatience = 0.2
	dearPatience  = 1.5
	// judgeEvery spaces the looks at who holds what, which go over the whole
	// fleet.
	judgeEvery = 400 * time.Millisecond
	// rentMost bounds the machines asked for in one decision, which is a few
	// requests' worth; the answers tell how to go on.
	rentMost = 400
	// planEvery spaces the decisions on renting.
	planEvery = time.Second
)

// fleet is the leader's view of all machines that are rented.
type fleet struct {
	machines  map[string]*rented
	leaving   map[string]bool // to be released
	lost      map[string]bool // those of them that may be kept if they are heard again
	releasing bool
	releaseAt time.Time
	list      reading
	planAt    time.Time
	judgedAt  time.Time
	gaugedAt  time.Time
	load      float64 // processors used or waited for, averaged
	spot      float64 // processors of spot machines, coming ones included
	target    float64 // what spot should be
	renting   int
	requests  uint64
	refused   map[offerKey]time.Time
	tight     time.Time // when a spot market last gave less than was asked
	full      string    // the budget that does not let the fleet grow
}

type offerKey struct {
	kind, zone string
	spot       bool
}

// rented is one machine as the leader knows it.
type rented struct {
	offerKey
	rentedAt time.Time
	listedAt time.Time
	endpoint string
	session  uint64 // last heard of; 0: unknown
	// ownerless is since when it is listed as up and yet in no block: it reports
	// to nobody, or hears nobody.
	ownerless time.Time
}

func (f *fleet) init() {
	f.machines = map[string]*rented{}
	f.leaving = map[string]bool{}
	f.lost = map[string]bool{}
	f.refused = map[offerKey]time.Time{}
}

// lose marks a machine that its holder has lost. Until its release is asked for it is
// looked at anew each time: the cloud may be out for longer than the machine is silent.
func (f *fleet) lose(name string) {
	if !f.leaving[name] {
		f.leaving[name], f.lost[name] = true, true
	}
}

// reconsider takes back what was marked by lose.
func (f *fleet) reconsider() {
	for name := range f.lost {
		delete(f.leaving, name)
	}
	clear(f.lost)
}

// seen notes a machine that has reported.
func (f *fleet) seen(s *peerpb.MachineInfo, now time.Time) {
	r := f.machines[s.GetName()]
	if r == nil {
		r = &rented{offerKey: offerKey{s.GetType(), s.GetZone(), s.GetSpot()}, rentedAt: now}
		f.machines[s.GetName()] = r
	}
	r.endpoint, r.session = s.GetEndpoint(), s.GetAgentEpoch()
}

// RunAutoscaler rents, lists and returns machines.
func (l *Leader) RunAutoscaler() {
	if l.view.LeaseVersion == 0 {
		return
	}
	if !l.acts() {
		for _, r := range l.fleet.machines {
			r.ownerless = time.Time{} // no machine can join a block meanwhile
		}
		return
	}
	l.readList()
	if l.loop.Now.Sub(l.fleet.judgedAt) >= judgeEvery {
		l.fleet.judgedAt = l.loop.Now
		l.judge()
		l.local.UpdateMachineInfo(l.MachineInfo)
	}
	l.release()
	// The picture is rebuilt first: the machine list, and a renewal of every
	// controller or the time that one takes.
	if !l.fleet.list.whole || (len(l.renewals) < l.view.Settings.Controllers() && l.loop.Now.Sub(l.since) < l.rebuild()) {
		return
	}
	if l.loop.Now.Sub(l.fleet.planAt) >= planEvery {
		l.fleet.planAt = l.loop.Now
		l.plan()
	}
}

// judge marks machines for return: lost ones at once, idle and bad ones by
// recalling them from their blocks.
func (l *Leader) judge() {
	l.gauge()
	heard := map[string]bool{}
	for node, r := range l.renewals {
		if l.loop.Now.Sub(l.heardAt[node]) < 2*l.view.Params.PublishInterval {
			for _, n := range l.unpack(r.GetReconciled()) {
				heard[n] = true
			}
		}
	}
	for _, n := range l.local.ForeignWorkers() {
		heard[n] = true
	}
	l.fleet.reconsider()
	// What stands empty here may be what somebody else waits for.
	l.balance()
	own := l.renewals[l.view.Self]
	empty := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		for _, n := range l.unpack(r.GetSilentMachines()) {
			// Somebody else may hear what its holder does not.
			if !heard[n] && !l.gone[n] && l.view.HolderOf(n) == node {
				l.fleet.lose(n)
			}
		}
		if r == own {
			continue
		}
		for _, u := range r.GetMachineUse() {
			empty[u.GetName()] = u.GetIdleS() > 0
			l.judgeUse(u.GetName(), u.GetIdleS(), u.GetQuarantined())
		}
	}
	l.local.EachMachine(func(name string, idle time.Duration, bad, lost bool) {
		empty[name] = idle > 0
		l.judgeUse(name, idle.Seconds(), bad)
		if lost && !heard[name] && !l.gone[name] {
			l.fleet.lose(name)
		}
	})
	l.retire()
	for n := range l.recalls {
		again := !empty[n] && l.inUseAgain(n)
		if owner := l.view.HolderOf(n); l.gone[n] || owner == "" || owner == l.moves[n] || again {
			delete(l.recalls, n)
			delete(l.idle, n)
			delete(l.moves, n)
			l.dirty = l.dirty || again
		}
	}
}

// recallMost is how long a machine that was recalled as empty may be in use before that
// is withdrawn. Short tasks have ended by then, and it goes where it is wanted.
const recallMost = 15 * time.Second

// inUseAgain tells whether a machine that was recalled because it stood empty, and does
// not any more, got work before its holder knew of the recall. It would stay recalled, its
// room of no use to anybody, until the last task there has ended; a replica never does.
func (l *Leader) inUseAgain(name string) bool {
	at, ok := l.idle[name]
	if !ok {
		return false
	}
	owner := l.view.HolderOf(name)
	return l.loop.Now.Sub(at) > recallMost && (owner == l.view.Self || l.heardAt[owner].After(at.Add(recallMost)))
}

// spareShare is the part of the fleet that stays free on spot machines when
// ordinary ones are recalled, so that nothing waits for it.
const spareShare = 0.03

// retire recalls ordinary machines while spot machines that are up have room
// for their work: they cost a multiple and would otherwise stay busy for as
// long as there is any work.
func (l *Leader) retire() {
	f := &l.fleet
	if !l.large() {
		return // on a small fleet they were missed soon after
	}
	free := 0.0
	kept := map[string]bool{}
	for _, node := range cluster.SortedKeys(l.renewals) {
		r := l.renewals[node]
		for _, d := range r.GetDemand() {
			if !d.GetSpot() {
				return // ordinary machines are what is wanted
			}
		}
		for _, n := range l.unpack(r.GetOnDemandOnly()) {
			kept[n] = true
		}
		free += r.GetFreeSpotCpus()
	}
	var dear []string
	for name, r := range f.machines {
		cpus := l.view.MachineTypes[r.kind].CPUs
		if l.view.HolderOf(name) == "" || f.leaving[name] {
			continue
		}
		free -= spareShare * cpus
		if l.recalls[name] && !r.spot {
			free -= cpus / 2 // about what it still runs, on average until it is empty
		} else if !r.spot && !kept[name] {
			dear = append(dear, name)
		}
	}
	if free <= 0 || len(dear) == 0 {
		return
	}
	perCPU := func(name string) float64 {
		t := l.view.MachineTypes[f.machines[name].kind]
		return t.Price / max(t.CPUs, 1)
	}
	slices.SortFunc(dear, func(a, b string) int {
		return cmp.Or(cmp.Compare(perCPU(b), perCPU(a)), cmp.Compare(a, b))
	})
	for _, name := range dear {
		if cpus := l.view.MachineTypes[f.machines[name].kind].CPUs; cpus <= free {
			l.recalls[name] = true
			l.dirty = true
			free -= cpus
		}
	}
}

// balance recalls idle machines for controllers whose waiting tasks they
// would take. A machine stays where its holder has work for it, so that none
// goes to and fro.
func (l *Leader) balance() {
	for _, node := range cluster.SortedKeys(l.renewals) {
		if !l.alive(node) || len(l.renewals[node].GetDemand()) == 0 {
			continue
		}
		want := demands(l.renewals[node])
		for _, holder := range cluster.SortedKeys(l.renewals) {
			if holder == node || !l.alive(holder) {
				continue
			}
			own := demands(l.renewals[holder])
			for _, u := range l.renewals[holder].GetMachineUse() {
				r := l.fleet.machines[u.GetName()]
				if r == nil || u.GetQuarantined() || u.GetDeparting() || u.GetIdleS() < 1 || l.recalls[u.GetName()] || l.view.HolderOf(u.GetName()) != holder {
					continue
				}
				empty := []sched.Offer{{Type: r.kind, Zone: r.zone, Spot: r.spot, Size: cluster.MachineSize(l.view.MachineTypes[r.kind])}}
				left := sched.PackInto(want, empty)
				if slices.Equal(counts(left), counts(want)) || !slices.Equal(counts(sched.PackInto(own, empty)), counts(own)) {
					continue
				}
				want = left
				l.recalls[u.GetName()], l.moves[u.GetName()] = true, node
				l.idle[u.GetName()] = l.loop.Now
				l.dirty = true
			}
		}
	}
}

func counts(list []sched.Demand) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = list[i].Count
	}
	return out
}

// demands reads the waiting tasks out of a renewal.
func demands(r *peerpb.Renewal) []sched.Demand {
	var out []sched.Demand
	for _, d := range r.GetDemand() {
		out = append(out, sched.Demand{Rank: int(d.GetRank()),
			Need:  sched.Resources{CPUs: d.GetCpus(), GPUs: d.GetGpus(), MemoryGB: d.GetMemoryGb()},
			Types: d.GetTypes(), Zone: d.GetZone(), Spot: d.GetSpot(),
			Count: int(d.GetCount()), RunS: max(1, d.GetRunS()), ProvisionAll: d.GetProvisionAll(), Overdue: d.GetStarved(), SlackS: d.GetSlackS()})
	}
	return out
}

func (l *Leader) judgeUse(name string, idleS float64, bad bool) {
	if l.recalls[name] || l.gone[name] {
		return
	}
	share, boot := idleCheap, 30.0
	if r := l.fleet.machines[name]; r != nil {
		if !r.spot {
			share = idleDear
		}
		if t, ok := l.view.MachineTypes[r.kind]; ok {
			boot = t.BootS
		}
	}
	cpus := 0.0
	if r := l.fleet.machines[name]; r != nil && r.spot {
		cpus = l.view.MachineTypes[r.kind].CPUs
	}
	if bad || (idleS > share*boot && (cpus == 0 || l.fleet.spot-cpus >= l.fleet.target)) {
		l.fleet.spot -= cpus
		l.recalls[name] = true
		if !bad {
			l.idle[name] = l.loop.Now
		}
		l.dirty = true
	}
}

// release returns machines to the cloud. With the answer they are gone.
func (l *Leader) release() {
	f := &l.fleet
	if f.releasing || len(f.leaving) == 0 || l.loop.Now.Before(f.releaseAt) {
		return
	}
	names := cluster.SortedKeys(f.leaving)
	if len(names) > wire.MaxDeletesPerRequest {
		names = names[:wire.MaxDeletesPerRequest]
	}
	f.releasing = true
	var lost []string
	for _, n := range names {
		if f.lost[n] {
			lost = append(lost, n)
			delete(f.lost, n) // from here on it may be gone at any moment
		}
	}
	l.log.Info("releasing", "machines", names)
	l.loop.Emit(eventloop.CloudDelete{Names: names, ID: l.loop.Call(func(d eventloop.Completion) {
		f.releasing = false
		f.releaseAt = l.loop.Now.Add(300 * time.Millisecond)
		if d.Outcome != eventloop.Succeeded {
			f.releaseAt = l.loop.Now.Add(time.Second)
			if d.Outcome == eventloop.Throttled || d.Outcome == eventloop.Unavailable { // not carried out
				for _, n := range lost {
					f.lost[n] = true
				}
			}
			return
		}
		if l.ended {
			return
		}
		for _, n := range names {
			l.MachineDeleted(n)
		}
		l.again = true
	})})
}
