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
func successorKind(*wire.JobRecord) string { return "" }

// readyJobs lists this controller's jobs with waiting tasks, best first.
func (o *Owner) readyJobs() []*Job {
	type entry struct {
		j *Job
		r sched.Ready
	}
	var list []entry
	for _, j := range o.jobs {
		if !o.Owns(j) || !j.ready || j.Ended || len(j.queue) == 0 || o.loop.Now.Before(j.notBefore) || o.hold.HandoverOffered(j.home()) || j.leaving != 0 || !o.current(j) {
			continue
		}
		list = append(list, entry{j, sched.Ready{
			Rank:      j.Record.Rank(),
			Borrowing: o.borrowing(j),
			Rating:    sched.Rate(successorKind(&j.Record), o.view.Lease.Waiting, o.view.Params.LookAheadThreshold),
			Due:       o.dueStart(j),
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
func (o *Owner) dueStart(j *Job) int64 {
	run := o.runSeconds(&j.Record)
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
		case o.Kind == "wait" && o.WithinS >= longWait && waited <= o.WithinS:
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
const runsMost = wire.MaxBody * 8 / 10 / 90

// longWait is from how many seconds on an aim for the start counts in the
// order. Shorter ones would only put what has just come before what has waited.
const longWait = 15

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
	return !g.Any() || !g.Allows(o.usedByAll(j.Record.Team), j.need())
}

// free is what a machine has left.
func (m *machine) free() sched.Resources {
	a := m.size
	for _, r := range m.runs {
		if r.j != nil && !r.over() {
			a = a.Add(r.j.need(), -1)
		}
	}
	return a
}

// usable tells whether new tasks may be placed on a machine.
func (o *Owner) usable(m *machine) bool { return !m.recall && o.works(m) }

// works tells whether a machine could take new tasks, whether or not the leader wants
// it back.
func (o *Owner) works(m *machine) bool {
	silence := config.Seconds(1.3*o.view.Settings.Cluster.Workers.ReportS) + 700*time.Millisecond
	return !m.gave && !m.bad && !m.lost && !m.unsure() && m.hears() && m.gone.IsZero() &&
		m.session != 0 && m.size.CPUs > 0 && !o.loop.Now.Before(m.pauseTo) && o.loop.Now.Sub(m.heard) < silence
}

// spot is a usable machine with its room, while places are chosen.
type spot struct {
	m       *machine
	free    sched.Resources
	soon    sched.Resources // with what is being stopped there
	dear    float64
	running []*run // what could be stopped there, listed when first asked for
	listed  bool
	keptFor *Job // an overdue one, see keepRoom
}

// choice is a spot where a job's next task fits, with its cost.
type choice struct {
	s    *spot
	cost float64
}

const (
	// placeGap spaces the looks at all jobs and machines. Reports come by the
	// hundred each second on a large fleet, and one look serves them all.
	placeGap = 100 * time.Millisecond
	// preemptGap spaces the looks for work to stop, which go over every task
	// on every machine.
	preemptGap = 500 * time.Millisecond
)

// placeSoon places what waits, unless that was done a moment ago; then the
// next event or tick after the gap does it.
func (o *Owner) placeSoon() {
	if o.placeDue && o.loop.Now.Sub(o.placedAt) >= placeGap {
		o.placeDue, o.placedAt = false, o.loop.Now
		o.place()
	}
}

// machineOrder lists the block's machines by name.
func (o *Owner) machineOrder() []*machine {
	if len(o.order) != len(o.machines) || o.orderDue {
		o.orderDue = false
		o.order = o.order[:0]
		for _, m := range o.machines {
			o.order = append(o.order, m)
		}
		slices.SortFunc(o.order, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return o.order
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
	var spots []*spot
	dear := o.dearness()
	late := slices.ContainsFunc(jobs, o.waitsLong)
	for _, m := range o.machineOrder() {
		if m.unsure() {
			unknown = append(unknown, m)
			hidden = hidden.Add(o.sizeAtMost(m), 1)
		}
		if o.usable(m) || (late && o.works(m)) {
			s := &spot{m: m, free: m.free(), dear: dear(m)}
			s.soon = s.free
			for _, r := range m.runs {
				if r.stop && r.j != nil && !r.over() {
					o.stopping[r.j.Record.Team] = o.stopping[r.j.Record.Team].Add(r.j.need(), 1)
					s.soon = s.soon.Add(r.j.need(), 1)
				}
			}
			spots = append(spots, s)
		}
	}
	o.beginOverdue(jobs, spots, unknown, hidden)
	roomiest := mostFree(spots)
	preempt := o.loop.Now.Sub(o.preemptAt) >= preemptGap
	if preempt {
		o.preemptAt = o.loop.Now
	}
	for _, j := range jobs {
		if o.waitsForUnknown(j, unknown) {
			continue
		}
		if j.Record.Shape == wire.Group {
			o.placeGang(j, spots, hidden)
			continue
		}
		if j.need().Fits(roomiest) && !o.placeTasks(j, spots, hidden) {
			roomiest = mostFree(spots)
		}
		if preempt {
			o.preempt(j, spots, hidden)
		}
	}
}

// waitsForUnknown tells whether tasks of the job may be on machines that are not
// known yet. They can only be where its constraints let earlier owners start them.
func (o *Owner) waitsForUnknown(j *Job, unknown []*machine) bool {
	return j.first <= o.homes[j.home()] && slices.ContainsFunc(unknown, func(m *machine) bool {
		return m.kind == "" || j.mayUse(m)
	})
}

// mostFree is the most that any spot has free of each resource. A task that
// needs more fits nowhere, which on a full fleet spares a look at every machine
// for every job.
func mostFree(spots []*spot) sched.Resources {
	var a sched.Resources
	for _, s := range spots {
		a = sched.Resources{CPUs: max(a.CPUs, s.free.CPUs), GPUs: max(a.GPUs, s.free.GPUs), MemoryGB: max(a.MemoryGB, s.free.MemoryGB)}
	}
	return a
}

// placeTasks places as many of the job's waiting tasks as there is room for,
// and tells whether there was any for the first of them.
func (o *Owner) placeTasks(j *Job, spots []*spot, hidden sched.Resources) bool {
	if j.Record.SamePlace || j.Record.Scatter {
		// Where the next one may go depends on where the last one went.
		n := len(j.queue)
		for len(j.queue) > 0 && o.placeOne(j, spots, hidden) != nil {
		}
		return len(j.queue) < n
	}
	need, limit := j.need(), o.ceilingOf(j.Record.Team)
	o.choices = o.choices[:0]
	for _, s := range spots {
		if o.takes(s, j) && need.Fits(s.free) && o.allowed(j, s.m) {
			o.choices = append(o.choices, choice{s, o.costOf(j, s)})
		}
	}
	found := len(o.choices) > 0
	for len(j.queue) > 0 && j.mayTry() && len(o.choices) > 0 && limit.Allows(o.used[j.Record.Team].Add(hidden, 1), need) {
		best := 0
		for i := range o.choices {
			if o.choices[i].cost < o.choices[best].cost {
				best = i
			}
		}
		s := o.choices[best].s
		if !o.takes(s, j) { // any more
			o.choices = slices.Delete(o.choices, best, best+1)
			continue
		}
		s.free, s.soon = s.free.Add(need, -1), s.soon.Add(need, -1)
		o.start(j, s.m)
		if need.Fits(s.free) && len(s.m.runs) < runsMost {
			o.choices[best].cost = o.costOf(j, s)
		} else {
			o.choices = slices.Delete(o.choices, best, best+1)
		}
	}
	return found
}

func (o *Owner) costOf(j *Job, s *spot) float64 {
	return sched.Cost(j.need(), sched.Candidate{Free: s.free, Size: s.m.size,
		ImageFetchS: s.m.fetchSeconds(j, o.view.MachineTypes[s.m.kind].FetchGBPS), RelativePrice: s.dear}, j.Record.Rank() <= 1)
}

const (
	// preemptMost bounds the tasks that one look at a job makes room for.
	preemptMost = 40
	// lostUrgent and lostOwed are how much work, in seconds of each processor
	// needed, may be thrown away to start an urgent task at once, or one that
	// its team's guarantee covers. Measured: 30 s costs more repeated work
	// than the earlier starts are worth.
	lostUrgent = 6.0
	lostOwed   = 3.0
)

// eviction is what would have to be stopped on one machine for a task.
type eviction struct {
	s    *spot
	stop []*run
	lost float64
}

// preempt makes room for the waiting tasks of a job by stopping others: work
// of lower priority for urgent jobs, and for a team within its guarantee what
// other teams run beyond theirs. Work of the same or a higher priority is
// otherwise left alone. Each machine is looked at once; the next look finds
// what else it could give.
func (o *Owner) preempt(j *Job, spots []*spot, hidden sched.Resources) {
	if len(j.queue) == 0 || j.Record.Shape == wire.Group {
		return
	}
	need := j.need()
	used := o.used[j.Record.Team].Add(hidden, 1)
	all := o.usedByAll(j.Record.Team).Add(hidden, 1)
	limit := o.ceilingOf(j.Record.Team)
	within := o.view.GuaranteeOf(j.Record.Team)
	owed := within.Any() && within.Allows(all, need)
	if j.Record.Rank() > 1 && !owed {
		return
	}
	most := lostOwed
	if j.Record.Rank() <= 1 {
		most = lostUrgent
	}
	left := min(len(j.queue), preemptMost)
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
	var runs []*run
	var victims []sched.Victim
	for _, s := range spots {
		if !o.takes(s, j) || !o.allowed(j, s.m) {
			continue
		}
		// Room that is being made already serves first.
		for need.Fits(s.soon) {
			if !next() {
				return
			}
			s.soon = s.soon.Add(need, -1)
		}
		runs, victims = runs[:0], victims[:0]
		for _, r := range s.runs() {
			if r.stop || !o.mayStop(j, r, owed) {
				continue
			}
			lost := 0.0
			if r.state == wire.TaskRunning {
				lost = o.loop.Now.Sub(r.started).Seconds()
				if r.j.Record.CheckpointS > 0 {
					lost = r.j.Record.SaveS
				}
			}
			victims = append(victims, sched.Victim{Index: len(runs), Frees: r.j.need(), LostWork: lost * r.j.Record.CPUs})
			runs = append(runs, r)
		}
		stop, lost := sched.ChooseVictims(need, s.soon, victims, most*need.CPUs)
		if len(stop) == 0 {
			continue
		}
		e := eviction{s: s, lost: lost}
		for _, v := range stop {
			e.stop = append(e.stop, runs[v.Index])
		}
		found = append(found, e)
	}
	slices.SortStableFunc(found, func(a, b eviction) int { return cmp.Compare(a.lost, b.lost) })
	var stopped []*Job
	for _, e := range found {
		// What was stopped a moment ago may have used up what the other team
		// runs beyond its guarantee.
		if slices.ContainsFunc(e.stop, func(r *run) bool { return !o.mayStop(j, r, owed) }) {
			continue
		}
		if !next() {
			break
		}
		for _, r := range e.stop {
			r.stop = true
			stopped = append(stopped, r.j)
			o.stopping[r.j.Record.Team] = o.stopping[r.j.Record.Team].Add(r.j.need(), 1)
			o.hurry(r.m)
			e.s.soon = e.s.soon.Add(r.j.need(), 1)
		}
		e.s.soon = e.s.soon.Add(need, -1)
	}
	for _, v := range stopped {
		v.spared = o.loop.Now.Add(sparedFor)
	}
}

// runs lists what could be stopped on the machine, oldest attempt first.
func (s *spot) runs() []*run {
	if !s.listed {
		s.listed = true
		for _, key := range sortedRuns(s.m) {
			if r := s.m.runs[key]; r.j != nil && !r.over() && r.state != runQueued {
				s.running = append(s.running, r)
			}
		}
	}
	return s.running
}

// mayStop tells whether the attempt may be stopped for the sake of the job.
// owed says that the job's team is within its guarantee.
func (o *Owner) mayStop(j *Job, r *run, owed bool) bool {
	if r.j.Record.Shape == wire.Group || o.loop.Now.Before(r.j.spared) {
		return false
	}
	// Urgent work among itself is left alone, but a service that may not use
	// spot machines has nowhere else to go than where urgent tasks sit that do.
	if j.Record.Rank() <= 1 && (r.j.Record.Rank() > 1 || (r.j.Record.Rank() > j.Record.Rank() && !j.Record.Spot && r.j.Record.Spot)) {
		return true
	}
	// Only what comes after the job in the order is stopped for it: else the
	// stopped task would be the first to take the room again, for ever.
	if !owed || r.j.Record.Team == j.Record.Team || r.j.Record.Rank() < j.Record.Rank() {
		return false
	}
	// The other team keeps its own guarantee without the task, all that is
	// being stopped already taken off: else both teams would stop each
	// other's tasks in turn.
	g := o.view.GuaranteeOf(r.j.Record.Team)
	left := o.usedByAll(r.j.Record.Team).Add(o.stopping[r.j.Record.Team], -1).Add(r.j.need(), -1)
	return !g.Any() || (left.CPUs >= g.CPUs && left.GPUs >= g.GPUs)
}

// sparedFor is how long a job's tasks are left alone after one of them was
// stopped to make room, whatever the reason: no order may ever make two jobs
// stop each other without end.
const sparedFor = 5 * time.Second

// placeOne places the job's next task, if its team's limit and some machine
// have room for it.
func (o *Owner) placeOne(j *Job, spots []*spot, hidden sched.Resources) *run {
	need := j.need()
	if !j.mayTry() || !o.ceilingOf(j.Record.Team).Allows(o.used[j.Record.Team].Add(hidden, 1), need) {
		return nil
	}
	var best *spot
	bestCost := 0.0
	for _, s := range spots {
		if !o.takes(s, j) || !need.Fits(s.free) || !o.allowed(j, s.m) {
			continue
		}
		cost := o.costOf(j, s)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		return nil
	}
	best.free = best.free.Add(need, -1)
	best.soon = best.soon.Add(need, -1)
	return o.start(j, best.m)
}

// placeGang places all waiting tasks of a gang or none: a part of it would
// only hold room while it waits for the rest. All carry the same attempt, by
// which the workers know who belongs together; so when one is missing the
// others are stopped and the gang starts again as a whole.
func (o *Owner) placeGang(j *Job, spots []*spot, hidden sched.Resources) {
	if len(j.runs) > 0 {
		for _, r := range j.runs {
			r.stop = true
			o.hurry(r.m)
		}
		return
	}
	before := make([]spot, len(spots))
	for i, s := range spots {
		before[i] = *s
	}
	var placed []*run
	for len(j.queue) > 0 {
		r := o.placeOne(j, spots, hidden)
		if r == nil {
			for _, r := range placed {
				o.dropRun(r)
				o.touchIdle(r.m)
			}
			for i, s := range spots {
				*s = before[i]
			}
			return
		}
		placed = append(placed, r)
	}
	for _, r := range placed {
		delete(r.m.runs, runKey{r.task, r.attempt})
		r.attempt = placed[0].attempt
		r.m.runs[runKey{r.task, r.attempt}] = r
	}
}

// dearness returns a function that tells the price of a processor on a
// machine as a multiple of the cheapest there is.
func (o *Owner) dearness() func(m *machine) float64 {
	cheapest := 0.0
	for _, t := range o.view.MachineTypes {
		for _, p := range []float64{t.Price, t.SpotPrice} {
			if p > 0 && (cheapest == 0 || p/t.CPUs < cheapest) {
				cheapest = p / t.CPUs
			}
		}
	}
	return func(m *machine) float64 {
		t := o.view.MachineTypes[m.kind]
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
func (j *Job) mayUse(m *machine) bool {
	rec := &j.Record
	return (rec.Spot || !m.spot) && (rec.Zone == "" || rec.Zone == m.zone) &&
		(len(rec.Types) == 0 || slices.Contains(rec.Types, m.kind))
}

// allowed tells whether the job's constraints let its next task start there,
// given its other tasks at this moment.
func (o *Owner) allowed(j *Job, m *machine) bool {
	rec := &j.Record
	if !j.mayUse(m) || len(m.runs) >= runsMost {
		return false
	}
	// A machine on which the job failed is no place for another try, unless
	// it has failed everywhere, or waits for long: there may be room nowhere else.
	if j.failedOn[m.name] && !j.doubtful() && !o.waitsLong(j) {
		return false
	}
	if rec.SamePlace || rec.Scatter {
		here := 0
		for _, r := range j.runs {
			if r.m.zone == m.zone {
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
		case img.name == j.Record.Image && img.there:
			return 0
		case img.name == j.Record.Image:
			return s / 2
		case !img.there:
			coming++
		}
	}
	return s * float64(1+coming)
}

// keep notes that the machine fetches or uses an image; there says that it
// has it.
func (m *machine) keep(name string, gb, cache float64, there bool) {
	if len(m.images) > 0 && m.images[0].name == name {
		m.images[0].there = m.images[0].there || there
		return
	}
	if i := slices.IndexFunc(m.images, func(i image) bool { return i.name == name }); i >= 0 {
		there = there || m.images[i].there
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = slices.Insert(m.images, 0, image{name, gb, there})
	total := 0.0
	for k, i := range m.images {
		if total += i.gb; total > cache && k > 0 {
			m.images = m.images[:k]
			break
		}
	}
}

// start places the job's next task on a machine. Attempts carry the grant, so
// they never repeat, not even after a restart.
func (o *Owner) start(j *Job, m *machine) *run {
	i := j.queue[0]
	j.queue = j.queue[1:]
	j.waitSince = o.loop.Now
	o.class(j.Record.Class).startedAt = o.loop.Now
	o.startedAt[j.Record.Team] = o.loop.Now
	if !j.begun {
		j.begun = true
		o.Served.Started(&j.Record.Job, j.age(o.loop.Now))
	}
	r := &run{j: j, i: i, task: taskName(j.Record.ID, i), attempt: o.hold.Attempt(), m: m,
		state: runQueued, placed: o.loop.Now}
	m.runs[runKey{r.task, r.attempt}] = r
	j.runs[i] = r
	o.count(r, 1)
	m.keep(j.Record.Image, j.Record.ImageGB, o.view.MachineTypes[m.kind].CacheGB, false)
	m.idle = time.Time{}
	o.hurry(m)
	o.log.Debug("placed", "task", r.task, "attempt", r.attempt, "machine", m.name)
	return r
}
