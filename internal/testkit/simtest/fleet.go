package simtest

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Troubles of workers, and what a fleet at peace owes to jobs that wait.

// Mute keeps a worker from all controllers for d: its reports get nowhere, while
// direct commands reach it.
func (k *worker) Mute(d time.Duration) { k.mute = k.w.now + d }

// keepForNext keeps a report until another controller leads.
func (w *World) keepForNext(r wire.Heartbeat) {
	if w.night.forNext > 0 && w.rng.IntN(100) < w.night.forNext {
		w.night.kept = append(w.night.kept, r)
	}
}

// ledBy notes who leads, and how many grants there were, by the value just stored. What
// was kept for the next leader then arrives at all controllers within a millisecond: at
// once, when they have read the value, or seconds later; and once more with the next
// grant, when a block has changed hands. Nobody reads the answers.
func (w *World) ledBy(leader string, grants wire.Grant) {
	n := &w.night
	next := n.leader != "" && n.leader != leader
	again := len(n.copied) > 0 && grants != n.grants
	n.leader, n.grants = leader, grants
	switch {
	case next && len(n.kept) > 0:
		n.copied, n.kept = n.kept, nil
		w.deliverAll(n.copied)
	case again:
		w.deliverAll(n.copied)
		n.copied = nil
	}
}

// deliverAll has all controllers get reports.
func (w *World) deliverAll(reports []wire.Heartbeat) {
	late := time.Duration(w.rng.Float64() * float64([]time.Duration{0, 50 * time.Millisecond, 6 * time.Second}[w.rng.IntN(3)]))
	for _, r := range reports {
		for _, n := range w.nodes {
			w.after(late+time.Duration(w.rng.IntN(1000))*time.Microsecond, func() {
				n.ask(func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: r} }, func(eventloop.Reply) {})
			})
		}
	}
}

// seeShares breaks a rule when the shares of a team's limit in a stored lease value are
// together more than the limit.
func (w *World) seeShares(cpus map[string][]int) {
	for _, t := range w.cfg.Teams {
		sum := 0
		for _, n := range cpus[t.Name] {
			sum += n
		}
		if t.CPUsMax > 0 && float64(sum) > t.CPUsMax {
			w.breakRule("shares: %s has %d of %v", t.Name, sum, t.CPUsMax)
		}
	}
}

// seeReturned notes machines that are returned while they work, as far as they are up,
// answer, and run a task of a job that is not over.
func (w *World) seeReturned(names []string) {
	for _, name := range names {
		k := w.workers[name]
		if k == nil || k.gone || w.now < max(k.hang, k.deaf, k.mute) || k.notice > 0 || k.sick {
			continue
		}
		for _, t := range k.tasks {
			if u := w.users[t.job]; on(t.state) && u.told == "" && !u.wantsCancel {
				w.returned = append(w.returned, fmt.Sprintf("%s with %s at %v", name, t.name, w.now))
			}
		}
	}
}

// hungMost is how many machines hang at most when many jobs are cancelled at once.
const hungMost = 8

// CancelNow has users cancel so many running jobs within a fifth of a second; up to
// hungMost of their machines hang for hang from that moment on, if it is not 0.
func (w *World) CancelNow(count int, hang time.Duration) {
	hung := 0
	for i := range 3000 {
		u := w.users[fmt.Sprintf("wk-%06d", i)]
		if count == 0 {
			return
		}
		if u == nil || !u.accepted || u.told != "" || u.wantsCancel || u.running == 0 {
			continue
		}
		count--
		if hang > 0 {
			for _, k := range w.byName() {
				if hung < hungMost && k.up && !k.gone && k.w.now >= k.hang &&
					slices.ContainsFunc(k.tasks, func(t *simTask) bool { return t.job == u.job.ID && on(t.state) }) {
					k.hang = w.now + hang
					hung++
				}
			}
		}
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { u.wantsCancel = true; u.cancel() })
	}
}

// FastBoots has all machines rented in the next d up within two seconds.
func (w *World) FastBoots(d time.Duration) {
	w.night.boot = func(time.Duration) time.Duration { return time.Duration(w.rng.IntN(2000)) * time.Millisecond }
	w.after(d, func() { w.night.boot = nil })
}

const (
	// neglectedAfter is how long a job may wait beside room once all is over.
	neglectedAfter = 90 * time.Second
	// roomFor is for how many seconds a machine must have had room to count: between the
	// end of a task and the start of the next there is always some.
	roomFor = 5
)

// WatchNeglect breaks a rule when, from the time of calm on, a job has waited for
// neglectedAfter, with no task of it started, while all the time some machine that fits
// has room and its team is under its limit, whatever else waits.
func (w *World) WatchNeglect() {
	since := map[*user]time.Duration{}   // since when it waits beside room
	starts := map[*user]int{}            // of its tasks, when last looked at
	lately := map[*worker][][2]float64{} // what was free on it in the last seconds
	least := func(k *worker) [2]float64 {
		out := lately[k][0]
		for _, free := range lately[k] {
			out[0], out[1] = min(out[0], free[0]), min(out[1], free[1])
		}
		return out
	}
	var look func()
	look = func() {
		w.after(time.Second, look)
		if w.now < w.night.calmAt {
			return
		}
		machines := w.byName()
		for _, k := range machines {
			if lately[k] = append(lately[k], k.free()); len(lately[k]) > roomFor {
				lately[k] = lately[k][1:]
			}
		}
		for i := range 3000 {
			u := w.users[fmt.Sprintf("wk-%06d", i)]
			if u == nil || !u.accepted || u.told != "" || u.wantsCancel || u.faulty || u.job.Shape == wire.Group {
				continue
			}
			var beside *worker
			if u.waiting() && w.underLimit(u) {
				for _, k := range machines {
					if room := least(k); len(lately[k]) == roomFor && u.job.CPUs <= room[0]+1e-9 && u.job.MemoryGB <= room[1]+1e-9 && w.fits(u, k) {
						beside = k
						break
					}
				}
			}
			if _, before := since[u]; beside == nil || !before || starts[u] != u.starts {
				since[u], starts[u] = w.now, u.starts
				continue
			}
			if waits := w.now - since[u]; waits > neglectedAfter {
				w.breakRule("neglected: %s has waited %v beside room on %s", u.job.ID, waits, beside.name)
			}
		}
	}
	w.after(time.Second, look)
}

// waiting tells whether a task of the job is neither done nor on any machine.
func (u *user) waiting() bool {
	there := map[string]bool{}
	for _, k := range u.w.workers {
		for _, t := range k.tasks {
			if t.job == u.job.ID && (t.state != wire.TaskEnded) {
				there[t.name] = true
			}
		}
	}
	for i := range u.job.Tasks {
		if name := u.job.ID + "/" + strconv.Itoa(i); !there[name] && !u.doneTasks[name] {
			return true
		}
	}
	return false
}

// underLimit tells whether the team's limit allows another task of the job.
func (w *World) underLimit(u *user) bool {
	for _, t := range w.cfg.Teams {
		if t.Name == u.job.Team && t.CPUsMax > 0 {
			return w.used[t.Name]+u.job.CPUs <= t.CPUsMax+1e-9
		}
	}
	return true
}

// free is what is left of a machine that could take work, in processors and memory.
func (k *worker) free() [2]float64 {
	if !k.up || k.gone || k.sick || k.notice > 0 || k.w.now < max(k.hang, k.deaf, k.mute) {
		return [2]float64{math.Inf(-1), 0}
	}
	out := [2]float64{k.cpus, k.memory}
	for _, t := range k.tasks {
		if t.state != wire.TaskEnded {
			out[0] -= k.w.users[t.job].job.CPUs
			out[1] -= k.w.users[t.job].job.MemoryGB
		}
	}
	return out
}

// fits tells whether the job's constraints let its next task start on a machine, given
// its other tasks at this moment.
func (w *World) fits(u *user, k *worker) bool {
	j := &u.job
	if k.spot && !j.Spot || j.Zone != "" && j.Zone != k.zone || len(j.Types) > 0 && !slices.Contains(j.Types, k.kind) {
		return false
	}
	if !j.SamePlace && !j.Scatter {
		return true
	}
	here, elsewhere := 0, 0
	for name, o := range w.where {
		if id, _, _ := strings.Cut(name, "/"); id != j.ID {
		} else if o.zone == k.zone {
			here++
		} else {
			elsewhere++
		}
	}
	return !(j.SamePlace && elsewhere > 0) && !(j.Scatter && here+1 > (j.Tasks+1)/2)
}
