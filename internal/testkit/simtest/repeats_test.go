package simtest

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// repeatSeeds is with how many seeds TestRepeatedCommands plays each family of worlds, for each share
// of repeated commands.
var repeatSeeds = flag.Uint64("repeats", 8, "seeds of each family of TestRepeatedCommands")

// repeatCourse is one course in which a start that was carried out and answered reaches its worker
// once more.
type repeatCourse struct {
	ends    string        // what became of the attempt
	between string        // what happens between its end and the copy
	delay   time.Duration // of the copy, after the worker forgot the attempt or what happens between
}

// String names the course.
func (c repeatCourse) String() string {
	return fmt.Sprintf("%s, %s, copy after %v", c.ends, c.between, c.delay)
}

// repeatDelays are when the copy arrives: before the next heartbeat, and after some.
var repeatDelays = []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 8 * time.Second}

// answeredStart is a direct command with starts that a worker has answered.
type answeredStart struct {
	worker  *worker
	command wire.Commands
	attempt wire.Command
}

// watchStarts returns the first start of a job in a direct command that a worker answers.
func (w *World) watchStarts(job string) *answeredStart {
	found := &answeredStart{}
	w.repeats.answered = func(k *worker, c wire.Commands) {
		i := slices.IndexFunc(c.Commands, func(x wire.Command) bool { return isStart(x) && x.Task[:len(job)] == job })
		if i >= 0 && found.worker == nil && k.find(c.Commands[i]) != nil {
			found.worker, found.command, found.attempt = k, c, c.Commands[i]
		}
	}
	return found
}

// find returns an attempt that the worker lists; nil if it lists none.
func (k *worker) find(c wire.Command) *simTask {
	i := slices.IndexFunc(k.tasks, func(t *simTask) bool { return t.name == c.Task && t.attempt == c.Attempt })
	if i < 0 {
		return nil
	}
	return k.tasks[i]
}

// runUntil plays the world until something holds, and reports whether it came to hold in time.
func (w *World) runUntil(most time.Duration, holds func() bool) bool {
	for end := w.now + most; w.now < end && len(w.broken) == 0; w.Run(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// newRepeatWorld returns a world with machines that are up, on which a job of its own runs so that
// none is returned.
func newRepeatWorld() *World {
	par := cluster.Defaults()
	w := build(5, 3, 10, par, config.Cluster{
		InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 50, Teams: []config.Team{{Name: "red"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 100, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	})
	w.steady = true
	w.Run(3 * time.Second)
	w.replicas(1, 4, "red", 3)
	w.Run(40 * time.Second)
	return w
}

// play plays the course and returns what broke.
func (c repeatCourse) play() (broken []string) {
	w := newRepeatWorld()
	job := wire.Job{ID: "wk-000100", Class: "a", Team: "red", Shape: wire.Array, Priority: "urgent",
		Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "b", ImageGB: 1, Spot: true, EstimateS: 8}
	if c.ends == "cancelled" || c.ends == "moved" {
		job.Shape, job.EstimateS = wire.Daemon, 0
	}
	u := w.newUser(job)
	switch c.ends {
	case "completed":
		u.apart = 20 * time.Second // its second task ends long after its first
	case "job over":
		u.apart = time.Second
	}
	start := w.watchStarts(job.ID)
	u.submit()
	if !w.runUntil(20*time.Second, func() bool { return start.worker != nil }) {
		return []string{"nothing was started by a direct command"}
	}
	k := start.worker
	if !w.runUntil(20*time.Second, func() bool { return u.running == 2 }) {
		return append(w.Broken(), "not both tasks run")
	}
	switch c.ends {
	case "cancelled":
		w.cancelAll([]*user{u})
	case "moved":
		k.notice = w.now + 30*time.Second // of the cloud, which then does not take the machine
	}
	forgotten := func() bool { return k.find(start.attempt) == nil }
	if c.between == "nothing" {
		if !w.runUntil(40*time.Second, forgotten) {
			return append(w.Broken(), "the ended attempt is never forgotten")
		}
	} else if !w.runUntil(40*time.Second, func() bool { t := k.find(start.attempt); return t == nil || t.state == wire.TaskEnded }) {
		return append(w.Broken(), "the attempt does not end")
	}
	c.interfere(w, k)
	w.Run(c.delay)
	k.commands(start.command)
	if t := k.find(start.attempt); t != nil && t.state != wire.TaskEnded {
		w.breakRule("started once more: %s attempt %d on %s", t.name, t.attempt, k.name)
	}
	w.Run(50 * time.Second)
	if u.told == "" && job.Shape == wire.Array {
		w.breakRule("not over: %s", u.job.ID)
	}
	return w.Broken()
}

// interfere has happen what the course has between the end of the attempt and the copy.
func (c repeatCourse) interfere(w *World, k *worker) {
	holder := w.busiest()
	switch c.between {
	case "its controller is back within a second":
		w.Crash(holder, 300*time.Millisecond)
	case "all controllers are back within a second":
		for i := range w.nodes {
			w.Crash(i, time.Duration(300+200*i)*time.Millisecond)
		}
	case "its machine is back":
		k.restart(true)
	case "its machine is back and remembers nothing":
		k.restart(false)
		// No controller can hold off a copy before its first answer.
		w.runUntil(10*time.Second, func() bool { return k.token > 0 })
	}
}

// TestAnsweredStartArrivesOnceMore guards against a task that runs again as a late copy of its start
// reaches a worker that was told to forget it.
func TestAnsweredStartArrivesOnceMore(t *testing.T) {
	playRepeats(t, []string{"nothing"})
}

// TestAnsweredStartArrivesAfterARestart guards against the same where a controller or the machine came
// back within a second in between.
func TestAnsweredStartArrivesAfterARestart(t *testing.T) {
	playRepeats(t, []string{"its controller is back within a second", "all controllers are back within a second",
		"its machine is back", "its machine is back and remembers nothing"})
}

// playRepeats plays the courses with what happens between.
func playRepeats(t *testing.T, between []string) {
	t.Helper()
	for _, ends := range []string{"moved", "cancelled", "completed", "job over"} {
		for _, b := range between {
			t.Run(ends+", "+b, func(t *testing.T) {
				t.Parallel()
				for _, delay := range repeatDelays {
					c := repeatCourse{ends, b, delay}
					for _, rule := range c.play() {
						t.Errorf("%v: %s", c, rule)
					}
				}
			})
		}
	}
}

// TestRepeatedCommands guards against answered commands that arrive once more in the midst of all other
// troubles.
func TestRepeatedCommands(t *testing.T) {
	for _, percent := range []int{2, 10, 30} {
		for seed := *first; seed < *first+*repeatSeeds; seed++ {
			begin := func(w *World) { w.Repeat(directCommands, seed, percent, 10*time.Minute) }
			t.Run(fmt.Sprintf("%d%%, seeded day %d", percent, seed), func(t *testing.T) {
				t.Parallel()
				playSeededDay(t, seed, begin)
			})
			a, b := nightTrials(seed)
			t.Run(fmt.Sprintf("%d%%, bad night %d %s, %s", percent, seed, a.name, b.name), func(t *testing.T) {
				t.Parallel()
				playNight(t, seed, begin)
			})
			t.Run(fmt.Sprintf("%d%%, machines hang %d", percent, seed), func(t *testing.T) {
				t.Parallel()
				courses := hangCourses(int(seed) % len(handoverTroubles))
				c := courses[int(seed)/len(handoverTroubles)%len(courses)]
				c.repeats = percent
				broken, _ := c.play(int(seed))
				for _, rule := range broken {
					t.Errorf("%v, seed %d: %s", c, seed, rule)
				}
			})
		}
	}
}

// TestRepeatedMessages guards against any other message that arrives once more after it was answered.
func TestRepeatedMessages(t *testing.T) {
	const percent = 20
	for kind := transactions; kind < messageKinds; kind++ {
		for seed := *first; seed < *first+*repeatSeeds/2; seed++ {
			begin := func(w *World) { w.Repeat(kind, seed, percent, 10*time.Minute) }
			t.Run(fmt.Sprintf("%v, seeded day %d", kind, seed), func(t *testing.T) {
				t.Parallel()
				playSeededDay(t, seed, begin)
			})
			t.Run(fmt.Sprintf("%v, bad night %d", kind, seed), func(t *testing.T) {
				t.Parallel()
				playNight(t, seed, begin)
			})
		}
	}
}
