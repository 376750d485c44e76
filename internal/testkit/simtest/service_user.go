package simtest

import (
	"fmt"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// What a drill needs to show that an answer contradicts an earlier one: a user who asks where
// and when the drill says, watches that are held back, and the loss of one change.

// ServiceUser is the user of one service, who asks only when a drill says so. Its methods are
// for the goroutine that drives the world.
type ServiceUser struct{ u *user }

// SubmitService has a user submit service number i with one replica.
func (d *Driven) SubmitService(i int) *ServiceUser {
	u := d.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "s", Team: "free", Shape: wire.Daemon, Priority: "urgent",
		Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true})
	u.asksOnRequest = true
	u.submit()
	return &ServiceUser{u}
}

// ID is the service's.
func (s *ServiceUser) ID() string { return s.u.job.ID }

// Runs reports whether the service runs on a machine.
func (s *ServiceUser) Runs() bool { return s.u.running > 0 }

// ServiceAnswer is a controller's answer to the user of a service.
type ServiceAnswer struct {
	Code  eventloop.ReplyCode
	State string // of the service, if it is named
	// Contradiction says which rule the answer broke; "" if it agrees with all that the user
	// was told before it asked.
	Contradiction string
}

// Ask has the user ask a controller for the service.
func (s *ServiceUser) Ask(controller string, then func(ServiceAnswer)) {
	s.request(controller, eventloop.QueryRequest{ID: s.u.job.ID}, then)
}

// Cancel has the user cancel the service at a controller.
func (s *ServiceUser) Cancel(controller string, then func(ServiceAnswer)) {
	s.u.wantsCancel = true
	s.request(controller, eventloop.CancelRequest{ID: s.u.job.ID}, then)
}

// request sends a request. Its answer is judged by the rules of the world; one that breaks
// them is returned as a contradiction and does not stop the world, so that a drill can show
// what else is answered.
func (s *ServiceUser) request(controller string, ev eventloop.Event, then func(ServiceAnswer)) {
	u := s.u
	n := u.w.nodeNamed(controller)
	judge := u.judged(n, ev, func(r eventloop.Reply) {
		if a, ok := r.Body.(wire.JobAnswer); ok && r.Code.Success() {
			u.hear(a.State)
		}
	})
	n.ask(func(uint64) eventloop.Event { return ev }, func(r eventloop.Reply) {
		before := len(u.w.broken)
		judge(r)
		answer := ServiceAnswer{Code: r.Code}
		if a, ok := r.Body.(wire.JobAnswer); ok && r.Code.Success() {
			answer.State = a.State
		}
		if len(u.w.broken) > before {
			answer.Contradiction = u.w.broken[before]
			u.w.broken = u.w.broken[:before]
		}
		then(answer)
	})
}

// nodeNamed returns the controller with a name.
func (w *World) nodeNamed(name string) *simNode {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	panic(fmt.Sprintf("no controller %q", name))
}

// HoldWatches leaves the watches of a controller without an answer for so long; they are then
// answered with what the state service holds at that time.
func (d *Driven) HoldWatches(controller string, lasts time.Duration) {
	s := d.store
	if s.watchesHeld == nil {
		s.watchesHeld = map[string]time.Duration{}
	}
	s.watchesHeld[controller] = d.now + lasts
	d.after(lasts, s.wake)
}

// LoseEnd puts a copy of the state from just before the end of a service was stored in place
// of it, and returns how many revisions were lost by that.
func (d *Driven) LoseEnd(s *ServiceUser) wire.Revision {
	end, ok := d.store.values["fc/t/"+s.u.job.ID]
	if !ok {
		return 0
	}
	lost := d.store.rev - end.version + 1
	d.store.restore(d.store.copyAt(end.version - 1))
	return lost
}
