package owner

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// successorKind names the machine kind that the step after this job needs.
// Today's job message names no successor, so there is none and every job
// rates high; the rating below is in the path all the same.
func successorMachineType(*wire.JobRecord) string { return "" }

// readyJobs lists this controller's jobs with waiting tasks, best first.
func (o *Owner) readyJobs() []*Job {
	type entry struct {
		j *Job
		r sched.Ready
	}
	var list []entry
	for _, j := range o.jobs {
		if !o.Owns(j) || !j.ready || j.Ended || len(j.queue) == 0 || o.loop.Now.Before(j.retryAt) || o.blockLease.HandoverOffered(j.partition()) || j.movingAtLease != 0 || !o.changesCurrent(j) {
			continue
		}
		list = append(list, entry{j, sched.Ready{
			Rank:      j.Record.Rank(),
			Borrowing: o.borrowing(j),
			Rating:    sched.Rate(successorMachineType(&j.Record), o.view.Lease.Waiting, o.view.Params.LookAheadThreshold),
			Due:       o.latestStart(j),
			Arrival:   j.Record.SubmittedAtMs,
			ID:        j.Record.ID,
		}})
	}
	slices.SortFunc(list, func(a, b entry) int {
		if a.r.Before(b.r) {
			return -1
		}
		return 1
	})
	out := make([]*Job, len(list))
	for i, e := range list {
		out[i] = e.j
	}
	return out
}

// dueStart is the latest time of day, in milliseconds, at which the job's
// waiting tasks should start to meet its deadline or its class's objectives:
// the nearest of those that can still be met. A job that is late whatever is
// done now yields to those that can still make it.
func (o *Owner) latestStart(j *Job) int64 {
	run := o.estimatedRunSeconds(&j.Record)
	waited := float64(o.loop.Now.UnixMilli()-j.Record.SubmittedAtMs) / 1000
	best := math.Inf(1)
	consider := func(within float64) {
		// Estimates are off: a fifth of the run time is given the benefit of
		// the doubt.
		if start := within - run; waited <= start+0.2*run {
			best = min(best, start)
		}
	}
	if j.Record.DeadlineS != nil {
		consider(*j.Record.DeadlineS)
	}
	for _, o := range o.view.Settings.Cluster.Objectives {
		switch {
		case o.Class != j.Record.Class || o.WithinS <= 0:
		case o.Kind == "finished":
			consider(o.WithinS)
		case o.Kind == "wait" && o.WithinS >= minWaitObjective && waited <= o.WithinS:
			best = min(best, o.WithinS)
		}
	}
	if math.IsInf(best, 1) {
		best = noDeadline
	}
	return j.Record.SubmittedAtMs + int64(1000*best)
}

// runsMost bounds the attempts on a machine, ended ones that its worker has not
// been told to forget included: a report may have 64 KiB, a task takes some ninety
// bytes of it, and a worker whose reports are refused loses all its tasks. Small
// tasks of a few seconds on a large machine come near.
const maxAttemptsPerMachine = wire.MaxBody * 8 / 10 / 90

// longWait is from how many seconds on an aim for the start counts in the
// order. Shorter ones would only put what has just come before what has waited.
const minWaitObjective = 15

// noDeadline is the slack, in seconds, of a job with neither a deadline nor an
// objective for its end, or one that misses all of them whatever is done: it gives
// way to those that can still make theirs, but not for ever. Measured with 200: the
// same means over twelve days and shorter waits for all tasks of late jobs (360 s
// instead of 437 s), but on a full fleet the late jobs of others kept a guest's 573
// single tasks waiting 111 s instead of 53 s, and half as many again missed their aim.
const noDeadline = 600

// borrowing tells whether one more task of the job takes its team beyond its
// guarantee; a team without one always borrows.
func (o *Owner) borrowing(j *Job) bool {
	g := o.view.GuaranteeOf(j.Record.Team)
	return !g.Any() || !g.Allows(o.clusterUse(j.Record.Team), j.need())
}

// free is what a machine has left.
func (m *machine) free() sched.Resources {
	a := m.size
	for _, r := range m.attempts {
		if r.job != nil && !r.ended() {
			a = a.Add(r.job.need(), -1)
		}
	}
	return a
}

// usable tells whether new tasks may be placed on a machine.
func (o *Owner) usable(m *machine) bool { return !m.draining && o.canRunTasks(m) }

// works tells whether a machine could take new tasks, whether or not the leader wants
// it back.
func (o *Owner) canRunTasks(m *machine) bool {
	silence := config.Seconds(1.3*o.view.Settings.Cluster.Workers.ReportS) + 700*time.Millisecond
	return !m.released && !m.quarantined && !m.unreachable && !m.mayRunUnknownTasks() && m.acknowledges() && m.reclaimAt.IsZero() &&
		m.agentEpoch != 0 && m.size.CPUs > 0 && !o.loop.Now.Before(m.noTasksBefore) && o.loop.Now.Sub(m.lastHeartbeat) < silence
}

// spot is a usable machine with its room, while places are chosen.
type candidate struct {
	machine         *machine
	free            sched.Resources
	freeSoon        sched.Resources // with what is being stopped there
	relativePrice   float64
	stoppable       []*attempt // what could be stopped there, listed when first asked for
	stoppableListed bool
	reservedFor     *Job // an overdue one, see keepRoom
}

// choice is a spot where a job's next task fits, with its cost.
type scoredCandidate struct {
	candidate *candidate
	cost      float64
}

const (
	// placeGap spaces the looks at all jobs and machines. Reports come by the
	// hundred each second on a large fleet, and one look serves them all.
	placeInterval = 100 * time.Millisecond
	// preemptGap spaces the looks for work to stop, which go over every task
	// on every machine.
	preemptInterval = 500 * time.Millisecond
)

// placeSoon places what waits, unless that was done a moment ago; then the
// next event or tick after the gap does it.
func (o *Owner) placeSoon() {
	if o.placeDue && o.loop.Now.Sub(o.placedAt) >= placeInterval {
		o.placeDue, o.placedAt = false, o.loop.Now
		o.place()
	}
}

// machineOrder lists the block's machines by name.
func (o *Owner) machinesByName() []*machine {
	if len(o.sortedMachines) != len(o.machines) || o.sortStale {
		o.sortStale = false
		o.sortedMachines = o.sortedMachines[:0]
		for _, m := range o.machines {
			o.sortedMachines = append(o.sortedMachines, m)
		}
		slices.SortFunc(o.sortedMachines, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return o.sortedMachines
}

// place starts waiting tasks where there is room.
func (o *Owner) place() {
	if !o.mayStart() {
		return
	}
	jobs := o.readyJobs()
	if len(jobs) == 0 {
		return
	}
	// Machines whose tasks are not known yet may hold anything: jobs that
	// may have been started before wait, and their room counts in full
	// against every limit.
	var unknown []*machine
	clear(o.stopping)
	var hidden sched.Resources
	var spots []*candidate
	dear := o.relativePrices()
	late := slices.ContainsFunc(jobs, o.waitsLong)
	for _, m := range o.machinesByName() {
		if m.mayRunUnknownTasks() {
			unknown = append(unknown, m)
			hidden = hidden.Add(o.maxSize(m), 1)
		}
		if o.usable(m) || (late && o.canRunTasks(m)) {
			s := &candidate{machine: m, free: m.free(), relativePrice: dear(m)}
			s.freeSoon = s.free
			for _, r := range m.attempts {
				if r.stopping && r.job != nil && !r.ended() {
					o.stopping[r.job.Record.Team] = o.stopping[r.job.Record.Team].Add(r.job.need(), 1)
					s.freeSoon = s.freeSoon.Add(r.job.need(), 1)
				}
			}
			spots = append(spots, s)
		}
	}
	o.placeOverdue(jobs, spots, unknown, hidden)
	roomiest := maxFree(spots)
	preempt := o.loop.Now.Sub(o.preemptedAt) >= preemptInterval
	if preempt {
		o.preemptedAt = o.loop.Now
	}
	for _, j := range jobs {
		if o.waitsForReconciliation(j, unknown) {
			continue
		}
		if j.Record.Shape == wire.Group {
			o.placeGang(j, spots, hidden)
			continue
		}
		if j.need().Fits(roomiest) && !o.placeTasks(j, spots, hidden) {
			roomiest = maxFree(spots)
		}
		if preempt {
			o.preempt(j, spots, hidden)
		}
	}
}

// waitsForUnknown tells whether tasks of the job may be on machines that are not
// known yet. They can only be where its constraints let earlier owners start them.
func (o *Owner) waitsForReconciliation(j *Job, unknown []*machine) bool {
	return j.firstVersion <= o.partitions[j.partition()] && slices.ContainsFunc(unknown, func(m *machine) bool {
		return m.machineType == "" || j.mayRunOn(m)
	})
}

// mostFree is the most that any spot has free of each resource. A task that
// needs more fits nowhere, which on a full fleet spares a look at every machine
// for every job.
func maxFree(spots []*candidate) sched.Resources {
	var a sched.Resources
	for _, s := range spots {
		a = sched.Resources{CPUs: max(a.CPUs, s.free.CPUs), GPUs: max(a.GPUs, s.free.GPUs), MemoryGB: max(a.MemoryGB, s.free.MemoryGB)}
	}
	return a
}

// placeTasks places as many of the job's waiting tasks as there is room for,
// and tells whether there was any for the first of them.
func (o *Owner) placeTasks(j *Job, spots []*candidate, hidden sched.Resources) bool {
	if j.Record.SamePlace || j.Record.Scatter {
		// Where the next one may go depends on where the last one went.
		n := len(j.queue)
		for len(j.queue) > 0 && o.placeOne(j, spots, hidden) != nil {
		}
		return len(j.queue) < n
	}
	need, limit := j.need(), o.localLimit(j.Record.Team)
	o.scored = o.scored[:0]
	for _, s := range spots {
		if o.accepts(s, j) && need.Fits(s.free) && o.feasible(j, s.machine) {
			o.scored = append(o.scored, scoredCandidate{s, o.score(j, s)})
		}
	}
	found := len(o.scored) > 0
	for len(j.queue) > 0 && j.mayStartAttempt() && len(o.scored) > 0 && limit.Allows(o.used[j.Record.Team].Add(hidden, 1), need) {
		best := 0
		for i := range o.scored {
			if o.scored[i].cost < o.scored[best].cost {
				best = i
			}
		}
		s := o.scored[best].candidate
		if !o.accepts(s, j) { // any more
			o.scored = slices.Delete(o.scored, best, best+1)
			continue
		}
		s.free, s.freeSoon = s.free.Add(need, -1), s.freeSoon.Add(need, -1)
		o.bind(j, s.machine)
		if need.Fits(s.free) && len(s.machine.attempts) < maxAttemptsPerMachine {
			o.scored[best].cost = o.score(j, s)
		} else {
			o.scored = slices.Delete(o.scored, best, best+1)
		}
	}
	return found
}

func (o *Owner) score(j *Job, s *candidate) float64 {
	return sched.Cost(j.need(), sched.Candidate{Free: s.free, Size: s.machine.size,
		ImageFetchS: s.machine.fetchSeconds(j, o.view.MachineTypes[s.machine.machineType].FetchGBPS), RelativePrice: s.relativePrice}, j.Record.Rank() <= 1)
}

const (
	// preemptMost bounds the tasks that one look at a job makes room for.
	maxPreemptedPerJob = 40
	// lostUrgent and lostOwed are how much work, in seconds of each processor
	// needed, may be thrown away to start an urgent task at once, or one that
	// its team's guarantee covers. Measured: 30 s costs more repeated work
	// than the earlier starts are worth.
	maxLostWorkUrgent     = 6.0
	maxLostWorkGuaranteed = 3.0
)

// eviction is what would have to be stopped on one machine for a task.
type eviction struct {
	candidate *candidate
	victims   []*attempt
	lostWork  float64
}

// preempt makes room for the waiting tasks of a job by stopping others: work
// of lower priority for urgent jobs, and for a team within its guarantee what
// other teams run beyond theirs. Work of the same or a higher priority is
// otherwise left alone. Each machine is looked at once; the next look finds
// what else it could give.
func (o *Owner) preempt(j *Job, spots []*candidate, hidden sched.Resources) {
	if len(j.queue) == 0 || j.Record.Shape == wire.Group {
		return
	}
	need := j.need()
	used := o.used[j.Record.Team].Add(hidden, 1)
	all := o.clusterUse(j.Record.Team).Add(hidden, 1)
	limit := o.localLimit(j.Record.Team)
	within := o.view.GuaranteeOf(j.Record.Team)
	owed := within.Any() && within.Allows(all, need)
	if j.Record.Rank() > 1 && !owed {
		return
	}
	most := maxLostWorkGuaranteed
	if j.Record.Rank() <= 1 {
		most = maxLostWorkUrgent
	}
	left := min(len(j.queue), maxPreemptedPerJob)
	// next tells whether one more task may be made room for, and counts it.
	next := func() bool {
		owed = within.Any() && within.Allows(all, need)
		if left == 0 || !limit.Allows(used, need) || (j.Record.Rank() > 1 && !owed) {
			return false
		}
		left--
		used, all = used.Add(need, 1), all.Add(need, 1)
		return true
	}
	var found []eviction
	var runs []*attempt
	var victims []sched.Victim
	for _, s := range spots {
		if !o.accepts(s, j) || !o.feasible(j, s.machine) {
			continue
		}
		// Room that is being made already serves first.
		for need.Fits(s.freeSoon) {
			if !next() {
				return
			}
			s.freeSoon = s.freeSoon.Add(need, -1)
		}
		runs, victims = runs[:0], victims[:0]
		for _, r := range s.stoppableAttempts() {
			if r.stopping || !o.mayPreempt(j, r, owed) {
				continue
			}
			lost := 0.0
			if r.state == wire.TaskRunning {
				lost = o.loop.Now.Sub(r.startedAt).Seconds()
				if r.job.Record.CheckpointS > 0 {
					lost = r.job.Record.SaveS
				}
			}
			victims = append(victims, sched.Victim{Index: len(runs), Frees: r.job.need(), LostWork: lost * r.job.Record.CPUs})
			runs = append(runs, r)
		}
		stop, lost := sched.ChooseVictims(need, s.freeSoon, victims, most*need.CPUs)
		if len(stop) == 0 {
			continue
		}
		e := eviction{candidate: s, lostWork: lost}
		for _, v := range stop {
			e.victims = append(e.victims, runs[v.Index])
		}
		found = append(found, e)
	}
	slices.SortStableFunc(found, func(a, b eviction) int { return cmp.Compare(a.lostWork, b.lostWork) })
	var stopped []*Job
	for _, e := range found {
		// What was stopped a moment ago may have used up what the other team
		// runs beyond its guarantee.
		if slices.ContainsFunc(e.victims, func(r *attempt) bool { return !o.mayPreempt(j, r, owed) }) {
			continue
		}
		if !next() {
			break
		}
		for _, r := range e.victims {
			r.stopping = true
			stopped = append(stopped, r.job)
			o.stopping[r.job.Record.Team] = o.stopping[r.job.Record.Team].Add(r.job.need(), 1)
			o.markUrgent(r.machine)
			e.candidate.freeSoon = e.candidate.freeSoon.Add(r.job.need(), 1)
		}
		e.candidate.freeSoon = e.candidate.freeSoon.Add(need, -1)
	}
	for _, v := range stopped {
		v.protectedUntil = o.loop.Now.Add(preemptProtection)
	}
}

// runs lists what could be stopped on the machine, oldest attempt first.
func (s *candidate) stoppableAttempts() []*attempt {
	if !s.stoppableListed {
		s.stoppableListed = true
		for _, key := range sortedAttempts(s.machine) {
			if r := s.machine.attempts[key]; r.job != nil && !r.ended() && r.state != attemptQueued {
				s.stoppable = append(s.stoppable, r)
			}
		}
	}
	return s.stoppable
}

// mayStop tells whether the attempt may be stopped for the sake of the job.
// owed says that the job's team is within its guarantee.
func (o *Owner) mayPreempt(j *Job, r *attempt, owed bool) bool {
	if r.job.Record.Shape == wire.Group || o.loop.Now.Before(r.job.protectedUntil) {
		return false
	}
	// Urgent work among itself is left alone, but a service that may not use
	// spot machines has nowhere else to go than where urgent tasks sit that do.
	if j.Record.Rank() <= 1 && (r.job.Record.Rank() > 1 || (r.job.Record.Rank() > j.Record.Rank() && !j.Record.Spot && r.job.Record.Spot)) {
		return true
	}
	// Only what comes after the job in the order is stopped for it: else the
	// stopped task would be the first to take the room again, for ever.
	if !owed || r.job.Record.Team == j.Record.Team || r.job.Record.Rank() < j.Record.Rank() {
		return false
	}
	// The other team keeps its own guarantee without the task, all that is
	// being stopped already taken off: else both teams would stop each
	// other's tasks in turn.
	g := o.view.GuaranteeOf(r.job.Record.Team)
	left := o.clusterUse(r.job.Record.Team).Add(o.stopping[r.job.Record.Team], -1).Add(r.job.need(), -1)
	return !g.Any() || (left.CPUs >= g.CPUs && left.GPUs >= g.GPUs)
}

// sparedFor is how long a job's tasks are left alone after one of them was
// stopped to make room, whatever the reason: no order may ever make two jobs
// stop each other without end.
const preemptProtection = 5 * time.Second

// placeOne places the job's next task, if its team's limit and some machine
// have room for it.
func (o *Owner) placeOne(j *Job, spots []*candidate, hidden sched.Resources) *attempt {
	need := j.need()
	if !j.mayStartAttempt() || !o.localLimit(j.Record.Team).Allows(o.used[j.Record.Team].Add(hidden, 1), need) {
		return nil
	}
	var best *candidate
	bestCost := 0.0
	for _, s := range spots {
		if !o.accepts(s, j) || !need.Fits(s.free) || !o.feasible(j, s.machine) {
			continue
		}
		cost := o.score(j, s)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil
	}
	best.free = best.free.Add(need, -1)
	best.freeSoon = best.freeSoon.Add(need, -1)
	return o.bind(j, best.machine)
}

// placeGang places all waiting tasks of a gang or none: a part of it would
// only hold room while it waits for the rest. All carry the same attempt, by
// which the workers know who belongs together; so when one is missing the
// others are stopped and the gang starts again as a whole.
func (o *Owner) placeGang(j *Job, spots []*candidate, hidden sched.Resources) {
	if len(j.attempts) > 0 {
		for _, r := range j.attempts {
			r.stopping = true
			o.markUrgent(r.machine)
		}
		return
	}
	before := make([]candidate, len(spots))
	for i, s := range spots {
		before[i] = *s
	}
	var placed []*attempt
	for len(j.queue) > 0 {
		r := o.placeOne(j, spots, hidden)
		if r == nil {
			for _, r := range placed {
				o.dropAttempt(r)
				o.updateIdle(r.machine)
			}
			for i, s := range spots {
				*s = before[i]
			}
			return
		}
		placed = append(placed, r)
	}
	for _, r := range placed {
		delete(r.machine.attempts, attemptKey{r.task, r.number})
		r.number = placed[0].number
		r.machine.attempts[attemptKey{r.task, r.number}] = r
	}
}

// dearness returns a function that tells the price of a processor on a
// machine as a multiple of the cheapest there is.
func (o *Owner) relativePrices() func(m *machine) float64 {
	cheapest := 0.0
	for _, t := range o.view.MachineTypes {
		for _, p := range []float64{t.Price, t.SpotPrice} {
			if p > 0 && (cheapest == 0 || p/t.CPUs < cheapest) {
				cheapest = p / t.CPUs
			}
		}
	}
	return func(m *machine) float64 {
		t := o.view.MachineTypes[m.machineType]
		price := t.Price
		if m.spot {
			price = t.SpotPrice
		}
		if price <= 0 || cheapest <= 0 {
			return 1
		}
		return price / t.CPUs / cheapest
	}
}

// mayUse tells whether the job may use such a machine at all.
func (j *Job) mayRunOn(m *machine) bool {
	rec := &j.Record
	return (rec.Spot || !m.spot) && (rec.Zone == "" || rec.Zone == m.zone) &&
		(len(rec.Types) == 0 || slices.Contains(rec.Types, m.machineType))
}

// allowed tells whether the job's constraints let its next task start there,
// given its other tasks at this moment.
func (o *Owner) feasible(j *Job, m *machine) bool {
	rec := &j.Record
	if !j.mayRunOn(m) || len(m.attempts) >= maxAttemptsPerMachine {
		return false
	}
	// A machine on which the job failed is no place for another try, unless
	// it has failed everywhere, or waits for long: there may be room nowhere else.
	if j.failedOn[m.name] && !j.likelyFaulty() && !o.waitsLong(j) {
		return false
	}
	if rec.SamePlace || rec.Scatter {
		here := 0
		for _, r := range j.attempts {
			if r.machine.zone == m.zone {
				here++
			} else if rec.SamePlace {
				return false
			}
		}
		if rec.Scatter && here >= (rec.Tasks+1)/2 {
			return false
		}
	}
	return true
}

// fetchSeconds estimates how long the job's image takes to get there. Images
// that no task has run from yet are taken to be on their way.
func (m *machine) fetchSeconds(j *Job, rate float64) float64 {
	if rate <= 0 || j.Record.ImageGB <= 0 {
		return 0
	}
	s := j.Record.ImageGB / rate
	coming := 0
	for i := range m.images {
		img := &m.images[i]
		switch {
		case img.name == j.Record.Image && img.cached:
			return 0
		case img.name == j.Record.Image:
			return s / 2
		case !img.cached:
			coming++
		}
	}
	return s * float64(1+coming)
}

// keep notes that the machine fetches or uses an image; there says that it
// has it.
func (m *machine) recordImage(name string, gb, cache float64, there bool) {
	if len(m.images) > 0 && m.images[0].name == name {
		m.images[0].cached = m.images[0].cached || there
		return
	}
	if i := slices.IndexFunc(m.images, func(i image) bool { return i.name == name }); i >= 0 {
		there = there || m.images[i].cached
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = slices.Insert(m.images, 0, image{name, gb, there})
	total := 0.0
	for k, i := range m.images {
		if total += i.sizeGB; total > cache && k > 0 {
			m.images = m.images[:k]
			break
		}
	}
}

// start places the job's next task on a machine. Attempts carry the grant, so
// they never repeat, not even after a restart.
func (o *Owner) bind(j *Job, m *machine) *attempt {
	i := j.queue[0]
	j.queue = j.queue[1:]
	j.waitSince = o.loop.Now
	o.statsOf(j.Record.Class).lastStart = o.loop.Now
	o.lastStart[j.Record.Team] = o.loop.Now
	if !j.started {
		j.started = true
		o.Served.Started(&j.Record.Job, j.age(o.loop.Now))
	}
	r := &attempt{job: j, index: i, task: taskName(j.Record.ID, i), number: o.blockLease.Attempt(), machine: m,
		state: attemptQueued, placedAt: o.loop.Now}
	m.attempts[attemptKey{r.task, r.number}] = r
	j.attempts[i] = r
	o.countUse(r, 1)
	m.recordImage(j.Record.Image, j.Record.ImageGB, o.view.MachineTypes[m.machineType].CacheGB, false)
	m.idleSince = time.Time{}
	o.markUrgent(m)
	o.log.Debug("placed", "task", r.task, "attempt", r.number, "machine", m.name)
	return r
}
