package simtest

import (
	"testing"
	"time"

	"fawncove/internal/wire"
)

// TestLastTaskLeavesAFaultyMachine guards against a job whose last task is tried again and again on the
// one machine of its type, which fails everything.
func TestLastTaskLeavesAFaultyMachine(t *testing.T) {
	w := New(2)
	w.steady = true
	w.Run(5 * time.Second)
	u := w.newUser(wire.Job{ID: "wk-000001", Class: "a", Team: "red", Shape: wire.Array, Priority: "urgent", Types: []string{"b8"},
		Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true, EstimateS: 8})
	u.apart = 20 * time.Second
	u.submit()
	w.Run(10 * time.Second)
	for end := w.now + time.Minute; w.now < end && len(u.doneTasks) == 0; {
		w.Run(100 * time.Millisecond)
	}
	for _, k := range w.byName() {
		k.sick = true
	}
	w.Run(300 * time.Second)
	w.complain(t)
	if u.told != wire.Done {
		t.Errorf("not over after 300 s: %d of %d tasks, %d starts", len(u.doneTasks), u.job.Tasks, u.starts)
	}
}
