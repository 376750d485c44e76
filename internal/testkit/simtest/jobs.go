package simtest

import (
	"fmt"
	"time"

	"fawncove/internal/wire"
)

// The jobs that users submit.

// newUser adds a user of one job.
func (w *World) newUser(job wire.Job) *user {
	u := &user{w: w, doneTasks: map[string]bool{}, job: job}
	w.users[job.ID] = u
	return u
}

// replicas submits services with two replicas each.
func (w *World) replicas(first, count int, team string, cpus float64) (out []*user) {
	for i := range count {
		u := w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", first+i), Class: "s", Team: team, Shape: wire.Daemon, Priority: "urgent",
			Tasks: 2, CPUs: cpus, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true})
		w.after(w.within(time.Second), u.submit)
		out = append(out, u)
	}
	return out
}

// cancelAll has users cancel their jobs now.
func (w *World) cancelAll(users []*user) {
	for _, u := range users {
		u.wantsCancel = true
		u.cancel()
	}
}

// Submit lets a user submit job number i in d.
func (w *World) Submit(i int, d time.Duration) {
	r := w.rng
	teams := []string{"red", "blue", "free"}
	u := &user{w: w, doneTasks: map[string]bool{}, faulty: r.IntN(15) == 0}
	u.job = wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: teams[r.IntN(3)], Shape: wire.Array,
		Priority: []string{"production", "urgent", "standard", "idle"}[r.IntN(4)],
		Tasks:    1 + r.IntN(6), CPUs: float64(1 + r.IntN(3)), MemoryGB: 2, Image: fmt.Sprintf("img-%d", r.IntN(4)),
		ImageGB: 1, SamePlace: r.IntN(5) == 0, Scatter: r.IntN(5) == 0, Spot: r.IntN(3) > 0, EstimateS: 8}
	if r.IntN(6) == 0 {
		u.job.Zone, u.job.Scatter = []string{"x", "y"}[r.IntN(2)], false
	}
	if u.job.SamePlace {
		u.job.Scatter = false
	}
	if r.IntN(6) == 0 {
		u.job.Types = []string{"b8"}
	}
	if r.IntN(8) == 0 {
		u.job.Shape, u.job.Tasks = wire.Daemon, 1+r.IntN(2)
	}
	w.users[u.job.ID] = u
	w.after(d, u.submit)
	if u.faulty || u.job.Shape == wire.Daemon || r.IntN(4) == 0 {
		w.after(d+time.Duration(5+r.IntN(60))*time.Second, func() { u.wantsCancel = true; u.cancel() })
	}
}

// SubmitMixed lets a user submit in d a service whose replicas spread, which is
// cancelled later, a wide urgent array, or one of large tasks.
func (w *World) SubmitMixed(i int, d time.Duration) {
	r := w.rng
	u := &user{w: w, doneTasks: map[string]bool{}}
	u.job = wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: []string{"red", "blue"}[r.IntN(2)], Shape: wire.Array,
		Priority: "urgent", Tasks: 20 + r.IntN(100), CPUs: 1, MemoryGB: 2, Image: fmt.Sprintf("img-%d", r.IntN(6)), ImageGB: 1, Spot: true, EstimateS: 8}
	switch i % 3 {
	case 0:
		u.job.Shape, u.job.Priority, u.job.Scatter, u.job.Spot = wire.Daemon, "production", true, false
		u.job.Class, u.job.EstimateS, u.job.Tasks = "s", 0, []int{1, 2, 6, 9, 12}[r.IntN(5)]
		w.after(d+time.Duration(40+r.IntN(120))*time.Second, func() { u.wantsCancel = true; u.cancel() })
	case 1:
		u.job.Priority, u.job.Class, u.job.Tasks, u.job.CPUs, u.job.CheckpointS, u.job.SaveS = "standard", "d", 5+r.IntN(20), 3, 4, 1
	}
	w.users[u.job.ID] = u
	w.after(d, u.submit)
}

// SubmitWide lets a user submit an array of dozens of tasks in d.
func (w *World) SubmitWide(i int, d time.Duration) {
	r := w.rng
	u := &user{w: w, doneTasks: map[string]bool{}}
	u.job = wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: []string{"red", "blue", "free", "free"}[r.IntN(4)],
		Shape: wire.Array, Priority: []string{"urgent", "standard", "standard"}[r.IntN(3)], Tasks: 20 + r.IntN(130),
		CPUs: float64(1 + r.IntN(4)), MemoryGB: 2, Image: fmt.Sprintf("img-%d", r.IntN(6)), ImageGB: 1, Spot: r.IntN(8) > 0, EstimateS: 8}
	w.users[u.job.ID] = u
	w.after(d, u.submit)
	if r.IntN(8) == 0 {
		w.after(d+time.Duration(3+r.IntN(30))*time.Second, func() { u.wantsCancel = true; u.cancel() })
	}
}
