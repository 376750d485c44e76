//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The rules of the protocol that machines show. A task is on its machine from the moment it
// has its image until it exits, is killed or the machine is gone, also while that hangs or
// can't be reached.

var (
	onMu sync.Mutex
	on   = map[string]map[*machine]*task{} // by task
)

// putOn notes that a task starts on a machine, and checks the rules.
func (w *world) putOn(m *machine, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	onMu.Lock()
	defer onMu.Unlock()
	w.log("%s: %s attempt %d is on it", m.name, t.name, t.attempt)
	for other := range on[t.name] {
		if other != m {
			w.breaks("ran_twice", "%s starts on %s while it is on %s", t.name, m.name, other.name)
		}
	}
	if on[t.name] == nil {
		on[t.name] = map[*machine]*task{}
	}
	on[t.name][m] = t
	j := t.job
	if types, ok := j.body["kalupi"].([]string); ok {
		allowed := false
		for _, name := range types {
			allowed = allowed || name == m.typ
		}
		if !allowed {
			w.breaks("wrong_place", "%s starts on %s of type %s, allowed are %v", t.name, m.name, m.typ, types)
		}
	}
	if zone := asText(j.body["dvoriste"]); zone != "" && zone != m.zone {
		w.breaks("wrong_place", "%s starts in zone %s, allowed is %s", t.name, m.zone, zone)
	}
	if m.spot && !asBool(j.body["posudba"]) {
		w.breaks("wrong_place", "%s starts on the spot machine %s", t.name, m.name)
	}
	if asBool(j.body["samePlace"]) || asBool(j.body["scatter"]) {
		same, all := 0, 0
		for i := range j.tasks {
			for o := range on[fmt.Sprintf("%s/%d", j.id, i)] {
				all++
				if o.zone == m.zone {
					same++
				}
			}
		}
		if asBool(j.body["samePlace"]) && same < all {
			w.breaks("wrong_place", "%s starts in zone %s, others of its job are elsewhere", t.name, m.zone)
		}
		if asBool(j.body["scatter"]) && same > (j.tasks+1)/2 {
			w.breaks("wrong_place", "%s is the task number %d of %d in zone %s", t.name, same, j.tasks, m.zone)
		}
	}
	used := map[string]float64{}
	for _, where := range on {
		for _, x := range where {
			used[asText(x.job.body["vlasnik"])] += asFloat(x.job.body["vcpus"])
		}
	}
	for _, team := range w.set.teams {
		if team.cpusMax > 0 && used[team.name] > team.cpusMax+1e-6 {
			w.breaks("quota", "team %s uses %.1f of %.1f with %s", team.name, used[team.name], team.cpusMax, t.name)
		}
	}
	if !j.cancelledAt.IsZero() {
		after := time.Since(j.cancelledAt).Seconds()
		w.log("%s starts %.3f s after its user was told of the cancellation", t.name, after)
		if after > w.set.cancelS {
			w.breaks("ran_cancelled", "%s starts %.1f s after its user was told", t.name, after)
		}
	}
}

// takeOff notes that a task is no longer on a machine.
func (w *world) takeOff(m *machine, t *task, why string) {
	onMu.Lock()
	defer onMu.Unlock()
	delete(on[t.name], m)
	if len(on[t.name]) == 0 {
		delete(on, t.name)
	}
	w.log("%s: %s attempt %d is off it (%s)", m.name, t.name, t.attempt, why)
}

// where lists the machines that a task is on.
func where(name string) []*machine {
	onMu.Lock()
	defer onMu.Unlock()
	var out []*machine
	for m := range on[name] {
		out = append(out, m)
	}
	return out
}

// countOn counts the tasks of a job that are on machines.
func countOn(j *job) int {
	n := 0
	for i := range j.tasks {
		n += len(where(fmt.Sprintf("%s/%d", j.id, i)))
	}
	return n
}

// watchCancelled checks from time to time that nothing of a cancelled job is on a machine for
// longer than cancel_s.
func (w *world) watchCancelled() {
	said := map[string]bool{}
	for {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		onMu.Lock()
		for name, machines := range on {
			for m, t := range machines {
				if c := t.job.cancelledAt; !c.IsZero() && time.Since(c).Seconds() > w.set.cancelS && !said[name] {
					said[name] = true
					w.breaks("ran_cancelled", "%s is on %s %.1f s after its user was told", name, m.name, time.Since(c).Seconds())
				}
			}
		}
		onMu.Unlock()
		w.mu.Unlock()
	}
}

// finish writes the verdict and returns the exit status.
func (w *world) finish(err error) int {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(w.broken) > 0:
		fmt.Println("broken:", w.broken[0])
		return 1
	}
	w.log("held")
	fmt.Println("held")
	_ = os.Stdout.Sync()
	return 0
}
